/** Bounds the time that reading bodies in small chunks takes. @module */

/** A connection that a body is read from. */
export interface PacedSource {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Chunks of one body that are not paced. */
const FREE_CHUNKS = 64;
/** Chunks of all bodies beyond these that are read in a second. */
const MAX_CHUNKS_PER_SECOND = 30_000;
/** Chunks that may be read at once after a time with fewer. */
const MAX_CREDIT = 10_000;
const REFILL_INTERVAL_MS = 10;

/**
 * Limits how many chunks are read in a second. Each takes processor time,
 * however few bytes it has, and one read can hold thousands; without a limit, a
 * server that sends them without end takes the time of all others. Sources wait
 * in turn.
 */
export class ChunkPacer {
  readonly #waiting = new Set<PacedSource>();
  #credit = MAX_CREDIT;
  #refilledAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;

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
    const added = MAX_CHUNKS_PER_SECOND * elapsedMs / 1000;
    this.#credit = Math.min(MAX_CREDIT, this.#credit + added);
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
