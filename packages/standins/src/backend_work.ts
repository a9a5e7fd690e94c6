/** Parses work requests and writes records and responses. @module */
import { type ExecutionRecord, SERVER_HEADER } from "@jaytiller/model";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

/** Reads a header, or its first value if there are several. */
export function readHeader(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Decodes a unit name that was encoded for a header with `encodeURI`. */
function decodeUnit(value: string | undefined): string | undefined {
  if (value === undefined) return undefined;
  try {
    return decodeURI(value);
  } catch {
    return value;
  }
}

/** A work request, parsed from its headers and URL. */
export interface WorkRequest {
  readonly requestId: string;
  readonly identity: string | null;
  readonly token: string | undefined;
  readonly unit: string | undefined;
  /** Deadline in Unix ms; `undefined` if there is none. */
  readonly deadlineMs: number | undefined;
  readonly method: string;
  readonly url: URL;
  /** Key in the second path segment. */
  readonly key: string;
  /** Duration of the work in ms, if the request sets it. */
  readonly ms: number | undefined;
  /** Length of the requested report in bytes. */
  readonly bytes: number | undefined;
  readonly poison: boolean;
}

function readNumber(text: string | null | undefined): number | undefined {
  if (text === null || text === undefined || text === "") return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}

/** Parses a work request. */
export function parseWork(req: IncomingMessage): WorkRequest {
  const url = new URL(req.url ?? "/", "http://localhost");
  const query = url.searchParams;
  return {
    requestId: readHeader(req, SERVER_HEADER.requestId) ?? "",
    identity: readHeader(req, SERVER_HEADER.identity) ?? null,
    token: readHeader(req, SERVER_HEADER.token),
    unit: decodeUnit(readHeader(req, SERVER_HEADER.unit)),
    deadlineMs: readNumber(readHeader(req, SERVER_HEADER.deadline)),
    method: req.method ?? "GET",
    url,
    key: decodeSegment(url.pathname.split("/")[2] ?? ""),
    ms: readNumber(query.get("ms")),
    bytes: readNumber(query.get("bytes")),
    poison: readHeader(req, "x-poison") === "1" || query.get("poison") === "1",
  };
}

/** Length and digest of a request body. */
export interface BodySummary {
  readonly bytes: number;
  /** SHA-256 digest in hexadecimal. */
  readonly digest: string;
}

/**
 * Reads a request body with backpressure, pausing after each chunk. Throws if
 * the client disconnects.
 */
export async function readBody(
  req: IncomingMessage,
  readPauseMs: () => number,
): Promise<BodySummary> {
  const hash = createHash("sha256");
  let bytes = 0;
  for await (const chunk of req) {
    hash.update(chunk);
    bytes += chunk.length;
    const pause = readPauseMs();
    if (pause > 0) await delay(pause);
  }
  return { bytes, digest: hash.digest("hex") };
}

/** Creates the record of an execution that has started but not taken effect. */
export function createRecord(
  work: WorkRequest,
  at: { service: string; server: string; startMs: number },
): ExecutionRecord {
  return {
    requestId: work.requestId,
    identity: work.identity,
    service: at.service,
    unit: work.unit ?? "",
    key: work.key,
    token: work.token ?? "",
    server: at.server,
    method: work.method,
    path: work.url.pathname + work.url.search,
    startMs: at.startMs,
    effectMs: null,
    endMs: null,
    bodyBytes: 0,
    bodyDigest: "",
  };
}

/**
 * Sends a JSON response, unless one has been started or the client has
 * disconnected.
 */
export function sendJson(
  res: ServerResponse,
  answer: { status: number; body: unknown; headers?: Record<string, string> },
): void {
  if (res.destroyed || res.headersSent) return;
  const text = JSON.stringify(answer.body);
  res.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...answer.headers,
  });
  res.end(text);
}
