/** HTTP requests to the next hop that track whether bytes were sent. @module */
import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import Wreck from "@hapi/wreck";
import { BodyKind, type CallBody } from "./call.js";

/** How an HTTP request ended. */
export enum HopKind {
  Buffered = "whole",
  Stream = "stream",
  /** No byte of the request was written. */
  NotSent = "notSent",
  /** Bytes were written, and no complete response arrived. */
  Lost = "lost",
}

export type HopResult =
  | {
    readonly kind: HopKind.Buffered;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
  }
  | {
    readonly kind: HopKind.Stream;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly stream: Readable;
  }
  | { readonly kind: HopKind.NotSent; readonly text: string }
  | {
    readonly kind: HopKind.Lost;
    readonly text: string;
    /** Whether this side ended the request, by timeout or cancellation. */
    readonly aborted: boolean;
  };

/** Options of `sendHop`. */
export interface HopOptions {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: CallBody;
  readonly agent: Agent;
  readonly timeoutMs: number;
  /** Responses up to this length are buffered before they are returned. */
  readonly maxBufferedBytes: number;
  /** A request body without progress for this time ends the request. */
  readonly bodyIdleTimeoutMs: number;
  readonly signal?: AbortSignal;
  /** Called before the first byte is written; false ends it as `NotSent`. */
  readonly onConnected?: () => boolean;
  /** Returns what is wrong with a response's headers, or `undefined`. */
  readonly findHeaderProblem?: (
    headers: Readonly<Record<string, string>>,
  ) => string | undefined;
}

const IDLE_CONNECTION_TIMEOUT_MS = 2_000;

/** Makes an agent that closes idle connections after a short time. */
export function createAgent(
  options: { maxSockets: number; keepAlive?: boolean },
): Agent {
  return new Agent({
    keepAlive: options.keepAlive ?? true,
    maxSockets: options.maxSockets,
    maxFreeSockets: 64,
    timeout: IDLE_CONNECTION_TIMEOUT_MS,
    scheduling: "lifo",
  });
}

/**
 * Sends a request. A streamed body is not read before the connection is
 * established, so that it can be sent again after `NotSent`.
 */
export function sendHop(options: HopOptions): Promise<HopResult> {
  return new Hop(options).run();
}

class Hop {
  readonly #options: HopOptions;
  #req: ClientRequest | undefined;
  #connected = false;
  #refused = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #aborted = false;
  #onAbort = () => this.#abortLocally("Aborted");

  constructor(options: HopOptions) {
    this.#options = options;
  }

  async run(): Promise<HopResult> {
    const opts = this.#options;
    if (opts.signal?.aborted) return { kind: HopKind.NotSent, text: "Aborted" };
    const payload = opts.body.kind === BodyKind.Buffered
      ? opts.body.bytes
      : new PassThrough();
    const headers = { ...opts.headers };
    if (opts.body.kind === BodyKind.Buffered) {
      headers["content-length"] = String(opts.body.bytes.length);
    } else if (opts.body.length !== undefined) {
      headers["content-length"] = String(opts.body.length);
    }
    const pending = Wreck.request(opts.method, opts.url, {
      headers,
      agent: opts.agent,
      ...(hasPayload(opts) ? { payload } : {}),
    });
    this.#req = (pending as unknown as { req: ClientRequest }).req;
    this.#watchConnection(payload);
    this.#timer = setTimeout(
      () => this.#abortLocally("Timed out"),
      opts.timeoutMs,
    );
    opts.signal?.addEventListener("abort", this.#onAbort, { once: true });
    try {
      return await this.#readResponse(await pending);
    } catch (error) {
      this.#end();
      const text = (error as Error).message;
      const sent = this.#connected && !this.#refused;
      return sent
        ? { kind: HopKind.Lost, text, aborted: this.#aborted }
        : { kind: HopKind.NotSent, text };
    }
  }

  #abortLocally(text: string) {
    this.#aborted = true;
    this.#req?.destroy(new Error(text));
  }

