/** Publishes admission shares while this is the coordinator. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { PublishedShare } from "@jaytiller/placement";
import { nameServiceResource } from "./admission_messages.js";
import type { LoadReports } from "./load_reports.js";
import { roundLoad } from "./round_load.js";
import type { ServiceAssignments } from "./service_assignments.js";

/** Dependencies of a publisher. */
export interface AdmissionPublisherOptions {
  readonly log: EventLog;
  readonly reports: LoadReports;
  readonly assignments: ServiceAssignments;
  readonly countRouters: () => number;
  /** Sends heartbeats to all routers at once. */
  readonly notifyAll: () => void;
}

/** Interval at which admission shares are computed, ms. */
const ADMISSION_INTERVAL_MS = 100;
/** Least interval between two rounds of heartbeats because of shares, ms. */
const URGENT_INTERVAL_MS = 200;
/** Least interval between two log lines about one owner's overload, ms. */
const OVERLOAD_LOG_INTERVAL_MS = 5_000;

/** Computes admission shares periodically and logs overloads. */
export class AdmissionPublisher {
  readonly #options: AdmissionPublisherOptions;
  #nextUpdateMs = 0;
  #nextUrgentMs = 0;
  /** Earliest time of the next log line for an overloaded owner or service. */
  readonly #overloadLogMs = new Map<string, number>();

  constructor(options: AdmissionPublisherOptions) {
    this.#options = options;
  }

  /** Updates the shares if it is time. */
  tick(nowMs: number): void {
    if (nowMs >= this.#nextUpdateMs) this.update(nowMs);
  }

  /**
   * Determines which owners and services get only a share of their requests, and
   * tells all routers at once if a share has fallen.
   */
  update(nowMs: number): void {
    const { reports, assignments, notifyAll } = this.#options;
    this.#nextUpdateMs = nowMs + ADMISSION_INTERVAL_MS;
    const added = reports.updateAdmissionShares(assignments.managers, nowMs);
    this.#logOverloads(added, nowMs);
    if (nowMs < this.#nextUrgentMs || !reports.takeUrgency()) return;
    this.#nextUrgentMs = nowMs + URGENT_INTERVAL_MS;
    notifyAll();
  }

  #logOverloads(
    added: readonly PublishedShare[],
    nowMs: number,
  ): void {
    for (const [resource, dueMs] of this.#overloadLogMs) {
      if (dueMs <= nowMs) this.#overloadLogMs.delete(resource);
    }
    for (const { id, resource, load, capacity, share, shares } of added) {
      if (this.#overloadLogMs.has(resource)) continue;
      this.#overloadLogMs.set(resource, nowMs + OVERLOAD_LOG_INTERVAL_MS);
      const isService = resource === nameServiceResource(id);
      this.#options.log.record("overloaded", {
        ...(isService ? { service: id } : { server: id }),
        load: roundLoad(load),
        capacity: roundLoad(capacity),
        share: roundLoad(share),
        shares: shares.map(([p, s]) => `${p}:${roundLoad(s)}`).join(),
        routers: this.#options.countRouters(),
      });
    }
  }
}
