/** Generates the reports that backend servers stream. @module */
import { Buffer } from "node:buffer";

/**
 * Returns `length` bytes of the report for `requestId`, starting at byte `from`.
 * The content repeats the identifier, so that parts of another request's report
 * can be detected.
 */
export function makeReport(
  requestId: string,
  range: { from: number; length: number },
): Buffer {
  const line = Buffer.from(`${requestId}\n`);
  const lineOffset = range.from % line.length;
  const rotatedLine = Buffer.concat([
    line.subarray(lineOffset),
    line.subarray(0, lineOffset),
  ]);
  return Buffer.alloc(range.length, rotatedLine);
}

const CHUNK_BYTES = 64 * 1024;

/** Yields the first `length` bytes of the report for `requestId` in chunks. */
export async function* makeReportChunks(
  requestId: string,
  length: number,
): AsyncGenerator<Buffer> {
  for (let from = 0; from < length; from += CHUNK_BYTES) {
    const size = Math.min(CHUNK_BYTES, length - from);
    yield makeReport(requestId, { from, length: size });
  }
}
