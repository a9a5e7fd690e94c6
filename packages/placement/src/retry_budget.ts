/**
 * Limits retries.
 *
 * Load pattern: when a service fails, every router sends each request twice,
 * which turns a small fault into an overload. All routers share one retry
 * allowance without coordination: each uses the part proportional to its own
 * requests, and an equal part of the fixed allowance.
 * @module
 */

/** The retry allowance of all routers together. */
export interface RetryAllowance {
  /** Retries allowed for each request within a window. */
  readonly ratio: number;
  /** Further retries allowed within a window. */
  readonly burst: number;
  readonly windowMs: number;
}

/** Share of the proportional allowance that is used: routers' windows differ. */
const RATIO_SHARE = 0.8;
/** Share of the burst that is used: a router that restarts has its part again. */
const BURST_SHARE = 0.5;
/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 10;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Counts requests and retries of one service on one router. */
export class RetryBudget {
  readonly #allowance: RetryAllowance;
  #buckets: Bucket[] = [];

  private constructor(allowance: RetryAllowance) {
    this.#allowance = allowance;
  }

  static create(allowance: RetryAllowance): RetryBudget {
    return new RetryBudget(allowance);
  }

  /** Counts a request from a client. */
  countRequest(nowMs: number): void {
    this.#getBucket(nowMs).requests += 1;
  }

  /** Uses one retry if the budget allows it; returns whether it did. */
  tryConsume(nowMs: number, routers: number): boolean {
    const bucket = this.#getBucket(nowMs);
    const totals = this.#buckets.reduce(
      (s, x) => ({
        requests: s.requests + x.requests,
        retries: s.retries + x.retries,
      }),
      { requests: 0, retries: 0 },
    );
    const { ratio, burst } = this.#allowance;
    const allowed = RATIO_SHARE * ratio * totals.requests +
      BURST_SHARE * burst / Math.max(1, routers);
    if (totals.retries + 1 > allowed) return false;
    bucket.retries += 1;
    return true;
  }

  #getBucket(nowMs: number): Bucket {
    const index = Math.floor(nowMs / (this.#allowance.windowMs / BUCKET_COUNT));
    this.#buckets = this.#buckets.filter((s) => s.index > index - BUCKET_COUNT);
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
