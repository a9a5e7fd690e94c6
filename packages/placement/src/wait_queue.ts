/** Queues requests for capacity, by priority and deadline. @module */

/** A request that waits for capacity. */
export interface Waiter {
  /** Names the capacity that it waits for, such as a server or a service. */
  readonly room: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Time at which the wait ends, ms. */
  readonly untilMs: number;
  /** Earliest time at which it may be dispatched, ms. */
  readonly notBeforeMs: number;
  /** Tries to dispatch the request; returns whether it leaves the queue. */
  readonly tryPlace: (nowMs: number) => boolean;
  /** Ends the wait after `untilMs` without a dispatch. */
  readonly giveUp: () => void;
}

/** Bounded priority queue of waiting requests. */
export class WaitingRoom {
  readonly #capacity: number;
  readonly #queue: Waiter[] = [];

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  static create(options: { capacity: number }): WaitingRoom {
    return new WaitingRoom(options.capacity);
  }

  get size(): number {
    return this.#queue.length;
  }

  /**
   * Counts the requests that would be tried before a new one of this priority.
   */
  countAhead(room: string, priority: number): number {
    return this.#queue.filter((w) => w.room === room && w.priority <= priority)
      .length;
  }

  /** Adds a request; returns false if the queue is full. */
  enter(request: Waiter): boolean {
    if (this.#queue.length >= this.#capacity) return false;
    const at = this.#queue.findIndex((w) => compareUrgency(request, w) < 0);
    this.#queue.splice(at < 0 ? this.#queue.length : at, 0, request);
    return true;
  }

  /** Removes a request, for example because its client disconnected. */
  leave(request: Waiter): void {
    const at = this.#queue.indexOf(request);
    if (at >= 0) this.#queue.splice(at, 1);
  }

  /** Tries to dispatch all requests that are due, most urgent first. */
  advance(nowMs: number): void {
    for (const request of [...this.#queue]) {
      if (request.notBeforeMs > nowMs) continue;
      if (request.tryPlace(nowMs)) {
        this.leave(request);
      } else if (nowMs >= request.untilMs) {
        this.leave(request);
        request.giveUp();
      }
    }
  }
}

function compareUrgency(a: Waiter, b: Waiter): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}
