/** Queues requests for capacity, by priority and deadline. @module */

/** A request that waits for capacity. */
export interface QueuedRequest {
  /** Names the capacity that it waits for, such as a server or a service. */
  readonly resource: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Time at which the wait ends, ms. */
  readonly untilMs: number;
  /** Earliest time at which it may be dispatched, ms. */
  readonly notBeforeMs: number;
  /** Tries to dispatch the request; returns whether it leaves the queue. */
  readonly tryDispatch: (nowMs: number) => boolean;
  /** Ends the wait after `untilMs` without a dispatch. */
  readonly expire: () => void;
}

/** Bounded priority queue of waiting requests. */
export class WaitQueue {
  readonly #capacity: number;
  readonly #queue: QueuedRequest[] = [];

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  static create(options: { capacity: number }): WaitQueue {
    return new WaitQueue(options.capacity);
  }

  get size(): number {
    return this.#queue.length;
  }

  /**
   * Counts the requests that would be tried before a new one of this priority.
   */
  countAhead(room: string, priority: number): number {
    return this.#queue.filter((w) =>
      w.resource === room && w.priority <= priority
    )
      .length;
  }

  /** Adds a request; returns false if the queue is full. */
  enqueue(request: QueuedRequest): boolean {
    if (this.#queue.length >= this.#capacity) return false;
    const at = this.#queue.findIndex((w) => compareUrgency(request, w) < 0);
    this.#queue.splice(at < 0 ? this.#queue.length : at, 0, request);
    return true;
  }

  /** Removes a request, for example because its client disconnected. */
  remove(request: QueuedRequest): void {
    const at = this.#queue.indexOf(request);
    if (at >= 0) this.#queue.splice(at, 1);
  }

  /** Tries to dispatch all requests that are due, most urgent first. */
  dispatchDue(nowMs: number): void {
    for (const request of [...this.#queue]) {
      if (request.notBeforeMs > nowMs) continue;
      if (request.tryDispatch(nowMs)) {
        this.remove(request);
      } else if (nowMs >= request.untilMs) {
        this.remove(request);
        request.expire();
      }
    }
  }
}

function compareUrgency(a: QueuedRequest, b: QueuedRequest): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}
