/** Reports unresponsive servers to the holders of other groups. @module */
import { RecordKind, type VmId } from "@jaytiller/model";
import type { GroupEnvironment, HolderEpoch } from "./holder_epoch.js";
import { ActionKind, type GroupContext } from "./messages.js";
import type { ServerTable } from "./server_table.js";
import { APPEND_RETRY_MS, JOIN_DAMPING_MS } from "./timing.js";

/**
 * Appends a `serverHealth` record when a server's state in the log differs from
 * what this holder observes.
 */
export class HealthReporter {
  readonly #env: GroupEnvironment;
  readonly #servers: ServerTable;
  /** Monotonic time, in ms, of the last report about each server. */
  readonly #reportedAt = new Map<VmId, number>();

  constructor(env: GroupEnvironment, servers: ServerTable) {
    this.#env = env;
    this.#servers = servers;
  }

  clear(): void {
    this.#reportedAt.clear();
  }

  report(ctx: GroupContext, { token }: HolderEpoch): void {
    for (const link of this.#servers.links.values()) {
      const silent = link.isSuspected(ctx.now);
      // An unresponsive server is reported at once, before its lease expires.
      // Otherwise other holders would balance load onto it as soon as its units
      // have moved away.
      const isStable = silent ||
        ctx.now - link.answeringSince > JOIN_DAMPING_MS;
      if (silent === ctx.state.isUnresponsive(link.id) || !isStable) continue;
      const lastReportedAt = this.#reportedAt.get(link.id) ?? -Infinity;
      if (ctx.now - lastReportedAt < APPEND_RETRY_MS) continue;
      this.#reportedAt.set(link.id, ctx.now);
      this.#env.emit({
        kind: ActionKind.Append,
        record: {
          kind: RecordKind.ServerHealth,
          id: this.#env.newId(),
          group: this.#env.group,
          token: token.toString(),
          server: link.id,
          answers: !silent,
        },
      });
    }
  }
}
