/** Detects delays of the event loop, during which no input is read. @module */
import type { EventLog } from "@jaytiller/kernel";

const TICK_INTERVAL_MS = 20;
/** Delay of a tick from which input may have waited unread for long, ms. */
const MAX_TICK_DELAY_MS = 100;

/** Measures how late the event loop is; the process reads no input meanwhile. */
export class LoopMonitor {
  readonly #log: EventLog;
  #timer: NodeJS.Timeout | undefined;
  #lastTickMs = performance.now();
  #stalls = 0;
  #stalledMs = 0;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Number of delays above `MAX_TICK_DELAY_MS`. */
  get stalls(): number {
    return this.#stalls;
  }

  /** Total duration of these delays, ms. */
  get stalledMs(): number {
    return this.#stalledMs;
  }

  start(): void {
    this.#lastTickMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Returns by how much the next tick is late, ms. */
  getDelayMs(nowMs: number): number {
    return Math.max(0, nowMs - this.#lastTickMs - TICK_INTERVAL_MS);
  }

  #tick(): void {
    const nowMs = performance.now();
    const delayMs = this.getDelayMs(nowMs);
    this.#lastTickMs = nowMs;
    if (delayMs <= MAX_TICK_DELAY_MS) return;
    this.#stalls += 1;
    this.#stalledMs += delayMs;
    this.#log.record("stall", { ms: Math.round(delayMs) });
  }
}
