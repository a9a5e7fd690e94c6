/** Detects pauses of the process or its VM. @module */
import { MIN_PROCESS_PAUSE_MS } from "./timing.js";

/** Change of the clocks' offset that counts as a pause or a clock step, ms. */
const MAX_CLOCK_DRIFT_MS = 150;

/**
 * Detects pauses by comparing ticks of the event loop and two clocks. A paused
 * process sees a gap on the monotonic clock. On a suspended VM the time of day
 * advances while the monotonic clock stands still.
 */
export class PauseDetector {
  #lastMs: number | undefined;
  #lastDrift = 0;

  /** Called on each tick; returns whether a pause preceded it. */
  check(nowMs: number, timeOfDayMs: number): boolean {
    const drift = timeOfDayMs - nowMs;
    const last = this.#lastMs;
    const driftChange = Math.abs(drift - this.#lastDrift);
    this.#lastMs = nowMs;
    this.#lastDrift = drift;
    if (last === undefined) return false;
    return nowMs - last > MIN_PROCESS_PAUSE_MS ||
      driftChange > MAX_CLOCK_DRIFT_MS;
  }
}
