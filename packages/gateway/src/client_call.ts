/** A client's request and its single response. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestKind, type Route } from "@jaytiller/routing";
import type { ClientInput } from "./client_input.js";
import type { PipelinedRequest } from "./client_pipeline.js";
import type { ServerAnswer } from "./exchange.js";
import type { HeldMemory } from "./memory_budget.js";
import type { RequestMetadata } from "./ports.js";
import { getStatedLength, hasNoBody } from "./request_body.js";
import { ResponseWriter } from "./response_writer.js";

/** Statuses of responses that the router itself generates. */
export enum RouterStatus {
  BadRequest = 400,
  NotFound = 404,
  TooLarge = 413,
  /** Guarantees that the request has not run and will not run. */
  Refused = 503,
  /** The request may have run. */
  Unknown = 502,
  /** The deadline has passed; the request may have run. */
  TimedOut = 504,
}

/**
 * Delay of the router's own response after the deadline, ms. It lets a response
 * of the server that arrives just after the deadline be forwarded instead.
 */
const TIMEOUT_GRACE_MS = 120;
/** Stated length up to which the rest of a refused body is read, bytes. */
const MAX_READ_REFUSED_BYTES = 256 << 10;

/** A client's request; sends at most one response. */
export class ClientCall {
  readonly request: IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  /** Monotonic time of arrival, ms. */
  readonly arrivedMs: number;
  /** Monotonic time after which the client no longer waits, ms. */
  readonly deadlineMs: number;
  /** Service that handles the request. */
  readonly service: string;
  /** Ids of the servers that may have received the request. */
  readonly triedServers: string[] = [];
  /** Whether some server may have run the request. */
  mayHaveRun = false;
  /** Whether an exchange that has written the request is in progress. */
  isSent = false;
  /** Monotonic time at which the request was last written, ms. */
  sentAtMs: number | undefined;
  /** Share of the requests that were admitted, if it was below 1. */
  admissionShare: number | undefined;
  /** Second attempt, if one was sent, and which server was answered first. */
  hedge: { readonly server: string; readonly winner?: string } | undefined;
  readonly #response: ServerResponse;
  readonly #cancel = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #pipelined: PipelinedRequest;
  #status: number | undefined;
  #clientLeftAtMs: number | undefined;
  /** Whether the request was refused because its memory was needed. */
  isGivenUp = false;
  /** Called once the status of the response is known. */
  onAnswered: () => void = () => {};
  onTimeout: () => void = () => {};
  onClientLeft: () => void = () => {};

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: CallOptions,
  ) {
    this.request = request;
    this.#response = response;
    this.metadata = options.metadata;
    this.route = options.route;
    this.service = options.service;
    this.arrivedMs = options.nowMs;
    this.#pipelined = options.pipelined;
    this.#pipelined.onMalformed = (status) => this.#rejectRest(status);
    const { timeoutMs } = options.route;
    const allowedMs = Math.min(
      options.metadata.deadlineMs ?? timeoutMs,
      timeoutMs,
    );
    this.deadlineMs = options.nowMs + allowedMs;
    this.#timer = setTimeout(
      () => this.onTimeout(),
      allowedMs + TIMEOUT_GRACE_MS,
    );
    const { socket } = request;
    socket.once("end", this.#handleLeaving);
    socket.once("close", this.#handleLeaving);
  }

  /** Aborted once a server's response is no longer needed. */
  get signal(): AbortSignal {
    return this.#cancel.signal;
  }

  get isAnswered(): boolean {
    return this.#status !== undefined;
  }

  get hasClientLeft(): boolean {
    return this.#clientLeftAtMs !== undefined;
  }

  /** Monotonic time at which the client was found to have left, ms. */
  get clientLeftAtMs(): number | undefined {
    return this.#clientLeftAtMs;
  }

  get status(): number | undefined {
    return this.#status;
  }

  /** Address of the client; that of a load balancer if there is one. */
  get clientAddress(): string {
    return this.request.socket.remoteAddress ?? "";
  }

  /** Memory of the request. */
  get memory(): HeldMemory {
    return this.#pipelined.memory;
  }

  /** Sets what gives up the request while it was not sent. */
  onGiveUp(giveUp: () => void): void {
    this.#pipelined.onGiveUp = giveUp;
  }

  /** Input of the client's connection. */
  get input(): ClientInput {
    return this.#pipelined.input;
  }

  cancel(): void {
    this.#cancel.abort();
  }

  /** Refuses a request that was not sent, because its memory is needed. */
  giveUp(retryAfterMs: number): void {
    if (this.isAnswered) return;
    this.isGivenUp = true;
    this.answer(RouterStatus.Refused, retryAfterMs);
    this.cancel();
    // Ends its wait for a server.
    this.onClientLeft();
  }

  /** Notices a closed connection before its `close` event. */
  checkConnection(): void {
    if (this.request.socket.destroyed) this.#handleLeaving();
  }

  /**
   * Forwards a server's response to the client. `memory` is released once it
   * was sent.
   */
  deliver(answer: ServerAnswer, memory: HeldMemory): void {
    if (this.isAnswered) return;
    this.#end(answer.status);
    if (this.request.socket.destroyed) return;
    const writer = new ResponseWriter(this.#response, answer.body);
    this.#pipelined.onEnd = () => {
      writer.drop();
      memory.release();
    };
    // Its server may have closed the connection early, which shows nowhere.
    if (answer.isUnframed) this.#pipelined.endPipeline();
    const isClosing = answer.isUnframed || this.#pipelined.takeClose();
    const headers = isClosing
      ? [...answer.headers, "Connection", "close"]
      : [...answer.headers];
    this.#response.writeHead(answer.status, answer.message, headers);
    writer.write();
    memory.add(answer.body.size);
  }

  /** Cuts off a response that the client does not read. */
  cutOff(): void {
    this.#pipelined.cutOff();
  }

  /** Sends a response of the router; `retryAfterMs` sets `Retry-After`. */
  answer(status: RouterStatus, retryAfterMs?: number): void {
    if (this.isAnswered) return;
    this.#end(status);
    this.#pipelined.release();
    sendEmptyAnswer(this.#response, {
      status,
      isClosing: endUnreadBody(this.request, this.#pipelined) ||
        this.#pipelined.takeClose(),
      retryAfterMs,
    });
  }

  /** Waits until earlier requests of the connection let this one run. */
  waitForTurn(): Promise<void> {
    const isRepeatable = this.route.kind === RequestKind.Idempotent;
    return this.#pipelined.waitForTurn({ isRepeatable });
  }

  #rejectRest(status: number): void {
    if (this.isAnswered) return;
    this.#end(status);
    this.#pipelined.endPipeline();
    sendEmptyAnswer(this.#response, { status, isClosing: true });
  }

  #end(status: number): void {
    this.#status = status;
    this.#stopWatching();
    this.onAnswered();
  }

  #stopWatching(): void {
    clearTimeout(this.#timer);
    const { socket } = this.request;
    socket.removeListener("end", this.#handleLeaving);
    socket.removeListener("close", this.#handleLeaving);
  }

  readonly #handleLeaving = () => {
    this.#stopWatching();
    if (this.isAnswered || this.hasClientLeft) return;
    this.#clientLeftAtMs = performance.now();
    this.onClientLeft();
  };
}

/** A request as received from a client. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly pipelined: PipelinedRequest;
}

/** Options of a `ClientCall`. */
export interface CallOptions {
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: string;
  readonly nowMs: number;
  readonly pipelined: PipelinedRequest;
}

/**
 * Stops reading a request that is refused before its body has arrived, unless
 * the rest is short. Returns whether the response has to close the connection.
 */
export function endUnreadBody(
  request: IncomingMessage,
  pipelined: PipelinedRequest,
): boolean {
  if (request.complete || hasNoBody(request)) return false;
  const length = getStatedLength(request);
  if (length > 0 && length <= MAX_READ_REFUSED_BYTES) return false;
  pipelined.endPipeline();
  pipelined.input.drop();
  return true;
}

/** Sends a response of the router with an empty body. */
export function sendEmptyAnswer(
  response: ServerResponse,
  options: {
    status: number;
    isClosing: boolean;
    retryAfterMs?: number | undefined;
  },
): void {
  const headers = ["Content-Length", "0"];
  if (options.retryAfterMs !== undefined) {
    headers.push("Retry-After", (options.retryAfterMs / 1000).toFixed(3));
  }
  if (options.isClosing) headers.push("Connection", "close");
  response.writeHead(options.status, headers);
  response.end();
}
