/**
 * Manages the key ranges of one service: planning, leases and moves.
 * @module
 */
import { KEY_COUNT, ServerState, type ServerView } from "@jaytiller/routing";
import {
  applyChanges,
  type Assignment,
  type ChangeContext,
  type FormerOwner,
  isSameIncarnation,
  type Lease,
  mergeAdjacentRanges,
  type OwnerChange,
  type ServerIncarnation,
} from "./assignment.js";
import {
  type BalanceSummary,
  planBalance,
  summarizeBalance,
} from "./balance.js";
import { planReassignments, splitKeySpace } from "./key_distribution.js";
import { InitialSplitDelay } from "./initial_split.js";
import type { KeyLoad } from "./key_load.js";
import {
  type LeaseCall,
  LeaseCallKind,
  LeaseCallOutcome,
  type LeaseCallResult,
} from "./lease_calls.js";
import { OwnerTable } from "./owner_table.js";
import {
  listServerLoads,
  type OwnerCandidate,
  type ServerLoadRate,
} from "./server_usage.js";
import { planMerges } from "./range_merges.js";

/** Timing of leases. */
export interface LeaseTimes {
  /** Lease duration, ms. */
  readonly holdMs: number;
  /** Interval between renewals of a lease, ms. */
  readonly renewMs: number;
  /**
   * Maximum clock drift: a server's clock may run slower than the coordinator's
   * by this share.
   */
  readonly clockSkew: number;
}

/** Input of a plan. */
export interface PlanContext {
  readonly nowMs: number;
  readonly view: ServerView;
  readonly load: KeyLoad;
  /** Returns the requests per second that a server can process. */
  readonly getCapacity: (id: string) => number;
  /** Whether keys may move to balance load. */
  readonly balance: boolean;
  /** Whether servers missing from the view may still reappear in it. */
  readonly isSettling: boolean;
}

/** Added to each lease because timers may fire late, ms. */
const LEASE_MARGIN_MS = 150;
/** Delay before an unanswered or rejected call is sent again, ms. */
const CALL_RETRY_MS = 250;
/** Longest delay before a rejected call is repeated, ms. */
const MAX_REJECTED_RETRY_MS = 2_000;
/**
 * Consecutive unanswered calls after which a server is suspected of failure.
 */
const SUSPECT_AFTER_FAILURES = 2;
/** Lower bound of the limit on load balancing moves in one plan. */
const MIN_MOVE_LIMIT = 10;
/** Load balancing moves allowed in one plan for each server. */
const MOVE_LIMIT_PER_SERVER = 1 / 3;
/** Ranges may be split while there are fewer than this for each server. */
const MAX_RANGES_PER_SERVER = 6;
/**
 * Adjacent ranges are merged while there are more than this for each server.
 */
const TARGET_RANGES_PER_SERVER = 3;

/** A new coordinator's knowledge of leases that earlier ones granted. */
export interface RestoreOptions {
  readonly times: LeaseTimes;
  /** Monotonic time by which those leases have expired, ms. */
  readonly inheritedLeaseExpiryMs: number;
}

/** Time and fencing token of a set of changes. */
export interface CommitContext {
  readonly nowMs: number;
  readonly fence: number;
}

interface ServerHealth {
  /** Consecutive calls without an answer. */
  failures: number;
  nextProbeMs: number;
}

/**
 * The coordinator's state of the ranges of one service. Changes are planned
 * here, written to the store by the caller, and then committed with the fencing
 * token that results from their position in the store. The resulting
 * calls are sent only after that.
 */
export class AssignmentManager {
  readonly #service: string;
  readonly #times: LeaseTimes;
  #assignments: readonly Assignment[];
  #isTableChanged = true;
  readonly #health = new Map<string, ServerHealth>();
  readonly #addresses = new Map<string, string>();
  /** Calls in flight, by call key. */
  readonly #open = new Map<string, LeaseCall>();
  /** Earliest time of the next call, ms, by call key. */
  readonly #next = new Map<string, CallSchedule>();
  /** Grants that servers fenced or rejected. */
  readonly #refused: LeaseCall[] = [];
  readonly #initialSplitDelay = new InitialSplitDelay();
  /** Highest fencing token that an earlier coordinator may have granted. */
  readonly #inheritedFence: number;
  /** Time by which the leases of earlier coordinators have expired, ms. */
  #inheritedLeaseExpiryMs: number;

