/** This router's statistics of servers and keys. @module */
import {
  ColdServers,
  CrashDetector,
  DemandMeter,
  type OccupancyReport,
  PermitMode,
  type PriorityCount,
  ServerNotices,
  ServerStats,
} from "@jaytiller/placement";
import type { ServerEntry } from "@jaytiller/routing";

/** Service time assumed until a server of the service is measured, ms. */
const DEFAULT_SERVICE_MS = 100;

/** Requests for one key since the last report. */
export type KeyCount = readonly [service: string, key: number, count: number];

/** Measured requests of a server since the last report and their total time. */
export type ServiceTime = readonly [
  server: string,
  count: number,
  sumMs: number,
];

/** Collects statistics by server id and request counts by key. */
export class TrafficStats {
  readonly #servers = new Map<string, ServerStats>();
  readonly #keys = new Map<string, Map<number, number>>();
  readonly #priorities = new Map<string, Map<number, number>>();
  readonly crashes = new CrashDetector();
  readonly notices = new ServerNotices();
  readonly cold = new ColdServers();
  /** Whether requests to cold servers need permits instead of time slots. */
  readonly permitMode = new PermitMode();
  /** Wanted concurrency of undivided services. */
  readonly demand = new DemandMeter();

  get(id: string): ServerStats {
    const known = this.#servers.get(id);
    if (known) return known;
    const stats = new ServerStats();
    this.#servers.set(id, stats);
    return stats;
  }

  /** Computes the mean service time over the measured servers, ms. */
  computeMeanServiceMs(entries: readonly ServerEntry[]): number {
    let count = 0;
    let sumMs = 0;
    for (const { id } of entries) {
      const ms = this.#servers.get(id)?.measuredServiceMs;
      if (ms === undefined) continue;
      count += 1;
      sumMs += ms;
    }
    return count === 0 ? DEFAULT_SERVICE_MS : sumMs / count;
  }

  countKey(service: string, key: number): void {
    const keys = this.#keys.get(service) ?? new Map<number, number>();
    this.#keys.set(service, keys);
    keys.set(key, (keys.get(key) ?? 0) + 1);
  }

  /** Returns and clears the counts; only the `limit` highest are returned. */
  takeKeyCounts(limit: number): readonly KeyCount[] {
    const counts: KeyCount[] = [];
    for (const [service, keys] of this.#keys) {
      for (const [key, count] of keys) counts.push([service, key, count]);
    }
    this.#keys.clear();
    if (counts.length <= limit) return counts;
    return counts.sort((a, b) => b[2] - a[2]).slice(0, limit);
  }

  countPriority(service: string, priority: number): void {
    const counts = this.#priorities.get(service) ?? new Map<number, number>();
    this.#priorities.set(service, counts);
    counts.set(priority, (counts.get(priority) ?? 0) + 1);
  }

  /** Returns and clears the requests by service and priority. */
  takePriorityCounts(): readonly PriorityCount[] {
    const counts = [...this.#priorities].flatMap(([service, byPriority]) =>
      [...byPriority].map((
        [priority, count],
      ): PriorityCount => [service, priority, count])
    );
    this.#priorities.clear();
    return counts;
  }

  /** Returns what the given servers reported since the last call for each. */
  takeOccupancies(ids: readonly string[]): readonly OccupancyReport[] {
    const reports: OccupancyReport[] = [];
    for (const id of ids) {
      const requests = this.#servers.get(id)?.takeOccupancy();
      if (requests !== undefined) reports.push([id, requests]);
    }
    return reports;
  }

  /** Returns the service times measured since the last call. */
  takeServiceTimes(): readonly ServiceTime[] {
    const times: ServiceTime[] = [];
    for (const [id, stats] of this.#servers) {
      const taken = stats.takeSamples();
      if (taken) times.push([id, taken.count, Math.round(taken.sumMs)]);
    }
    return times;
  }

  /** Removes unknown servers that have no request of this router in flight. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, stats] of this.#servers) {
      if (!isKnown(id) && stats.inFlight === 0) this.#servers.delete(id);
    }
  }
}
