/** Tracks the moves of units that a holder has in progress. @module */
import {
  EventKind,
  type GroupId,
  RecordKind,
  type Token,
  type UnitId,
  type UnitMove,
  type VmId,
} from "@jaytiller/model";
import { UNRESPONSIVE_REASON } from "./candidates.js";
import { type Action, ActionKind, type GroupContext } from "./messages.js";
import type { ServerLink } from "./server_link.js";
import { APPEND_RETRY_MS, MAX_GROUP_MOVES } from "./timing.js";

/** The phases of a move, in order. */
enum MovePhase {
  /** Bulk requests are running; new requests still go to the old owner. */
  Pending = "pending",
  /** New requests are held back until no request is in flight. */
  Draining = "draining",
  /** The old owner has to release the unit, or its lease has to expire. */
  Releasing = "releasing",
  /** The move record has been appended and is not yet decided. */
  Appending = "appending",
}

interface Move {
  readonly move: UnitMove;
  readonly startedAt: number;
  phase: MovePhase;
  recordId?: string;
}

/** The inputs that the holder provides for one step of the table. */
export interface MoveEnvironment {
  readonly ctx: GroupContext;
  readonly token: Token;
  readonly newId: () => string;
  readonly getLink: (server: VmId) => ServerLink | undefined;
  /**
   * Returns the monotonic time after which an unresponsive server holds no
   * lease, or `undefined` if that is not yet known.
   */
  readonly getLeaseExpiry: (server: VmId) => number | undefined;
  /**
   * Returns the monotonic time after which no request for the unit can still
   * run on the old owner without being covered by the lease on the unit.
   */
  readonly getDrainedAt: (
    move: UnitMove,
    from: { server: VmId; silent: boolean },
  ) => number;
  /** Whether the log is readable and no peer holds a permit. */
  readonly mayAppend: boolean;
}

/** Tracks the moves of one group from their start until they take effect. */
export class MoveTable {
  readonly #group: GroupId;
  readonly #moves = new Map<UnitId, Move>();
  /** Undecided move records, with the time of the last append. */
  readonly #records = new Map<
    string,
    { moves: readonly UnitMove[]; sentAt: number; appends: number }
  >();

  constructor(group: GroupId) {
    this.#group = group;
  }

  get size(): number {
    return this.#moves.size;
  }

