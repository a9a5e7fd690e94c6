/** Notices that the process, or its machine, stood still. @module */
import { PAUSE_MS } from "./timing.js";

/** A difference of the clocks beyond this shows a pause or a step, ms. */
const DRIFT_MS = 150;

/**
 * Compares turns of the event loop and two clocks. A frozen process sees a
 * gap on the steady clock; a suspended machine sees the time of day go on
 * while the steady clock stood.
 */
export class PauseDetector {
  #lastMs: number | undefined;
  #lastDrift = 0;

  /** Called at each turn; returns whether there was a pause before it. */
  check(nowMs: number, timeOfDayMs: number): boolean {
    const drift = timeOfDayMs - nowMs;
    const last = this.#lastMs;
    const moved = Math.abs(drift - this.#lastDrift);
    this.#lastMs = nowMs;
    this.#lastDrift = drift;
    if (last === undefined) return false;
    return nowMs - last > PAUSE_MS || moved > DRIFT_MS;
  }
}
