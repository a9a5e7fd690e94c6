/** Finds requests that crash the servers that run them. @module */
import { createHash } from "node:crypto";
import { PoisonTracker } from "@jaytiller/admission";
import { getLogger } from "@jaytiller/kernel";
import { EventKind, RecordKind, type VmId } from "@jaytiller/model";
import { BodyKind, type Call } from "./call.js";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import type { LogTail } from "./log_tail.js";
import type { LostRequest, ServerSlots } from "./server_slots.js";

const log = getLogger("dispatch");
/** A lost request counts towards a crash that shows within this time. */
const CRASH_WINDOW_MS = 2_000;
/** Crashes after which a request is refused. */
const POISON_CRASHES = 2;
const SUSPECTS = 10_000;
const SUMMARY_LENGTH = 200;

/** Tracks lost requests and lists those that crash servers. */
export class CrashWatch {
  readonly #tail: LogTail;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #node: VmId;
  readonly #tracker = PoisonTracker.create({
    limit: POISON_CRASHES,
    capacity: SUSPECTS,
  });

  constructor(options: {
    tail: LogTail;
    clock: Clock;
    events: Events;
    node: VmId;
  }) {
    this.#tail = options.tail;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#node = options.node;
  }

  /** Notes that a request is about to run. Returns whether it must run alone. */
  recordStart(fingerprint: string): boolean {
    return this.#tracker.recordStart(fingerprint);
  }

  /** Removes a suspect after a complete answer. */
  clear(fingerprint: string): void {
    this.#tracker.clear(fingerprint);
  }

  /** Notes a request whose connection broke, which a crash may have caused. */
  noteLost(
    call: Call,
    { slots, fingerprint }: { slots: ServerSlots; fingerprint: string },
  ): void {
    const summary = `${call.method} ${call.path}`.slice(0, SUMMARY_LENGTH);
    slots.noteLost({ fingerprint, summary }, this.#clock.now());
  }

  /** The server has failed: what was lost lately may be the cause. */
  recordFailure(slots: ServerSlots): void {
    const lost = slots.takeLost(this.#clock.now() - CRASH_WINDOW_MS);
    if (lost.length === 0) return;
    const summaries = new Map(lost.map((l) => [l.fingerprint, l]));
    const { suspected, poisoned } = this.#tracker.recordCrash([
      ...summaries.keys(),
    ]);
    for (const id of suspected) this.#suspect(slots, summaries.get(id)!);
    for (const id of poisoned) this.#list(slots, summaries.get(id)!);
  }

  #suspect(
    { service, server }: ServerSlots,
    { fingerprint, summary }: LostRequest,
  ) {
    this.#events.add({
      kind: EventKind.PoisonSuspected,
      service,
      server,
      text: `${summary} (${fingerprint}) was in flight when the server failed`,
    });
  }

  #list({ service }: ServerSlots, { fingerprint, summary }: LostRequest) {
    log.warn(`Request ${fingerprint} crashed servers and is refused now.`);
    void this.#tail.submit({
      kind: RecordKind.Poison,
      id: this.#clock.newUuid(),
      hlc: this.#clock.stamp(),
      node: this.#node,
      service,
      fingerprint,
      summary,
      crashes: POISON_CRASHES,
    });
  }
}

/** Identifies requests that do the same work: method, path, key and body. */
export function computeFingerprint(call: Call): string {
  const hash = createHash("sha256");
  hash.update(`${call.service}\n${call.key}\n${call.method}\n${call.path}\n`);
  if (call.body.kind === BodyKind.Whole) hash.update(call.body.bytes);
  return hash.digest("hex").slice(0, 32);
}
