/** Sends lease calls to servers and applies their results. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type AssignmentManager,
  type LeaseCall,
  LeaseCallKind,
  LeaseCallOutcome,
  type LeaseCallResult,
  Withheld,
} from "@jaytiller/ranges";
import type { ClusterState } from "./cluster_state.js";
import type { LeaseTransport } from "./ports.js";
import type { ServiceAssignments } from "./service_assignments.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a lease call sender. */
export interface LeaseCallSenderOptions {
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly leases: LeaseTransport;
  readonly log: EventLog;
  readonly assignments: ServiceAssignments;
  /** Called when a server has seen a higher fencing token. */
  readonly onFenced: () => void;
  /** Called when a result lets further calls be sent or changes an owner. */
  readonly onProgress: () => void;
}

/** Grants, renews and releases the leases of owners. */
export class LeaseCallSender {
  readonly #options: LeaseCallSenderOptions;

  constructor(options: LeaseCallSenderOptions) {
    this.#options = options;
  }

  /** Sends the calls that are due and not withheld. */
  send(nowMs: number, withheld: Withheld): void {
    if (withheld === Withheld.Grants) return;
    const { cluster, assignments } = this.#options;
    const onlyRenewals = withheld === Withheld.Changes;
    for (const [service, manager] of assignments.managers) {
      const calls = manager.listCalls(nowMs, cluster.servers, { onlyRenewals });
      for (const call of calls) void this.#sendCall(service, manager, call);
    }
  }

  async #sendCall(
    service: string,
    manager: AssignmentManager,
    call: LeaseCall,
  ): Promise<void> {
    const { stats, leases, onFenced, onProgress } = this.#options;
    const result = await leases.call(call);
    manager.observe(call, result, performance.now());
    const { coldMs } = result;
    if (coldMs !== undefined) {
      const nowMs = performance.now();
      stats.cold.recordResponse(call.server, { coldMs, nowMs });
    }
    const isRelease = call.kind === LeaseCallKind.Release;
    if (isRelease || result.end !== LeaseCallOutcome.Done) {
      this.#logCall(service, call, result);
    }
    if (result.end === LeaseCallOutcome.Fenced) onFenced();
    if (isRelease || manager.isChanged) onProgress();
  }

  #logCall(service: string, call: LeaseCall, result: LeaseCallResult): void {
    this.#options.log.record("lease", {
      kind: call.kind,
      service,
      server: call.server.id,
      from: call.from,
      to: call.to,
      fence: call.fence,
      end: result.end,
      problem: result.problem,
    });
  }
}
