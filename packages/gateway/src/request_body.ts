/** Reads the body of a client's request. @module */
import type { IncomingMessage } from "node:http";
import { Body, BodyChunks } from "./body_chunks.js";
import type { ChunkPacer, PacedSource } from "./chunk_pacer.js";
import type { HeldMemory } from "./memory_budget.js";

/** How reading a body ended. */
export enum BodyEnd {
  Whole = "whole",
  TooLarge = "tooLarge",
  /** The client disconnected before the end. */
  CutShort = "cutShort",
  /** The request was answered before the end. */
  Stopped = "stopped",
}

/** Result of reading a body; the body is empty unless it is complete. */
export interface BodyResult {
  readonly end: BodyEnd;
  readonly body: Body;
}

/** Limits of a body and what its reading is counted with. */
export interface BodyOptions {
  readonly maxBytes: number;
  /** Memory of the body; not released here. */
  readonly held: HeldMemory;
  readonly pacer: ChunkPacer;
  /** Pauses and resumes the connection. */
  readonly source: PacedSource;
  /** Called for each chunk. */
  readonly onChunk: () => void;
}

/** A body that is being read. */
export interface BodyReading {
  readonly result: Promise<BodyResult>;
  /** Ends the reading, because the request was answered. */
  readonly stop: () => void;
}

/**
 * Reads a complete body before the request is sent, so that no server waits for
 * a slow client and the request can be sent again after a server rejected it.
 */
export function readBody(
  request: IncomingMessage,
  options: BodyOptions,
): BodyReading {
  if (hasNoBody(request)) {
    const whole = { end: BodyEnd.Whole, body: Body.empty };
    return { result: Promise.resolve(whole), stop: () => {} };
  }
  const { maxBytes, held, pacer, source, onChunk } = options;
  if (getStatedLength(request) > maxBytes) {
    const tooLarge = { end: BodyEnd.TooLarge, body: Body.empty };
    return { result: Promise.resolve(tooLarge), stop: () => {} };
  }
  let stop = () => {};
  const result = new Promise<BodyResult>((resolve) => {
    // Listeners of the request refer to it until the connection is closed.
    let chunks: BodyChunks | undefined = new BodyChunks();
    const finish = (end: BodyEnd) => {
      if (!chunks) return;
      const body = end === BodyEnd.Whole ? chunks.finish() : Body.empty;
      chunks = undefined;
      request.removeListener("data", onData);
      pacer.remove(source);
      resolve({ end, body });
    };
    const onData = (chunk: Buffer) => {
      onChunk();
      if (!chunks) return;
      const taken = chunks.add(chunk);
      if (chunks.size > maxBytes) return finish(BodyEnd.TooLarge);
      pacer.count(source, chunks.count);
      // May stop this reading, if there is no room.
      held.add(taken);
    };
    stop = () => finish(BodyEnd.Stopped);
    request.on("data", onData);
    request.once("end", () => finish(BodyEnd.Whole));
    request.once("error", () => finish(BodyEnd.CutShort));
    request.once("close", () => finish(BodyEnd.CutShort));
  });
  return { result, stop };
}

/** Returns whether the request consists of its head. */
export function hasNoBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] === undefined &&
    (headers["content-length"] ?? "0") === "0";
}

/** Returns the length that the head states, bytes; 0 if it states none. */
export function getStatedLength({ headers }: IncomingMessage): number {
  return Number(headers["content-length"] ?? 0);
}
