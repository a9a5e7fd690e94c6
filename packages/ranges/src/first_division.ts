/**
 * Decides when the keys of a service are divided for the first time.
 *
 * Load pattern: servers start together and announce themselves one after the
 * other over some seconds, before the first requests. A division among those
 * that came first would give them all keys, and with them all of the first
 * requests.
 * @module
 */

/** Servers that start together announce themselves within such pauses, ms. */
const QUIET_MS = 1_500;
/** Keys are divided by then, also while servers go on joining, ms. */
const MAX_WAIT_MS = 5_000;

/** Waits until servers have ceased to join, or somebody asks for a key. */
export class FirstDivision {
  #firstMs: number | undefined;
  #joinedMs = -Infinity;
  #servers = 0;

  /** Takes note of the servers; returns whether keys are to be divided now. */
  observe(
    { nowMs, servers, load }: { nowMs: number; servers: number; load: number },
  ): boolean {
    if (servers > this.#servers) this.#joinedMs = nowMs;
    this.#servers = servers;
    if (servers === 0) return false;
    this.#firstMs ??= nowMs;
    return load > 0 || nowMs - this.#joinedMs >= QUIET_MS ||
      nowMs - this.#firstMs >= MAX_WAIT_MS;
  }
}
