/** Simulated process with its own monotonic and wall clocks. @module */
import type { Random } from "./random.js";
import type { Scheduler } from "./scheduler.js";

/** Unix ms at the start of the simulation. */
const EPOCH_MS = 1_800_000_000_000;
/** Largest relative drift of a monotonic clock. */
const MAX_RATE_ERROR = 0.01;

/** Options of a simulated process. */
export interface ProcessOptions {
  readonly id: string;
  readonly incarnation: string;
  readonly scheduler: Scheduler;
  readonly random: Random;
  /** Twice the largest wall clock error, in ms. */
  readonly clockErrorMs: number;
}

/**
 * Simulates one incarnation of a VM's process, which can be paused and killed.
 */
export class Process {
  readonly id: string;
  readonly incarnation: string;
  readonly #scheduler: Scheduler;
  readonly #random: Random;
  readonly #offset: number;
  readonly #rate: number;
  readonly #wallClockErrorMs: number;
  #alive = true;
  #paused = false;
  /** Timers and messages that became due during a pause. */
  #deferred: { timer: boolean; run: () => void }[] = [];

  constructor(options: ProcessOptions) {
    this.id = options.id;
    this.incarnation = options.incarnation;
    this.#scheduler = options.scheduler;
    this.#random = options.random;
    this.#offset = options.random.drawReal(0, 1e6);
    this.#rate = 1 + options.random.drawReal(-MAX_RATE_ERROR, MAX_RATE_ERROR);
    const half = options.clockErrorMs / 2;
    this.#wallClockErrorMs = options.random.drawReal(-half, half);
  }

  get alive(): boolean {
    return this.#alive;
  }

  get paused(): boolean {
    return this.#paused;
  }

  /** Returns the monotonic clock of this process, in ms. */
  now(): number {
    return this.#offset + this.#rate * this.#scheduler.now;
  }

  /**
   * Returns the simulated time at which the monotonic clock reads `localMs`.
   */
  computeRealTime(localMs: number): number {
    return (localMs - this.#offset) / this.#rate;
  }

  unixMs(): number {
    return EPOCH_MS + this.#scheduler.now + this.#wallClockErrorMs;
  }

  /** Returns the simulated time at which an exact wall clock reads `unixMs`. */
  static computeRealTimeOfUnix(unixMs: number): number {
    return unixMs - EPOCH_MS;
  }

  /** Calls `run` after `localMs` on the monotonic clock of the process. */
  startTimer(localMs: number, run: () => void): void {
    this.#scheduler.schedule(
      localMs / this.#rate,
      () => this.#runOrDefer({ timer: true, run }),
    );
  }

  /**
   * Calls `run` every `localMs`, starting after a random part of the interval.
   */
  startInterval(localMs: number, run: () => void): void {
    const repeat = () => {
      this.startTimer(localMs, repeat);
      run();
    };
    this.startTimer(this.#random.drawReal(0, localMs), repeat);
  }

  /** Delivers a message now or, while the process is paused, on resume. */
  receive(run: () => void): void {
    this.#runOrDefer({ timer: false, run });
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    if (!this.#alive || !this.#paused) return;
    this.#paused = false;
    const pending = this.#deferred;
    this.#deferred = [];
    // A resumed event loop may run due timers before or after received
    // messages.
    const timersFirst = this.#random.decide(0.5);
    const first = pending.filter((p) => p.timer === timersFirst);
    const second = pending.filter((p) => p.timer !== timersFirst);
    for (const p of [...first, ...second]) this.#runOrDefer(p);
  }

  kill(): void {
    this.#alive = false;
    this.#deferred = [];
  }

  #runOrDefer(due: { timer: boolean; run: () => void }) {
    if (!this.#alive) return;
    if (this.#paused) this.#deferred.push(due);
    else due.run();
  }
}
