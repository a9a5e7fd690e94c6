/** Detects overload of this process. @module */
import type { Service } from "@jaytiller/kernel";
import { RequestClass } from "@jaytiller/model";
import type { Clock } from "./clock.js";

const SAMPLE_INTERVAL_MS = 10;
/** A measured lag counts as recent for this time. */
const LAG_RETENTION_MS = 200;

/**
 * Event-loop lag, in ms, above which requests of a class are refused. Leases
 * and heartbeats share the event loop with requests and expire after a few
 * hundred ms, so callers' requests must be refused well before that.
 */
const LAG_LIMIT_MS: Readonly<Record<RequestClass, number>> = {
  [RequestClass.Urgent]: 150,
  [RequestClass.Normal]: 120,
  [RequestClass.Bulk]: 90,
};

/** Requests in flight, of all classes, at which a class is refused. */
const IN_FLIGHT_LIMIT: Readonly<Record<RequestClass, number>> = {
  [RequestClass.Urgent]: 2_000,
  [RequestClass.Normal]: 1_000,
  [RequestClass.Bulk]: 500,
};

/** Measures event-loop lag and counts requests in flight. */
export class OverloadDetector implements Service {
  readonly #clock: Clock;
  #expectedAt = 0;
  #lagMs = 0;
  #lagAt = -Infinity;
  #inFlight = 0;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  start(): void {
    this.#expectedAt = this.#clock.now() + SAMPLE_INTERVAL_MS;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Largest recent event-loop lag, in ms. */
  get lagMs(): number {
    const now = this.#clock.now();
    const current = Math.max(0, now - this.#expectedAt);
    return now - this.#lagAt > LAG_RETENTION_MS
      ? current
      : Math.max(current, this.#lagMs);
  }

  /** Returns whether a request of this class must be refused. */
  isOverloaded(requestClass: RequestClass): boolean {
    return this.#inFlight >= IN_FLIGHT_LIMIT[requestClass] ||
      this.lagMs > LAG_LIMIT_MS[requestClass];
  }

  addRequest(): void {
    this.#inFlight += 1;
  }

  removeRequest(): void {
    this.#inFlight -= 1;
  }

  #sample() {
    const now = this.#clock.now();
    const lag = now - this.#expectedAt;
    this.#expectedAt = now + SAMPLE_INTERVAL_MS;
    if (lag < this.#lagMs && now - this.#lagAt <= LAG_RETENTION_MS) return;
    this.#lagMs = Math.max(0, lag);
    this.#lagAt = now;
  }
}