  private constructor(
    service: string,
    list: readonly Assignment[],
    options: RestoreOptions,
  ) {
    this.#service = service;
    this.#assignments = list;
    this.#times = options.times;
    this.#inheritedLeaseExpiryMs = options.inheritedLeaseExpiryMs;
    this.#inheritedFence = Math.max(...list.map((a) => a.fence));
  }

  /** Creates the state of a service that is in no record yet. */
  static create(service: string, times: LeaseTimes): AssignmentManager {
    return AssignmentManager.restore(service, [], {
      times,
      inheritedLeaseExpiryMs: 0,
    });
  }

  /** Restores the state of a service from a record. */
  static restore(
    service: string,
    assignments: readonly Assignment[],
    options: RestoreOptions,
  ): AssignmentManager {
    const list = assignments.length > 0 ? assignments : [{
      from: 0,
      to: KEY_COUNT - 1,
      fence: 0,
      former: [],
      granted: false,
      leaseExpiryMs: 0,
      changedAtMs: 0,
    }];
    return new AssignmentManager(service, list, options);
  }

  get assignments(): readonly Assignment[] {
    return this.#assignments;
  }

  /** Whether the owner table has changed since this flag was last reset. */
  get isChanged(): boolean {
    return this.#isTableChanged;
  }

  /** Returns whether the owner table has changed, and resets the flag. */
  takeChanged(): boolean {
    const changed = this.#isTableChanged;
    this.#isTableChanged = false;
    return changed;
  }