  #watchConnection(payload: Buffer | PassThrough) {
    this.#req!.once("socket", (socket) => {
      const begin = () => {
        if (this.#options.onConnected?.() === false) {
          this.#refused = true;
          this.#req!.destroy(
            new Error(
              "Authority to send ended before the connection was established",
            ),
          );
          return;
        }
        this.#connected = true;
        if (payload instanceof PassThrough) this.#pipeBody(payload);
      };
      if (socket.connecting) socket.once("connect", begin);
      else begin();
    });
  }

  #pipeBody(out: PassThrough) {
    const body = this.#options.body;
    if (body.kind !== BodyKind.Stream) return;
    const source = body.stream;
    if (source.destroyed) {
      this.#req?.destroy(new Error("Body aborted"));
      return;
    }
    let idle = setTimeout(() => stall(), this.#options.bodyIdleTimeoutMs);
    const stall = () => this.#req?.destroy(new Error("The body stalled"));
    const restartIdleTimer = () => {
      clearTimeout(idle);
      idle = setTimeout(stall, this.#options.bodyIdleTimeoutMs);
    };
    const stop = () => clearTimeout(idle);
    source.on("data", restartIdleTimer);
    source.once("end", stop);
    source.once("close", () => {
      stop();
      // A body that the caller breaks off must not look complete.
      if (!source.readableEnded) this.#req?.destroy(new Error("Body aborted"));
    });
    source.once("error", (e) => this.#req?.destroy(e));
    this.#req!.once("close", stop);
    source.pipe(out);
  }

  async #readResponse(res: IncomingMessage): Promise<HopResult> {
    const opts = this.#options;
    const headers = flattenHeaders(res.headers);
    const headerProblem = opts.findHeaderProblem?.(headers);
    if (headerProblem !== undefined) {
      this.#req?.destroy();
      throw new Error(headerProblem);
    }
    const length = Number(headers["content-length"] ?? NaN);
    const chunks: Buffer[] = [];
    const isBuffered = !(length > opts.maxBufferedBytes) &&
      await readUpTo(res, chunks, opts.maxBufferedBytes);
    if (!isBuffered) return this.#streamResponse(res, headers, chunks);
    const body = Buffer.concat(chunks);
    this.#checkComplete(res, { size: body.length, length });
    this.#end();
    const status = res.statusCode ?? 502;
    return { kind: HopKind.Buffered, status, headers, body };
  }

  #checkComplete(
    res: IncomingMessage,
    { size, length }: { size: number; length: number },
  ) {
    const head = this.#options.method === "HEAD";
    if (!res.complete) throw new Error("The response was truncated");
    if (!head && !Number.isNaN(length) && size !== length) {
      throw new Error("The response does not have its announced length");
    }
  }

  #streamResponse(
    res: IncomingMessage,
    headers: Record<string, string>,
    chunks: Buffer[],
  ): HopResult {
    const out = new PassThrough();
    for (const chunk of chunks) out.write(chunk);
    res.pipe(out, { end: false });
    res.once("end", () => {
      this.#end();
      if (res.complete) out.end();
      else out.destroy(new Error("The response was truncated"));
    });
    res.once("error", (e) => out.destroy(e));
    res.once("close", () => {
      this.#end();
      if (!res.complete) out.destroy(new Error("The response was truncated"));
    });
    out.once("close", () => {
      if (!res.complete) this.#req?.destroy();
    });
    const status = res.statusCode ?? 502;
    return { kind: HopKind.Stream, status, headers, stream: out };
  }

  #end() {
    clearTimeout(this.#timer);
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
  }
}

function hasPayload(opts: HopOptions): boolean {
  if (opts.body.kind === BodyKind.Stream) return true;
  return opts.body.bytes.length > 0 ||
    !["GET", "HEAD"].includes(opts.method);
}

/**
 * Collects a response in `chunks`. Resolves to true at its end, or to false,
 * with the response paused, once it is longer than `limit`.
 */
function readUpTo(
  res: IncomingMessage,
  chunks: Buffer[],
  limit: number,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    let size = 0;
    const finish = () => {
      res.off("data", onData).off("end", onEnd).off("close", onClose);
      res.off("error", reject);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= limit) return;
      res.pause();
      finish();
      resolve(false);
    };
    const onEnd = () => {
      finish();
      resolve(true);
    };
    const onClose = () => reject(new Error("The response was truncated"));
    res.on("data", onData).on("end", onEnd).on("close", onClose);
    res.on("error", reject);
  });
}

function flattenHeaders(
  headers: IncomingMessage["headers"],
): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    out[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return out;
}
