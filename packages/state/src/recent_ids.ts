/** An immutable set of the identifiers of recent records. @module */

/**
 * A writer that repeats an append after a lost response gives up before this
 * many other records have been appended.
 */
const MAX_RECENT_IDS = 20_000;

/** Maps identifiers to consecutive indexes, in ascending order. */
type Generation = Map<string, number>;

/**
 * An immutable set of the last `MAX_RECENT_IDS` identifiers. To make `add`
 * cheap, successive sets share two maps: an older generation and a newer one,
 * to which identifiers are added in place. Each set contains only the indexes
 * below its own end, so later additions do not change it. Adding to a set that
 * is not the latest one copies the newer generation first.
 */
export class RecentIds {
  readonly #older: Generation;
  readonly #newer: Generation;
  /** The index of the first identifier in `#newer`. */
  readonly #base: number;
  /** The index of the next identifier. */
  readonly #end: number;

  private constructor(
    generations: { older: Generation; newer: Generation },
    range: { base: number; end: number },
  ) {
    this.#older = generations.older;
    this.#newer = generations.newer;
    this.#base = range.base;
    this.#end = range.end;
  }

  static create(): RecentIds {
    return RecentIds.#make(new Map(), 0);
  }

  /** Returns the set of `ids`, which are given oldest first. */
  static from(ids: Iterable<string>): RecentIds {
    let recent = RecentIds.create();
    for (const id of ids) if (!recent.has(id)) recent = recent.add(id);
    return recent;
  }

  static #make(older: Generation, base: number): RecentIds {
    return new RecentIds({ older, newer: new Map() }, { base, end: base });
  }

  has(id: string): boolean {
    return this.#includesIndex(this.#newer.get(id)) ||
      this.#includesIndex(this.#older.get(id));
  }

  /** Returns a set that also contains `id`, which must not be in this one. */
  add(id: string): RecentIds {
    const count = this.#end - this.#base;
    if (count === MAX_RECENT_IDS) {
      return RecentIds.#make(this.#copyNewer(), this.#end).add(id);
    }
    const newer = this.#newer.size === count ? this.#newer : this.#copyNewer();
    newer.set(id, this.#end);
    return new RecentIds(
      { older: this.#older, newer },
      { base: this.#base, end: this.#end + 1 },
    );
  }

  /** Returns the identifiers, oldest first. */
  list(): string[] {
    return [...this.#older, ...this.#newer]
      .filter(([, number]) => this.#includesIndex(number))
      .map(([id]) => id);
  }

  #includesIndex(index: number | undefined): boolean {
    return index !== undefined && index < this.#end &&
      index >= this.#end - MAX_RECENT_IDS;
  }

  #copyNewer(): Generation {
    const count = this.#end - this.#base;
    if (this.#newer.size === count) return this.#newer;
    return new Map([...this.#newer].slice(0, count));
  }
}
