/** What arrives on a client's connection, passed to the HTTP parser. @module */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { estimateLineBytes } from "./head_memory.js";
import type { InputScheduler, InputSource } from "./input_scheduler.js";
import type { HeldMemory } from "./memory_budget.js";
import { startReading, stopReading } from "./socket_reading.js";

/** Why a connection is not read for now. */
export enum InputHold {
  /** Too many of its requests are open. */
  Pipeline = "pipeline",
  /** Many of its requests are sent before earlier ones are answered. */
  Requests = "requests",
  /** Its body comes in too many small chunks. */
  Chunks = "chunks",
}

/** Least and largest part that the parser gets at once, bytes. */
const MIN_SLICE_BYTES = 1_024;
const MAX_SLICE_BYTES = 65_536;
/** Requests and chunks in a part, up to which the next one is larger. */
const FEW_EVENTS = 8;
/** Requests and chunks in a part from which the next one is the smallest. */
const MANY_EVENTS = 32;
/** Bytes of a refused request that are read and dropped. */
const MAX_DROPPED_BYTES = 256 << 10;
/**
 * Time for which the connection of a refused request is still read, ms. A
 * connection that is closed with unread input is reset, and a client that is
 * still writing would lose the answer.
 */
const LINGER_MS = 1_000;
const LINE_FEED = 0x0a;

/** Part of the HTTP server's socket that its type declaration lacks. */
interface ServerSocket {
  /** Set while the server waits for the client to read responses. */
  readonly _paused?: boolean;
}

/** What the input of a connection needs of the process. */
export interface InputOptions {
  readonly scheduler: InputScheduler;
  /** Memory of input that was received and is not part of a request yet. */
  readonly memory: HeldMemory;
}

/**
 * Passes input to the HTTP parser in parts. The server's own parser reads all
 * that has arrived, up to 64 KiB, which may be thousands of requests or chunks;
 * between two parts the limits of the process apply. While a part waits, the
 * connection is not read, so that at most one read is kept for it.
 */
export class ClientInput implements InputSource {
  readonly #socket: Socket;
  readonly #options: InputOptions;
  readonly #parse: (part: Buffer) => void;
  readonly #holds = new Set<InputHold>();
  #pending: Buffer | undefined;
  #sliceBytes = MIN_SLICE_BYTES;
  #events = 0;
  /** The request that is being received. */
  #request: IncomingMessage | undefined;
  #isRequestNew = false;
  /** Memory of a part of a head or of trailers in the parser, bytes. */
  #partBytes = 0;
  /** Bytes that count in the memory. */
  #countedBytes = 0;
  #isInHead = false;
  #hadFewEvents = false;
  #isDropping = false;
  #droppedBytes = 0;

