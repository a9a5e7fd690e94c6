/** What routers report of servers and keys, on the coordinator. @module */
import { KeyLoad } from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import type { KeyCount, ServiceTime } from "./stats_book.js";

/** Loads follow new counts within this time, ms. */
const LOAD_TIME_CONSTANT_MS = 2_000;
/** Used until any server has been measured, ms. */
const FIRST_SERVICE_MS = 150;
/** Requests that the mean of a service weighs in the time of one server. */
const PRIOR_COUNT = 6;
/** Requests that are remembered for one server. */
const MEMORY_COUNT = 40;

interface Measured {
  count: number;
  sumMs: number;
}

/** Loads of keys and speeds of servers, from all routers. */
export class CapacityBook {
  readonly #loads = new Map<string, KeyLoad>();
  readonly #measured = new Map<string, Measured>();

  getLoad(service: string): KeyLoad {
    const known = this.#loads.get(service);
    if (known) return known;
    const load = KeyLoad.create({ timeConstantMs: LOAD_TIME_CONSTANT_MS });
    this.#loads.set(service, load);
    return load;
  }

  advance(nowMs: number): void {
    for (const load of this.#loads.values()) load.advance(nowMs);
  }

  addReport(keys: readonly KeyCount[], times: readonly ServiceTime[]): void {
    for (const [service, key, count] of keys) {
      this.getLoad(service).add(key, count);
    }
    for (const [id, count, sumMs] of times) this.#addTime(id, { count, sumMs });
  }

  /**
   * Returns the requests per second that each server of a service can run.
   * A server with few measurements is taken to be like the others.
   */
  makeCapacities(view: ServerView, service: string): (id: string) => number {
    const entries = view.listService(service);
    const meanMs = this.#computeMean(entries.map((e) => e.id));
    return (id) => {
      const { count, sumMs } = this.#measured.get(id) ?? { count: 0, sumMs: 0 };
      const ms = (sumMs + PRIOR_COUNT * meanMs) / (count + PRIOR_COUNT);
      return 1000 * (view.find(id)?.slots ?? 1) / Math.max(1, ms);
    };
  }

  keep(isKnown: (id: string) => boolean): void {
    for (const id of this.#measured.keys()) {
      if (!isKnown(id)) this.#measured.delete(id);
    }
  }

  #addTime(id: string, { count, sumMs }: Measured): void {
    const known = this.#measured.get(id) ?? { count: 0, sumMs: 0 };
    const total = known.count + count;
    const kept = Math.min(1, MEMORY_COUNT / total);
    this.#measured.set(id, {
      count: total * kept,
      sumMs: (known.sumMs + sumMs) * kept,
    });
  }

  #computeMean(ids: readonly string[]): number {
    const sum: Measured = { count: 0, sumMs: 0 };
    for (const id of ids) {
      const measured = this.#measured.get(id);
      sum.count += measured?.count ?? 0;
      sum.sumMs += measured?.sumMs ?? 0;
    }
    const total = sum.sumMs + PRIOR_COUNT * FIRST_SERVICE_MS;
    return total / (sum.count + PRIOR_COUNT);
  }
}