  /**
   * Limits the inherited leases once earlier coordinators are known to have
   * stopped: all leases that they granted have expired by `untilMs`.
   */
  limitInherited(untilMs: number): void {
    this.#inheritedLeaseExpiryMs = Math.min(
      this.#inheritedLeaseExpiryMs,
      untilMs,
    );
  }

  /**
   * Plans owner changes: the initial split, later replacements for owners that
   * are lost, leaving or restarted, and if none are needed, moves and merges.
   */
  plan(context: PlanContext): readonly OwnerChange[] {
    const candidates = this.#listCandidates(context);
    if (this.#assignments.every((a) => a.fence === 0)) {
      return this.#planInitialSplit(candidates, context);
    }
    if (candidates.length === 0) return [];
    const reassignments = this.#planReassignments(candidates, context);
    if (reassignments.length > 0 || !context.balance) return reassignments;
    const moves = planBalance(this.#assignments, candidates, {
      nowMs: context.nowMs,
      maxMoves: Math.max(
        MIN_MOVE_LIMIT,
        MOVE_LIMIT_PER_SERVER * candidates.length,
      ),
      maySplit: this.#maySplit(candidates.length),
      load: context.load,
    });
    const excess = this.#assignments.length -
      TARGET_RANGES_PER_SERVER * candidates.length;
    return [
      ...moves,
      ...planMerges(this.#assignments, { nowMs: context.nowMs, excess, moves }),
    ];
  }

  #planInitialSplit(
    candidates: readonly OwnerCandidate[],
    { nowMs, load }: PlanContext,
  ): readonly OwnerChange[] {
    const isDue = this.#initialSplitDelay.observe({
      nowMs,
      servers: candidates.length,
      load: load.total,
    });
    return isDue ? splitKeySpace(candidates) : [];
  }

  /**
   * Returns whether ranges may be split. Their number is limited, because each
   * range is renewed by a separate call.
   */
  #maySplit(servers: number): boolean {
    return this.#assignments.length < MAX_RANGES_PER_SERVER * servers;
  }

  /** Summarizes the load distribution, for the log. */
  summarize(context: PlanContext): BalanceSummary | undefined {
    const candidates = this.#listCandidates(context);
    return summarizeBalance(this.#assignments, candidates, context.load);
  }

  /** Lists the load of all servers that own keys. */
  listLoads(context: PlanContext): readonly ServerLoadRate[] {
    const candidates = this.#listCandidates(context);
    return listServerLoads(this.#assignments, candidates, context.load);
  }

  /**
   * Returns the ranges for the record that announces the changes. Until the
   * store confirms the record, current owners still receive grants and
   * renewals. Therefore each counts as a possible lease holder, whatever the
   * state of its lease now.
   */
  preview(
    changes: readonly OwnerChange[],
    context: CommitContext,
  ): readonly Assignment[] {
    return this.#apply(changes, { ...context, mayHoldLease: () => true });
  }

  /** Applies changes that the store has accepted. */
  commit(changes: readonly OwnerChange[], context: CommitContext): void {
    this.#assignments = this.#apply(changes, {
      ...context,
      mayHoldLease: (life, a) => this.#mayHoldLease(life, a, context.nowMs),
    });
    this.#isTableChanged = true;
  }

  #apply(
    changes: readonly OwnerChange[],
    context: Omit<ChangeContext, "getLeaseExpiryMs">,
  ): readonly Assignment[] {
    const getLeaseExpiryMs = (lease: Lease) => this.#getLeaseExpiryMs(lease);
    const changed = applyChanges(this.#assignments, changes, {
      ...context,
      getLeaseExpiryMs,
    });
    return mergeAdjacentRanges(changed);
  }

  /**
   * Lists changes that give each owner its ranges under a new fencing token,
   * for tokens up to `position`.
   */
  planTokenRenewal(position: number): readonly OwnerChange[] {
    return this.#assignments.flatMap(({ from, to, owner, fence }) =>
      owner && fence <= position ? [{ from, to, owner }] : []
    );
  }

  /**
   * Lists the calls that are due; the caller reports each result to `observe`.
   * With `onlyRenewals` these are renewals of leases that owners have accepted.
   */
  listCalls(
    nowMs: number,
    view: ServerView,
    { onlyRenewals = false } = {},
  ): readonly LeaseCall[] {
    this.#removeExpiredFormerOwners(nowMs);
    this.#pruneCallTimes(nowMs);
    const calls = this.#assignments
      .filter((a) => !onlyRenewals || a.granted && a.former.length === 0)
      .flatMap((a) => this.#listRangeCalls(a, view))
      .filter((c) => (this.#next.get(formatCallKey(c))?.dueMs ?? 0) <= nowMs);
    const due = [...calls, ...this.#listProbes(nowMs, view)]
      .filter((c) => !this.#open.has(formatCallKey(c)));
    for (const call of due) this.#open.set(formatCallKey(call), call);
    return due;
  }

  /** Updates the state with the result of a call. */
  observe(call: LeaseCall, result: LeaseCallResult, nowMs: number): void {
    this.#open.delete(formatCallKey(call));
    this.#recordHealth(call, result.end);
    const handlers: Record<LeaseCallKind, () => void> = {
      [LeaseCallKind.Grant]: () => this.#observeGrant(call, result.end, nowMs),
      [LeaseCallKind.Release]: () => this.#observeRelease(call, result, nowMs),
      [LeaseCallKind.Probe]: () => {},
    };
    handlers[call.kind]();
  }

  /** Returns the owners that have been granted their ranges, for routing. */
  makeTable(): OwnerTable {
    return OwnerTable.create(this.#assignments.map((a) => ({
      from: a.from,
      to: a.to,
      ...(a.granted && a.owner ? { server: a.owner.id } : {}),
    })));
  }

  isSuspect(id: string): boolean {
    return (this.#health.get(id)?.failures ?? 0) >= SUSPECT_AFTER_FAILURES;
  }

  #listCandidates(context: PlanContext): OwnerCandidate[] {
    return context.view.listService(this.#service)
      .filter((e) => e.state === ServerState.Ready && !this.isSuspect(e.id))
      .map((e) => ({
        id: e.id,
        born: e.born,
        capacity: context.getCapacity(e.id),
      }));
  }

  /**
   * Returns the time by which a lease has expired. A lease under an inherited
   * fencing token may have been renewed by an earlier coordinator.
   */
  #getLeaseExpiryMs({ fence, leaseExpiryMs }: Lease): number {
    return fence <= this.#inheritedFence
      ? Math.max(leaseExpiryMs, this.#inheritedLeaseExpiryMs)
      : leaseExpiryMs;
  }

  /** Plans changes for ranges whose owner is lost, leaving or restarted. */
  #planReassignments(
    candidates: readonly OwnerCandidate[],
    context: PlanContext,
  ): readonly OwnerChange[] {
    const loads = new Map(candidates.map((c) => [c.id, 0]));
    for (const a of this.#assignments) {
      const known = a.owner && loads.get(a.owner.id);
      if (known === undefined) continue;
      loads.set(a.owner!.id, known + context.load.sum(a.from, a.to));
    }
    const ranges = this.#assignments.filter((a) =>
      this.#needsOwner(a, context)
    );
    return planReassignments(ranges, {
      candidates,
      loads,
      load: context.load,
      maySplit: this.#maySplit(candidates.length),
    });
  }

  #needsOwner(a: Assignment, context: PlanContext): boolean {
    const { view, nowMs } = context;
    if (!a.owner) return true;
    const entry = view.find(a.owner.id);
    if (!entry) return !context.isSettling;
    if (entry.born !== a.owner.born) return true;
    if (entry.state !== ServerState.Ready) return true;
    // A suspected server may respond again before its lease expires.
    return this.isSuspect(a.owner.id) && nowMs >= this.#getLeaseExpiryMs(a) &&
      !this.#hasOpenGrant(a.owner, a);
  }

  /**
   * Returns whether a server may still hold a lease on a range. That includes a
   * server that has restarted, because a grant sent before the restart was
   * known may have reached the new process.
   */
  #mayHoldLease(
    life: ServerIncarnation,
    a: Assignment,
    nowMs: number,
  ): boolean {
    return nowMs < this.#getLeaseExpiryMs(a) || this.#hasOpenGrant(life, a);
  }

  #hasOpenGrant(life: ServerIncarnation, range: { from: number; to: number }) {
    return [...this.#open.values()].some((c) =>
      c.kind === LeaseCallKind.Grant && isSameIncarnation(c.server, life) &&
      c.from <= range.to && range.from <= c.to
    );
  }

  /** Removes former owners whose lease has expired. */
  #removeExpiredFormerOwners(nowMs: number): void {
    const isLeaseActive = (f: FormerOwner, a: Assignment) =>
      nowMs < this.#getLeaseExpiryMs(f) || this.#hasOpenGrant(f, a);
    this.#assignments = this.#assignments.map((a) => {
      if (a.former.length === 0) return a;
      const former = a.former.filter((f) => isLeaseActive(f, a));
      return former.length === a.former.length ? a : { ...a, former };
    });
  }

  /** Removes old call times, such as those of ranges that no longer exist. */
  #pruneCallTimes(nowMs: number): void {
    if (this.#next.size < 20 * this.#assignments.length) return;
    for (const [name, { dueMs }] of this.#next) {
      if (dueMs < nowMs - this.#times.holdMs) this.#next.delete(name);
    }
  }

  #listRangeCalls(a: Assignment, view: ServerView): readonly LeaseCall[] {
    if (a.former.length > 0) {
      return a.former.flatMap((f) => this.#listReleaseCalls(a, f, view));
    }
    if (!a.owner || this.isSuspect(a.owner.id)) return [];
    const entry = view.find(a.owner.id);
    if (entry && entry.born !== a.owner.born) return [];
    const address = entry?.address ?? this.#addresses.get(a.owner.id);
    if (address === undefined) return [];
    return [{
      kind: LeaseCallKind.Grant,
      server: a.owner,
      address,
      from: a.from,
      to: a.to,
      fence: a.fence,
      holdMs: this.#times.holdMs,
      ...(a.handover && !a.granted ? { handover: a.handover } : {}),
    }];
  }

  #listReleaseCalls(
    a: Assignment,
    former: FormerOwner,
    view: ServerView,
  ): readonly LeaseCall[] {
    const address = view.find(former.id)?.address ??
      this.#addresses.get(former.id);
    if (address === undefined) return [];
    return [{
      kind: LeaseCallKind.Release,
      server: { id: former.id, born: former.born },
      address,
      from: a.from,
      to: a.to,
      fence: a.fence,
      holdMs: 0,
    }];
  }

  #listProbes(nowMs: number, view: ServerView): readonly LeaseCall[] {
    const probes: LeaseCall[] = [];
    for (const [id, health] of this.#health) {
      const entry = view.find(id);
      if (!entry) this.#health.delete(id);
      if (!entry || !this.isSuspect(id) || nowMs < health.nextProbeMs) continue;
      health.nextProbeMs = nowMs + CALL_RETRY_MS;
      const server = { id, born: entry.born };
      const range = { from: 0, to: 0, fence: 0, holdMs: 0 };
      const kind = LeaseCallKind.Probe;
      probes.push({ kind, server, address: entry.address, ...range });
    }
    return probes;
  }

  #recordHealth({ server, address }: LeaseCall, end: LeaseCallOutcome): void {
    this.#addresses.set(server.id, address);
    const health = this.#health.get(server.id) ??
      { failures: 0, nextProbeMs: 0 };
    const isUnanswered = end === LeaseCallOutcome.NotSent ||
      end === LeaseCallOutcome.Unknown;
    health.failures = isUnanswered ? health.failures + 1 : 0;
    this.#health.set(server.id, health);
  }

  /**
   * Schedules the repetition of a call. One that is rejected again and again is
   * repeated more slowly: its server is another one, or does not know such calls.
   */
  #scheduleNext(call: LeaseCall, end: LeaseCallOutcome, nowMs: number): void {
    const key = formatCallKey(call);
    const isRenewal = call.kind === LeaseCallKind.Grant &&
      end === LeaseCallOutcome.Done;
    const rejections = end === LeaseCallOutcome.Rejected
      ? (this.#next.get(key)?.rejections ?? 0) + 1
      : 0;
    const retryMs = CALL_RETRY_MS * 2 ** Math.max(0, rejections - 1);
    const delayMs = isRenewal
      ? this.#times.renewMs
      : Math.min(retryMs, MAX_REJECTED_RETRY_MS);
    this.#next.set(key, { dueMs: nowMs + delayMs, rejections });
  }

  #observeGrant(call: LeaseCall, end: LeaseCallOutcome, nowMs: number): void {
    const { holdMs, clockSkew } = this.#times;
    const until = nowMs + holdMs * (1 + clockSkew) + LEASE_MARGIN_MS;
    const mayHoldLease = end === LeaseCallOutcome.Done ||
      end === LeaseCallOutcome.Unknown;
    const accepted = end === LeaseCallOutcome.Done;
    this.#scheduleNext(call, end, nowMs);
    this.#assignments = this.#assignments.map((a) => {
      if (a.from > call.to || call.from > a.to) return a;
      const former = mayHoldLease
        ? a.former.map((f) =>
          isSameIncarnation(f, call.server) && f.fence === call.fence
            ? { ...f, leaseExpiryMs: until }
            : f
        )
        : a.former;
      if (!isSameIncarnation(a.owner, call.server) || a.fence !== call.fence) {
        return { ...a, former };
      }
      const granted = accepted || a.granted && end !== LeaseCallOutcome.Fenced;
      if (granted !== a.granted) this.#isTableChanged = true;
      return {
        ...a,
        former,
        granted,
        leaseExpiryMs: mayHoldLease ? until : a.leaseExpiryMs,
      };
    });
    if (end === LeaseCallOutcome.Fenced || end === LeaseCallOutcome.Rejected) {
      this.#refused.push(call);
    }
  }

  /** Returns and clears the grants that servers fenced or rejected. */
  takeRejectedGrants(): readonly LeaseCall[] {
    return this.#refused.splice(0);
  }

  #observeRelease(
    call: LeaseCall,
    result: LeaseCallResult,
    nowMs: number,
  ): void {
    this.#scheduleNext(call, result.end, nowMs);
    if (result.end !== LeaseCallOutcome.Done) return;
    this.#assignments = this.#assignments.map((a) => {
      if (a.from < call.from || a.to > call.to || a.fence !== call.fence) {
        return a;
      }
      const former = a.former.filter((f) =>
        !isSameIncarnation(f, call.server) || this.#hasOpenGrant(f, a)
      );
      if (former.length === a.former.length) return a;
      const { handover } = result;
      return { ...a, former, ...(handover ? { handover } : {}) };
    });
  }
}

/** When a call is due again. */
interface CallSchedule {
  readonly dueMs: number;
  /** Number of times in a row that the server has rejected it. */
  readonly rejections: number;
}

/**
 * Identifies calls of one kind for the same range, fencing token and server.
 */
function formatRangeCallKey(
  kind: LeaseCallKind,
  range: { from: number; to: number; fence: number },
  id: string,
): string {
  return `${kind}/${id}/${range.from}-${range.to}/${range.fence}`;
}

function formatCallKey(call: LeaseCall): string {
  return formatRangeCallKey(call.kind, call, call.server.id);
}
