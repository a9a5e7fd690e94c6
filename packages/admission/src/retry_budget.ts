/** Retry budget. @module */

/** Options of `RetryBudget.create`. */
export interface RetryBudgetOptions {
  /** Number of retries allowed per request, such as 0.1. */
  readonly ratio: number;
  /** Largest number of unused retries; also the initial number. */
  readonly burst: number;
}

/** Absorbs rounding errors in sums of fractions such as 1 / 0.3. */
const EPSILON = 1e-6;

/** Limits retries to a share of the requests, so that they add little load. */
export class RetryBudget {
  readonly #requestsPerRetry: number;
  /** Largest value of `#requests`. */
  readonly #limit: number;
  /** Number of requests that have not been spent on a retry. */
  #requests: number;

  private constructor({ ratio, burst }: RetryBudgetOptions) {
    this.#requestsPerRetry = ratio > 0 ? 1 / ratio : Infinity;
    this.#limit = ratio > 0 ? burst / ratio : 0;
    this.#requests = this.#limit;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Records the first attempt of a request. */
  deposit(): void {
    this.#requests = Math.min(this.#limit, this.#requests + 1);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  withdraw(): boolean {
    if (this.#requests < this.#requestsPerRetry - EPSILON) return false;
    this.#requests -= this.#requestsPerRetry;
    return true;
  }
}
