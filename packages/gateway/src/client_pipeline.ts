/** Requests that a client sends before earlier ones are answered. @module */
import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import { type ClientInput, InputHold } from "./client_input.js";
import { estimateHeadBytes } from "./head_memory.js";
import {
  HeldKind,
  type HeldMemory,
  type MemoryBudget,
} from "./memory_budget.js";
import { hasNoBody } from "./request_body.js";
import { resetSocket } from "./socket_reset.js";

/** Largest number of requests of one connection that run at the same time. */
const MAX_RUNNING = 16;
/** Time within which the rest of an answered request has to arrive, ms. */
const REST_TIMEOUT_MS = 3_000;

/** What a pipeline needs of its connection and of all others. */
export interface PipelineOptions {
  readonly socket: Socket;
  readonly input: ClientInput;
  /** Memory of the requests. */
  readonly budget: MemoryBudget;
  /** Returns whether responses should close their connections. */
  readonly isClosing: () => boolean;
  /** Returns the number of open requests above which it is not read. */
  readonly getMaxOpen: () => number;
  /** Called with the change of the number of open requests. */
  readonly onOpenChange: (pipeline: ClientPipeline, change: number) => void;
}

/**
 * The open requests of one client connection, in the order of their responses.
 * A response that closes the connection makes the client repeat all requests
 * behind it, so none of them may have run unless it is idempotent.
 */
export class ClientPipeline {
  readonly #socket: Socket;
  readonly #options: PipelineOptions;
  #open: readonly PipelinedRequest[] = [];
  /** The request whose response closes the connection. */
  #last: PipelinedRequest | undefined;
  #isClosed = false;
  #hasAnswered = false;
  /** What is sent after the last response because the input is malformed. */
  #rejection: string | undefined;

