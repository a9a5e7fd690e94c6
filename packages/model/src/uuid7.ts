/** UUID version 7: request identities, which contain a timestamp. @module */

const UUID7_PATTERN =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the Unix ms of a UUIDv7, or `undefined` if the text is not one. */
export function parseUuid7Ms(text: string): number | undefined {
  if (!UUID7_PATTERN.test(text)) return undefined;
  return parseInt(text.slice(0, 8) + text.slice(9, 13), 16);
}

/** Formats a UUIDv7 with the timestamp `unixMs` and 10 random bytes. */
export function formatUuid7(unixMs: number, random: Uint8Array): string {
  const hex = [...random].map((b) => b.toString(16).padStart(2, "0")).join("");
  const time = Math.floor(unixMs).toString(16).padStart(12, "0");
  const variant = "89ab"[random[2]! & 3];
  return `${time.slice(0, 8)}-${time.slice(8)}-7${hex.slice(0, 3)}-${variant}${
    hex.slice(3, 6)
  }-${hex.slice(6, 18)}`;
}
