/** Representation of a request and its result in the router. @module */
import type { Readable } from "node:stream";
import {
  type CallRule,
  type EventKind,
  type FailureOutcome,
  Outcome,
  Reason,
  type Route,
  type ServiceName,
  type StoredResponse,
  type VmId,
} from "@jaytiller/model";
import type { EventFields } from "./events.js";

/** Request body: buffered, or a stream that can be read once. */
export type CallBody =
  | { readonly kind: BodyKind.Buffered; readonly bytes: Buffer }
  | {
    readonly kind: BodyKind.Stream;
    readonly stream: Readable;
    /** From content-length; absent for chunked bodies. */
    readonly length?: number;
  };

/** Returns whether part of the body was read, so it cannot be sent again. */
export function isConsumed(body: CallBody): boolean {
  return body.kind === BodyKind.Stream && body.stream.readableDidRead;
}

/** How a request body is held. */
export enum BodyKind {
  Buffered = "whole",
  Stream = "stream",
}

/** A caller's request, matched to its route. */
export interface Call {
  readonly requestId: string;
  readonly service: ServiceName;
  readonly key: string;
  readonly route: Route;
  readonly rule: CallRule;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** End-to-end headers, lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly identity: string | undefined;
  readonly body: CallBody;
  /** Unix ms by which the whole response is due. */
  readonly deadlineMs: number;
  /**
   * Fires when the caller has disconnected. Never fires for a non-idempotent
   * request with a buffered body: it continues, so that the caller can ask for
   * its outcome with the same identity.
   */
  readonly signal: AbortSignal;
}

/** How a request ended. */
export enum ResultKind {
  Buffered = "whole",
  Stream = "stream",
  Failure = "verdict",
  Misdirected = "misdirected",
}

/** Complete response of the key's owner. */
export interface BufferedResponse {
  readonly kind: ResultKind.Buffered;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly replayed?: boolean;
}

/** Response too large to buffer; a stream error truncates it. */
export interface StreamedResponse {
  readonly kind: ResultKind.Stream;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly stream: Readable;
}

export type Result =
  | BufferedResponse
  | StreamedResponse
  | { readonly kind: ResultKind.Failure; readonly failure: FailureOutcome }
  | Misdirected;

/** Result of a router that does not hold the key's group. */
export interface Misdirected {
  readonly kind: ResultKind.Misdirected;
  readonly holder?: VmId;
  /** The request was sent to a server before this router lost the group. */
  readonly mayHaveRun?: boolean;
}

/** Makes a refusal: the request was not executed. */
export function makeRefusal(
  reason: Reason,
  text: string,
  retryAfterMs?: number,
): Result {
  return {
    kind: ResultKind.Failure,
    failure: {
      outcome: Outcome.Refused,
      reason,
      text,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  };
}

/** Makes an unknown outcome: the request may have been executed. */
export function makeUnknown(reason: Reason, text: string): Result {
  return {
    kind: ResultKind.Failure,
    failure: { outcome: Outcome.Unknown, reason, text },
  };
}

/** Makes a result from a stored response; status 409 without its body. */
export function makeReplayedResponse(
  answer: StoredResponse | undefined,
): Result {
  if (answer?.body === undefined) {
    return {
      kind: ResultKind.Buffered,
      status: 409,
      headers: { "content-type": "text/plain" },
      body: Buffer.from(
        "The request was executed and answered; its response is not stored.\n",
      ),
      replayed: true,
    };
  }
  return {
    kind: ResultKind.Buffered,
    status: answer.status,
    headers: answer.headers,
    body: Buffer.from(answer.body, "base64"),
    replayed: true,
  };
}

/** Makes an event about a request. */
export function describeCallEvent(
  call: Call,
  { kind, text }: { kind: EventKind; text: string },
): EventFields {
  return {
    kind,
    service: call.service,
    key: call.key,
    requestId: call.requestId,
    ...(call.identity === undefined ? {} : { identity: call.identity }),
    text,
  };
}

/** Hop-by-hop headers, and headers that the router sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
  "content-length",
  "accept-encoding",
]);

/** Returns the headers to forward to the next hop. */
export function filterHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name.startsWith("x-owner-") || name.startsWith("jaytiller-")) continue;
    out[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return out;
}
