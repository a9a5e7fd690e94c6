/** Estimates key loads and server capacities from routers' reports. @module */
import { KeyLoad } from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import type { KeyCount, ServiceTime } from "./traffic_stats.js";

/** Time constant with which key loads follow new counts, ms. */
const LOAD_TIME_CONSTANT_MS = 2_000;
/** Service time assumed until a server of the service is measured, ms. */
const DEFAULT_SERVICE_MS = 150;
/** Weight of the service's mean in a server's estimate, in requests. */
const PRIOR_SAMPLE_COUNT = 6;
/** Largest weight of past requests in a server's estimate, in requests. */
const MAX_SAMPLE_COUNT = 40;

interface ServiceTimeSum {
  count: number;
  sumMs: number;
}

/** Aggregates the key counts and service times that all routers report. */
export class CapacityEstimator {
  readonly #loads = new Map<string, KeyLoad>();
  readonly #measured = new Map<string, ServiceTimeSum>();

  /** Returns the key loads of a service. */
  getLoad(service: string): KeyLoad {
    const known = this.#loads.get(service);
    if (known) return known;
    const load = KeyLoad.create({ timeConstantMs: LOAD_TIME_CONSTANT_MS });
    this.#loads.set(service, load);
    return load;
  }

  /** Advances all key loads to `nowMs`. */
  advance(nowMs: number): void {
    for (const load of this.#loads.values()) load.advance(nowMs);
  }

  /** Adds the counts and times that one router reports. */
  addReport(keys: readonly KeyCount[], times: readonly ServiceTime[]): void {
    for (const [service, key, count] of keys) {
      this.getLoad(service).add(key, count);
    }
    for (const [id, count, sumMs] of times) this.#addTime(id, { count, sumMs });
  }

  /**
   * Returns a function that estimates the requests per second that a server of
   * the service can run. The fewer measurements a server has, the closer its
   * estimate is to the mean of the service: one fast request must not make it
   * look a hundred times faster.
   */
  makeCapacityLookup(
    view: ServerView,
    service: string,
  ): (id: string) => number {
    const entries = view.listService(service);
    const meanMs = this.#computeMeanMs(entries.map((e) => e.id));
    return (id) => {
      const { count, sumMs } = this.#measured.get(id) ?? { count: 0, sumMs: 0 };
      const ms = (sumMs + PRIOR_SAMPLE_COUNT * meanMs) /
        (count + PRIOR_SAMPLE_COUNT);
      return 1000 * (view.find(id)?.slots ?? 1) / Math.max(1, ms);
    };
  }

  /** Counts the measured requests of servers; old ones count less. */
  countSamples(ids: readonly string[]): number {
    return ids.reduce(
      (sum, id) => sum + (this.#measured.get(id)?.count ?? 0),
      0,
    );
  }

  /** Removes measurements of servers that are no longer registered. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#measured.keys()) {
      if (!isKnown(id)) this.#measured.delete(id);
    }
  }

  #addTime(id: string, { count, sumMs }: ServiceTimeSum): void {
    const known = this.#measured.get(id) ?? { count: 0, sumMs: 0 };
    const total = known.count + count;
    const retainedShare = Math.min(1, MAX_SAMPLE_COUNT / total);
    this.#measured.set(id, {
      count: total * retainedShare,
      sumMs: (known.sumMs + sumMs) * retainedShare,
    });
  }

  #computeMeanMs(ids: readonly string[]): number {
    const sum: ServiceTimeSum = { count: 0, sumMs: 0 };
    for (const id of ids) {
      const measured = this.#measured.get(id);
      sum.count += measured?.count ?? 0;
      sum.sumMs += measured?.sumMs ?? 0;
    }
    const total = sum.sumMs + PRIOR_SAMPLE_COUNT * DEFAULT_SERVICE_MS;
    return total / (sum.count + PRIOR_SAMPLE_COUNT);
  }
}
