/**
 * Queues requests for capacity, by priority and deadline.
 *
 * Load pattern: hundreds of requests wait for a few servers, and each response
 * of a server may make room for one of them. An attempt for an undivided service
 * looks at all of its servers, so only the first waiting request of a resource
 * is tried until there is no room left.
 * @module
 */

/** Result of an attempt to dispatch a waiting request. */
export enum DispatchResult {
  /** The request leaves the queue. */
  Done = "done",
  /** There is no room at the resource, for this request or any other. */
  NoRoom = "noRoom",
  /** The request waits for a reason that concerns no other. */
  Held = "held",
}

/** A request that waits for capacity. */
export interface QueuedRequest {
  /**
   * Names the capacity that it waits for, such as a server or a service. May
   * change with an attempt, for example once a moving key has its next owner.
   */
  resource: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Time at which the wait ends, ms. */
  readonly untilMs: number;
  /** Earliest time at which it may be dispatched, ms. */
  readonly notBeforeMs: number;
  /** Tries to dispatch the request. */
  readonly tryDispatch: (nowMs: number) => DispatchResult;
  /** Ends the wait after `untilMs` without a dispatch. */
  readonly expire: () => void;
  /** Ends the wait because a more urgent request needs its place. */
  readonly evict: () => void;
}

/**
 * Largest number of held requests that are tried for a resource in one advance.
 * Each of them may look at all servers of a service.
 */
const MAX_HELD_ATTEMPTS = 4;
/** Time after which a held request is tried again, ms. */
const HELD_RETRY_MS = 50;

/** Bounded priority queue of waiting requests. */
export class WaitQueue {
  readonly #capacity: number;
  readonly #queue: QueuedRequest[] = [];
  /** Time of the last attempt for each request that was held then, ms. */
  readonly #heldAtMs = new WeakMap<QueuedRequest, number>();

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

  /** Returns whether `enqueue` would add a request. */
  accepts(request: Urgency): boolean {
    const last = this.#queue.at(-1);
    const isFull = this.#queue.length >= this.#capacity;
    return !isFull ||
      last !== undefined && compareUrgency(request, last) < 0;
  }

  /**
   * Adds a request. If the queue is full, the least urgent one with the latest
   * deadline gives up its place; returns false if that is the new one.
   */
  enqueue(request: QueuedRequest): boolean {
    if (!this.accepts(request)) return false;
    const isFull = this.#queue.length >= this.#capacity;
    const evicted = isFull ? this.#queue.pop() : undefined;
    const at = this.#queue.findIndex((w) => compareUrgency(request, w) < 0);
    this.#queue.splice(at < 0 ? this.#queue.length : at, 0, request);
    evicted?.evict();
    return true;
  }

  /** Removes a request, for example because its client disconnected. */
  remove(request: QueuedRequest): void {
    const at = this.#queue.indexOf(request);
    if (at >= 0) this.#queue.splice(at, 1);
  }

  /**
   * Tries to dispatch the requests that are due, most urgent first. Those of a
   * resource without room are not tried, but their waits may end.
   */
  dispatchDue(nowMs: number): void {
    const full = new Set<string>();
    const heldCounts = new Map<string, number>();
    for (const request of [...this.#queue]) {
      if (request.notBeforeMs > nowMs) continue;
      const { resource } = request;
      const heldCount = heldCounts.get(resource) ?? 0;
      const isTried = !full.has(resource) &&
        (!this.#heldAtMs.has(request) ||
          heldCount < MAX_HELD_ATTEMPTS && this.#isHeldDue(request, nowMs));
      const result = isTried ? request.tryDispatch(nowMs) : undefined;
      if (result === DispatchResult.Done) {
        this.remove(request);
      } else if (nowMs >= request.untilMs) {
        this.remove(request);
        request.expire();
      } else if (result === DispatchResult.NoRoom) {
        // The attempt may have changed the resource.
        full.add(request.resource);
        this.#heldAtMs.delete(request);
      } else if (result === DispatchResult.Held) {
        this.#heldAtMs.set(request, nowMs);
        heldCounts.set(request.resource, heldCount + 1);
      }
    }
  }

  #isHeldDue(request: QueuedRequest, nowMs: number): boolean {
    const heldAtMs = this.#heldAtMs.get(request) ?? -Infinity;
    return nowMs - heldAtMs >= HELD_RETRY_MS;
  }
}

/** What the order of requests depends on. */
type Urgency = Pick<QueuedRequest, "priority" | "deadlineMs">;

function compareUrgency(a: Urgency, b: Urgency): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}
