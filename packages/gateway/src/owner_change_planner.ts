/** Plans changes of owners and writes them to the store. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type Assignment,
  type AssignmentManager,
  computeMaxLeaseMs,
  encodeRecord,
  getEra,
  GrantHold,
  type LeaseTimes,
  makePosition,
  type OwnerChange,
  type OwnershipRecord,
  type PlanContext,
  type Predecessors,
  type RouterRef,
  Withheld,
} from "@jaytiller/ranges";
import type { ClusterState } from "./cluster_state.js";
import type { FeedReader } from "./feed_reader.js";
import type { LoadReports } from "./load_reports.js";
import type { OwnershipLog } from "./ownership_log.js";
import { roundLoad } from "./round_load.js";
import type { ServiceAssignments } from "./service_assignments.js";
import { RECORD_REFRESH_INTERVAL_MS } from "./timing.js";

/** Dependencies of a planner. */
export interface OwnerChangePlannerOptions {
  readonly self: RouterRef;
  readonly cluster: ClusterState;
  readonly reader: FeedReader;
  readonly log: EventLog;
  readonly times: LeaseTimes;
  readonly assignments: ServiceAssignments;
  readonly records: OwnershipLog;
  readonly reports: LoadReports;
  readonly predecessors: Predecessors;
  readonly getTerm: () => number;
  readonly getRouters: () => readonly RouterRef[];
  /** Returns whether the term has ended. */
  readonly hasEnded: () => boolean;
  /** Called once changes are stored and their lease calls may be sent. */
  readonly onStored: () => void;
}

/** Interval between two log lines about the balance, ms. */
const BALANCE_LOG_INTERVAL_MS = 2_000;

type PlannedChanges = ReadonlyMap<string, readonly OwnerChange[]>;

/** Decides who owns the key ranges, one stored record after the other. */
export class OwnerChangePlanner {
  readonly #options: OwnerChangePlannerOptions;
  readonly #hold: GrantHold;
  #isWriting = false;
  #nextBalanceLogMs = 0;

  constructor(options: OwnerChangePlannerOptions) {
    this.#options = options;
    this.#hold = new GrantHold(computeMaxLeaseMs(options.times));
  }

  /** Whether changes can be planned: none are being written. */
  get isReady(): boolean {
    return !this.#isWriting && this.#options.cluster.hasServers;
  }

  /** What is withheld because records were lost. */
  get withheld(): Withheld {
    return this.#hold.withheld;
  }

  /** Begins to withhold grants or changes after a claim sent at `sinceMs`. */
  beginHold(
    withheld: Withheld.Changes | Withheld.Grants,
    sinceMs: number,
  ): void {
    const { log, getTerm } = this.#options;
    this.#hold.begin(withheld, sinceMs);
    log.record("leasesWithheld", {
      term: getTerm(),
      era: getEra(getTerm()),
      withheld: this.#hold.withheld,
    });
  }

  /**
   * Plans changes and begins to write them. Writes the record without changes
   * if it is stale. Loads are balanced only with `isBalanceDue`.
   */
  plan(nowMs: number, { isBalanceDue }: { isBalanceDue: boolean }): void {
    const { assignments, records, predecessors, getTerm } = this.#options;
    const changes = new Map<string, readonly OwnerChange[]>();
    this.#hold.recordMajority(Math.min(nowMs, records.getMajorityMs()));
    const isRenewalDue = this.#hold.isTokenRenewalDue(nowMs);
    // A predecessor may renew a lease that a planned move has released.
    const balance = isBalanceDue && nowMs >= predecessors.computeGrantEndMs();
    for (const [service, manager] of assignments.managers) {
      const planned = isRenewalDue
        ? manager.planTokenRenewal(makePosition(getEra(getTerm()), 0))
        : this.#planService(service, manager, { nowMs, balance });
      if (planned.length > 0) changes.set(service, planned);
    }
    if (isRenewalDue && changes.size === 0) this.#endHold();
    const isRecordStale =
      nowMs - records.writtenAt > RECORD_REFRESH_INTERVAL_MS;
    if (changes.size === 0 && !isRecordStale) return;
    void this.#writeChanges(changes, { isTokenRenewal: isRenewalDue });
  }

