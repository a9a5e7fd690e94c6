/**
 * Bounds second sends.
 *
 * Load pattern: a service that fails makes every router send twice, which
 * turns a small fault into an overload. All routers share one allowance; each
 * takes its part without a message, in proportion to what it sees itself, and
 * an equal part of the fixed allowance.
 * @module
 */

/** The allowance of all routers together. */
export interface RetryAllowance {
  /** Second sends for each request within a window. */
  readonly ratio: number;
  /** Second sends within a window beside these. */
  readonly burst: number;
  readonly windowMs: number;
}

/** Part of the allowance that is used, as routers count windows differently. */
const USED_SHARE = 0.6;
const SLICES = 10;

interface Slice {
  index: number;
  requests: number;
  retries: number;
}

/** Counts requests and second sends of one service on one router. */
export class RetryBudget {
  readonly #allowance: RetryAllowance;
  #slices: Slice[] = [];

  private constructor(allowance: RetryAllowance) {
    this.#allowance = allowance;
  }

  static create(allowance: RetryAllowance): RetryBudget {
    return new RetryBudget(allowance);
  }

  /** Counts a request that a client has sent. */
  countRequest(nowMs: number): void {
    this.#getSlice(nowMs).requests += 1;
  }

  /** Takes a second send if the budget has one left. */
  take(nowMs: number, routers: number): boolean {
    const slice = this.#getSlice(nowMs);
    const sums = this.#slices.reduce(
      (s, x) => ({
        requests: s.requests + x.requests,
        retries: s.retries + x.retries,
      }),
      { requests: 0, retries: 0 },
    );
    const { ratio, burst } = this.#allowance;
    const allowed = USED_SHARE *
      (ratio * sums.requests + burst / Math.max(1, routers));
    if (sums.retries + 1 > allowed) return false;
    slice.retries += 1;
    return true;
  }

  #getSlice(nowMs: number): Slice {
    const index = Math.floor(nowMs / (this.#allowance.windowMs / SLICES));
    this.#slices = this.#slices.filter((s) => s.index > index - SLICES);
    const last = this.#slices.at(-1);
    if (last?.index === index) return last;
    const slice = { index, requests: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
