/** Reads request bodies. @module */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { Reason } from "@jaytiller/model";
import { BodyKind, type CallBody, makeRefusal, type Result } from "./call.js";

/** Bodies up to this length are read whole, so that they can be sent again. */
export const WHOLE_BODY_BYTES = 64 * 1024;
/** Bytes of a larger body that are read before anyone takes them. */
const AHEAD_BYTES = 256 * 1024;

/** Limits of one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly idleMs: number;
}

/**
 * Reads a small body whole. Of a large one, the first part is read before the
 * request may take a slot, so that a caller that sends nothing holds none.
 */
export async function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<{ body: CallBody } | { refusal: Result }> {
  const header = req.headers["content-length"];
  const chunked = req.headers["transfer-encoding"] !== undefined;
  if (header === undefined && !chunked) return { body: EMPTY };
  const length = header === undefined ? undefined : Number(header);
  if (length !== undefined && length > limits.maxBytes) {
    const text = `The body has ${length} bytes, allowed are ${limits.maxBytes}`;
    return { refusal: makeRefusal(Reason.BodyTooLarge, text) };
  }
  const head = await readHead(req, limits.idleMs);
  if (typeof head === "string") {
    return { refusal: makeRefusal(Reason.BodyStalled, head) };
  }
  const { bytes, ended } = head;
  if (ended) return { body: { kind: BodyKind.Whole, bytes } };
  const stream = readAhead(req, { head: bytes, limits });
  return {
    body: {
      kind: BodyKind.Stream,
      stream,
      ...(length === undefined ? {} : { length }),
    },
  };
}

const EMPTY: CallBody = { kind: BodyKind.Whole, bytes: Buffer.alloc(0) };

interface Head {
  readonly bytes: Buffer;
  /** Is this the whole body? */
  readonly ended: boolean;
}

/** Reads the first part of a body; resolves to a text if it does not arrive. */
function readHead(
  req: IncomingMessage,
  idleMs: number,
): Promise<Head | string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Head | string) => {
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
      if (size <= WHOLE_BODY_BYTES) return;
      req.pause();
      finish({ bytes: Buffer.concat(chunks), ended: false });
    };
    const onEnd = () => finish({ bytes: Buffer.concat(chunks), ended: true });
    const onClose = () => finish("The body was cut");
    const timer = setTimeout(stall, idleMs);
    req.on("data", onData).on("end", onEnd).on("close", onClose);
  });
}

/**
 * Returns a stream of the part that was read and of the rest. The rest is read
 * ahead, so that a body that stalls is noticed also while its request waits
 * for a slot: the request ends once no byte has come for the idle time.
 */
function readAhead(
  req: IncomingMessage,
  { head, limits }: { head: Buffer; limits: BodyLimits },
): Readable {
  const out = new PassThrough({ highWaterMark: AHEAD_BYTES });
  let size = head.length;
  const check = () => {
    // Nobody takes the bytes: that they stop is not the caller's doing.
    if (out.writableNeedDrain) timer.refresh();
    else req.destroy();
  };
  const timer = setTimeout(check, limits.idleMs);
  const stop = () => clearTimeout(timer);
  req.on("data", (chunk: Buffer) => {
    timer.refresh();
    size += chunk.length;
    if (size > limits.maxBytes) {
      out.destroy(new Error("The body is too large"));
    }
  });
  req.once("end", stop);
  req.once("close", () => {
    stop();
    if (!req.readableEnded) out.destroy(new Error("The body was cut"));
  });
  out.once("close", stop);
  // Whoever takes the stream is told; until then its end is enough.
  out.on("error", () => {});
  out.write(head);
  req.pipe(out);
  return out;
}
