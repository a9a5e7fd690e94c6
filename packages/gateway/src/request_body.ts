/** Reads the body of a client's request. @module */
import type { IncomingMessage } from "node:http";

/** How reading a body ended. */
export enum BodyEnd {
  Whole = "whole",
  TooLarge = "tooLarge",
  /** The client left before the end. */
  CutShort = "cutShort",
}

/** A body, if it came whole. */
export interface BodyResult {
  readonly end: BodyEnd;
  readonly body: Buffer;
}

const EMPTY = Buffer.alloc(0);

/**
 * Reads a whole body, so that no server is kept waiting for a slow client and
 * a body can be sent again after a server has turned it away.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  if (isBodiless(request)) {
    return Promise.resolve({ end: BodyEnd.Whole, body: EMPTY });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (end: BodyEnd) => {
      request.removeListener("data", onData);
      resolve({ end, body: end === BodyEnd.Whole ? concat(chunks) : EMPTY });
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) finish(BodyEnd.TooLarge);
    };
    request.on("data", onData);
    request.once("end", () => finish(BodyEnd.Whole));
    request.once("error", () => finish(BodyEnd.CutShort));
    request.once("close", () => finish(BodyEnd.CutShort));
  });
}

function isBodiless({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] === undefined &&
    (headers["content-length"] ?? "0") === "0";
}

function concat(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
