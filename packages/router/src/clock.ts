/** Clocks and identifiers of the process. @module */
import { randomBytes, randomUUID } from "node:crypto";
import { formatUuid7, HybridClock } from "@jaytiller/model";

/** Provides monotonic, wall-clock and hybrid logical time, and unique IDs. */
export class Clock {
  readonly hlc: HybridClock;
  /** Identifies this start of the process. */
  readonly incarnation: string = randomUUID();

  constructor(node: string) {
    this.hlc = HybridClock.create(node);
  }

  /** Returns monotonic time in ms. */
  now(): number {
    return performance.now();
  }

  unixMs(): number {
    return Date.now();
  }

  /** Issues a hybrid logical timestamp for a message or event. */
  issueTimestamp(): string {
    return this.hlc.issue(Date.now());
  }

  /** Advances the hybrid clock past a received timestamp. */
  observe(stamp: unknown): void {
    if (typeof stamp === "string") this.hlc.observe(stamp, Date.now());
  }

  createUuid(): string {
    return randomUUID();
  }

  createRequestId(): string {
    return formatUuid7(Date.now(), randomBytes(10));
  }
}
