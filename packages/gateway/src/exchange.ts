/** An HTTP exchange with a backend server. @module */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import type { Socket } from "node:net";
import { type Body, BodyChunks } from "./body_chunks.js";
import type { ChunkPacer } from "./chunk_pacer.js";
import type { RequestProtocol, ResponseMetadata } from "./ports.js";
import {
  hasTooManyChunks,
  type ResponseBuffers,
  watchHead,
} from "./response_limits.js";
import { resetSocket, wasReset } from "./socket_reset.js";

/** How an exchange ended. */
export enum ExchangeEnd {
  /** The server sent a complete response to this request. */
  Answered = "answered",
  /** The server guarantees that it has not run the request. */
  NotRun = "notRun",
  /** No connection was made, so the server received nothing. */
  NotSent = "notSent",
  /**
   * Nothing was written, for a reason that says nothing about the server: the
   * response is no longer needed, or a kept connection had closed.
   */
  Unsent = "unsent",
  /** No usable response arrived; the request may have run. */
  Broken = "broken",
  /** No response arrived in time; the request may have run. */
  TimedOut = "timedOut",
  /** The response is no longer needed; the request may have run. */
  Cancelled = "cancelled",
}

/** A server's response without hop-by-hop headers. */
export interface ServerAnswer {
  readonly status: number;
  readonly message: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Body;
  /** Whether the server delimited the body by the end of the connection. */
  readonly isUnframed: boolean;
}

/** Result of an exchange. */
export interface ExchangeResult {
  readonly end: ExchangeEnd;
  readonly answer?: ServerAnswer;
  readonly metadata?: ResponseMetadata;
  /** Whether the server sent bytes that would not have ended. */
  readonly isEndless?: boolean;
  /** Why there is no usable response, for the log. */
  readonly problem?: string;
  readonly latencyMs: number;
}

/** The request to send and its destination. */
export interface ExchangeOptions {
  readonly agent: Agent;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Body;
  readonly attemptId: string | undefined;
  /** Time within which the complete response must arrive, ms. */
  readonly timeoutMs: number;
  /** Counts the bodies of all exchanges. */
  readonly buffers: ResponseBuffers;
  /** Bounds the time that all exchanges take for small chunks. */
  readonly pacer: ChunkPacer;
  /**
   * Aborted once the response is no longer needed. Ends the exchange if nothing
   * was written yet, or if the request may run again.
   */
  readonly signal: AbortSignal;
  readonly isRepeatable: boolean;
  /**
   * Waits until input that has arrived was read, which may show that the
   * response is no longer needed. Returns `undefined` if none can be old.
   */
  readonly readPendingInput: () => Promise<void> | undefined;
  /** Called immediately before the request is written. */
  readonly onWrite: () => void;
}

/**
 * Time within which a connection must be made, ms. It takes one round trip; a
 * lost packet is retransmitted only after 1 s.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Largest response body that is forwarded, bytes. */
const MAX_ANSWER_BYTES = 32 << 20;

/**
 * Bytes beside a body, its head and what follows it, from which they count as
 * endless. One read holds at most 65,536 bytes.
 */
const MAX_SURPLUS_BYTES = 49_152;
/** Most bytes that frame a chunk without extensions. */
const CHUNK_FRAMING_BYTES = 12;
/** Least and largest status of a final response. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** Characters that a reason phrase must not have. */
const CONTROL_CHARACTERS = /[^\t\x20-\x7e\x80-\xff]/g;
/** Status of responses that must not state a length. */
const NO_CONTENT_STATUS = 204;
/** Statuses of responses without body and `Content-Length`. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([
  NO_CONTENT_STATUS,
  304,
]);

/** Hop-by-hop headers, which apply to a single connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/**
 * Copies headers except hop-by-hop headers and those for which `isDropped`
 * returns true.
 */
export function copyEndToEndHeaders(
  raw: readonly string[],
  isDropped: (name: string) => boolean,
): string[] {
  const connectionOptions = listConnectionOptions(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)) continue;
    if (!isDropped(name)) kept.push(raw[i]!, raw[i + 1]!);
  }
  return kept;
}

/** Lists the further hop-by-hop headers that `Connection` headers name. */
function listConnectionOptions(raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1]!.split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}

/** Sends a request and waits for the complete response. Never rejects. */
export function runExchange(
  options: ExchangeOptions,
  protocol: RequestProtocol,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    new Exchange(options, protocol, resolve).start();
  });
}

