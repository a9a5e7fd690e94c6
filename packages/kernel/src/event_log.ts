/** Structured event log: one line of JSON for each decision. @module */
import { write } from "node:fs";

/** Fields of a line. Values aren't nested, so that lines are easy to search. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Priority of a line when the volume is limited. */
export enum EventPriority {
  /** A frequent event, such as a served request. */
  Routine = "routine",
  /** A failure, or a change in the process's view of the system. */
  Notable = "notable",
}

const LINE_FEED = 0x0a;
/** Delay before a write to a full pipe is repeated, ms. */
const RETRY_DELAY_MS = 20;
/** Time for which routine lines are collected, ms; each write is costly. */
const ROUTINE_FLUSH_DELAY_MS = 100;

/** Destination and volume limits of an event log. */
export interface EventLogOptions {
  /** Name of the process in each line. */
  readonly node: string;
  /** File descriptor that lines are written to. */
  readonly fd: number;
  /** Maximum routine lines per second. Further ones are dropped and counted. */
  readonly maxRoutineLinesPerSecond: number;
  /** Bytes that may wait for a slow reader; more are dropped and counted. */
  readonly maxPendingBytes: number;
}

/**
 * Writes lines asynchronously. A slow reader never blocks the process; lines
 * are dropped instead. Losses are counted in the next line that can be written.
 */
export class EventLog {
  readonly #options: EventLogOptions;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #flushTimer: NodeJS.Timeout | undefined;
  #dropped = 0;
  #second = 0;
  #routine = 0;

  private constructor(options: EventLogOptions) {
    this.#options = options;
  }

  static create(options: EventLogOptions): EventLog {
    return new EventLog(options);
  }

  /** Writes a line of priority `Notable`. */
  record(event: string, fields: EventFields): void {
    this.write(event, fields, EventPriority.Notable);
  }

  /**
   * Writes a line, or drops it if a volume limit is reached. Routine lines also
   * have a limit per second, so that they are dropped before others.
   */
  write(event: string, fields: EventFields, weight: EventPriority): void {
    const now = Date.now();
    if (weight === EventPriority.Routine && !this.#acceptRoutineLine(now)) {
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
    if (weight === EventPriority.Routine) this.#scheduleFlush();
    else this.#flush();
  }

  /** Counts a routine line and returns whether it is within the limit. */
  #acceptRoutineLine(now: number): boolean {
    const second = Math.floor(now / 1000);
    if (second !== this.#second) [this.#second, this.#routine] = [second, 0];
    this.#routine += 1;
    return this.#routine <= this.#options.maxRoutineLinesPerSecond;
  }

  #scheduleFlush(): void {
    this.#flushTimer ??= setTimeout(
      () => this.#flush(),
      ROUTINE_FLUSH_DELAY_MS,
    );
  }

  #flush(): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    if (this.#pending.length === 0 || this.#isWriting) return;
    const bytes = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#isWriting = true;
    this.#writeBytes(bytes);
  }

  #writeBytes(bytes: Buffer): void {
    write(this.#options.fd, bytes, 0, bytes.length, null, (error, written) => {
      // EAGAIN: the pipe is non-blocking and full.
      if (error?.code === "EAGAIN") {
        setTimeout(() => this.#writeBytes(bytes), RETRY_DELAY_MS).unref();
        return;
      }
      if (error) this.#dropped += countLines(bytes);
      const rest = error ? undefined : bytes.subarray(written);
      if (rest && rest.length > 0) return this.#writeBytes(rest);
      this.#isWriting = false;
      this.#flush();
    });
  }
}

function countLines(bytes: Buffer): number {
  let lines = 0;
  for (const byte of bytes) if (byte === LINE_FEED) lines += 1;
  return lines;
}
