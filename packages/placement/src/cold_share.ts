/**
 * Shares the requests that a cold server sustains among all routers.
 *
 * Load pattern: a server that has just started sustains a few requests per
 * second from all routers together, and crashes well above that. Routers that
 * reach nobody must keep to the sum as well. So each router has time slots of
 * its own, one in as many as there are routers, at a random phase.
 * @module
 */

/** Time for which a slot may be used after it has begun, ms. */
export const COLD_SLOT_LIFE_MS = 200;
/** Length of the window in which the requests are bound, ms. */
export const COLD_WINDOW_MS = 1_000;
/**
 * Largest probability that the slots of independent routers exceed the bound in
 * a window. Servers are cold for minutes in all each day, so this is rare.
 */
const MAX_EXCESS_PROBABILITY = 1e-6;
/** Bound above which the spread is computed by the normal distribution. */
const MAX_COUNTED_BOUND = 1_000;
/** Standard deviations that a normal variable exceeds with less probability. */
const MAX_DEVIATIONS = 5;
/** Step in which the part of the rate that slots use is reduced. */
const RATE_STEP = 0.05;
/** Least part of the rate that slots use, also if it exceeds the bound. */
export const MIN_RATE_SHARE = 0.5;
/** Time for which a number of routers counts, ms. */
const COUNT_LIFE_MS = 60_000;
/**
 * Time after the first number of routers from which it is used, ms. In a start
 * of all routers the coordinator learns of the others in about 1 s.
 */
const COUNT_SETTLE_MS = 1_000;

/** How many requests a cold server may get. */
export interface ColdBound {
  /** Requests per second that it sustains. */
  readonly requestsPerSecond: number;
  /** Factor of `requestsPerSecond` in the most requests in any second. */
  readonly overage: number;
  /** Number of requests that is added to the product. */
  readonly slack: number;
}

/**
 * Returns the requests per second that slots at random phases may add up to. The
 * number in a window has at most the spread of a Poisson distribution, and is
 * larger by the slots that began before the window and are still usable.
 */
export function computeColdRate(
  { requestsPerSecond, overage, slack }: ColdBound,
): number {
  const bound = requestsPerSecond * overage + slack;
  const usableS = (COLD_WINDOW_MS + COLD_SLOT_LIFE_MS) / 1000;
  for (let share = 1; share > MIN_RATE_SHARE; share -= RATE_STEP) {
    const mean = share * requestsPerSecond * usableS;
    if (computePoissonTail(mean, bound) <= MAX_EXCESS_PROBABILITY) {
      return share * requestsPerSecond;
    }
  }
  return MIN_RATE_SHARE * requestsPerSecond;
}

/**
 * Returns the number that a Poisson variable exceeds with a probability of at
 * most that of an excess of the bound.
 */
export function computePoissonQuantile(mean: number): number {
  if (mean > MAX_COUNTED_BOUND) {
    return Math.ceil(mean + MAX_DEVIATIONS * Math.sqrt(mean));
  }
  let quantile = Math.floor(mean);
  while (computePoissonTail(mean, quantile) > MAX_EXCESS_PROBABILITY) {
    quantile += 1;
  }
  return quantile;
}

/**
 * Returns the probability that a Poisson variable is larger than `bound`; for a
 * large bound, only whether it is negligible (0 or 1).
 */
function computePoissonTail(mean: number, bound: number): number {
  if (bound > MAX_COUNTED_BOUND) {
    return mean + MAX_DEVIATIONS * Math.sqrt(mean) <= bound ? 0 : 1;
  }
  let logTerm = -mean;
  let atMost = 0;
  for (let count = 0; count <= bound; count++) {
    if (count > 0) logTerm += Math.log(mean / count);
    atMost += Math.exp(logTerm);
  }
  return 1 - atMost;
}

/** Time slots of one router for one cold server. */
export class ColdSlots {
  #nextMs: number | undefined;
  #periodMs = 0;

  /**
   * Returns the time until a slot begins, ms; 0 if one may be used now. The
   * period is that of one slot of this router.
   */
  computeDelay(
    { nowMs, periodMs, random }: {
      nowMs: number;
      periodMs: number;
      random: () => number;
    },
  ): number {
    const firstMs = this.#nextMs ?? nowMs + random() * periodMs;
    const nextMs = this.#computeNext(firstMs, { nowMs, periodMs });
    this.#nextMs = nextMs;
    this.#periodMs = periodMs;
    return Math.max(0, nextMs - nowMs);
  }

  /**
   * Returns what `computeDelay` would return, without a change; `undefined`
   * before its first call, which draws a random phase.
   */
  peekDelay(
    options: { nowMs: number; periodMs: number },
  ): number | undefined {
    if (this.#nextMs === undefined) return undefined;
    const nextMs = this.#computeNext(this.#nextMs, options);
    return Math.max(0, nextMs - options.nowMs);
  }

  /** Returns the begin of the next slot that has not expired, ms. */
  #computeNext(
    knownMs: number,
    { nowMs, periodMs }: { nowMs: number; periodMs: number },
  ): number {
    // A phase that is random in the old period is random in the new one.
    const isScaled = this.#periodMs > 0 && knownMs > nowMs;
    const nextMs = isScaled
      ? nowMs + (knownMs - nowMs) * periodMs / this.#periodMs
      : knownMs;
    const lapsed = Math.ceil((nowMs - COLD_SLOT_LIFE_MS - nextMs) / periodMs);
    return nextMs + Math.max(0, lapsed) * periodMs;
  }

  /** Uses the slot that has begun. */
  use(): void {
    if (this.#nextMs !== undefined) this.#nextMs += this.#periodMs;
  }
}

/**
 * The largest number of routers in the last minute. The last number stays if no
 * other arrives, so that a router that is cut off never takes itself for the
 * only one.
 */
export class RouterCounts {
  /** Falling numbers with the time at which each was last heard of. */
  #counts: { readonly count: number; readonly atMs: number }[] = [];
  #firstMs: number | undefined;

  record(count: number, nowMs: number): void {
    this.#firstMs ??= nowMs;
    this.#counts = this.#counts.filter((c) => c.count > count);
    this.#counts.push({ count, atMs: nowMs });
  }

  /** Returns the number, or `undefined` while it is not known well enough. */
  getLargest(nowMs: number): number | undefined {
    if (this.#firstMs === undefined) return undefined;
    if (nowMs - this.#firstMs < COUNT_SETTLE_MS) return undefined;
    while (
      this.#counts.length > 1 && nowMs - this.#counts[0]!.atMs > COUNT_LIFE_MS
    ) this.#counts.shift();
    return this.#counts[0]?.count;
  }
}
