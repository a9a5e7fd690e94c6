/** Keeps the owners of one service's keys: plans, leases, moves. @module */
import { KEY_COUNT, ServerState, type ServerView } from "@jaytiller/routing";
import {
  applyChanges,
  type Assignment,
  type ChangeContext,
  type FormerOwner,
  isSameLife,
  joinNeighbours,
  type Lease,
  type OwnerChange,
  type ServerLife,
} from "./assignment.js";
import {
  type BalanceSummary,
  type OwnerCandidate,
  planBalance,
  summarizeBalance,
} from "./balance.js";
import { divide, planOwners } from "./division.js";
import { FirstDivision } from "./first_division.js";
import type { KeyLoad } from "./key_load.js";
import {
  type LeaseCall,
  LeaseCallEnd,
  LeaseCallKind,
  type LeaseCallResult,
} from "./lease_calls.js";
import { OwnerTable } from "./owner_table.js";
import { planJoins } from "./range_joins.js";

/** Durations of leases. */
export interface LeaseTimes {
  /** Duration of a lease, ms. */
  readonly holdMs: number;
  /** A lease is renewed this long after the last renewal, ms. */
  readonly renewMs: number;
  /** How much slower than ours a server's clock may run, as a share. */
  readonly clockSkew: number;
}

/** What a plan is made from. */
export interface PlanContext {
  readonly nowMs: number;
  readonly view: ServerView;
  readonly load: KeyLoad;
  /** Requests per second that a server can run. */
  readonly getCapacity: (id: string) => number;
  /** Whether keys may move for the sake of load. */
  readonly balance: boolean;
  /** Whether servers that are missing may still come back. */
  readonly isSettling: boolean;
}

/** Added to each lease for timers that fire late, ms. */
const LEASE_MARGIN_MS = 150;
/** A call without an answer is sent again after this time, ms. */
const RETRY_MS = 250;
/** Calls in a row without an answer after which a server is suspected. */
const SUSPECT_AFTER = 2;
/** Moves for the sake of load that may always be begun in one plan. */
const MIN_MOVES = 10;
/** The same for each server. */
const MOVES_PER_SERVER = 1 / 3;
/** Ranges are cut as long as there are fewer for each server. */
const MAX_RANGES_PER_SERVER = 6;
/** Neighbours of one server are joined if there are more for each server. */
const JOIN_ABOVE = 3;

/** What a successor knows of the leases that were given before it. */
export interface RestoreOptions {
  readonly times: LeaseTimes;
  /** Time by which those leases have ended, ms. */
  readonly inheritedUntilMs: number;
}

/** When and under which token changes are made. */
export interface CommitContext {
  readonly nowMs: number;
  readonly fence: number;
}

interface ServerNote {
  failures: number;
  nextProbeMs: number;
}

/**
 * State of the ranges of one service on the coordinator. Changes are planned,
 * written to the store by the caller, and committed with the fencing token
 * that the store's order gives; only then their calls are sent.
 */
export class RangeKeeper {
  readonly #service: string;
  readonly #times: LeaseTimes;
  #list: readonly Assignment[];
  #changed = true;
  readonly #notes = new Map<string, ServerNote>();
  readonly #addresses = new Map<string, string>();
  /** Calls that have not ended. */
  readonly #open = new Map<string, LeaseCall>();
  /** Earliest time of the next call for a range and server, ms. */
  readonly #next = new Map<string, number>();
  readonly #refused: LeaseCall[] = [];
  readonly #firstDivision = new FirstDivision();
  /** Highest fencing token that an earlier coordinator may have granted. */
  readonly #inheritedFence: number;
  /** Time by which the leases of earlier coordinators have ended, ms. */
  #inheritedUntilMs: number;

  private constructor(
    service: string,
    list: readonly Assignment[],
    options: RestoreOptions,
  ) {
    this.#service = service;
    this.#list = list;
    this.#times = options.times;
    this.#inheritedUntilMs = options.inheritedUntilMs;
    this.#inheritedFence = Math.max(...list.map((a) => a.fence));
  }