  constructor(options: PipelineOptions) {
    const { socket } = options;
    this.#socket = socket;
    this.#options = options;
    socket.once("close", () => this.#endAll());
  }

  /** Number of requests whose responses were not sent completely. */
  get open(): number {
    return this.#open.length;
  }

  get socket(): Socket {
    return this.#socket;
  }

  /** Whether a response was sent completely. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the rest of its last request has to arrive. */
  get isReceiving(): boolean {
    const last = this.#open.at(-1);
    return last !== undefined && !last.isRead;
  }

  /** Whether some open request may have been sent to a server. */
  get isRunning(): boolean {
    return this.#open.some((p) => p.isRunning);
  }

  /** Whether no request is being received or may have been sent to a server. */
  get hasNoRequest(): boolean {
    return !this.isReceiving && !this.isRunning;
  }

  get input(): ClientInput {
    return this.#options.input;
  }

  /** Adds the next request of the connection. */
  add(request: IncomingMessage, response: ServerResponse): PipelinedRequest {
    const pipelined = new PipelinedRequest(this, request);
    this.#open = [...this.#open, pipelined];
    response.once("close", () => {
      this.#hasAnswered ||= response.writableFinished;
      this.#remove(pipelined);
    });
    this.input.countRequest(request);
    this.#options.onOpenChange(this, 1);
    pipelined.countHead();
    this.#limitInput();
    return pipelined;
  }

  /**
   * Handles input that is no request. Requests before it are answered first,
   * then the input is answered with `status` and the connection is closed.
   */
  rejectInput(status: number): void {
    if (this.#rejection !== undefined) return;
    const last = this.#open.at(-1);
    const isBody = last !== undefined && !last.isRead;
    // The response to a request with a malformed body is its own.
    this.#rejection = isBody ? "" : formatRejection(status);
    if (isBody) last.onMalformed(status);
    this.advance();
  }

  /**
   * Resets the connection and ends its requests. Their memory is returned now,
   * not with the connection's `close` event.
   */
  cutOff(): void {
    resetSocket(this.#socket);
    this.#endAll();
  }

  /**
   * Returns whether the response to `pipelined` has to close the connection. It
   * must not while a later request is running.
   */
  takeClose(pipelined: PipelinedRequest): boolean {
    const later = this.#open.slice(this.#open.indexOf(pipelined) + 1);
    if (!this.#options.isClosing() || later.some((p) => p.isRunning)) {
      return false;
    }
    this.endAfter(pipelined);
    return true;
  }

  /** Starts no request behind this one: its response closes the connection. */
  endAfter(pipelined: PipelinedRequest): void {
    this.#last = pipelined;
  }

  /** Starts the requests that may run. */
  advance(): void {
    if (this.#isClosed) return;
    if (this.#open.length === 0) return this.#rejectRest();
    let running = this.#open.filter((p) => p.isRunning).length;
    for (const [index, pipelined] of this.#open.entries()) {
      const isBehind = index > 0;
      if (isBehind && (this.#options.isClosing() || running >= MAX_RUNNING)) {
        break;
      }
      if (pipelined.start({ isBehind })) running += 1;
      if (pipelined === this.#last) break;
    }
  }

  /** Opens the memory of a request. */
  openMemory(giveUp: () => void): HeldMemory {
    return this.#options.budget.open({
      kind: HeldKind.Request,
      address: this.#socket.remoteAddress ?? "",
      giveUp,
    });
  }

  /** Whether the response to `pipelined` can be sent before all others. */
  isFirst(pipelined: PipelinedRequest): boolean {
    return this.#open[0] === pipelined;
  }

  /** Ends all requests: responses that were not begun report no end. */
  #endAll(): void {
    this.#isClosed = true;
    const open = this.#open;
    this.#open = [];
    this.#options.onOpenChange(this, -open.length);
    for (const pipelined of open) pipelined.end();
  }

  #remove(pipelined: PipelinedRequest): void {
    if (!this.#open.includes(pipelined)) return;
    this.#open = this.#open.filter((p) => p !== pipelined);
    this.#options.onOpenChange(this, -1);
    pipelined.end();
    if (pipelined === this.#last) this.#isClosed = true;
    this.#limitInput();
    this.advance();
  }

  #limitInput(): void {
    if (this.open > this.#options.getMaxOpen()) {
      this.input.hold(InputHold.Pipeline);
    } else this.input.release(InputHold.Pipeline);
  }

  #rejectRest(): void {
    if (this.#rejection === undefined || !this.#socket.writable) return;
    this.#isClosed = true;
    this.input.drop();
    this.#socket.write(this.#rejection);
    this.#socket.destroySoon();
  }
}

function formatRejection(status: number): string {
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`;
  return `${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** A request of a pipeline. */
export class PipelinedRequest {
  readonly #pipeline: ClientPipeline;
  readonly #request: IncomingMessage;
  readonly #turn: Promise<void>;
  #hasEnded = false;
  #resolveTurn: () => void = () => {};
  /** Whether it waits for its turn, and whether it may run more than once. */
  #waiting: { readonly isRepeatable: boolean } | undefined;
  #isRunning = false;
  /** Called with a status if the rest of the request is malformed. */
  onMalformed: (status: number) => void = () => {};
  onEnd: () => void = () => {};
  /** Called when the memory of the request is needed and it was not sent. */
  onGiveUp: () => void = () => this.cutOff();
  /** Memory of the request, until its response was sent. */
  readonly memory: HeldMemory;

  constructor(pipeline: ClientPipeline, request: IncomingMessage) {
    this.#pipeline = pipeline;
    this.#request = request;
    this.#turn = new Promise((resolve) => this.#resolveTurn = resolve);
    this.memory = pipeline.openMemory(() => this.#giveUp());
  }

  /** Counts the memory of its head, and of its trailers once they arrive. */
  countHead(): void {
    const request = this.#request;
    this.memory.addHeap(estimateHeadBytes(request.rawHeaders));
    if (hasNoBody(request)) return;
    request.once("end", () => {
      const { rawTrailers } = request;
      if (rawTrailers.length === 0 || this.#hasEnded) return;
      this.memory.addHeap(estimateHeadBytes(rawTrailers));
    });
  }

  /** Whether the request may have been sent to a server. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** The connection's input. */
  get input(): ClientInput {
    return this.#pipeline.input;
  }

  /** Whether the request was received completely. */
  get isRead(): boolean {
    return this.#request.complete;
  }

  /**
   * Waits until the request may be sent to a server. Also resolves once its
   * connection has closed or its response was sent.
   */
  waitForTurn(options: { isRepeatable: boolean }): Promise<void> {
    this.#waiting = options;
    this.#pipeline.advance();
    return this.#turn;
  }

  /** Lets the request run if it is its turn; returns whether it now does. */
  start({ isBehind }: { isBehind: boolean }): boolean {
    if (!this.#waiting || isBehind && !this.#waiting.isRepeatable) return false;
    this.#waiting = undefined;
    this.#isRunning = true;
    this.#resolveTurn();
    return true;
  }

  /** Called once its response was sent or its connection has closed. */
  end(): void {
    this.#hasEnded = true;
    this.release();
    this.onEnd();
    // They refer to the call, and with it to the body.
    this.onMalformed = () => {};
    this.onGiveUp = () => this.cutOff();
    if (this.isRead || this.#request.destroyed) this.memory.release();
    else this.#awaitRest();
  }

  /**
   * Keeps the memory of an answered request until the rest of it has arrived,
   * for a bounded time: the parser refers to its head.
   */
  #awaitRest(): void {
    const timer = setTimeout(() => this.cutOff(), REST_TIMEOUT_MS);
    this.#request.once("close", () => {
      clearTimeout(timer);
      this.memory.release();
    });
  }

  /** Ends a request that was not sent, and returns its memory. */
  #giveUp(): void {
    // The response to one behind others is kept until theirs were sent.
    const isKept = !this.#pipeline.isFirst(this) && !this.#pipeline.isRunning;
    if (this.#hasEnded || isKept) this.cutOff();
    else this.onGiveUp();
    this.#request.rawHeaders.length = 0;
    this.#request.headers = {};
    this.memory.release();
  }

  /** Ends the wait for a turn that will not come. */
  release(): void {
    this.#waiting = undefined;
    this.#resolveTurn();
  }

  /** Returns whether its response has to close the connection. */
  takeClose(): boolean {
    return this.#pipeline.takeClose(this);
  }

  /** Resets its connection. */
  cutOff(): void {
    this.#pipeline.cutOff();
  }

  /** Called if its response closes the connection in any case. */
  endPipeline(): void {
    this.#pipeline.endAfter(this);
  }
}
