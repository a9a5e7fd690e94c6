/** Zipf-distributed keys whose ranks shift over time. @module */

/** Options of `ZipfKeys`. */
export interface ZipfOptions {
  readonly keys: number;
  /** The weight of rank `r`, from 1, is `r ** -exponent`. */
  readonly exponent: number;
  /** Interval at which other keys become the hottest; 0 for never. */
  readonly moveEveryMs: number;
  /** Number of keys by which the ranks are shifted each time. */
  readonly moveBy: number;
}

/** Selects keys by rank. The mapping of ranks to keys changes over time. */
export class ZipfKeys {
  readonly #options: ZipfOptions;
  /** Cumulative normalized weight by rank, which ends at 1. */
  readonly #cumulative: readonly number[];

  private constructor(options: ZipfOptions) {
    this.#options = options;
    const weights = Array.from(
      { length: options.keys },
      (_, i) => (i + 1) ** -options.exponent,
    );
    const total = weights.reduce((a, b) => a + b, 0);
    let sum = 0;
    this.#cumulative = weights.map((w) => (sum += w) / total);
  }

  static create(options: ZipfOptions): ZipfKeys {
    return new ZipfKeys(options);
  }

  /** Returns the rank, from 0, for a uniform number from 0 to below 1. */
  resolveRank(uniform: number): number {
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#cumulative[middle]! > uniform) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  /** Returns the number of the key for a uniform number at a time in ms. */
  resolveKey(uniform: number, atMs: number): number {
    const { keys, moveEveryMs, moveBy } = this.#options;
    const moves = moveEveryMs > 0 ? Math.floor(atMs / moveEveryMs) : 0;
    return (this.resolveRank(uniform) + moves * moveBy) % keys;
  }
}
