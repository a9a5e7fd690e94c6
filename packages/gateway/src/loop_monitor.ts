/** Detects delays of the event loop, during which no input is read. @module */
import type { EventLog } from "@jaytiller/kernel";

const TICK_INTERVAL_MS = 100;
/** Delay of a tick from which input may be old, ms. */
const MAX_TICK_DELAY_MS = 30;
/** Delay of a tick from which it is logged, ms. */
const LOGGED_DELAY_MS = 100;
/**
 * Time after such a delay in which input may still be old, ms: a connection is
 * accepted, its request read and its end read in separate turns of the loop.
 */
const CATCH_UP_MS = 500;

/**
 * Measures how late the event loop is. The process reads no input meanwhile, so
 * what it knows of its peers may be as old as the delay.
 */
export class LoopMonitor {
  readonly #log: EventLog;
  #timer: NodeJS.Timeout | undefined;
  #lastTickMs = performance.now();
  #catchUpEndMs = -Infinity;
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

  /** Returns whether input may have waited unread for long. */
  isInputOld(): boolean {
    const nowMs = performance.now();
    return nowMs < this.#catchUpEndMs ||
      this.getDelayMs(nowMs) > MAX_TICK_DELAY_MS;
  }

  /**
   * Resolves once the process has read what arrived before the call. Of a
   * connection with data and an end, the loop reads one in each turn.
   */
  readPendingInput(): Promise<void> {
    return new Promise((resolve) =>
      setImmediate(() => setImmediate(() => resolve()))
    );
  }

  #tick(): void {
    const nowMs = performance.now();
    const delayMs = this.getDelayMs(nowMs);
    this.#lastTickMs = nowMs;
    if (delayMs <= MAX_TICK_DELAY_MS) return;
    this.#catchUpEndMs = nowMs + CATCH_UP_MS;
    this.#stalls += 1;
    this.#stalledMs += delayMs;
    if (delayMs <= LOGGED_DELAY_MS) return;
    this.#log.record("stall", { ms: Math.round(delayMs) });
  }
}
