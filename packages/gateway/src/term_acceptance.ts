/**
 * Tracks who accepts a term, and until when earlier coordinators may act.
 * @module
 */
import type { EventLog } from "@jaytiller/kernel";
import {
  computeMaxLeaseMs,
  type LeaseTimes,
  type Predecessors,
  type RouterRef,
} from "@jaytiller/ranges";
import type { OwnershipLog } from "./ownership_log.js";
import type { ServiceAssignments } from "./service_assignments.js";

/** Dependencies of a term acceptance. */
export interface TermAcceptanceOptions {
  readonly log: EventLog;
  readonly times: LeaseTimes;
  readonly assignments: ServiceAssignments;
  readonly records: OwnershipLog;
  readonly predecessors: Predecessors;
  readonly getTerm: () => number;
}

/** Routers that follow a term, and the predecessors that this rules out. */
export class TermAcceptance {
  readonly #options: TermAcceptanceOptions;

  constructor(options: TermAcceptanceOptions) {
    this.#options = options;
  }

  /** Records that a router has accepted the term after `atMs`. */
  record(router: RouterRef, atMs: number): void {
    const { log, records, predecessors, getTerm } = this.#options;
    records.recordWitness(router, atMs);
    this.#clear((p) => p.node === router.node);
    const nowMs = performance.now();
    if (!predecessors.recordFollower(router, nowMs)) return;
    this.#limitInherited();
    log.record("majorityFollows", {
      term: getTerm(),
      predecessorsEndMs: Math.round(predecessors.computeGrantEndMs() - nowMs),
    });
  }

  /** Records that earlier processes of a router have ended. */
  recordRestart({ node, incarnation }: RouterRef): void {
    this.#clear((p) => p.node === node && p.incarnation !== incarnation);
  }

  /** Returns when all leases that predecessors may grant have expired, ms. */
  computeInheritedExpiry(nowMs: number): number {
    const { predecessors, times } = this.#options;
    const endMs = Math.max(nowMs, predecessors.computeGrantEndMs());
    return endMs + computeMaxLeaseMs(times);
  }

  /** Removes predecessors that can no longer send grants. */
  #clear(hasEnded: (predecessor: RouterRef) => boolean): void {
    const { log, predecessors, getTerm } = this.#options;
    if (!predecessors.clear(hasEnded)) return;
    this.#limitInherited();
    if (predecessors.isEmpty) {
      log.record("predecessorsEnded", { term: getTerm() });
    }
  }

  /** Limits inherited leases to the time at which the predecessors stop. */
  #limitInherited(): void {
    const untilMs = this.computeInheritedExpiry(performance.now());
    this.#options.assignments.limitInherited(untilMs);
  }
}