  /** `socket` is a connection that the HTTP server has just accepted. */
  constructor(socket: Socket, options: InputOptions) {
    this.#socket = socket;
    this.#options = options;
    const parsers = socket.listeners("data") as ((part: Buffer) => void)[];
    // The server stops to read the connection by itself once this is added.
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    for (const parser of parsers) socket.removeListener("data", parser);
    this.#parse = (part) => {
      for (const parser of parsers) parser.call(socket, part);
    };
    socket.on("resume", () => this.#feed());
    socket.once("close", () => this.#close());
  }

  /** Whether the rest of the input is dropped. */
  get isDropping(): boolean {
    return this.#isDropping;
  }

  /**
   * Whether a part of a request's head was the last to arrive, as far as can be
   * told from the requests and chunks in it.
   */
  get isInHead(): boolean {
    return this.#isInHead;
  }

  /** Whether input was received and has to wait until it is parsed. */
  get hasPending(): boolean {
    return this.#pending !== undefined;
  }

  /** Whether the connection is not read for now. */
  get isHeld(): boolean {
    return this.hasPending || this.#mustWait();
  }

  get isReady(): boolean {
    return this.hasPending && !this.#socket.destroyed && !this.#mustWait();
  }

  /** Whether a body is being received in few parts. */
  get isCheap(): boolean {
    if (this.#isInPlainBody()) return true;
    return this.#request !== undefined && !this.#isRequestNew &&
      this.#hadFewEvents;
  }

  /** The chunks of a new request's body are taken from the next turn on. */
  get mustYield(): boolean {
    return this.#isRequestNew && this.#request !== undefined;
  }

  /** Counts a request, the next one of the connection. */
  countRequest(request: IncomingMessage): void {
    this.#events += 1;
    this.#request = request;
    this.#isRequestNew = true;
  }

  /** Counts a chunk of a body. */
  countChunk(): void {
    this.#events += 1;
  }

  hold(reason: InputHold): void {
    if (this.#isDropping) return;
    this.#holds.add(reason);
    this.#socket.pause();
    stopReading(this.#socket);
  }

  release(reason: InputHold): void {
    if (!this.#holds.delete(reason) || this.#holds.size > 0) return;
    this.#socket.resume();
  }

  /**
   * Drops the rest of the input: its request is refused, and the response to it
   * closes the connection.
   */
  drop(): void {
    if (this.#isDropping) return;
    this.#isDropping = true;
    this.#pending = undefined;
    this.#partBytes = 0;
    this.#countMemory();
    this.#holds.clear();
    const socket = this.#socket;
    // The server calls this after the last response.
    socket.destroySoon = () => this.#closeLater();
    startReading(socket);
    socket.resume();
  }

  #close(): void {
    this.#pending = undefined;
    this.#request = undefined;
    this.#options.scheduler.remove(this);
    this.#options.memory.release();
  }

  #closeLater(): void {
    const socket = this.#socket;
    if (socket.destroyed) return;
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    const close = () => {
      clearTimeout(timer);
      socket.destroy();
    };
    if (socket.readableEnded) close();
    else socket.once("end", close);
    socket.once("close", () => clearTimeout(timer));
  }

  #receive(chunk: Buffer): void {
    if (this.#isDropping) return this.#dropChunk(chunk);
    this.#pending = this.#pending
      ? Buffer.concat([this.#pending, chunk])
      : chunk;
    this.#feed();
  }

  #dropChunk({ length }: Buffer): void {
    this.#droppedBytes += length;
    if (this.#droppedBytes > MAX_DROPPED_BYTES) this.#socket.pause();
  }

  /** Has the rest parsed, now or later, and reads on once there is none. */
  #feed(): void {
    this.#options.scheduler.schedule(this);
    this.#updateReading();
  }

  parseNext(): void {
    const pending = this.#pending!;
    const slice = pending.subarray(0, this.#sliceBytes);
    this.#pending = slice.length < pending.length
      ? pending.subarray(slice.length)
      : undefined;
    this.#events = 0;
    this.#isRequestNew = false;
    this.#parse(slice);
    this.#isInHead = this.#events === 0;
    // Otherwise an idle connection would keep the head of its last request.
    if (this.#request?.complete) this.#request = undefined;
    this.#countPart(slice);
    this.#hadFewEvents = this.#events > 0 && this.#events <= FEW_EVENTS;
    if (this.#events > MANY_EVENTS) this.#sliceBytes = MIN_SLICE_BYTES;
    else if (this.#events <= FEW_EVENTS) {
      this.#sliceBytes = Math.min(2 * this.#sliceBytes, MAX_SLICE_BYTES);
    }
    if (this.#isDropping || this.#socket.destroyed) this.#pending = undefined;
    this.#updateReading();
  }

  /** Counts what the parser keeps of a head or trailers that go on. */
  #countPart(slice: Buffer): void {
    const isPart = this.#events === 0 && !this.#isInPlainBody() &&
      !this.#isDropping;
    this.#partBytes = isPart
      ? this.#partBytes + slice.length + estimateLineBytes(countLines(slice))
      : 0;
  }

  /** Whether the body of a stated length is being received. */
  #isInPlainBody(): boolean {
    return this.#request !== undefined &&
      this.#request.headers["transfer-encoding"] === undefined;
  }

  /** Reads the connection only if nothing that it has sent has to wait. */
  #updateReading(): void {
    this.#countMemory();
    if (this.#isDropping || this.#socket.destroyed) return;
    if (this.isHeld) stopReading(this.#socket);
    else startReading(this.#socket);
  }

  #countMemory(): void {
    if (this.#socket.destroyed) return;
    const bytes = this.#partBytes + (this.#pending?.buffer.byteLength ?? 0);
    if (bytes === this.#countedBytes) return;
    this.#countedBytes = bytes;
    const { memory } = this.#options;
    memory.release();
    if (bytes === 0) return;
    // May give up this connection.
    memory.add(bytes - this.#partBytes);
    if (this.#partBytes > 0) memory.addHeap(this.#partBytes);
  }

  #mustWait(): boolean {
    const isEnding = this.#isDropping || this.#socket.destroyed;
    return !isEnding && (this.#holds.size > 0 || this.#socket.isPaused() ||
      (this.#socket as unknown as ServerSocket)._paused === true);
  }
}

function countLines(part: Buffer): number {
  let lines = 0;
  let at = part.indexOf(LINE_FEED);
  while (at >= 0) {
    lines += 1;
    at = part.indexOf(LINE_FEED, at + 1);
  }
  return lines;
}
