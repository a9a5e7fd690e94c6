/** Hybrid logical clock. @module */

/**
 * Timestamp that orders the events of several processes causally. It consists
 * of 13 digits of Unix milliseconds, 6 digits of a counter and the node, and is
 * compared as a string.
 */
export type HlcTimestamp = string;

/** Hybrid logical clock of one process. Callers pass the wall time, in ms. */
export class HybridClock {
  #ms = 0;
  #counter = 0;
  readonly #node: string;

  private constructor(node: string) {
    this.#node = node;
  }

  static create(node: string): HybridClock {
    return new HybridClock(node);
  }

  /** Returns a timestamp above all that were issued or observed before. */
  issue(wallMs: number): HlcTimestamp {
    this.#advance(Math.floor(wallMs), 0);
    return this.#format();
  }

  /** Merges the timestamp of a received message. Malformed ones are ignored. */
  observe(timestamp: HlcTimestamp, wallMs: number): void {
    const m = /^(\d{13})\.(\d{6})/.exec(timestamp);
    if (!m) return;
    const ms = Number(m[1]);
    // Adopting a timestamp far in the future would keep this clock ahead of the
    // wall time, so it is ignored.
    if (ms > wallMs + MAX_DRIFT_MS) return;
    this.#advance(ms, Number(m[2]));
  }

  #advance(ms: number, counter: number) {
    if (ms > this.#ms) {
      this.#ms = ms;
      this.#counter = counter;
    } else if (ms === this.#ms) {
      this.#counter = Math.max(this.#counter, counter) + 1;
    } else {
      this.#counter += 1;
    }
    // Timestamps are compared as strings, so the counter must fit in 6 digits.
    if (this.#counter <= MAX_COUNTER) return;
    this.#ms += 1;
    this.#counter = 0;
  }

  #format(): HlcTimestamp {
    const ms = String(this.#ms).padStart(13, "0");
    return `${ms}.${String(this.#counter).padStart(6, "0")}.${this.#node}`;
  }
}

const MAX_DRIFT_MS = 60_000;
const MAX_COUNTER = 999_999;

/** Returns the Unix milliseconds of a timestamp. */
export function parseHlcMs(timestamp: HlcTimestamp): number {
  return Number(timestamp.slice(0, 13));
}
