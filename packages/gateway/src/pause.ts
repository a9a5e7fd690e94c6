/** Waits. @module */

/** Resolves after a time, ms. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
