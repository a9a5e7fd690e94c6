/** Reads the body of a client's request. @module */
import type { IncomingMessage } from "node:http";
import { BodyChunks } from "./body_chunks.js";

/** How reading a body ended. */
export enum BodyEnd {
  Whole = "whole",
  TooLarge = "tooLarge",
  /** The client disconnected before the end. */
  CutShort = "cutShort",
}

/** Result of reading a body; the body is empty unless it is complete. */
export interface BodyResult {
  readonly end: BodyEnd;
  readonly body: Buffer;
}

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Reads a complete body before the request is sent, so that no server waits for
 * a slow client and the request can be sent again after a server rejected it.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  if (hasNoBody(request)) {
    return Promise.resolve({ end: BodyEnd.Whole, body: EMPTY_BODY });
  }
  return new Promise((resolve) => {
    const chunks = new BodyChunks();
    const finish = (end: BodyEnd) => {
      request.removeListener("data", onData);
      resolve({
        end,
        body: end === BodyEnd.Whole ? chunks.concat() : EMPTY_BODY,
      });
    };
    const onData = (chunk: Buffer) => {
      chunks.add(chunk);
      if (chunks.size > maxBytes) finish(BodyEnd.TooLarge);
    };
    request.on("data", onData);
    request.once("end", () => finish(BodyEnd.Whole));
    request.once("error", () => finish(BodyEnd.CutShort));
    request.once("close", () => finish(BodyEnd.CutShort));
  });
}

function hasNoBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] === undefined &&
    (headers["content-length"] ?? "0") === "0";
}
