/** Simulated message network. @module */
import type { Random } from "./random.js";
import type { Scheduler } from "./scheduler.js";

const MIN_DELAY_MS = 0.3;
const MAX_DELAY_MS = 2;
const LOSS_RATE = 0.002;
const LATE_RATE = 0.004;
const MAX_LATE_MS = 700;
/**
 * Share of messages over a cut link that are resent later; the others are lost.
 */
const RESEND_RATE = 0.5;
const MAX_RESEND_DELAY_MS = 900;

/**
 * Delivers messages between processes with random delay, loss and link faults.
 */
export class Network {
  readonly #scheduler: Scheduler;
  readonly #rng: Random;
  /** Number of cuts by `from>to`; faults may overlap, so cuts are counted. */
  readonly #cuts = new Map<string, number>();
  /** Largest extra delay in ms by `from>to`, summed over overlapping faults. */
  readonly #extraDelaysMs = new Map<string, number>();

  constructor(options: { scheduler: Scheduler; random: Random }) {
    this.#scheduler = options.scheduler;
    this.#rng = options.random;
  }

  /** Sends a message and calls `deliver` on arrival, unless it is lost. */
  send(link: { from: string; to: string }, deliver: () => void): void {
    if (link.from === link.to) {
      this.#scheduler.schedule(0.05, deliver);
      return;
    }
    if (this.#rng.decide(LOSS_RATE)) return;
    const key = `${link.from}>${link.to}`;
    let delay = this.#rng.drawReal(MIN_DELAY_MS, MAX_DELAY_MS);
    if (this.#rng.decide(LATE_RATE)) delay = this.#rng.drawReal(0, MAX_LATE_MS);
    const extraDelayMs = this.#extraDelaysMs.get(key) ?? 0;
    if (extraDelayMs > 0) delay += this.#rng.drawReal(0, extraDelayMs);
    this.#scheduler.schedule(delay, () => this.#deliver(key, deliver));
  }

  isCut(from: string, to: string): boolean {
    return (this.#cuts.get(`${from}>${to}`) ?? 0) > 0;
  }

  /** Cuts (`by` = 1) or restores (`by` = -1) one direction of a link. */
  changeCut(from: string, to: string, by: number): void {
    const key = `${from}>${to}`;
    this.#cuts.set(key, (this.#cuts.get(key) ?? 0) + by);
  }

  /**
   * Adds random delay of up to `ms` to one direction; a negative value removes
   * it.
   */
  changeDelay(from: string, to: string, ms: number): void {
    const key = `${from}>${to}`;
    this.#extraDelaysMs.set(key, (this.#extraDelaysMs.get(key) ?? 0) + ms);
  }

  #deliver(key: string, deliver: () => void) {
    if ((this.#cuts.get(key) ?? 0) <= 0) return deliver();
    if (!this.#rng.decide(RESEND_RATE)) return;
    const delay = this.#rng.drawReal(50, MAX_RESEND_DELAY_MS);
    this.#scheduler.schedule(delay, () => this.#deliver(key, deliver));
  }
}
