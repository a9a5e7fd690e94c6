/** Client of the platform's log service. @module */
import type { Agent } from "node:http";
import { type LogEntry, type LogRecord, SERVER_HEADER } from "@jaytiller/model";
import { Either, Left, Right } from "purify-ts";
import {
  type HttpResponse,
  makeAgent,
  MAX_BODY_BYTES,
  parseJson,
  sendRequest,
} from "./http_client.js";
import { FailureKind, type PlatformFailure } from "./failure.js";
import {
  readArray,
  readInteger,
  readNumber,
  readObject,
} from "./json_validation.js";

/** Base URL of a service and the timeout of a request. */
export interface ClientOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

/** Reads up to `max` entries from offset `from`, as a long poll. */
export interface ReadRequest {
  readonly from: number;
  readonly max: number;
  /**
   * Time for which the service waits for an entry. The request may take this
   * long in addition to the client's `timeoutMs`.
   */
  readonly waitMs: number;
}

/** Entries read from the log. */
export interface ReadReply {
  /** Sorted by offset. */
  readonly entries: readonly LogEntry[];
  /** Offset to read from next. */
  readonly next: number;
  /** Lowest offset that the log retains. */
  readonly oldest: number;
}

/** Kinds of append results. */
export enum AppendKind {
  /** The record is in the log. */
  Appended = "appended",
  /** This attempt has not added the record and will not add it later. */
  Failed = "failed",
  /** The record may be in the log already, or be added later. */
  Unknown = "unknown",
}

/** Result of an append. */
export type AppendResult =
  | { readonly kind: AppendKind.Appended; readonly offset: number }
  | {
    readonly kind: AppendKind.Failed | AppendKind.Unknown;
    /** Error message: one sentence with the cause. */
    readonly text: string;
  };

/**
 * Reads and appends records over a pool of at most four connections. Further
 * requests wait for a connection; the wait counts towards their timeout.
 */
export class LogClient {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent: Agent = makeAgent();

  private constructor(options: ClientOptions) {
    this.#url = options.url.replace(/\/+$/, "");
    this.#timeoutMs = options.timeoutMs;
  }

  static create(options: ClientOptions): LogClient {
    return new LogClient(options);
  }

  /**
   * Reads entries. If the response is too large, the read is repeated with half
   * of `max`. Fewer entries than `max` therefore do not mean that the end of
   * the log has been reached.
   */
  async read(
    request: ReadRequest,
  ): Promise<Either<PlatformFailure, ReadReply>> {
    const { from, max, waitMs } = request;
    const url = `${this.#url}/read?from=${from}&max=${max}&waitMs=${waitMs}`;
    const timeoutMs = this.#timeoutMs + waitMs;
    const reply = await sendRequest(
      { method: "GET", url, timeoutMs },
      this.#agent,
    );
    const failure = reply.swap().toMaybe().extractNullable();
    if (failure?.kind === FailureKind.Malformed && max > 1) {
      return this.read({ ...request, max: Math.floor(max / 2) });
    }
    return reply
      .mapLeft(({ kind, text }): PlatformFailure => ({ kind, text }))
      .chain((r) => parseReadResponse(r, from));
  }

  /** Appends a record. The promise is never rejected. */
  async append(record: LogRecord): Promise<AppendResult> {
    const body = JSON.stringify({ record });
    const size = Buffer.byteLength(body);
    if (size > MAX_BODY_BYTES) {
      const text =
        `The record has ${size} bytes; expected at most ${MAX_BODY_BYTES}`;
      return { kind: AppendKind.Failed, text };
    }
    const reply = await sendRequest({
      method: "POST",
      url: `${this.#url}/append`,
      timeoutMs: this.#timeoutMs,
      body,
    }, this.#agent);
    return reply.caseOf<AppendResult>({
      Left: ({ maybeSent: sent, text }) => ({
        kind: sent ? AppendKind.Unknown : AppendKind.Failed,
        text,
      }),
      Right: parseAppendResponse,
    });
  }

  /** Closes all connections. Requests in flight fail. */
  stop(): void {
    this.#agent.destroy();
  }
}

function parseAppendResponse(reply: HttpResponse): AppendResult {
  const { status, headers, body } = reply;
  if (status === 200 || status === 201) {
    return parseJson(body)
      .chain((v) =>
        Either.encase(() => readInteger(readObject(v, "$").offset, "offset"))
          .mapLeft((e) => e.message)
      )
      .caseOf<AppendResult>({
        Left: (text) => ({ kind: AppendKind.Unknown, text }),
        Right: (offset) => ({ kind: AppendKind.Appended, offset }),
      });
  }
  const text = `The log service responded to an append with ${status}`;
  const refused = status >= 400 && status < 500;
  // A 503 without this header may come from a proxy whose upstream server has
  // executed the append.
  const notRun = status === 503 && headers[SERVER_HEADER.notRun] === "1";
  return {
    kind: refused || notRun ? AppendKind.Failed : AppendKind.Unknown,
    text,
  };
}

function parseReadResponse(
  reply: HttpResponse,
  from: number,
): Either<PlatformFailure, ReadReply> {
  const { status, body } = reply;
  if (status !== 200 && status !== 410) {
    const text = `The log service responded to a read with ${status}`;
    return Left({ kind: FailureKind.Unavailable, text });
  }
  const parsed = parseJson(body).chain((v) =>
    Either.encase(() => {
      const value = readObject(v, "$");
      const oldest = readInteger(value.oldest, "oldest");
      return { oldest, ...(status === 200 ? parseEntries(value, from) : {}) };
    }).mapLeft((e) => e.message)
  );
  return parsed
    .mapLeft((text): PlatformFailure => ({ kind: FailureKind.Malformed, text }))
    .chain((r) =>
      "entries" in r ? Right(r as ReadReply) : Left({
        kind: FailureKind.Truncated,
        text: `The log retains no offset below ${r.oldest}, asked for ${from}`,
        oldest: r.oldest,
      })
    );
}

function parseEntries(
  value: Readonly<Record<string, unknown>>,
  from: number,
): { entries: LogEntry[]; next: number } {
  let min = from;
  const entries = readArray(value.records, "records").map((v, i) => {
    const path = `records[${i}]`;
    const item = readObject(v, path);
    const offset = readInteger(item.offset, `${path}.offset`, { min });
    min = offset + 1;
    const atMs = readNumber(item.atMs, `${path}.atMs`);
    return { offset, atMs, record: parseRecord(item.record) };
  });
  return { entries, next: readInteger(value.next, "next", { min }) };
}

/**
 * Returns a record unchanged. A value that is not a record becomes a record of
 * an unknown kind, because an error would stop every reader at this offset.
 */
function parseRecord(value: unknown): LogRecord {
  const kind = (value as { kind?: unknown } | null)?.kind;
  return typeof kind === "string"
    ? value as LogRecord
    : { kind: "malformed", value } as unknown as LogRecord;
}
