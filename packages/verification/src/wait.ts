/** Waits with a timeout. @module */
import { setTimeout as delay } from "node:timers/promises";

const POLL_MS = 10;

/** Returns the time in fractional unix ms, as backend servers record it. */
export function readUnixMs(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Polls `check` until it returns a value other than `undefined` or `false`, and
 * returns that value. After `timeoutMs`, throws an error with the description
 * and the last failure of `check`.
 */
export async function waitFor<T>(
  description: string,
  timeoutMs: number,
  check: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  const end = performance.now() + timeoutMs;
  let failure = "";
  for (;;) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (e) {
      failure = ` (last failure: ${(e as Error).message})`;
    }
    if (performance.now() >= end) {
      throw new Error(
        `${description}: Timed out after ${timeoutMs} ms${failure}.`,
      );
    }
    await delay(POLL_MS);
  }
}

/** Waits until a point in time, such as the last deadline, has passed. */
export async function waitUntil(unixMs: number): Promise<void> {
  await delay(Math.max(0, unixMs - readUnixMs()));
}
