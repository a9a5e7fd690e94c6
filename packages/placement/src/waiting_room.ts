/** Requests that wait for room, in order of rank and deadline. @module */

/** A request that waits. */
export interface Waiter {
  /** Room that it waits for: a server, or a service. */
  readonly room: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Time after which it no longer waits, ms. */
  readonly untilMs: number;
  /** Earliest time at which it may be tried, ms. */
  readonly notBeforeMs: number;
  /** Tries to place the request; returns whether it has left the room. */
  readonly tryPlace: (nowMs: number) => boolean;
  /** Ends the wait without a place. */
  readonly giveUp: () => void;
}

/** Bounded list of waiting requests. */
export class WaitingRoom {
  readonly #capacity: number;
  readonly #waiters: Waiter[] = [];

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  static create(options: { capacity: number }): WaitingRoom {
    return new WaitingRoom(options.capacity);
  }

  get size(): number {
    return this.#waiters.length;
  }

  /** Number of requests that would be tried before one of this rank. */
  countAhead(room: string, priority: number): number {
    return this.#waiters.filter((w) =>
      w.room === room && w.priority <= priority
    ).length;
  }

  /** Adds a request; returns false if the room is full. */
  enter(waiter: Waiter): boolean {
    if (this.#waiters.length >= this.#capacity) return false;
    const at = this.#waiters.findIndex((w) => compareWaiters(waiter, w) < 0);
    this.#waiters.splice(at < 0 ? this.#waiters.length : at, 0, waiter);
    return true;
  }

  /** Removes a request that its client no longer waits for. */
  leave(waiter: Waiter): void {
    const at = this.#waiters.indexOf(waiter);
    if (at >= 0) this.#waiters.splice(at, 1);
  }

  /** Tries all requests that are due, most urgent first. */
  advance(nowMs: number): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.notBeforeMs > nowMs) continue;
      if (waiter.tryPlace(nowMs)) {
        this.leave(waiter);
      } else if (nowMs >= waiter.untilMs) {
        this.leave(waiter);
        waiter.giveUp();
      }
    }
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}
