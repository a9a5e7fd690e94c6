/** Admission queue with classes, deadlines and slow start. @module */
import { Reason, RequestClass } from "@jaytiller/model";
import { compareKeys, OrderedTree } from "./ordered_tree.js";
import { computeWaitMs } from "./wait.js";
import { ServiceTimes } from "./service_times.js";
import { SlotLimit } from "./slot_limit.js";
import {
  type AdmissionQueue,
  type Decision,
  DecisionKind,
  type QueueItem,
  type Refusal,
  type RunEnd,
  RunResult,
} from "./types.js";

/** Options of `ServerQueue.create`. */
export interface ServerQueueOptions {
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Largest number of queued items; less urgent ones beyond it are refused. */
  readonly queueLimit: number;
  /** Time at which slow start begins, in monotonic ms. */
  readonly now: number;
  /**
   * Time after which slow start adds a slot, in ms; 0 for no slow start.
   * Defaults to 500.
   */
  readonly slowStartIntervalMs?: number;
  /**
   * Time for which a request that the server shed reduces the usable slots by
   * one, in ms. Defaults to 200.
   */
  readonly shedBackoffMs?: number;
}

const SLOW_START_INTERVAL_MS = 500;
const SHED_BACKOFF_MS = 200;
/** With less, callers would retry before a slot can have become free. */
const MIN_RETRY_AFTER_MS = 20;
/** Longer estimates say little about the load at that time. */
const MAX_RETRY_AFTER_MS = 10_000;

/** Request classes, most urgent first. */
const CLASSES: readonly RequestClass[] = [
  RequestClass.Urgent,
  RequestClass.Normal,
  RequestClass.Bulk,
];

interface QueuedItem extends QueueItem {
  readonly seq: number;
}

interface RunningItem {
  readonly item: QueueItem;
  /** Monotonic ms. */
  readonly startedAt: number;
}

type TreesByClass = Readonly<Record<RequestClass, OrderedTree<QueuedItem>>>;

/**
 * Admits requests by class, then by deadline, then by arrival. `offer` and
 * `finish` take O(log n) steps for n queued items, plus a scan of the running
 * ones.
 */
