/** The owners of keys, as routers use them. @module */

/** Keys and the server that requests for them are sent to. */
export interface OwnedRange {
  readonly from: number;
  readonly to: number;
  /** Absent while no server holds the keys. */
  readonly server?: string;
}

/** Immutable list of the ranges of one service, in order of keys. */
export class OwnerTable {
  readonly #ranges: readonly OwnedRange[];

  private constructor(ranges: readonly OwnedRange[]) {
    this.#ranges = ranges;
  }

  static create(ranges: readonly OwnedRange[]): OwnerTable {
    return new OwnerTable([...ranges].sort((a, b) => a.from - b.from));
  }

  /** Whether any server owns keys. */
  get hasOwner(): boolean {
    return this.#ranges.some((r) => r.server !== undefined);
  }

  list(): readonly OwnedRange[] {
    return this.#ranges;
  }

  /** Ranges that make `older` this table. */
  listChangesSince(older: OwnerTable): readonly OwnedRange[] {
    const known = new Set(older.#ranges.map(nameRange));
    return this.#ranges.filter((r) => !known.has(nameRange(r)));
  }

  /** Returns a table in which the changes replace what they cover. */
  apply(changes: readonly OwnedRange[]): OwnerTable {
    return OwnerTable.create(changes.reduce(
      (ranges, change) => [
        ...ranges.flatMap((r) => cutOut(r, change)),
        change,
      ],
      this.#ranges,
    ));
  }

  /** Returns the server that owns a key. */
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

function nameRange({ from, to, server }: OwnedRange): string {
  return `${from}-${to}/${server ?? ""}`;
}

/** Parts of a range that another one does not cover. */
function cutOut(
  range: OwnedRange,
  { from, to }: OwnedRange,
): readonly OwnedRange[] {
  if (range.to < from || to < range.from) return [range];
  const parts: OwnedRange[] = [];
  if (range.from < from) parts.push({ ...range, to: from - 1 });
  if (range.to > to) parts.push({ ...range, from: to + 1 });
  return parts;
}
