/** Bounds the time that reading bodies in small chunks takes. @module */

/** A connection that a body is read from. */
export interface PacedSource {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** How many chunks, or other items, are read. */
export interface PacerOptions {
  /** Items of all sources together in a second. */
  readonly perSecond?: number;
  /** Items that may be read at once after a time with fewer. */
  readonly maxCredit?: number;
  /** Called each time that a source has to wait. */
  readonly onPause?: () => void;
}

/** Chunks of one body that are not paced. */
const FREE_CHUNKS = 64;
/**
 * Chunks of all bodies beyond these that are read in a second, unless another
 * rate is given.
 */
const DEFAULT_PER_SECOND = 30_000;
const DEFAULT_MAX_CREDIT = 10_000;
const REFILL_INTERVAL_MS = 10;

/**
 * Limits how many chunks are read in a second. Each takes processor time,
 * however few bytes it has, and one read can hold thousands; without a limit, a
 * server that sends them without end takes the time of all others. Sources wait
 * in turn.
 */
export class ChunkPacer {
  readonly #waiting = new Set<PacedSource>();
  readonly #perSecond: number;
  readonly #maxCredit: number;
  readonly #onPause: () => void;
  #credit: number;
  #refilledAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PacerOptions = {}) {
    this.#perSecond = options.perSecond ?? DEFAULT_PER_SECOND;
    this.#maxCredit = options.maxCredit ?? DEFAULT_MAX_CREDIT;
    this.#onPause = options.onPause ?? (() => {});
    this.#credit = this.#maxCredit;
  }

  /** Number of sources that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Counts a chunk, the `count`th of its body; may pause its source. */
  count(source: PacedSource, count: number): void {
    if (count <= FREE_CHUNKS) return;
    this.#credit -= 1;
    if (this.#credit >= 0 || this.#waiting.has(source)) return;
    source.pause();
    this.#waiting.add(source);
    this.#onPause();
    this.#timer ??= setInterval(() => this.#refill(), REFILL_INTERVAL_MS);
  }

  /** Ends the wait of a source whose body has ended. */
  remove(source: PacedSource): void {
    if (!this.#waiting.delete(source)) return;
    source.resume();
    this.#stopIfIdle();
  }

  /** Resumes at most one source: its next read may use up all credit. */
  #refill(): void {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.#refilledAtMs;
    this.#refilledAtMs = nowMs;
    const added = this.#perSecond * elapsedMs / 1000;
    this.#credit = Math.min(this.#maxCredit, this.#credit + added);
    if (this.#credit <= 0) return;
    for (const source of this.#waiting) {
      this.#waiting.delete(source);
      source.resume();
      break;
    }
    this.#stopIfIdle();
  }

  #stopIfIdle(): void {
    if (this.#waiting.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
