/** Types shared by the admission queues. @module */
import type { Reason, RequestClass } from "@jaytiller/model";

/** A request that needs a slot of a backend server. */
export interface QueueItem {
  /** Unique among the items that are queued or running. */
  readonly id: string;
  readonly class: RequestClass;
  /** Time by which the request must start, in monotonic ms. */
  readonly deadlineAt: number;
  /** Unit of ownership that contains the request's key. */
  readonly unit: string;
  /** Whether the server must run no other request at the same time. */
  readonly alone?: boolean;
}

/** What `AdmissionQueue.offer` decided about an item. */
export enum DecisionKind {
  /** The item counts as running; the caller has to run it now. */
  Start = "start",
  /** The item waits for a slot. */
  Queued = "queued",
  /** The item was rejected and does not run. */
  Refused = "refused",
}

/** An item that was rejected without being run. */
export interface Refusal {
  readonly id: string;
  readonly reason: Reason;
  /** Delay after which a new attempt may be admitted, in ms. */
  readonly retryAfterMs: number;
}

interface DecisionBase {
  /** Ids of other items to start now, in this order. */
  readonly started: readonly string[];
  /** Queued items that were evicted to make room for the offered one. */
  readonly evicted: readonly Refusal[];
}

/** Result of `AdmissionQueue.offer`. */
export type Decision =
  & DecisionBase
  & (
    | { readonly kind: DecisionKind.Start }
    | { readonly kind: DecisionKind.Queued }
    | ({ readonly kind: DecisionKind.Refused } & Refusal)
  );

/** How the run of a request ended. */
export enum RunResult {
  /** The server sent a complete response. */
  Served = "served",
  /** The server shed the request: status 503 with `x-not-run: 1`. */
  Shed = "shed",
  /** The server sent no complete response. */
  Failed = "failed",
  /** The request was not sent to the server. */
  NotRun = "notRun",
}

/** Time and result of the end of a run. */
export interface RunEnd {
  /** Time of the end, in monotonic ms. */
  readonly now: number;
  readonly result: RunResult;
}

/**
 * Decides when requests may start on one backend server. Times are in monotonic
 * ms. Ids that a method returns for starting count as running from then on; the
 * caller has to call `finish` exactly once for each of them.
 */
export interface AdmissionQueue {
  /**
   * Starts, queues or refuses a new item. Throws a RangeError if an item with
   * this id is queued or running.
   */
  offer(item: QueueItem, now: number): Decision;
  /**
   * Ends a run and returns the ids to start now. Ids that are not running have
   * no effect.
   */
  finish(id: string, end: RunEnd): string[];
  /**
   * Removes a queued item and returns the ids to start now. A running item
   * keeps its slot until `finish`.
   */
  cancel(id: string, now: number): string[];
  /** Removes queued items whose deadline has passed and returns their ids. */
  expire(now: number): string[];
  /** Returns the ids to start now that slots have become usable over time. */
  startReady(now: number): string[];
  /**
   * Keeps the items of `unit` queued until `releaseUnit`. Running items are not
   * affected.
   */
  holdUnit(unit: string): void;
  /** Reverts `holdUnit` and returns the ids to start now. */
  releaseUnit(unit: string, now: number): string[];
  /**
   * Sets whether items may start on the server. Returns the ids to start now.
   */
  setAvailable(available: boolean, now: number): string[];
  /** Begins a new slow start, for a server that has restarted. */
  restartSlowStart(now: number): void;
  /** Removes all queued items and returns their ids. */
  takeAll(): string[];
  /** Removes the queued items of `unit` and returns their ids. */
  takeUnit(unit: string): string[];
  /** Returns the number of running items of `unit`, or of all units. */
  countInFlight(unit?: string): number;
  /**
   * Returns the earliest time at which `expire` or `startReady` may return ids,
   * or `undefined` if only another call can change that.
   */
  getWakeTime(now: number): number | undefined;
  /** Estimates the service time of a class, in ms; 0 if it is unknown. */
  estimateServiceMs(cls: RequestClass): number;
  /** Number of running items. */
  readonly running: number;
  /** Number of queued items. */
  readonly queued: number;
}
