/**
 * Decides when the key space of a service is first split among its servers.
 *
 * Load pattern: servers start at the same time and register one by one over a
 * few seconds, before the first requests. Splitting the keys among the servers
 * that registered first would send them all of the first requests.
 * @module
 */

/**
 * The wait ends after this long without a registration, ms. Servers that start
 * together register at shorter intervals.
 */
const JOIN_QUIET_PERIOD_MS = 1_500;
/**
 * Maximum delay after the first registration, even if more servers join, ms.
 */
const MAX_SPLIT_DELAY_MS = 5_000;

/** Delays the initial split until servers stop joining or requests arrive. */
export class InitialSplitDelay {
  #firstJoinMs: number | undefined;
  #lastJoinMs = -Infinity;
  #servers = 0;

  /** Records the number of servers; returns whether to split the keys now. */
  observe(
    { nowMs, servers, load }: { nowMs: number; servers: number; load: number },
  ): boolean {
    if (servers > this.#servers) this.#lastJoinMs = nowMs;
    this.#servers = servers;
    if (servers === 0) return false;
    this.#firstJoinMs ??= nowMs;
    return load > 0 || nowMs - this.#lastJoinMs >= JOIN_QUIET_PERIOD_MS ||
      nowMs - this.#firstJoinMs >= MAX_SPLIT_DELAY_MS;
  }
}
