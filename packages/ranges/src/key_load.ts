/** Estimates the request rate of each key from the routers' reports. @module */
import { KEY_COUNT } from "@jaytiller/routing";

/** Rates measured over a shorter time are not meaningful, ms. */
const MIN_OBSERVATION_MS = 500;
/**
 * Requests per second added to each key's measured rate, so that keys without
 * requests are distributed as well.
 */
const PRIOR_RATE_PER_KEY = 1 / KEY_COUNT;

/** Exponentially decaying request rate of each key of a service. */
export class KeyLoad {
  readonly #rates = new Float64Array(KEY_COUNT);
  readonly #prefixSums = new Float64Array(KEY_COUNT + 1);
  readonly #timeConstantMs: number;
  #at = 0;
  #observedSinceMs: number | undefined;
  #biasCorrection = 1;

  private constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  static create(options: { timeConstantMs: number }): KeyLoad {
    return new KeyLoad(options.timeConstantMs);
  }

  /** Adds the requests for a key since the last report. */
  add(key: number, count: number): void {
    const perMs = count / this.#timeConstantMs;
    this.#rates[key] = (this.#rates[key] ?? 0) + perMs * 1000;
  }

  /**
   * Decays the rates and recomputes the prefix sums. The bias correction scales
   * rates by the time observed so far, so that they are unbiased from the
   * start.
   */
  advance(nowMs: number): void {
    this.#observedSinceMs ??= nowMs;
    const observedMs = Math.max(
      MIN_OBSERVATION_MS,
      nowMs - this.#observedSinceMs,
    );
    this.#biasCorrection = 1 /
      (1 - Math.exp(-observedMs / this.#timeConstantMs));
    const decayFactor = Math.exp(-(nowMs - this.#at) / this.#timeConstantMs);
    this.#at = nowMs;
    let sum = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
      const rate = this.#rates[key]! * decayFactor;
      this.#rates[key] = rate < 1e-6 ? 0 : rate;
      this.#prefixSums[key] = sum;
      sum += rate;
    }
    this.#prefixSums[KEY_COUNT] = sum;
    // Time before the first request must not count as a period of low load.
    if (sum === 0) this.#observedSinceMs = nowMs;
  }

  /** Reported requests per second for all keys, as of the last `advance`. */
  get total(): number {
    return this.#prefixSums[KEY_COUNT]! * this.#biasCorrection;
  }

  /**
   * Returns requests per second for keys `from` to `to`, as of the last
   * `advance`.
   */
  sum(from: number, to: number): number {
    const measured = (this.#prefixSums[to + 1]! - this.#prefixSums[from]!) *
      this.#biasCorrection;
    return measured + PRIOR_RATE_PER_KEY * (to - from + 1);
  }

  /**
   * Returns the last key up to which the keys from `from` on have at most
   * `rate` requests per second together, or `from - 1` if there is none.
   */
  findEnd(from: number, to: number, rate: number): number {
    let low = from - 1;
    let high = to;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.sum(from, middle) <= rate) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  /**
   * Returns the first key from which the keys up to `to` have at most `rate`
   * requests per second together, or `to + 1` if there is none.
   */
  findStart(from: number, to: number, rate: number): number {
    let low = from;
    let high = to + 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (middle <= to && this.sum(middle, to) > rate) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
