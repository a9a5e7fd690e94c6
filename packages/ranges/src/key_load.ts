/** Requests per second and key, as routers report them. @module */
import { KEY_COUNT } from "@jaytiller/routing";

/** A shorter time says nothing about rates, ms. */
const MIN_AGE_MS = 500;
/**
 * Requests per second that each key is taken to have, so that keys without
 * requests are spread, too.
 */
const PRIOR_RATE = 1 / KEY_COUNT;

/** Rates that follow new counts within a few seconds. */
export class KeyLoad {
  readonly #rates = new Float64Array(KEY_COUNT);
  readonly #sums = new Float64Array(KEY_COUNT + 1);
  readonly #timeConstantMs: number;
  #at = 0;
  #firstAt: number | undefined;
  #correction = 1;

  private constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  static create(options: { timeConstantMs: number }): KeyLoad {
    return new KeyLoad(options.timeConstantMs);
  }

  /** Adds requests that have arrived since the last report. */
  add(key: number, count: number): void {
    const perMs = count / this.#timeConstantMs;
    this.#rates[key] = (this.#rates[key] ?? 0) + perMs * 1000;
  }

  /**
   * Lets old counts fade and makes the sums anew. Rates are right from the
   * start: what a short time has shown is taken for the whole.
   */
  advance(nowMs: number): void {
    this.#firstAt ??= nowMs;
    const ageMs = Math.max(MIN_AGE_MS, nowMs - this.#firstAt);
    this.#correction = 1 / (1 - Math.exp(-ageMs / this.#timeConstantMs));
    const factor = Math.exp(-(nowMs - this.#at) / this.#timeConstantMs);
    this.#at = nowMs;
    let sum = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
      const rate = this.#rates[key]! * factor;
      this.#rates[key] = rate < 1e-6 ? 0 : rate;
      this.#sums[key] = sum;
      sum += rate;
    }
    this.#sums[KEY_COUNT] = sum;
    // The time before the first request is no time of low load.
    if (sum === 0) this.#firstAt = nowMs;
  }

  /** Requests per second that were reported, as of the last advance. */
  get total(): number {
    return this.#sums[KEY_COUNT]! * this.#correction;
  }

  /** Requests per second for keys `from` to `to`, as of the last advance. */
  sum(from: number, to: number): number {
    const measured = (this.#sums[to + 1]! - this.#sums[from]!) *
      this.#correction;
    return measured + PRIOR_RATE * (to - from + 1);
  }

  /** Last key up to which keys from `from` on have at most `rate`. */
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

  /** First key from which keys up to `to` have at most `rate`. */
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
