/** Data transfer in one direction of a proxied connection. @module */
import type { Socket } from "node:net";

/** Queued data above which reading from the source is paused, in bytes. */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;

/**
 * Delay between the last data and a reset, in ms. A libuv client that receives
 * both at once reports the reset as a normal end of the stream.
 */
const RESET_DELAY_MS = 5;

/**
 * Data or event to deliver to the sink: `null` is the end of the stream, `close`
 * an abnormal close of the source.
 */
interface QueueItem {
  readonly dueMs: number;
  readonly data: Buffer | null | "close";
}

/** Number of bytes after which a connection is closed or reset. */
export interface PipeLimit {
  readonly bytes: number;
  readonly reset: boolean;
}

/** Forwards data from one socket to another with latency and faults. */
export class Pipe {
  readonly #source: Socket;
  readonly #sink: Socket;
  readonly #getDelayMs: () => number;
  readonly #queue: QueueItem[] = [];
  #queuedBytes = 0;
  #lastDueMs = 0;
  #timer: NodeJS.Timeout | undefined;
  #held = false;
  #stalled = false;
  #awaitingDrain = false;
  #bytesLeft: number | undefined;
  #resetAtLimit = false;

  constructor(
    source: Socket,
    sink: Socket,
    options: { getDelayMs: () => number },
  ) {
    this.#source = source;
    this.#sink = sink;
    this.#getDelayMs = options.getDelayMs;
    source.on("data", (data) => this.#put(data as Buffer));
    source.on("end", () => this.#put(null));
    source.on("close", (hadError) => {
      if (hadError || !source.readableEnded) this.#put("close");
    });
    sink.on("drain", () => {
      this.#awaitingDrain = false;
      this.#sendDueItems();
    });
  }

  /** Discards all queued and future data; nothing more reaches the sink. */
  stall(): void {
    this.#stalled = true;
    this.#queue.length = 0;
    this.#queuedBytes = 0;
    clearTimeout(this.#timer);
    this.#source.resume();
  }

  /** Sets whether data is held; releasing the hold delivers held data. */
  setHeld(held: boolean): void {
    this.#held = held;
    if (!held) this.#sendDueItems();
  }

  /** Closes or resets the connection after `limit.bytes` more bytes. */
  setLimit(limit: PipeLimit | undefined): void {
    this.#bytesLeft = limit?.bytes;
    this.#resetAtLimit = limit?.reset ?? false;
  }

  #put(data: QueueItem["data"]): void {
    if (this.#stalled) return;
    const now = performance.now();
    const delayMs = this.#getDelayMs();
    const idle = this.#queue.length === 0 && !this.#held &&
      !this.#awaitingDrain;
    if (idle && delayMs === 0) {
      this.#send(data);
      return;
    }
    // Data must stay in order after the latency is lowered.
    this.#lastDueMs = Math.max(this.#lastDueMs, now + delayMs);
    this.#queue.push({ dueMs: this.#lastDueMs, data });
    if (data instanceof Buffer) this.#queuedBytes += data.length;
    if (this.#queuedBytes > MAX_QUEUED_BYTES) this.#source.pause();
    this.#startTimer();
  }

  #startTimer(): void {
    const first = this.#queue[0];
    if (!first || this.#timer || this.#held || this.#awaitingDrain) return;
    const waitMs = Math.max(1, Math.round(first.dueMs - performance.now()));
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#sendDueItems();
    }, waitMs);
  }

  #sendDueItems(): void {
    const now = performance.now();
    while (!this.#held && !this.#awaitingDrain && !this.#stalled) {
      const first = this.#queue[0];
      // Event loop timers may fire a fraction of a millisecond early.
      if (!first || first.dueMs > now + 0.5) break;
      this.#queue.shift();
      if (first.data instanceof Buffer) this.#queuedBytes -= first.data.length;
      this.#send(first.data);
    }
    const canRead = this.#queuedBytes <= MAX_QUEUED_BYTES &&
      !this.#awaitingDrain;
    if (canRead && this.#source.isPaused()) this.#source.resume();
    this.#startTimer();
  }

  #send(data: QueueItem["data"]): void {
    if (data === "close") this.#sink.destroy();
    else if (data === null) this.#sink.end();
    else if (
      this.#bytesLeft !== undefined && data.length >= this.#bytesLeft
    ) {
      this.#stop(data.subarray(0, this.#bytesLeft));
    } else {
      if (this.#bytesLeft !== undefined) this.#bytesLeft -= data.length;
      if (!this.#sink.writable) return;
      if (!this.#sink.write(data)) {
        this.#awaitingDrain = true;
        this.#source.pause();
      }
    }
  }

  #stop(lastData: Buffer): void {
    this.#stalled = true;
    if (this.#resetAtLimit) {
      this.#sink.write(lastData);
      setTimeout(() => {
        this.#sink.resetAndDestroy();
        this.#source.resetAndDestroy();
      }, RESET_DELAY_MS);
      return;
    }
    this.#sink.end(lastData, () => {
      this.#sink.destroySoon();
      this.#source.destroy();
    });
  }
}