export class ServerQueue implements AdmissionQueue {
  readonly #limit: SlotLimit;
  readonly #queueLimit: number;
  readonly #times = new ServiceTimes();
  readonly #running = new Map<string, RunningItem>();
  readonly #queued = new Map<string, QueuedItem>();
  /** Queued items that may start. */
  readonly #ready: TreesByClass = makeTrees();
  /** Queued items of held units. */
  readonly #held: TreesByClass = makeTrees();
  readonly #trees: readonly OrderedTree<QueuedItem>[] = CLASSES.flatMap((c) => [
    this.#ready[c],
    this.#held[c],
  ]);
  readonly #heldUnits = new Set<string>();
  readonly #queuedByUnit = new Map<string, Set<QueuedItem>>();
  /** Ids of expired items that `expire` has not returned yet. */
  #expired: string[] = [];
  #available = true;
  #seq = 0;

  private constructor(options: ServerQueueOptions) {
    this.#queueLimit = options.queueLimit;
    this.#limit = new SlotLimit({
      slots: Math.max(1, options.slots),
      slowStartIntervalMs: options.slowStartIntervalMs ??
        SLOW_START_INTERVAL_MS,
      shedBackoffMs: options.shedBackoffMs ?? SHED_BACKOFF_MS,
    }, options.now);
  }

  static create(options: ServerQueueOptions): ServerQueue {
    return new ServerQueue(options);
  }

  get running(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queued.size;
  }

  estimateServiceMs(cls: RequestClass): number {
    return this.#times.estimate(cls);
  }

  /** Returns the number of slots that may be used at `now`. */
  countSlots(now: number): number {
    return this.#limit.count(now);
  }

  offer(item: QueueItem, now: number): Decision {
    if (this.#running.has(item.id) || this.#queued.has(item.id)) {
      throw new RangeError(
        `Server queue: item ${item.id} is queued or running, expected a new id`,
      );
    }
    const queued: QueuedItem = { ...item, seq: this.#seq++ };
    this.#removeExpired(now);
    const waitMs = this.estimateWaitMs(queued, now);
    if (waitMs > item.deadlineAt - now || item.deadlineAt <= now) {
      const retryAfterMs = computeRetryAfterMs(
        waitMs - (item.deadlineAt - now),
      );
      const refusal = makeRefusal(item.id, retryAfterMs);
      const started = this.#startNext(now);
      return { kind: DecisionKind.Refused, ...refusal, started, evicted: [] };
    }
    this.#enqueue(queued);
    const started = this.#startNext(now);
    const evicted = this.#evictLeastUrgent(now);
    const refusal = evicted.find((r) => r.id === item.id);
    if (refusal) {
      return { kind: DecisionKind.Refused, ...refusal, started, evicted: [] };
    }
    const kind = this.#running.has(item.id)
      ? DecisionKind.Start
      : DecisionKind.Queued;
    return {
      kind,
      started: started.filter((id) => id !== item.id),
      evicted,
    };
  }

  finish(id: string, end: RunEnd): string[] {
    const run = this.#running.get(id);
    if (!run) return [];
    this.#running.delete(id);
    const ms = Math.max(0, end.now - run.startedAt);
    RESULT_HANDLERS[end.result](this.#times, { class: run.item.class, ms });
    if (end.result === RunResult.Shed) this.#limit.shed(end.now);
    return this.startReady(end.now);
  }

  cancel(id: string, now: number): string[] {
    const item = this.#queued.get(id);
    if (item) this.#dequeue(item);
    this.#expired = this.#expired.filter((e) => e !== id);
    return this.startReady(now);
  }

  expire(now: number): string[] {
    this.#removeExpired(now);
    const ids = this.#expired;
    this.#expired = [];
    return ids;
  }

  startReady(now: number): string[] {
    this.#removeExpired(now);
    return this.#startNext(now);
  }

  holdUnit(unit: string): void {
    if (this.#heldUnits.has(unit)) return;
    this.#heldUnits.add(unit);
    for (const item of this.#queuedByUnit.get(unit) ?? []) {
      this.#ready[item.class].remove(item);
      this.#held[item.class].insert(item);
    }
  }

  releaseUnit(unit: string, now: number): string[] {
    if (!this.#heldUnits.delete(unit)) return [];
    for (const item of this.#queuedByUnit.get(unit) ?? []) {
      this.#held[item.class].remove(item);
      this.#ready[item.class].insert(item);
    }
    return this.startReady(now);
  }

  setAvailable(available: boolean, now: number): string[] {
    this.#available = available;
    return this.startReady(now);
  }

  restartSlowStart(now: number): void {
    this.#limit.restart(now);
  }

  takeAll(): string[] {
    const items = [...this.#queued.values()];
    for (const item of items) this.#dequeue(item);
    return items.map((i) => i.id);
  }

  takeUnit(unit: string): string[] {
    const items = [...this.#queuedByUnit.get(unit) ?? []];
    for (const item of items) this.#dequeue(item);
    return items.map((i) => i.id);
  }

  countInFlight(unit?: string): number {
    if (unit === undefined) return this.#running.size;
    let count = 0;
    for (const run of this.#running.values()) {
      if (run.item.unit === unit) count += 1;
    }
    return count;
  }

  getWakeTime(now: number): number | undefined {
    if (this.#expired.length > 0) return now;
    const times = this.#trees
      .map((t) => t.getFirst()?.deadlineAt ?? Infinity);
    const nextIncreaseAt = this.#limit.findNextIncrease(now);
    if (nextIncreaseAt !== undefined && this.#available && this.queued > 0) {
      times.push(nextIncreaseAt);
    }
    const first = Math.min(...times);
    return first === Infinity ? undefined : first;
  }

  /** Estimates how long an item waits for a slot, in ms. */
  estimateWaitMs(item: QueueItem & { seq?: number }, now: number): number {
    const key = { deadlineAt: item.deadlineAt, seq: item.seq ?? this.#seq };
    let ahead = 0;
    let aheadInClass = 0;
    for (const cls of CLASSES) {
      const tree = this.#ready[cls];
      const count = cls === item.class ? tree.countBefore(key) : tree.size;
      aheadInClass = count * this.#times.estimate(cls);
      ahead += aheadInClass;
      if (cls === item.class) break;
    }
    const slots = this.#limit.count(now);
    const remaining = this.#listRemainingMs(now);
    const waitMs = computeWaitMs(remaining, { ahead, slots });
    if (item.alone) return Math.max(waitMs, ...remaining);
    if (item.class !== RequestClass.Bulk) return waitMs;
    // Bulk items may not use all slots, so they may wait longer.
    const bulkMs = computeWaitMs(this.#listRemainingMs(now, item.class), {
      ahead: aheadInClass,
      slots: this.#countSlotsFor(item.class, now),
    });
    return Math.max(waitMs, bulkMs);
  }

  /**
   * Estimates the remaining service times of the running items of a class, or
   * of all classes, in ms.
   */
  #listRemainingMs(now: number, only?: RequestClass): number[] {
    const remaining: number[] = [];
    for (const run of this.#running.values()) {
      const cls = run.item.class;
      if (only !== undefined && cls !== only) continue;
      const left = this.#times.estimate(cls) - (now - run.startedAt);
      remaining.push(Math.max(0, left));
    }
    if (!this.#isRunningAlone()) return remaining;
    return new Array<number>(this.#limit.count(now)).fill(remaining[0] ?? 0);
  }

  #isFull(now: number): boolean {
    return this.#running.size >= this.#limit.count(now);
  }

  /** Returns the number of slots that items of a class may use at `now`. */
  #countSlotsFor(cls: RequestClass, now: number): number {
    const slots = this.#limit.count(now);
    return cls === RequestClass.Bulk ? Math.max(1, slots - 1) : slots;
  }

  #enqueue(item: QueuedItem): void {
    const trees = this.#heldUnits.has(item.unit) ? this.#held : this.#ready;
    trees[item.class].insert(item);
    this.#queued.set(item.id, item);
    const unitItems = this.#queuedByUnit.get(item.unit);
    if (unitItems) unitItems.add(item);
    else this.#queuedByUnit.set(item.unit, new Set([item]));
  }

  #dequeue(item: QueuedItem): void {
    const trees = this.#heldUnits.has(item.unit) ? this.#held : this.#ready;
    trees[item.class].remove(item);
    this.#queued.delete(item.id);
    const unitItems = this.#queuedByUnit.get(item.unit);
    unitItems?.delete(item);
    if (unitItems?.size === 0) this.#queuedByUnit.delete(item.unit);
  }

  #removeExpired(now: number): void {
    for (const tree of this.#trees) {
      for (;;) {
        const item = tree.getFirst();
        if (!item || item.deadlineAt > now) break;
        this.#dequeue(item);
        this.#expired.push(item.id);
      }
    }
  }

  #startNext(now: number): string[] {
    const started: string[] = [];
    while (this.#available) {
      const item = this.#findNext(now);
      if (!item) break;
      this.#dequeue(item);
      this.#running.set(item.id, { item, startedAt: now });
      started.push(item.id);
    }
    return started;
  }

  /** Returns the next item that may start now, if there is one. */
  #findNext(now: number): QueuedItem | undefined {
    if (this.#isFull(now) || this.#isRunningAlone()) return undefined;
    for (const cls of CLASSES) {
      const item = this.#ready[cls].getFirst();
      if (!item) continue;
      // Nothing else starts until the server is idle. Otherwise a steady stream
      // of other items would starve the one that has to run alone.
      if (item.alone && this.#running.size > 0) return undefined;
      if (this.#countRunning(cls) >= this.#countSlotsFor(cls, now)) continue;
      return item;
    }
    return undefined;
  }

  /** Returns whether an item that must run alone is running. */
  #isRunningAlone(): boolean {
    if (this.#running.size !== 1) return false;
    for (const run of this.#running.values()) return run.item.alone === true;
    return false;
  }

  #countRunning(cls: RequestClass): number {
    let count = 0;
    for (const run of this.#running.values()) {
      if (run.item.class === cls) count += 1;
    }
    return count;
  }

  /** Refuses the least urgent items while the queue is over its limit. */
  #evictLeastUrgent(now: number): Refusal[] {
    const refused: Refusal[] = [];
    while (this.#queued.size > this.#queueLimit) {
      const item = this.#findLeastUrgent()!;
      const waitMs = this.estimateWaitMs(item, now);
      this.#dequeue(item);
      refused.push(makeRefusal(item.id, computeRetryAfterMs(waitMs)));
    }
    return refused;
  }

  #findLeastUrgent(): QueuedItem | undefined {
    for (const cls of [...CLASSES].reverse()) {
      const a = this.#ready[cls].getLast();
      const b = this.#held[cls].getLast();
      if (a && b) return compareKeys(a, b) > 0 ? a : b;
      if (a ?? b) return a ?? b;
    }
    return undefined;
  }
}

const RESULT_HANDLERS: Readonly<
  Record<
    RunResult,
    (times: ServiceTimes, run: { class: RequestClass; ms: number }) => void
  >
> = {
  [RunResult.Served]: (times, run) => times.record(run.class, run.ms),
  [RunResult.Failed]: (times, run) => times.recordLowerBound(run.class, run.ms),
  [RunResult.Shed]: () => {},
  [RunResult.NotRun]: () => {},
};

function makeTrees(): TreesByClass {
  return {
    [RequestClass.Urgent]: new OrderedTree<QueuedItem>(),
    [RequestClass.Normal]: new OrderedTree<QueuedItem>(),
    [RequestClass.Bulk]: new OrderedTree<QueuedItem>(),
  };
}

function makeRefusal(id: string, retryAfterMs: number): Refusal {
  return { id, reason: Reason.Overloaded, retryAfterMs };
}

function computeRetryAfterMs(ms: number): number {
  return Math.ceil(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms)),
  );
}
