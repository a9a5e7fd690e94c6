/** Moving averages of service times. @module */
import type { RequestClass } from "@jaytiller/model";

/** Weight of a new sample; a change shows within about 10 requests. */
const SMOOTHING_FACTOR = 0.2;

/** Exponentially weighted moving averages of service times, in ms. */
export class ServiceTimes {
  readonly #byClass = new Map<RequestClass, number>();
  /** Average over all classes. */
  #overall: number | undefined;

  /** Records the service time of a complete response. */
  record(cls: RequestClass, ms: number): void {
    this.#byClass.set(cls, updateAverage(this.#byClass.get(cls), ms));
    this.#overall = updateAverage(this.#overall, ms);
  }

  /**
   * Records a run without a complete response, whose service time is at least
   * `ms`. It counts only if `ms` is above the estimate, because a quick failure
   * says nothing about the service time.
   */
  recordLowerBound(cls: RequestClass, ms: number): void {
    if (ms > this.estimate(cls)) this.record(cls, ms);
  }

  /**
   * Estimates the service time of a class, in ms. Falls back to the average
   * over all classes, then to 0, so that nothing is refused before the first
   * sample.
   */
  estimate(cls: RequestClass): number {
    return this.#byClass.get(cls) ?? this.#overall ?? 0;
  }
}

function updateAverage(before: number | undefined, ms: number): number {
  return before === undefined ? ms : before + SMOOTHING_FACTOR * (ms - before);
}
