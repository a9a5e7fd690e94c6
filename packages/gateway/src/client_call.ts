/** A client's request and the one answer that it gets. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Route } from "@jaytiller/routing";
import type { ServerAnswer } from "./exchange.js";
import type { RequestFacts } from "./ports.js";

/** Answers of the router itself. */
export enum OwnStatus {
  BadRequest = 400,
  NotFound = 404,
  TooLarge = 413,
  /** A promise: the request has not run and will not run. */
  Refused = 503,
  /** The request may have run. */
  Unknown = 502,
  /** The request may have run; its time is up. */
  TimedOut = 504,
}

/** How long an answer may be late, so that the server's own comes first, ms. */
const ANSWER_GRACE_MS = 120;

/** One request of a client. */
export class ClientCall {
  readonly request: IncomingMessage;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Monotonic time of arrival, ms. */
  readonly arrivedMs: number;
  /** Monotonic time after which nobody waits for the answer, ms. */
  readonly deadlineMs: number;
  /** Service that the request goes to. */
  readonly service: string;
  /** Servers that the request was sent to. */
  readonly tried: string[] = [];
  /** Whether some server may have run the request. */
  mayHaveRun = false;
  /** Whether a send is under way. */
  isSending = false;
  readonly #response: ServerResponse;
  readonly #cancel = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #isClosing: () => boolean;
  #status: number | undefined;
  #hasClientLeft = false;
  onTimeout: () => void = () => {};
  onClientLeft: () => void = () => {};

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: CallOptions,
  ) {
    this.request = request;
    this.#response = response;
    this.facts = options.facts;
    this.route = options.route;
    this.service = options.service;
    this.arrivedMs = options.nowMs;
    this.#isClosing = options.isClosing;
    const { timeoutMs } = options.route;
    const allowedMs = Math.min(
      options.facts.deadlineMs ?? timeoutMs,
      timeoutMs,
    );
    this.deadlineMs = options.nowMs + allowedMs;
    this.#timer = setTimeout(
      () => this.onTimeout(),
      allowedMs + ANSWER_GRACE_MS,
    );
    response.on("close", () => this.#noteClose());
  }

  /** Aborted once the answer of a server is of no use. */
  get signal(): AbortSignal {
    return this.#cancel.signal;
  }

  get isAnswered(): boolean {
    return this.#status !== undefined;
  }

  get hasClientLeft(): boolean {
    return this.#hasClientLeft;
  }

  get status(): number | undefined {
    return this.#status;
  }

  cancel(): void {
    this.#cancel.abort();
  }

  /** Passes a server's answer on. */
  deliver(answer: ServerAnswer): void {
    if (this.isAnswered) return;
    this.#end(answer.status);
    // An answer without a length is passed on without one.
    if (answer.isUnframed) this.#response.useChunkedEncodingByDefault = false;
    const closing = answer.isUnframed
      ? ["Connection", "close"]
      : this.#listClosing();
    this.#response.writeHead(
      answer.status,
      answer.message,
      [...answer.headers, ...closing],
    );
    this.#response.end(answer.body);
  }

  /** Answers for the router; `retryAfterMs` tells when to come back. */
  answer(status: OwnStatus, retryAfterMs?: number): void {
    if (this.isAnswered) return;
    this.#end(status);
    answerPlain(this.#response, {
      status,
      isClosing: this.#isClosing(),
      attemptId: this.facts.attemptId,
      retryAfterMs,
    });
  }

  #end(status: number): void {
    this.#status = status;
    clearTimeout(this.#timer);
  }

  #listClosing(): string[] {
    return this.#isClosing() ? ["Connection", "close"] : [];
  }

  #noteClose(): void {
    clearTimeout(this.#timer);
    if (this.isAnswered) return;
    this.#hasClientLeft = true;
    this.onClientLeft();
  }
}

/** What a call is made from. */
export interface CallOptions {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: string;
  readonly nowMs: number;
  /** Whether the router is about to close its connections. */
  readonly isClosing: () => boolean;
}

/** Sends a short answer of the router's own. */
export function answerPlain(
  response: ServerResponse,
  options: {
    status: OwnStatus;
    isClosing: boolean;
    attemptId?: string | undefined;
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
