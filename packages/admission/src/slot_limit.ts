/** Dynamic concurrency limit of one backend server. @module */

/** Options of a `SlotLimit`. */
export interface SlotLimitOptions {
  /** Number of requests that the server runs concurrently; at least 1. */
  readonly slots: number;
  /** Time after which slow start adds a slot, in ms; 0 for no slow start. */
  readonly slowStartIntervalMs: number;
  /** Time for which a shed request reduces the limit by a slot, in ms. */
  readonly shedBackoffMs: number;
}

/**
 * Computes how many slots of a server may be used. Slow start raises the limit
 * from 1 over time, and a request that the server shed lowers it for a while.
 */
export class SlotLimit {
  readonly #options: SlotLimitOptions;
  /** Start of the slow start. */
  #startedAt: number;
  /** Times at which slots become usable again, ascending. */
  #shedUntil: number[] = [];

  constructor(options: SlotLimitOptions, now: number) {
    this.#options = options;
    this.#startedAt = now;
  }

  /** Begins a new slow start. */
  restart(now: number): void {
    this.#startedAt = now;
  }

  /** Lowers the limit by one slot for `shedBackoffMs`. */
  shed(now: number): void {
    this.#shedUntil = this.#shedUntil.filter((t) => t > now);
    this.#shedUntil.push(now + this.#options.shedBackoffMs);
    if (this.#shedUntil.length >= this.#options.slots) this.#shedUntil.shift();
  }

  /** Returns the number of slots that may be used at `now`; at least 1. */
  count(now: number): number {
    const lost = this.#shedUntil.filter((t) => t > now).length;
    return Math.max(1, this.#countWarmSlots(now) - lost);
  }

  /** Returns the next time at which more slots become usable, if any. */
  findNextIncrease(now: number): number | undefined {
    const { slots, slowStartIntervalMs } = this.#options;
    const warm = this.#countWarmSlots(now);
    const times = this.#shedUntil.filter((t) => t > now);
    if (warm < slots) times.push(this.#startedAt + warm * slowStartIntervalMs);
    return times.length > 0 ? Math.min(...times) : undefined;
  }

  /** Returns the number of slots that slow start allows. */
  #countWarmSlots(now: number): number {
    const { slots, slowStartIntervalMs } = this.#options;
    if (slowStartIntervalMs <= 0) return slots;
    const gained = Math.floor(
      (now - this.#startedAt) / slowStartIntervalMs,
    );
    return Math.min(slots, 1 + Math.max(0, gained));
  }
}
