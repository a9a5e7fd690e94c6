/** Logs malformed optional fields of other routers' messages. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { RouterRef } from "@jaytiller/ranges";

/** Writes one line for each router, because each message may repeat a fault. */
export class MalformedFieldLog {
  readonly #log: EventLog;
  readonly #nodes = new Set<string>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Logs fields that are dropped, if there are any. */
  record(
    { node }: RouterRef,
    malformedFields: readonly string[] | undefined,
  ): void {
    if (!malformedFields || this.#nodes.has(node)) return;
    this.#nodes.add(node);
    this.#log.record("peerFieldMalformed", {
      router: node,
      problem: malformedFields[0],
    });
  }
}