  /**
   * Adds a move unless the unit is already moving or the group has reached its
   * limit of concurrent moves. Returns whether the move was added.
   */
  add(move: UnitMove, now: number): boolean {
    // First placements hold back no requests, so they are not limited.
    if (this.#moves.has(move.unit)) return false;
    if (move.from !== null && this.#moves.size >= MAX_GROUP_MOVES) return false;
    const phase = move.from === null ? MovePhase.Releasing : MovePhase.Pending;
    this.#moves.set(move.unit, { move, startedAt: now, phase });
    return true;
  }

  clear(): void {
    this.#moves.clear();
    this.#records.clear();
  }

  /** Returns whether new requests for the unit have to wait. */
  isBlocked(unit: UnitId): boolean {
    const phase = this.#moves.get(unit)?.phase;
    return phase !== undefined && phase !== MovePhase.Pending;
  }

  /** Returns whether the unit must no longer be granted to its old owner. */
  isReleased(unit: UnitId): boolean {
    const phase = this.#moves.get(unit)?.phase;
    return phase === MovePhase.Releasing || phase === MovePhase.Appending;
  }

  /**
   * Handles an append that certainly had no effect. The moves of the record are
   * dropped, so that they can be planned again, unless an earlier append of the
   * same record may still take effect.
   */
  cancelAppend(recordId: string): void {
    const record = this.#records.get(recordId);
    if (!record || record.appends > 1) return;
    this.#records.delete(recordId);
    for (const [unit, m] of this.#moves) {
      if (m.recordId === recordId) this.#moves.delete(unit);
    }
  }

  describe(): string[] {
    return [...this.#moves.values()].map((m) =>
      `${m.move.unit} from ${m.move.from ?? "nowhere"} to ${m.move.to}: ` +
      `${m.phase}, ${m.move.reason}`
    );
  }

  /** Advances all moves and returns the actions to perform. */
  advance(env: MoveEnvironment): Action[] {
    const actions: Action[] = [];
    this.#completeMoves(env, actions);
    const ready: Move[] = [];
    for (const [unit, m] of this.#moves) {
      if (m.phase === MovePhase.Appending) continue;
      if (!this.#isStillNeeded(m, env)) this.#moves.delete(unit);
      else if (this.#advanceMove(m, env)) ready.push(m);
    }
    if (ready.length > 0 && env.mayAppend) this.#append(ready, env, actions);
    this.#retryAppends(env, actions);
    return actions;
  }

  /** Removes the moves whose record has been read back from the log. */
  #completeMoves(env: MoveEnvironment, actions: Action[]) {
    for (const [id] of this.#records) {
      if (!env.ctx.state.hasSeen(id)) continue;
      this.#records.delete(id);
      for (const [unit, m] of this.#moves) {
        if (m.recordId !== id) continue;
        this.#moves.delete(unit);
        const owner = env.ctx.state.getOwner(m.move.service, unit);
        if (owner?.server !== m.move.to) continue;
        actions.push({
          kind: ActionKind.RecordEvent,
          event: {
            kind: EventKind.MoveEffective,
            group: this.#group,
            service: m.move.service,
            unit,
            server: m.move.to,
            token: env.token.toString(),
            offset: owner.since,
            text: `Owned by ${m.move.to} after ${
              Math.round(env.ctx.now - m.startedAt)
            } ms: ${m.move.reason}`,
          },
        });
      }
    }
  }

  /**
   * Returns whether a move that has not been appended still has to be made. It
   * is dropped when the owner changed or the reason for it no longer applies.
   */
  #isStillNeeded(m: Move, env: MoveEnvironment): boolean {
    const { from, service, unit } = m.move;
    const owner = env.ctx.state.getOwner(service, unit);
    if ((owner?.server ?? null) !== from) return false;
    if (from === null) return true;
    // The move cannot be appended without the log, so a responsive owner keeps
    // the unit.
    const answers = !(env.getLink(from)?.isSuspected(env.ctx.now) ?? true);
    if (!env.mayAppend && answers) return false;
    return !(answers && m.move.reason === UNRESPONSIVE_REASON);
  }

  /** Advances one move. Returns whether it is ready to be appended. */
  #advanceMove(m: Move, env: MoveEnvironment): boolean {
    const { from, service, unit } = m.move;
    if (from === null) return true;
    const link = env.getLink(from);
    const { requests, now } = env.ctx;
    const silent = link === undefined || link.isSuspected(now);
    if (m.phase === MovePhase.Pending) {
      if (!silent && requests.countBulk(service, unit) > 0) return false;
      m.phase = MovePhase.Draining;
    }
    // A server that responds again after a suspicion may still be executing
    // requests.
    if (!silent && requests.countInFlight(service, unit) > 0) return false;
    // Requests sent by a holder that handed the group over may still be
    // running. Releasing the unit now would end their lease.
    const draining = m.phase === MovePhase.Draining;
    if (draining && !silent && link.isBusy(unit)) return false;
    m.phase = MovePhase.Releasing;
    if (now < env.getDrainedAt(m.move, { server: from, silent })) return false;
    if (!silent) return link.hasReleased(unit);
    const leaseExpiry = env.getLeaseExpiry(from);
    return leaseExpiry !== undefined && now >= leaseExpiry;
  }

  #append(ready: Move[], env: MoveEnvironment, actions: Action[]) {
    const id = env.newId();
    const moves = ready.map((m) => m.move);
    for (const m of ready) {
      m.phase = MovePhase.Appending;
      m.recordId = id;
    }
    this.#records.set(id, { moves, sentAt: env.ctx.now, appends: 1 });
    actions.push(this.#makeAppend(id, moves, env));
  }

  /**
   * Appends undecided records again after `APPEND_RETRY_MS`. The UUID stays the
   * same, so that a record whose earlier append succeeded has no second effect.
   */
  #retryAppends(env: MoveEnvironment, actions: Action[]) {
    for (const [id, r] of this.#records) {
      if (env.ctx.now - r.sentAt < APPEND_RETRY_MS) continue;
      r.sentAt = env.ctx.now;
      r.appends += 1;
      actions.push(this.#makeAppend(id, r.moves, env));
    }
  }

  #makeAppend(
    id: string,
    moves: readonly UnitMove[],
    env: MoveEnvironment,
  ): Action {
    return {
      kind: ActionKind.Append,
      record: {
        kind: RecordKind.Move,
        id,
        group: this.#group,
        token: env.token.toString(),
        moves,
      },
    };
  }
}
