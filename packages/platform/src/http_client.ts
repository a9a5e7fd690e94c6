/** HTTP requests with a time limit and bounded bodies. @module */
import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import Wreck from "@hapi/wreck";
import { type Either, Left, Right } from "purify-ts";
import { FailureKind } from "./failure.js";

/** Maximum size of a request or response body. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Connections per client. The log service accepts few connections; a client
 * needs one for the long poll, one for an append and two for other requests.
 */
const MAX_SOCKETS = 4;
const SOCKET_TIMEOUT_MS = 2_000;

/** A request. `timeoutMs` limits the time to the end of the response. */
export interface HttpRequest {
  readonly method: "GET" | "POST";
  readonly url: string;
  readonly timeoutMs: number;
  readonly body?: string;
}

/** A response whose body has been read completely. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<IncomingMessage["headers"]>;
  readonly body: Buffer;
}

/** Describes why a request got no complete response. */
export interface HttpFailure {
  readonly kind: FailureKind;
  readonly text: string;
  /**
   * Whether bytes of the request may have reached the server, so that the
   * request may have been executed.
   */
  readonly maybeSent: boolean;
}

/** Creates the connection pool of one client. */
export function makeAgent(): Agent {
  return new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
    maxFreeSockets: MAX_SOCKETS,
    timeout: SOCKET_TIMEOUT_MS,
  });
}

/**
 * Sends a request and reads the whole response. If the response is not
 * complete, the connection is destroyed, so that a late response cannot be
 * taken for the response to the next request.
 */
export async function sendRequest(
  request: HttpRequest,
  agent: Agent,
): Promise<Either<HttpFailure, HttpResponse>> {
  const { method, url, body, timeoutMs } = request;
  const pending = Wreck.request(method, url, {
    agent,
    ...(body === undefined
      ? {}
      : { payload: body, headers: { "content-type": "application/json" } }),
  });
  const progress = trackProgress(pending.req);
  const timer = setTimeout(() => {
    progress.timedOut = true;
    pending.req.destroy(new Error(`No response within ${timeoutMs} ms`));
  }, timeoutMs);
  try {
    const res = await pending;
    // Wreck reports a body above `maxBytes` like an aborted response. The bytes
    // are counted to tell the two apart.
    res.on("data", (chunk: Buffer) => progress.receivedBytes += chunk.length);
    const content = await Wreck.read<Buffer>(res, {
      maxBytes: MAX_BODY_BYTES,
      json: false,
    });
    const status = res.statusCode ?? 0;
    return Right({ status, headers: res.headers, body: content });
  } catch (e) {
    pending.req.destroy();
    const cause = classifyError(e, { progress, request });
    return Left({ ...cause, maybeSent: progress.connected });
  } finally {
    clearTimeout(timer);
  }
}

interface RequestProgress {
  connected: boolean;
  timedOut: boolean;
  /** Bytes of the response body received so far. */
  receivedBytes: number;
}

/**
 * Tracks whether the socket of a request has connected. Node.js writes no byte
 * of a request before that.
 */
function trackProgress(req: ClientRequest): RequestProgress {
  const progress: RequestProgress = {
    connected: false,
    timedOut: false,
    receivedBytes: 0,
  };
  req.once("socket", (socket) => {
    if (!socket.connecting) progress.connected = true;
    else socket.once("connect", () => progress.connected = true);
  });
  return progress;
}

function classifyError(
  error: unknown,
  options: { progress: RequestProgress; request: HttpRequest },
): { kind: FailureKind; text: string } {
  const { method, url, timeoutMs } = options.request;
  const requestLine = `${method} ${url}`;
  if (options.progress.timedOut) {
    const text =
      `${requestLine} got no complete response within ${timeoutMs} ms`;
    return { kind: FailureKind.Timeout, text };
  }
  const e = error as Error & { output?: { statusCode?: number } };
  const contentLengthTooLarge = e.output?.statusCode === 413;
  if (
    contentLengthTooLarge || options.progress.receivedBytes > MAX_BODY_BYTES
  ) {
    const text = `${requestLine} got a response above ${MAX_BODY_BYTES} bytes`;
    return { kind: FailureKind.Malformed, text };
  }
  return {
    kind: FailureKind.Unavailable,
    text: `${requestLine}: ${e.message}`,
  };
}

/** Parses a JSON body. */
export function parseJson(body: Buffer): Either<string, unknown> {
  try {
    return Right(JSON.parse(body.toString("utf8")) as unknown);
  } catch (e) {
    return Left(`Expected JSON: ${(e as Error).message}`);
  }
}
