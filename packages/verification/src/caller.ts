/** Caller that records the responses to its requests. @module */
import { formatUuid7, HEADER, type Outcome } from "@jaytiller/model";
import { createHash, randomBytes } from "node:crypto";
import { type IncomingMessage, request } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { readUnixMs } from "./wait.js";

/** Longer bodies are kept only as a digest. */
const MAX_KEPT_BODY_BYTES = 64 * 1024;
const DEFAULT_TIMEOUT_MS = 5_000;

/** A request of a caller. */
export interface CallerRequest {
  /** URL of the entry VM. */
  readonly entryUrl: string;
  readonly service: string;
  readonly key: string;
  /** Path and query, such as `/orders/k1?ms=20`. */
  readonly path: string;
  readonly method?: "GET" | "POST";
  /** UUIDv7; generated if absent. */
  readonly identity?: string;
  readonly body?: Buffer | Readable;
  /** Time after which the caller closes its connection. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** One attempt as its caller saw it. Times are fractional unix ms. */
export interface Attempt {
  readonly identity: string;
  readonly service: string;
  readonly key: string;
  readonly method: string;
  readonly entryUrl: string;
  readonly sentMs: number;
  readonly endMs: number;
  /** Absent if no headers arrived. */
  readonly status?: number;
  readonly outcome?: Outcome;
  readonly reason?: string;
  /** Identifier that the routers assigned to the request. */
  readonly requestId?: string;
  readonly replayed: boolean;
  /** Whether the body ended as its length or its chunked encoding announced. */
  readonly complete: boolean;
  readonly bodyBytes: number;
  /** SHA-256 in hex. */
  readonly bodyDigest: string;
  /** Body, if it was short enough to be kept. */
  readonly body?: string;
  /** Message of the error that ended the attempt. */
  readonly error?: string;
}

interface ReceivedResponse {
  status?: number;
  headers: IncomingMessage["headers"];
  complete: boolean;
  bytes: number;
  digest: string;
  text: string;
}

/** Returns a new UUIDv7 with the current time. */
export function createIdentity(): string {
  return formatUuid7(Date.now(), randomBytes(10));
}

async function readResponse(
  res: IncomingMessage,
  to: ReceivedResponse,
): Promise<void> {
  const hash = createHash("sha256");
  const kept: Buffer[] = [];
  to.status = res.statusCode ?? 0;
  to.headers = res.headers;
  for await (const chunk of res) {
    hash.update(chunk);
    to.bytes += chunk.length;
    if (to.bytes <= MAX_KEPT_BODY_BYTES) kept.push(chunk);
  }
  const length = Number(res.headers["content-length"] ?? NaN);
  const whole = Number.isNaN(length) || length === to.bytes;
  to.complete = res.complete && whole;
  to.digest = hash.digest("hex");
  to.text = Buffer.concat(kept).toString();
}

function performRequest(
  options: CallerRequest,
  to: ReceivedResponse & { identity: string },
) {
  const { body } = options;
  return new Promise<void>((resolve, reject) => {
    const req = request(`${options.entryUrl}${options.path}`, {
      method: options.method ?? "POST",
      agent: false,
      headers: {
        [HEADER.identity]: to.identity,
        ...(Buffer.isBuffer(body) ? { "content-length": body.length } : {}),
      },
      ...(options.signal ? { signal: options.signal } : {}),
    });
    const timer = setTimeout(
      () => req.destroy(new Error("The caller timed out")),
      options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    );
    const finish = (error?: Error) => {
      clearTimeout(timer);
      if (error) reject(error);
      else resolve();
    };
    req.on("error", finish);
    req.on("response", (res) => {
      readResponse(res, to).then(() => finish(), finish);
    });
    if (body instanceof Readable) pipeline(body, req).catch(() => {});
    else req.end(body);
  });
}

/** Sends one request and returns the attempt; errors are reported in it. */
export async function sendRequest(options: CallerRequest): Promise<Attempt> {
  const identity = options.identity ?? createIdentity();
  const reading = {
    identity,
    headers: {},
    complete: false,
    bytes: 0,
    digest: "",
    text: "",
  } as ReceivedResponse & { identity: string };
  const sentMs = readUnixMs();
  let error: string | undefined;
  try {
    await performRequest(options, reading);
  } catch (e) {
    error = (e as Error).message;
  }
  const { status, headers, complete, bytes, digest, text } = reading;
  const outcome = headers[HEADER.outcome] as Outcome | undefined;
  const reason = headers[HEADER.reason];
  const requestId = headers[HEADER.requestId];
  return {
    identity,
    service: options.service,
    key: options.key,
    method: options.method ?? "POST",
    entryUrl: options.entryUrl,
    sentMs,
    endMs: readUnixMs(),
    ...(status === undefined ? {} : { status }),
    ...(outcome === undefined ? {} : { outcome }),
    ...(typeof reason === "string" ? { reason } : {}),
    ...(typeof requestId === "string" ? { requestId } : {}),
    replayed: headers[HEADER.replayed] === "true",
    complete,
    bodyBytes: bytes,
    bodyDigest: digest,
    ...(bytes <= MAX_KEPT_BODY_BYTES ? { body: text } : {}),
    ...(error === undefined ? {} : { error }),
  };
}
