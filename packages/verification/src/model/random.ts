/** Seeded random number generator of the simulation. @module */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws reproducible random values from a seed. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  static create(seed: number): Random {
    return new Random(seed);
  }

  /** Returns an integer from `low` to `high`, both included. */
  drawInteger(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Returns a number from `low` to below `high`. */
  drawReal(low: number, high: number): number {
    return low + (high - low) * this.drawInteger(0, 999_999) / 1_000_000;
  }

  /** Returns true with the given probability. */
  decide(probability: number): boolean {
    return this.drawReal(0, 1) < probability;
  }

  /** Returns one of the items, which must not be empty. */
  pick<T>(items: readonly T[]): T {
    return items[this.drawInteger(0, items.length - 1)]!;
  }
}
