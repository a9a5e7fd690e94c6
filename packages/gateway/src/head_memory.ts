/** Memory that parsed heads take of the JavaScript heap. @module */

/**
 * Memory of a header line beside its bytes: two strings, their places in the
 * list of raw headers, and an entry of the table of headers, bytes.
 */
const LINE_BYTES = 100;
/** Memory of a request and its response without header lines, bytes. */
const MESSAGE_BYTES = 4 << 10;

/**
 * Estimates the memory of a head or of trailers, bytes. `raw` are alternating
 * names and values.
 */
export function estimateHeadBytes(raw: readonly string[]): number {
  let bytes = 0;
  for (const text of raw) bytes += text.length;
  return MESSAGE_BYTES + bytes + estimateLineBytes(raw.length / 2);
}

/** Estimates the memory of header lines beside their bytes, bytes. */
export function estimateLineBytes(lines: number): number {
  return LINE_BYTES * lines;
}
