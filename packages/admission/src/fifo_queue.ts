/** First-in-first-out admission queue, a baseline for benchmarks. @module */
import {
  type AdmissionQueue,
  type Decision,
  DecisionKind,
  type QueueItem,
  type RunEnd,
} from "./types.js";

/** Options of `FifoQueue.create`. */
export interface FifoQueueOptions {
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
}

/**
 * Admits requests in order of arrival, without classes, queue limit, estimates
 * or slow start. It still respects slots, held units, server availability and
 * items that run alone, which correct ownership depends on. Meant for
 * benchmarks: most methods scan the whole queue.
 */
export class FifoQueue implements AdmissionQueue {
  readonly #slots: number;
  readonly #queued = new Map<string, QueueItem>();
  readonly #running = new Map<string, QueueItem>();
  readonly #heldUnits = new Set<string>();
  #available = true;

  private constructor(options: FifoQueueOptions) {
    this.#slots = Math.max(1, options.slots);
  }

  static create(options: FifoQueueOptions): FifoQueue {
    return new FifoQueue(options);
  }

  /** Returns 0, so that nothing is refused because of an estimate. */
  estimateServiceMs(): number {
    return 0;
  }

  get running(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queued.size;
  }

  offer(item: QueueItem, now: number): Decision {
    if (this.#running.has(item.id) || this.#queued.has(item.id)) {
      throw new RangeError(
        `FIFO queue: item ${item.id} is queued or running, expected a new id`,
      );
    }
    this.#queued.set(item.id, item);
    const started = this.startReady(now);
    const kind = this.#running.has(item.id)
      ? DecisionKind.Start
      : DecisionKind.Queued;
    return {
      kind,
      started: started.filter((id) => id !== item.id),
      evicted: [],
    };
  }

  finish(id: string, end: RunEnd): string[] {
    return this.#running.delete(id) ? this.startReady(end.now) : [];
  }

  cancel(id: string, now: number): string[] {
    return this.#queued.delete(id) ? this.startReady(now) : [];
  }

  expire(now: number): string[] {
    return this.#removeMatching((item) => item.deadlineAt <= now);
  }

  startReady(now: number): string[] {
    const started: string[] = [];
    if (!this.#available) return started;
    for (const item of this.#queued.values()) {
      if (this.#running.size >= this.#slots || this.#isRunningAlone()) break;
      if (item.deadlineAt <= now || this.#heldUnits.has(item.unit)) continue;
      if (item.alone && this.#running.size > 0) break;
      this.#queued.delete(item.id);
      this.#running.set(item.id, item);
      started.push(item.id);
    }
    return started;
  }

  holdUnit(unit: string): void {
    this.#heldUnits.add(unit);
  }

  releaseUnit(unit: string, now: number): string[] {
    return this.#heldUnits.delete(unit) ? this.startReady(now) : [];
  }

  setAvailable(available: boolean, now: number): string[] {
    this.#available = available;
    return this.startReady(now);
  }

  /** Does nothing, because this queue has no slow start. */
  restartSlowStart(_now: number): void {}

  takeAll(): string[] {
    return this.#removeMatching(() => true);
  }

  takeUnit(unit: string): string[] {
    return this.#removeMatching((item) => item.unit === unit);
  }

  countInFlight(unit?: string): number {
    if (unit === undefined) return this.#running.size;
    return [...this.#running.values()].filter((i) => i.unit === unit).length;
  }

  getWakeTime(_now: number): number | undefined {
    let first = Infinity;
    for (const { deadlineAt } of this.#queued.values()) {
      first = Math.min(first, deadlineAt);
    }
    return first === Infinity ? undefined : first;
  }

  /** Returns whether an item that must run alone is running. */
  #isRunningAlone(): boolean {
    return [...this.#running.values()].some((item) => item.alone === true);
  }

  #removeMatching(matches: (item: QueueItem) => boolean): string[] {
    const ids = [...this.#queued.values()].filter(matches).map((i) => i.id);
    for (const id of ids) this.#queued.delete(id);
    return ids;
  }
}
