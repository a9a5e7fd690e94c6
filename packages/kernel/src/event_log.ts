/** Structured log: one JSON line for each decision. @module */
import { write } from "node:fs";

/** Fields of a line: plain values, so that lines can be searched. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** How important a line is when there are too many. */
export enum EventWeight {
  /** One of many alike, as an answered request. */
  Routine = "routine",
  /** A failure or a change of what the process believes. */
  Notable = "notable",
}

/** Bounds of the volume. */
export interface EventLogOptions {
  readonly node: string;
  /** File descriptor that lines go to. */
  readonly fd: number;
  /** Routine lines in a second beyond which they are only counted. */
  readonly routinePerSecond: number;
  /** Bytes that may wait for a slow reader; more are dropped and counted. */
  readonly maxPendingBytes: number;
}

/**
 * Writes lines without waiting for their reader: a full pipe loses lines, not
 * time. Losses are counted in the next line that can be written.
 */
export class EventLog {
  readonly #options: EventLogOptions;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #dropped = 0;
  #second = 0;
  #routine = 0;

  private constructor(options: EventLogOptions) {
    this.#options = options;
  }

  static create(options: EventLogOptions): EventLog {
    return new EventLog(options);
  }

  /** Writes a line about a failure or a change of belief. */
  record(event: string, fields: EventFields): void {
    this.write(event, fields, EventWeight.Notable);
  }

  /** Writes a line; routine ones are dropped first. */
  write(event: string, fields: EventFields, weight: EventWeight): void {
    const now = Date.now();
    if (weight === EventWeight.Routine && !this.#takeRoutine(now)) {
      this.#dropped += 1;
      return;
    }
    const dropped = this.#dropped > 0 ? { dropped: this.#dropped } : {};
    const line = JSON.stringify({
      at: now,
      node: this.#options.node,
      event,
      ...fields,
      ...dropped,
    }) + "\n";
    if (this.#pendingBytes + line.length > this.#options.maxPendingBytes) {
      this.#dropped += 1;
      return;
    }
    this.#dropped = 0;
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    if (!this.#isWriting) this.#flush();
  }

  #takeRoutine(now: number): boolean {
    const second = Math.floor(now / 1000);
    if (second !== this.#second) [this.#second, this.#routine] = [second, 0];
    this.#routine += 1;
    return this.#routine <= this.#options.routinePerSecond;
  }

  #flush(): void {
    if (this.#pending.length === 0) return;
    const bytes = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#isWriting = true;
    this.#writeBytes(bytes);
  }

  #writeBytes(bytes: Buffer): void {
    write(this.#options.fd, bytes, 0, bytes.length, null, (error, written) => {
      // EAGAIN: the reader of a non-blocking pipe is behind.
      if (error && error.code !== "EAGAIN") this.#dropped += 1;
      const rest = error ? undefined : bytes.subarray(written);
      if (rest && rest.length > 0) return this.#writeBytes(rest);
      this.#isWriting = false;
      this.#flush();
    });
  }
}
