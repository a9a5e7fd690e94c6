/** In-memory log with an append rate limit and retention. @module */

/** Rate and retention limits of a log; 0 means no limit. */
export interface LogLimits {
  /** Maximum number of appends in any 1000 ms; excess appends are rejected. */
  readonly appendsPerSecond: number;
  readonly retainCount: number;
  readonly retainMs: number;
}

interface StoredEntry {
  readonly offset: number;
  readonly atMs: number;
  /** The entry, serialized once because many clients read it. */
  readonly json: string;
}

/** Result of a read: serialized entries, next offset and oldest offset. */
export interface LogSlice {
  readonly entries: readonly string[];
  readonly next: number;
  readonly oldest: number;
}

/** Number of expired entries after which the array is compacted. */
const COMPACTION_THRESHOLD = 1024;

/** Append-only log. Callers pass the current time in Unix ms. */
export class LogStore {
  #entries: StoredEntry[] = [];
  /** Index in `#entries` of the oldest retained entry. */
  #head = 0;
  #next = 0;
  #recentAppendsMs: number[] = [];
  #limits: LogLimits;

  constructor(limits: LogLimits) {
    this.#limits = limits;
  }

  get limits(): LogLimits {
    return this.#limits;
  }

  set limits(limits: LogLimits) {
    this.#limits = limits;
  }

  /** Offset of the next appended record. */
  get next(): number {
    return this.#next;
  }

  get oldest(): number {
    return this.#entries[this.#head]?.offset ?? this.#next;
  }

  /**
   * Appends a record and returns its offset, or `undefined` if the append rate
   * is exceeded.
   */
  append(record: unknown, nowMs: number): number | undefined {
    if (!this.#admitAppend(nowMs)) return undefined;
    const offset = this.#next++;
    const json = JSON.stringify({ offset, atMs: nowMs, record });
    this.#entries.push({ offset, atMs: nowMs, json });
    this.removeExpired(nowMs);
    return offset;
  }

  #admitAppend(nowMs: number): boolean {
    const maxAppends = this.#limits.appendsPerSecond;
    if (maxAppends === 0) return true;
    this.#recentAppendsMs = this.#recentAppendsMs.filter((t) =>
      t > nowMs - 1000
    );
    if (this.#recentAppendsMs.length >= maxAppends) return false;
    this.#recentAppendsMs.push(nowMs);
    return true;
  }

  /** Removes entries that exceed the retention limits. */
  removeExpired(nowMs: number): void {
    const { retainCount, retainMs } = this.#limits;
    const count = this.#entries.length;
    if (retainCount > 0 && count - this.#head > retainCount) {
      this.#head = count - retainCount;
    }
    while (
      retainMs > 0 && this.#head < count &&
      this.#entries[this.#head]!.atMs < nowMs - retainMs
    ) this.#head += 1;
    if (this.#head >= COMPACTION_THRESHOLD) {
      this.#entries = this.#entries.slice(this.#head);
      this.#head = 0;
    }
  }

  /** Reads up to `max` entries starting at `from`, which must be retained. */
  read(from: number, max: number): LogSlice {
    const start = this.#head + (from - this.oldest);
    const slice = this.#entries.slice(start, start + max);
    return {
      entries: slice.map((e) => e.json),
      next: from + slice.length,
      oldest: this.oldest,
    };
  }
}
