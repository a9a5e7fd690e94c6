/** A request and its result inside the router. @module */
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

/** Body of a request: read whole, or a stream that can be read once. */
export type CallBody =
  | { readonly kind: BodyKind.Whole; readonly bytes: Buffer }
  | {
    readonly kind: BodyKind.Stream;
    readonly stream: Readable;
    /** From content-length; absent for chunked bodies. */
    readonly length?: number;
  };

/** Was a part of the body consumed, so that it cannot be sent again? */
export function isSpent(body: CallBody): boolean {
  return body.kind === BodyKind.Stream && body.stream.readableDidRead;
}

/** Kinds of bodies. */
export enum BodyKind {
  Whole = "whole",
  Stream = "stream",
}

/** One request of a caller, checked against its route. */
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
  /** Unix ms by which the whole answer is due. */
  readonly deadlineMs: number;
  /**
   * Fires when the caller has gone. Work that may not be repeated goes on, so
   * that the caller can ask for its outcome with the same identity.
   */
  readonly signal: AbortSignal;
}

/** Kinds of results. */
export enum ResultKind {
  Whole = "whole",
  Stream = "stream",
  Verdict = "verdict",
  Misdirected = "misdirected",
}

/** The owner's whole answer. */
export interface WholeAnswer {
  readonly kind: ResultKind.Whole;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly replayed?: boolean;
}

/** The owner's answer, too large to keep; an error of the stream cuts it. */
export interface StreamAnswer {
  readonly kind: ResultKind.Stream;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly stream: Readable;
}

export type Result =
  | WholeAnswer
  | StreamAnswer
  | { readonly kind: ResultKind.Verdict; readonly verdict: FailureOutcome }
  | Misdirected;

/** This router does not hold the key's group. */
export interface Misdirected {
  readonly kind: ResultKind.Misdirected;
  readonly holder?: VmId;
  /** The request was sent to a server before the group was lost. */
  readonly mayHaveRun?: boolean;
}

/** Makes a refusal: the request was not run. */
export function makeRefusal(
  reason: Reason,
  text: string,
  retryAfterMs?: number,
): Result {
  return {
    kind: ResultKind.Verdict,
    verdict: {
      outcome: Outcome.Refused,
      reason,
      text,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    },
  };
}

/** Makes an "outcome unknown": the request may have run. */
export function makeUnknown(reason: Reason, text: string): Result {
  return {
    kind: ResultKind.Verdict,
    verdict: { outcome: Outcome.Unknown, reason, text },
  };
}

/** Returns the result for an answer that was kept for an identity. */
export function replayAnswer(answer: StoredResponse | undefined): Result {
  if (answer?.body === undefined) {
    return {
      kind: ResultKind.Whole,
      status: 409,
      headers: { "content-type": "text/plain" },
      body: Buffer.from(
        "The request ran once and was answered; the answer is not kept.\n",
      ),
      replayed: true,
    };
  }
  return {
    kind: ResultKind.Whole,
    status: answer.status,
    headers: answer.headers,
    body: Buffer.from(answer.body, "base64"),
    replayed: true,
  };
}

/** Returns an event about a request. */
export function describeCall(
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

/** Headers that end at each hop, and those that the router sets itself. */
const HOP_HEADERS = new Set([
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

/** Returns the headers that go on to the next hop. */
export function filterHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_HEADERS.has(name)) continue;
    if (name.startsWith("x-owner-") || name.startsWith("jaytiller-")) continue;
    out[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return out;
}
