/**
 * Limits the second attempts of hedged requests.
 *
 * Load pattern: many requests are slow at once because the servers are busy,
 * and a second attempt for each of them would double the load. All routers
 * together may add a share of a route's requests; each uses that share of its
 * own requests, so no message is needed.
 * @module
 */

/**
 * Most second attempts that may be saved up. They let a few slow requests that
 * coincide be hedged; a larger value would allow bursts far above the share.
 */
const MAX_CREDIT = 2;
/** Time without requests after which nothing is left of what was saved, ms. */
const MAX_IDLE_MS = 10_000;
/**
 * Window in which the second attempts are a share of the requests, ms. What a
 * route with few requests has saved for minutes does not count: all routers
 * may hold such savings and use them at once.
 */
const WINDOW_MS = 60_000;
/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 6;

interface Bucket {
  readonly index: number;
  /** Second attempts that the requests allow. */
  allowed: number;
  sent: number;
}

/** Counts what one route at one router may still send. */
export class HedgeBudget {
  #credit = 0;
  #countedMs = -Infinity;
  #buckets: Bucket[] = [];

  /** Counts a request that is sent, which allows `share` second attempts. */
  countRequest(share: number, nowMs: number): void {
    if (nowMs - this.#countedMs > MAX_IDLE_MS) this.#credit = 0;
    this.#countedMs = nowMs;
    this.#credit = Math.min(MAX_CREDIT, this.#credit + share);
    this.#getBucket(nowMs).allowed += share;
  }

  /** Returns whether a second attempt is allowed now. */
  isAllowed(nowMs: number): boolean {
    if (this.#credit < 1 || nowMs - this.#countedMs > MAX_IDLE_MS) return false;
    this.#getBucket(nowMs);
    const left = this.#buckets.reduce((sum, b) => sum + b.allowed - b.sent, 0);
    return left >= 1;
  }

  /** Uses one second attempt, which `isAllowed` has allowed. */
  consume(nowMs: number): void {
    this.#credit -= 1;
    this.#getBucket(nowMs).sent += 1;
  }

  #getBucket(nowMs: number): Bucket {
    const index = Math.floor(nowMs / (WINDOW_MS / BUCKET_COUNT));
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    this.#buckets = this.#buckets.filter((b) => b.index > index - BUCKET_COUNT);
    const bucket = { index, allowed: 0, sent: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
