/**
 * Distinguishes servers that stopped from entries that expired because the
 * store was unavailable.
 *
 * During a store outage, servers cannot renew their entries. The entries of
 * running servers expire, and all these servers look removed at the moment at
 * which the store responds again. After it was restored from an older copy,
 * servers that registered later than that are missing in the same way.
 * @module
 */
import {
  type ServerChange,
  ServerState,
  type ServerView,
} from "@jaytiller/routing";

/** Time within which running servers register again after an outage, ms. */
const REAPPEARANCE_TIMEOUT_MS = 2_200;
/**
 * Heartbeats that a server must miss before its entry can expire. An entry is
 * valid for three heartbeat intervals, and the last heartbeat may be almost one
 * interval old when the outage begins.
 */
const MIN_MISSED_HEARTBEATS = 1.9;

/** Defers removals of servers for a limited time after a store outage. */
export class ExpiryGuard {
  readonly #heartbeatMs: number;
  readonly #held = new Map<string, number>();
  #storeReturnedAt = -Infinity;

  /** `heartbeatMs` is the interval between two heartbeats of a server. */
  constructor(heartbeatMs: number) {
    this.#heartbeatMs = heartbeatMs;
  }

  /**
   * Records a read of the store. `gapMs` is the age of the view before it. If
   * the gap is too short for an entry to expire, missing servers have stopped.
   */
  recordRead(options: { gapMs: number; nowMs: number }): void {
    if (options.gapMs < MIN_MISSED_HEARTBEATS * this.#heartbeatMs) return;
    this.#storeReturnedAt = options.nowMs;
  }

  /**
   * Records that the store was restored from an older copy. Entries that were
   * written after the copy was made are missing until they are written again.
   */
  recordRestoration(nowMs: number): void {
    this.#storeReturnedAt = nowMs;
  }

  /** Returns whether a missing entry may belong to a running server. */
  isSettling(nowMs: number): boolean {
    return nowMs - this.#storeReturnedAt < REAPPEARANCE_TIMEOUT_MS;
  }

  /** Returns the changes to apply now, with deferred removals that are due. */
  filter(
    changes: readonly ServerChange[],
    view: ServerView,
    nowMs: number,
  ): readonly ServerChange[] {
    const passed = changes.filter((c) => !this.#holdBack(c, view, nowMs));
    return [...passed, ...this.#takeOverdue(nowMs)];
  }

  #holdBack(change: ServerChange, view: ServerView, nowMs: number): boolean {
    this.#held.delete(change.id);
    if (change.entry || !this.isSettling(nowMs)) return false;
    // A draining server is not expected to register again.
    if (view.find(change.id)?.state !== ServerState.Ready) return false;
    this.#held.set(change.id, this.#storeReturnedAt + REAPPEARANCE_TIMEOUT_MS);
    return true;
  }

  #takeOverdue(nowMs: number): readonly ServerChange[] {
    const overdue = [...this.#held].filter(([, until]) => nowMs >= until);
    for (const [id] of overdue) this.#held.delete(id);
    return overdue.map(([id]) => ({ id }));
  }
}
