/** One HTTP request to the next hop, with exact knowledge of what was sent. @module */
import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import Wreck from "@hapi/wreck";
import { BodyKind, type CallBody } from "./call.js";

/** How an HTTP request ended. */
export enum HopKind {
  Whole = "whole",
  Stream = "stream",
  /** No byte of the request was written. */
  NotSent = "notSent",
  /** Bytes were written and no whole answer came. */
  Lost = "lost",
}

export type HopResult =
  | {
    readonly kind: HopKind.Whole;
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
    /** Did this side end the request, by time-out or on cancellation? */
    readonly gaveUp: boolean;
  };

/** Parameters of a hop. */
export interface HopOptions {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: CallBody;
  readonly agent: Agent;
  readonly timeoutMs: number;
  /** Answers up to this length are read whole before they are returned. */
  readonly bufferedBytes: number;
  /** A body that makes no progress for this time ends the request. */
  readonly bodyIdleMs: number;
  readonly signal?: AbortSignal;
  /** Called immediately before the first byte may be written. */
  readonly onConnected?: () => boolean;
  /** Says what is wrong with the headers of an answer. */
  readonly verify?: (
    headers: Readonly<Record<string, string>>,
  ) => string | undefined;
}

const IDLE_CONNECTION_MS = 2_000;

/** Makes an agent that keeps idle connections for a short time. */
export function createAgent(
  options: { maxSockets: number; keepAlive?: boolean },
): Agent {
  return new Agent({
    keepAlive: options.keepAlive ?? true,
    maxSockets: options.maxSockets,
    maxFreeSockets: 64,
    timeout: IDLE_CONNECTION_MS,
    scheduling: "lifo",
  });
}

/**
 * Sends a request. The body's stream is not touched before the connection
 * stands, so that the same body can be sent again after `NotSent`.
 */
export function sendHop(options: HopOptions): Promise<HopResult> {
  return new Hop(options).run();
}

class Hop {
  readonly #o: HopOptions;
  #req: ClientRequest | undefined;
  #connected = false;
  #refused = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #gaveUp = false;
  #abort = () => this.#giveUp("Cancelled");

  constructor(options: HopOptions) {
    this.#o = options;
  }

  async run(): Promise<HopResult> {
    const o = this.#o;
    if (o.signal?.aborted) return { kind: HopKind.NotSent, text: "Cancelled" };
    const payload = o.body.kind === BodyKind.Whole
      ? o.body.bytes
      : new PassThrough();
    const headers = { ...o.headers };
    if (o.body.kind === BodyKind.Whole) {
      headers["content-length"] = String(o.body.bytes.length);
    } else if (o.body.length !== undefined) {
      headers["content-length"] = String(o.body.length);
    }
    const pending = Wreck.request(o.method, o.url, {
      headers,
      agent: o.agent,
      ...(hasPayload(o) ? { payload } : {}),
    });
    this.#req = (pending as unknown as { req: ClientRequest }).req;
    this.#watchConnection(payload);
    this.#timer = setTimeout(
      () => this.#giveUp("Timed out"),
      o.timeoutMs,
    );
    o.signal?.addEventListener("abort", this.#abort, { once: true });
    try {
      return await this.#readAnswer(await pending);
    } catch (error) {
      this.#end();
      const text = (error as Error).message;
      const sent = this.#connected && !this.#refused;
      return sent
        ? { kind: HopKind.Lost, text, gaveUp: this.#gaveUp }
        : { kind: HopKind.NotSent, text };
    }
  }

  #giveUp(text: string) {
    this.#gaveUp = true;
    this.#req?.destroy(new Error(text));
  }

  #watchConnection(payload: Buffer | PassThrough) {
    this.#req!.once("socket", (socket) => {
      const begin = () => {
        if (this.#o.onConnected?.() === false) {
          this.#refused = true;
          this.#req!.destroy(new Error("No longer permitted"));
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
    const body = this.#o.body;
    if (body.kind !== BodyKind.Stream) return;
    const source = body.stream;
    if (source.destroyed) {
      this.#req?.destroy(new Error("Body cut"));
      return;
    }
    let idle = setTimeout(() => stall(), this.#o.bodyIdleMs);
    const stall = () => this.#req?.destroy(new Error("The body stalled"));
    const renew = () => {
      clearTimeout(idle);
      idle = setTimeout(stall, this.#o.bodyIdleMs);
    };
    const stop = () => clearTimeout(idle);
    source.on("data", renew);
    source.once("end", stop);
    source.once("close", () => {
      stop();
      // A caller that breaks off must not make the body look complete.
      if (!source.readableEnded) this.#req?.destroy(new Error("Body cut"));
    });
    source.once("error", (e) => this.#req?.destroy(e));
    this.#req!.once("close", stop);
    source.pipe(out);
  }

  async #readAnswer(res: IncomingMessage): Promise<HopResult> {
    const o = this.#o;
    const headers = flattenHeaders(res.headers);
    const wrong = o.verify?.(headers);
    if (wrong !== undefined) {
      this.#req?.destroy();
      throw new Error(wrong);
    }
    const length = Number(headers["content-length"] ?? NaN);
    const chunks: Buffer[] = [];
    const small = !(length > o.bufferedBytes) &&
      await readUpTo(res, chunks, o.bufferedBytes);
    if (!small) return this.#streamAnswer(res, headers, chunks);
    const body = Buffer.concat(chunks);
    this.#checkComplete(res, { size: body.length, length });
    this.#end();
    const status = res.statusCode ?? 502;
    return { kind: HopKind.Whole, status, headers, body };
  }

  #checkComplete(
    res: IncomingMessage,
    { size, length }: { size: number; length: number },
  ) {
    const head = this.#o.method === "HEAD";
    if (!res.complete) throw new Error("The answer was cut");
    if (!head && !Number.isNaN(length) && size !== length) {
      throw new Error("The answer was shorter than announced");
    }
  }

  #streamAnswer(
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
      else out.destroy(new Error("The answer was cut"));
    });
    res.once("error", (e) => out.destroy(e));
    res.once("close", () => {
      this.#end();
      if (!res.complete) out.destroy(new Error("The answer was cut"));
    });
    out.once("close", () => {
      if (!res.complete) this.#req?.destroy();
    });
    const status = res.statusCode ?? 502;
    return { kind: HopKind.Stream, status, headers, stream: out };
  }

  #end() {
    clearTimeout(this.#timer);
    this.#o.signal?.removeEventListener("abort", this.#abort);
  }
}

function hasPayload(o: HopOptions): boolean {
  if (o.body.kind === BodyKind.Stream) return true;
  return o.body.bytes.length > 0 || !["GET", "HEAD"].includes(o.method);
}

/**
 * Collects a response. Resolves to false, with the response paused, once it is
 * longer than `limit`.
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
    const onClose = () => reject(new Error("The answer was cut"));
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