  /** Starts a service that no record names. */
  static create(service: string, times: LeaseTimes): RangeKeeper {
    return RangeKeeper.restore(service, [], { times, inheritedUntilMs: 0 });
  }

  /** Continues from a record. */
  static restore(
    service: string,
    assignments: readonly Assignment[],
    options: RestoreOptions,
  ): RangeKeeper {
    const list = assignments.length > 0 ? assignments : [{
      from: 0,
      to: KEY_COUNT - 1,
      fence: 0,
      former: [],
      granted: false,
      heldUntilMs: 0,
      changedAtMs: 0,
    }];
    return new RangeKeeper(service, list, options);
  }

  get assignments(): readonly Assignment[] {
    return this.#list;
  }

  /** Whether the table has changed since `takeChanged`. */
  get isChanged(): boolean {
    return this.#changed;
  }

  /** Returns whether the table has changed since the last call. */
  takeChanged(): boolean {
    const changed = this.#changed;
    this.#changed = false;
    return changed;
  }

  /**
   * Takes note that earlier coordinators have ended: leases that they gave
   * end by `untilMs` at the latest.
   */
  boundInherited(untilMs: number): void {
    this.#inheritedUntilMs = Math.min(this.#inheritedUntilMs, untilMs);
  }

  /** Plans changes of owners: for lost and leaving servers, then for load. */
  plan(context: PlanContext): readonly OwnerChange[] {
    const candidates = this.#listCandidates(context);
    if (this.#list.every((a) => a.fence === 0)) {
      return this.#planFirst(candidates, context);
    }
    if (candidates.length === 0) return [];
    const needed = this.#planNeeded(candidates, context);
    if (needed.length > 0 || !context.balance) return needed;
    const moves = planBalance(this.#list, candidates, {
      nowMs: context.nowMs,
      maxMoves: Math.max(MIN_MOVES, MOVES_PER_SERVER * candidates.length),
      mayCut: this.#mayCut(candidates.length),
      load: context.load,
    });
    const excess = this.#list.length - JOIN_ABOVE * candidates.length;
    return [
      ...moves,
      ...planJoins(this.#list, { nowMs: context.nowMs, excess, moves }),
    ];
  }

