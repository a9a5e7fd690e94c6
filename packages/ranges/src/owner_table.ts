/** Maps keys to the servers that requests are routed to. @module */

/** A key range and the server that receives its requests. */
export interface OwnedRange {
  readonly from: number;
  readonly to: number;
  /** Absent while no server owns the keys. */
  readonly server?: string;
}

/** Immutable table of one service's ranges, ordered by key. */
export class OwnerTable {
  readonly #ranges: readonly OwnedRange[];

  private constructor(ranges: readonly OwnedRange[]) {
    this.#ranges = ranges;
  }

  static create(ranges: readonly OwnedRange[]): OwnerTable {
    return new OwnerTable([...ranges].sort((a, b) => a.from - b.from));
  }

  /** Whether at least one range has an owner. */
  get hasOwner(): boolean {
    return this.#ranges.some((r) => r.server !== undefined);
  }

  list(): readonly OwnedRange[] {
    return this.#ranges;
  }

  /** Lists the ranges that turn `older` into this table when applied to it. */
  listChangesSince(older: OwnerTable): readonly OwnedRange[] {
    const known = new Set(older.#ranges.map(formatRangeKey));
    return this.#ranges.filter((r) => !known.has(formatRangeKey(r)));
  }

  /** Returns a table in which each change replaces the keys that it covers. */
  apply(changes: readonly OwnedRange[]): OwnerTable {
    return OwnerTable.create(changes.reduce(
      (ranges, change) => [
        ...ranges.flatMap((r) => subtractRange(r, change)),
        change,
      ],
      this.#ranges,
    ));
  }

  /** Returns the server that owns a key, if any. */
  find(key: number): string | undefined {
    let low = 0;
    let high = this.#ranges.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = this.#ranges[middle]!;
      if (key < range.from) high = middle - 1;
      else if (key > range.to) low = middle + 1;
      else return range.server;
    }
    return undefined;
  }
}

function formatRangeKey({ from, to, server }: OwnedRange): string {
  return `${from}-${to}/${server ?? ""}`;
}

/** Returns the parts of `range` that the second range does not cover. */
function subtractRange(
  range: OwnedRange,
  { from, to }: OwnedRange,
): readonly OwnedRange[] {
  if (range.to < from || to < range.from) return [range];
  const parts: OwnedRange[] = [];
  if (range.from < from) parts.push({ ...range, to: from - 1 });
  if (range.to > to) parts.push({ ...range, from: to + 1 });
  return parts;
}
