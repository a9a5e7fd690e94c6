/**
 * Tells servers that are gone from entries that lapsed with the store.
 *
 * Load pattern: the store is away, entries of living servers run out, and all
 * of them seem to be gone at the moment at which the store answers again.
 * @module
 */
import {
  type ServerChange,
  ServerState,
  type ServerView,
} from "@jaytiller/routing";

/** Servers that live are back within this time of the store's return, ms. */
const RETURN_MS = 2_200;
/**
 * Heartbeats that a server has to miss before its entry can run out. An entry
 * lives for three; the last one may be almost one old as the store goes away.
 */
const MISSED_HEARTBEATS = 1.9;

/** Holds removals back for a while after the store was away. */
export class LapseGuard {
  readonly #heartbeatMs: number;
  readonly #held = new Map<string, number>();
  #returnedAt = -Infinity;

  /** `heartbeatMs`: time between two heartbeats of a server. */
  constructor(heartbeatMs: number) {
    this.#heartbeatMs = heartbeatMs;
  }

  /**
   * Takes note of a read. `gapMs` is the age of what was known before it: a
   * store that was away for a shorter time has let no entry run out, so what
   * is missing then is gone.
   */
  noteRead(options: { gapMs: number; nowMs: number }): void {
    if (options.gapMs < MISSED_HEARTBEATS * this.#heartbeatMs) return;
    this.#returnedAt = options.nowMs;
  }

  /** Whether an entry that is missing may be that of a living server. */
  isSettling(nowMs: number): boolean {
    return nowMs - this.#returnedAt < RETURN_MS;
  }

  /** Returns the changes that take effect now. */
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
    // A server that has announced its end is not expected back.
    if (view.find(change.id)?.state !== ServerState.Ready) return false;
    this.#held.set(change.id, this.#returnedAt + RETURN_MS);
    return true;
  }

  #takeOverdue(nowMs: number): readonly ServerChange[] {
    const overdue = [...this.#held].filter(([, until]) => nowMs >= until);
    for (const [id] of overdue) this.#held.delete(id);
    return overdue.map(([id]) => ({ id }));
  }
}