class Exchange {
  readonly #options: ExchangeOptions;
  readonly #protocol: RequestProtocol;
  readonly #resolve: (result: ExchangeResult) => void;
  readonly #startedAt = performance.now();
  #request: ClientRequest | undefined;
  #isConnected = false;
  #isWritten = false;
  #response: IncomingMessage | undefined;
  #isFinished = false;
  #socket: Socket | undefined;
  /** Whether the server has reset the connection at its end. */
  #wasReset = false;
  /** Bytes that the connection had received before the request. */
  #bytesReadBefore = 0;
  /** Whether the connection is not read for now. */
  #isPaused = false;
  #connectTimer: NodeJS.Timeout | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    options: ExchangeOptions,
    protocol: RequestProtocol,
    resolve: (result: ExchangeResult) => void,
  ) {
    this.#options = options;
    this.#protocol = protocol;
    this.#resolve = resolve;
  }

  start(): void {
    const options = this.#options;
    if (options.signal.aborted) return this.#finish(ExchangeEnd.Unsent);
    try {
      this.#request = createRequest(options);
    } catch (error) {
      // A header or target that cannot be written.
      const problem = (error as Error).message;
      return this.#finish(ExchangeEnd.Unsent, { problem });
    }
    watchHead(
      this.#request,
      () => this.#failEndless("response head too large"),
    );
    this.#watchRequest(this.#request);
    options.signal.addEventListener("abort", this.#onAbort);
    this.#timer = setTimeout(
      () => void this.#expire(ExchangeEnd.TimedOut, "no answer in time"),
      options.timeoutMs,
    );
  }

  readonly #body = {
    discard: () => this.#fail(ExchangeEnd.Broken, "no memory for the answer"),
    pause: () => this.#setPaused(true),
    resume: () => this.#setPaused(false),
  };

  readonly #onSocketEnd = () => {
    if (this.#socket) this.#wasReset = wasReset(this.#socket);
  };

  readonly #onAbort = () => {
    if (this.#isWritten && !this.#options.isRepeatable) return;
    this.#failWritten(ExchangeEnd.Cancelled, "cancelled");
  };

  /**
   * Ends the exchange after a timeout. A connection or a response that arrived
   * in time may still be unread, and is read first.
   */
  async #expire(end: ExchangeEnd, problem: string): Promise<void> {
    await this.#options.readPendingInput();
    if (end !== ExchangeEnd.NotSent) this.#failWritten(end, problem);
    else if (!this.#isConnected) this.#fail(end, problem);
  }

  /** Writes the request, once it is certain that its response is needed. */
  async #write(): Promise<void> {
    this.#isConnected = true;
    await this.#options.readPendingInput();
    if (this.#isFinished) return;
    this.#isWritten = true;
    this.#bytesReadBefore = this.#request!.socket?.bytesRead ?? 0;
    const { body, onWrite } = this.#options;
    onWrite();
    body.writeTo(this.#request!);
    this.#request!.end();
  }

  #watchRequest(request: ClientRequest): void {
    request.on("socket", (socket) => {
      this.#socket = socket;
      // Precedes the HTTP client, to which the end completes the response.
      socket.prependListener("end", this.#onSocketEnd);
      if (!socket.connecting) return void this.#write();
      this.#connectTimer = setTimeout(
        () => void this.#expire(ExchangeEnd.NotSent, "no connection in time"),
        CONNECT_TIMEOUT_MS,
      );
      socket.setNoDelay(true);
      socket.once("connect", () => {
        clearTimeout(this.#connectTimer);
        void this.#write();
      });
    });
    request.on("response", (response) => this.#readAnswer(response));
    request.on("error", (error: NodeJS.ErrnoException) => {
      const problem = error.code ?? error.message;
      // Bytes behind a complete response belong to no request.
      if (this.#response?.complete) return;
      if (!this.#isConnected) this.#fail(ExchangeEnd.NotSent, problem);
      else this.#failWritten(ExchangeEnd.Broken, problem);
    });
    request.on("close", () => {
      // A response that has begun reports its own end or failure.
      if (!this.#response) this.#failWritten(ExchangeEnd.Broken, "closed");
    });
  }

  #setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    const socket = this.#request?.socket;
    if (isPaused) socket?.pause();
    else socket?.resume();
  }

  #readAnswer(response: IncomingMessage): void {
    this.#response = response;
    // A response resumes its connection whenever it can take more.
    const readMore = response._read.bind(response);
    response._read = (size) => {
      if (!this.#isPaused) readMore(size);
    };
    const chunks = new BodyChunks();
    const { buffers, pacer } = this.#options;
    response.on("data", (chunk: Buffer) => {
      if (this.#isFinished) return;
      buffers.add(this.#body, chunks.add(chunk));
      if (hasTooManyChunks(chunks)) return this.#failEndless("too many chunks");
      if (chunks.size > MAX_ANSWER_BYTES) {
        // A length that is stated has an end.
        const isEndless = response.headers["content-length"] === undefined;
        return this.#fail(ExchangeEnd.Broken, "answer too large", isEndless);
      }
      pacer.count(this.#body, chunks.count);
    });
    response.on("error", (error) => {
      this.#fail(ExchangeEnd.Broken, error.message);
    });
    response.on("close", () => this.#fail(ExchangeEnd.Broken, "closed"));
    response.on("end", () => {
      if (!response.complete || this.#isCutByReset(response)) {
        return this.#fail(ExchangeEnd.Broken, "answer cut short");
      }
      this.#checkAnswer(response, chunks);
    });
  }

  /** A response without a length is complete only if no reset ended it. */
  #isCutByReset(response: IncomingMessage): boolean {
    return this.#wasReset && isUnframed(response);
  }

  #checkAnswer(response: IncomingMessage, chunks: BodyChunks): void {
    const body = chunks.finish();
    const metadata = this.#protocol.parseResponseHeaders(response.headers);
    const status = response.statusCode ?? 0;
    if (metadata.attemptId !== this.#options.attemptId) {
      return this.#fail(ExchangeEnd.Broken, "answer to another request");
    }
    if (metadata.isNotRun || status === 421) {
      this.#finish(ExchangeEnd.NotRun, {
        metadata,
        answer: this.#makeAnswer(response, body),
      });
      return this.#endUpload();
    }
    const problem = findProblem(response, metadata);
    if (problem) return this.#fail(ExchangeEnd.Broken, problem);
    const answer = this.#makeAnswer(response, body);
    const isEndless = this.#hasSurplus(chunks);
    this.#finish(ExchangeEnd.Answered, { metadata, answer, isEndless });
    this.#endUpload();
  }

  /**
   * Makes the answer to forward. It states the length of its body, which is
   * known now, so that the client notices a missing part.
   */
  #makeAnswer(response: IncomingMessage, body: Body): ServerAnswer {
    const status = response.statusCode ?? 0;
    const headers = copyEndToEndHeaders(
      response.rawHeaders,
      (name) => name === "content-length" && status === NO_CONTENT_STATUS,
    );
    const isBodiless = this.#options.method === "HEAD" ||
      BODILESS_STATUSES.has(status);
    const statesLength = response.headers["content-length"] !== undefined;
    if (!isBodiless && !statesLength) {
      headers.push("Content-Length", String(body.size));
    }
    return {
      status,
      message: (response.statusMessage ?? "").replace(CONTROL_CHARACTERS, ""),
      headers,
      body,
      isUnframed: isUnframed(response),
    };
  }

  /**
   * Closes the connection if the server has answered before it has read the
   * request, whose body would be kept until then.
   */
  #endUpload(): void {
    if (this.#request?.writableFinished) return;
    if (this.#socket) resetSocket(this.#socket);
    this.#request?.destroy();
  }

  /** Returns whether far more than the response arrived with it. */
  #hasSurplus({ size, count }: BodyChunks): boolean {
    const socket = this.#request?.socket;
    // Bytes that belong to no request have ended the connection.
    if (!socket?.destroyed) return false;
    const received = socket.bytesRead - this.#bytesReadBefore;
    return received - size - CHUNK_FRAMING_BYTES * count > MAX_SURPLUS_BYTES;
  }

  /** Ends the exchange; it ends as `Unsent` if nothing was written. */
  #failWritten(end: ExchangeEnd, problem: string): void {
    this.#fail(this.#isWritten ? end : ExchangeEnd.Unsent, problem);
  }

  /** Ends the exchange with a server that sends what no response has. */
  #failEndless(problem: string): void {
    if (this.#isWritten) this.#fail(ExchangeEnd.Broken, problem, true);
    else this.#fail(ExchangeEnd.Unsent, problem);
  }

  /** Ends the exchange without a response and destroys the connection. */
  #fail(end: ExchangeEnd, problem: string, isEndless = false): void {
    if (this.#isFinished) return;
    this.#finish(end, { problem, ...(isEndless ? { isEndless } : {}) });
    const socket = this.#request?.socket;
    if (socket) resetSocket(socket);
    this.#request?.destroy();
  }

  #finish(end: ExchangeEnd, rest: Partial<ExchangeResult> = {}): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#connectTimer);
    this.#options.signal.removeEventListener("abort", this.#onAbort);
    this.#socket?.removeListener("end", this.#onSocketEnd);
    this.#options.buffers.remove(this.#body);
    this.#options.pacer.remove(this.#body);
    const latencyMs = performance.now() - this.#startedAt;
    this.#resolve({ end, latencyMs, ...rest });
  }
}

/** Creates the request. Throws if it cannot be written as HTTP. */
function createRequest(options: ExchangeOptions): ClientRequest {
  const [host, port] = options.address.split(":");
  return sendRequest({
    agent: options.agent,
    host: host!,
    port: Number(port),
    method: options.method,
    path: options.target,
    headers: options.headers as unknown as Record<string, string>,
    setHost: false,
  });
}

/** Returns why a response cannot be forwarded, if it cannot. */
function findProblem(
  response: IncomingMessage,
  metadata: ResponseMetadata,
): string | undefined {
  const status = response.statusCode ?? 0;
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
    return "status out of range";
  }
  if (response.rawHeaders.some((text, i) => i % 2 === 0 && text === "")) {
    return "header without a name";
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && !metadata.isSigned) return "success without a signature";
  if (response.headers["content-encoding"]) return "encoded response body";
  return undefined;
}

/**
 * Returns whether a response has neither length nor chunks, so that only the
 * end of its connection shows that it is complete.
 */
function isUnframed({ statusCode, headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined &&
    !BODILESS_STATUSES.has(statusCode ?? 0);
}