  #planFirst(
    candidates: readonly OwnerCandidate[],
    { nowMs, load }: PlanContext,
  ): readonly OwnerChange[] {
    const isDue = this.#firstDivision.observe({
      nowMs,
      servers: candidates.length,
      load: load.total,
    });
    return isDue ? divide(candidates) : [];
  }

  /** Each range is renewed by a call of its own: their number is bounded. */
  #mayCut(servers: number): boolean {
    return this.#list.length < MAX_RANGES_PER_SERVER * servers;
  }

  /** How evenly the load lies, for the log. */
  summarize(context: PlanContext): BalanceSummary | undefined {
    const candidates = this.#listCandidates(context);
    return summarizeBalance(this.#list, candidates, context.load);
  }

  /**
   * Ranges for the record that announces changes. Until the store has answered,
   * owners are renewed and may be granted keys for the first time: each of them
   * counts as one that may hold its keys, whatever its lease is now.
   */
  preview(
    changes: readonly OwnerChange[],
    context: CommitContext,
  ): readonly Assignment[] {
    return this.#apply(changes, { ...context, mayHold: () => true });
  }

  /** Makes changes that the store has accepted. */
  commit(changes: readonly OwnerChange[], context: CommitContext): void {
    this.#list = this.#apply(changes, {
      ...context,
      mayHold: (life, a) => this.#mayHold(life, a, context.nowMs),
    });
    this.#changed = true;
  }

  #apply(
    changes: readonly OwnerChange[],
    context: Omit<ChangeContext, "getHoldEnd">,
  ): readonly Assignment[] {
    const getHoldEnd = (lease: Lease) => this.#getHoldEnd(lease);
    const changed = applyChanges(this.#list, changes, {
      ...context,
      getHoldEnd,
    });
    return joinNeighbours(changed);
  }

  /** Calls that are due; each has to be followed by `observe`. */
  listCalls(nowMs: number, view: ServerView): readonly LeaseCall[] {
    this.#dropFormer(nowMs);
    this.#forgetCalls(nowMs);
    const calls = this.#list.flatMap((a) => this.#listRangeCalls(a, view))
      .filter((c) => (this.#next.get(nameCall(c)) ?? 0) <= nowMs);
    const due = [...calls, ...this.#listProbes(nowMs, view)]
      .filter((c) => !this.#open.has(nameCall(c)));
    for (const call of due) this.#open.set(nameCall(call), call);
    return due;
  }

  /** Takes note of the end of a call. */
  observe(call: LeaseCall, result: LeaseCallResult, nowMs: number): void {
    this.#open.delete(nameCall(call));
    this.#noteServer(call, result.end);
    const handlers: Record<LeaseCallKind, () => void> = {
      [LeaseCallKind.Grant]: () => this.#observeGrant(call, result.end, nowMs),
      [LeaseCallKind.Release]: () => this.#observeRelease(call, result, nowMs),
      [LeaseCallKind.Probe]: () => {},
    };
    handlers[call.kind]();
  }

  /** Owners as routers may use them. */
  makeTable(): OwnerTable {
    return OwnerTable.create(this.#list.map((a) => ({
      from: a.from,
      to: a.to,
      ...(a.granted && a.owner ? { server: a.owner.id } : {}),
    })));
  }

  isSuspect(id: string): boolean {
    return (this.#notes.get(id)?.failures ?? 0) >= SUSPECT_AFTER;
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

  /** Time by which a lease under a fencing token has ended. */
  #getHoldEnd({ fence, heldUntilMs }: Lease): number {
    return fence <= this.#inheritedFence
      ? Math.max(heldUntilMs, this.#inheritedUntilMs)
      : heldUntilMs;
  }

  /** Changes for ranges whose owner is lost, leaves, or lives anew. */
  #planNeeded(
    candidates: readonly OwnerCandidate[],
    context: PlanContext,
  ): readonly OwnerChange[] {
    const loads = new Map(candidates.map((c) => [c.id, 0]));
    for (const a of this.#list) {
      const known = a.owner && loads.get(a.owner.id);
      if (known === undefined) continue;
      loads.set(a.owner!.id, known + context.load.sum(a.from, a.to));
    }
    const ranges = this.#list.filter((a) => this.#needsOwner(a, context));
    return planOwners(ranges, {
      candidates,
      loads,
      load: context.load,
      mayCut: this.#mayCut(candidates.length),
    });
  }

  #needsOwner(a: Assignment, context: PlanContext): boolean {
    const { view, nowMs } = context;
    if (!a.owner) return true;
    const entry = view.find(a.owner.id);
    if (!entry) return !context.isSettling;
    if (entry.born !== a.owner.born) return true;
    if (entry.state !== ServerState.Ready) return true;
    // A suspected server may answer again before its lease ends.
    return this.isSuspect(a.owner.id) && nowMs >= this.#getHoldEnd(a) &&
      !this.#hasOpenGrant(a.owner, a);
  }

  /**
   * A server that has started anew counts as well: a grant that was sent before
   * its start was known has reached the new life.
   */
  #mayHold(life: ServerLife, a: Assignment, nowMs: number): boolean {
    return nowMs < this.#getHoldEnd(a) || this.#hasOpenGrant(life, a);
  }

  #hasOpenGrant(life: ServerLife, range: { from: number; to: number }) {
    return [...this.#open.values()].some((c) =>
      c.kind === LeaseCallKind.Grant && isSameLife(c.server, life) &&
      c.from <= range.to && range.from <= c.to
    );
  }

  /** Forgets former owners whose lease has ended. */
  #dropFormer(nowMs: number): void {
    const mustLetGo = (f: FormerOwner, a: Assignment) =>
      nowMs < this.#getHoldEnd(f) || this.#hasOpenGrant(f, a);
    this.#list = this.#list.map((a) => {
      if (a.former.length === 0) return a;
      const former = a.former.filter((f) => mustLetGo(f, a));
      return former.length === a.former.length ? a : { ...a, former };
    });
  }

  /** Times of calls for ranges that are no more are of no use. */
  #forgetCalls(nowMs: number): void {
    if (this.#next.size < 20 * this.#list.length) return;
    for (const [name, atMs] of this.#next) {
      if (atMs < nowMs - this.#times.holdMs) this.#next.delete(name);
    }
  }

  #listRangeCalls(a: Assignment, view: ServerView): readonly LeaseCall[] {
    if (a.former.length > 0) {
      return a.former.flatMap((f) => this.#makeReleases(a, f, view));
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

  #makeReleases(
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
    for (const [id, note] of this.#notes) {
      const entry = view.find(id);
      if (!entry) this.#notes.delete(id);
      if (!entry || !this.isSuspect(id) || nowMs < note.nextProbeMs) continue;
      note.nextProbeMs = nowMs + RETRY_MS;
      const server = { id, born: entry.born };
      const range = { from: 0, to: 0, fence: 0, holdMs: 0 };
      const kind = LeaseCallKind.Probe;
      probes.push({ kind, server, address: entry.address, ...range });
    }
    return probes;
  }

  #noteServer({ server, address }: LeaseCall, end: LeaseCallEnd): void {
    this.#addresses.set(server.id, address);
    const note = this.#notes.get(server.id) ?? { failures: 0, nextProbeMs: 0 };
    const isSilent = end === LeaseCallEnd.NotSent ||
      end === LeaseCallEnd.Unknown;
    note.failures = isSilent ? note.failures + 1 : 0;
    this.#notes.set(server.id, note);
  }

  #observeGrant(call: LeaseCall, end: LeaseCallEnd, nowMs: number): void {
    const { holdMs, clockSkew, renewMs } = this.#times;
    const until = nowMs + holdMs * (1 + clockSkew) + LEASE_MARGIN_MS;
    const mayHold = end === LeaseCallEnd.Done || end === LeaseCallEnd.Unknown;
    const accepted = end === LeaseCallEnd.Done;
    this.#next.set(nameCall(call), nowMs + (accepted ? renewMs : RETRY_MS));
    this.#list = this.#list.map((a) => {
      if (a.from > call.to || call.from > a.to) return a;
      const former = mayHold
        ? a.former.map((f) =>
          isSameLife(f, call.server) && f.fence === call.fence
            ? { ...f, heldUntilMs: until }
            : f
        )
        : a.former;
      if (!isSameLife(a.owner, call.server) || a.fence !== call.fence) {
        return { ...a, former };
      }
      const granted = accepted || a.granted && end !== LeaseCallEnd.Fenced;
      if (granted !== a.granted) this.#changed = true;
      return {
        ...a,
        former,
        granted,
        heldUntilMs: mayHold ? until : a.heldUntilMs,
      };
    });
    if (end === LeaseCallEnd.Fenced || end === LeaseCallEnd.Rejected) {
      this.#refused.push(call);
    }
  }

  /** Grants that servers did not accept since the last call. */
  takeRefused(): readonly LeaseCall[] {
    return this.#refused.splice(0);
  }

  #observeRelease(
    call: LeaseCall,
    result: LeaseCallResult,
    nowMs: number,
  ): void {
    this.#next.set(nameCall(call), nowMs + RETRY_MS);
    if (result.end !== LeaseCallEnd.Done) return;
    this.#list = this.#list.map((a) => {
      if (a.from < call.from || a.to > call.to || a.fence !== call.fence) {
        return a;
      }
      const former = a.former.filter((f) =>
        !isSameLife(f, call.server) || this.#hasOpenGrant(f, a)
      );
      if (former.length === a.former.length) return a;
      const { handover } = result;
      return { ...a, former, ...(handover ? { handover } : {}) };
    });
  }
}

function nameRange(
  kind: LeaseCallKind,
  range: { from: number; to: number; fence: number },
  id: string,
): string {
  return `${kind}/${id}/${range.from}-${range.to}/${range.fence}`;
}

function nameCall(call: LeaseCall): string {
  return nameRange(call.kind, call, call.server.id);
}