  /** Makes the record of this term, by default with the current assignments. */
  makeRecord(
    list: (
      service: string,
      manager: AssignmentManager,
    ) => readonly Assignment[] = (_, manager) => manager.assignments,
  ): OwnershipRecord {
    const { self, assignments, predecessors, getTerm, getRouters } =
      this.#options;
    const services = [...assignments.managers].map(([service, manager]) =>
      [service, list(service, manager)] as const
    );
    const incompleteMs = this.#hold.getElapsedMs(performance.now());
    return {
      coordinator: self,
      resigned: false,
      needsMajority: true,
      routers: getRouters(),
      predecessors: predecessors.list(performance.now()),
      era: getEra(getTerm()),
      ...(incompleteMs === undefined ? {} : { incompleteMs }),
      services: Object.fromEntries(services),
    };
  }

  #planService(
    service: string,
    manager: AssignmentManager,
    options: { nowMs: number; balance: boolean },
  ): readonly OwnerChange[] {
    if (this.#hold.isActive(options.nowMs)) return [];
    const { reader, reports } = this.#options;
    const context = reports.makePlanContext(service, {
      ...options,
      isSettling: reader.isSettling(options.nowMs),
    });
    if (options.balance) this.#logBalance(service, manager, context);
    return manager.plan(context);
  }

  /** Appends changes to the store before any of their lease calls is sent. */
  async #writeChanges(
    changes: PlannedChanges,
    { isTokenRenewal }: { isTokenRenewal: boolean },
  ): Promise<void> {
    const { assignments, records, getRouters, hasEnded, onStored } =
      this.#options;
    this.#isWriting = true;
    try {
      const fence = records.position + 1;
      const nowMs = performance.now();
      const routers = getRouters();
      const record = this.makeRecord((service, manager) =>
        manager.preview(changes.get(service) ?? [], { nowMs, fence })
      );
      const { incompleteMs: _, ...complete } = record;
      const text = encodeRecord(isTokenRenewal ? complete : record);
      const isStored = await records.append(text, routers);
      if (!isStored || hasEnded()) return;
      for (const [service, list] of changes) {
        assignments.managers.get(service)?.commit(list, {
          nowMs: performance.now(),
          fence,
        });
        this.#logChanges(service, list, fence);
      }
      if (isTokenRenewal) this.#endHold();
      onStored();
    } finally {
      this.#isWriting = false;
    }
  }

  #endHold(): void {
    const { log, getTerm } = this.#options;
    this.#hold.end();
    log.record("leasesResumed", { term: getTerm() });
  }

  #logBalance(
    service: string,
    manager: AssignmentManager,
    context: PlanContext,
  ): void {
    if (context.nowMs < this.#nextBalanceLogMs) return;
    this.#nextBalanceLogMs = context.nowMs + BALANCE_LOG_INTERVAL_MS;
    const summary = manager.summarize(context);
    if (!summary) return;
    this.#options.log.record("balance", {
      service,
      ...summary,
      load: roundLoad(summary.load),
      capacity: roundLoad(summary.capacity),
      busiestUse: roundLoad(summary.busiestUse),
      idlestUse: roundLoad(summary.idlestUse),
      ranges: manager.assignments.length,
    });
  }

  #logChanges(
    service: string,
    changes: readonly OwnerChange[],
    fence: number,
  ): void {
    const { log, cluster } = this.#options;
    for (const { from, to, owner } of changes) {
      log.record("assigned", {
        service,
        from,
        to,
        server: owner.id,
        fence,
        serversPosition: cluster.servers.position,
      });
    }
  }
}
