/** Reads request bodies. @module */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { Reason } from "@jaytiller/model";
import { BodyKind, type CallBody, makeRefusal, type Result } from "./call.js";

/** Bodies up to this length are buffered, so that they can be sent again. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;
/** Bytes of a larger body that are read ahead of the consumer. */
const READ_AHEAD_BYTES = 256 * 1024;

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly idleTimeoutMs: number;
}

/**
 * Buffers a small body. The first part of a large one is read before the
 * request may take a slot, so that a caller that sends nothing occupies none.
 * Resolves to a refusal if the body stalls or its announced length exceeds the
 * limit.
 */
export async function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<{ body: CallBody } | { refusal: Result }> {
  const header = req.headers["content-length"];
  const chunked = req.headers["transfer-encoding"] !== undefined;
  if (header === undefined && !chunked) return { body: EMPTY_BODY };
  const length = header === undefined ? undefined : Number(header);
  if (length !== undefined && length > limits.maxBytes) {
    const text =
      `The body has ${length} bytes; the limit is ${limits.maxBytes}`;
    return { refusal: makeRefusal(Reason.BodyTooLarge, text) };
  }
  const prefix = await readPrefix(req, limits.idleTimeoutMs);
  if (typeof prefix === "string") {
    return { refusal: makeRefusal(Reason.BodyStalled, prefix) };
  }
  const { bytes, ended } = prefix;
  if (ended) return { body: { kind: BodyKind.Buffered, bytes } };
  const stream = readAhead(req, { prefix: bytes, limits });
  return {
    body: {
      kind: BodyKind.Stream,
      stream,
      ...(length === undefined ? {} : { length }),
    },
  };
}

const EMPTY_BODY: CallBody = {
  kind: BodyKind.Buffered,
  bytes: Buffer.alloc(0),
};

interface BodyPrefix {
  readonly bytes: Buffer;
  /** Whether this is the whole body. */
  readonly ended: boolean;
}

/**
 * Reads a small body, or the start of a large one. Resolves to an error message
 * if the body stalls or its connection closes.
 */
function readPrefix(
  req: IncomingMessage,
  idleMs: number,
): Promise<BodyPrefix | string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: BodyPrefix | string) => {
      clearTimeout(timer);
      req.off("data", onData).off("end", onEnd).off("close", onClose);
      resolve(result);
    };
    const stall = () => {
      finish("The body stalled");
      req.destroy();
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      timer.refresh();
      if (size <= MAX_BUFFERED_BODY_BYTES) return;
      req.pause();
      finish({ bytes: Buffer.concat(chunks), ended: false });
    };
    const onEnd = () => finish({ bytes: Buffer.concat(chunks), ended: true });
    const onClose = () => finish("The body was truncated");
    const timer = setTimeout(stall, idleMs);
    req.on("data", onData).on("end", onEnd).on("close", onClose);
  });
}

/**
 * Returns a stream of the prefix and the rest of the body. The rest is read
 * ahead, so that a stalled body is also detected while its request waits for a
 * slot: the request is destroyed if no byte arrives for the idle timeout.
 */
function readAhead(
  req: IncomingMessage,
  { prefix, limits }: { prefix: Buffer; limits: BodyLimits },
): Readable {
  const out = new PassThrough({ highWaterMark: READ_AHEAD_BYTES });
  let size = prefix.length;
  const check = () => {
    // Backpressure, not the caller, has stopped the data.
    if (out.writableNeedDrain) timer.refresh();
    else req.destroy();
  };
  const timer = setTimeout(check, limits.idleTimeoutMs);
  const stop = () => clearTimeout(timer);
  req.on("data", (chunk: Buffer) => {
    timer.refresh();
    size += chunk.length;
    if (size > limits.maxBytes) {
      out.destroy(new Error("The body exceeds the size limit"));
    }
  });
  req.once("end", stop);
  req.once("close", () => {
    stop();
    if (!req.readableEnded) out.destroy(new Error("The body was truncated"));
  });
  out.once("close", stop);
  // Without a listener, an error before the stream is consumed is uncaught.
  out.on("error", () => {});
  out.write(prefix);
  req.pipe(out);
  return out;
}
