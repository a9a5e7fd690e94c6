/** What this router has seen of servers and keys. @module */
import { CrashWatch, ServerStats } from "@jaytiller/placement";
import type { ServerEntry } from "@jaytiller/routing";

/** Used until a server of the service has been measured, ms. */
const FIRST_SERVICE_MS = 100;

/** Counts of one key since the last report. */
export type KeyCount = readonly [service: string, key: number, count: number];

/** Measured requests of a server since the last report, and their time, ms. */
export type ServiceTime = readonly [
  server: string,
  count: number,
  sumMs: number,
];

/** Statistics by server id and counts by key. */
export class StatsBook {
  readonly #servers = new Map<string, ServerStats>();
  readonly #keys = new Map<string, Map<number, number>>();
  readonly crashes = new CrashWatch();

  get(id: string): ServerStats {
    const known = this.#servers.get(id);
    if (known) return known;
    const stats = new ServerStats();
    this.#servers.set(id, stats);
    return stats;
  }

  /** Mean time of a request over the measured servers, ms. */
  computeMeanServiceMs(entries: readonly ServerEntry[]): number {
    let count = 0;
    let sumMs = 0;
    for (const { id } of entries) {
      const ms = this.#servers.get(id)?.measuredServiceMs;
      if (ms === undefined) continue;
      count += 1;
      sumMs += ms;
    }
    return count === 0 ? FIRST_SERVICE_MS : sumMs / count;
  }

  countKey(service: string, key: number): void {
    const keys = this.#keys.get(service) ?? new Map<number, number>();
    this.#keys.set(service, keys);
    keys.set(key, (keys.get(key) ?? 0) + 1);
  }

  /** Returns the counts since the last call, at most `limit` of them. */
  takeKeyCounts(limit: number): readonly KeyCount[] {
    const counts: KeyCount[] = [];
    for (const [service, keys] of this.#keys) {
      for (const [key, count] of keys) counts.push([service, key, count]);
    }
    this.#keys.clear();
    if (counts.length <= limit) return counts;
    return counts.sort((a, b) => b[2] - a[2]).slice(0, limit);
  }

  /** Returns what has been measured since the last call. */
  takeServiceTimes(): readonly ServiceTime[] {
    const times: ServiceTime[] = [];
    for (const [id, stats] of this.#servers) {
      const taken = stats.takeSamples();
      if (taken) times.push([id, taken.count, Math.round(taken.sumMs)]);
    }
    return times;
  }

  /** Forgets servers that are gone and have no request of ours. */
  keep(isKnown: (id: string) => boolean): void {
    for (const [id, stats] of this.#servers) {
      if (!isKnown(id) && stats.inFlight === 0) this.#servers.delete(id);
    }
  }
}
