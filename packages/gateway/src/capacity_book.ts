/** What routers report of servers and keys, on the coordinator. @module */
import { KeyLoad } from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import type { KeyCount, ServiceTime } from "./stats_book.js";

/** Loads follow new counts within this time, ms. */
const LOAD_TIME_CONSTANT_MS = 3_000;
/** Used until a server has been measured, ms. */
const FIRST_SERVICE_MS = 150;
const EWMA_WEIGHT = 0.2;

/** Loads of keys and speeds of servers, from all routers. */
export class CapacityBook {
  readonly #loads = new Map<string, KeyLoad>();
  readonly #times = new Map<string, number>();

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

  addReport(
    keys: readonly KeyCount[],
    times: readonly ServiceTime[],
  ): void {
    for (const [service, key, count] of keys) {
      this.getLoad(service).add(key, count);
    }
    for (const [id, ms] of times) {
      const known = this.#times.get(id) ?? ms;
      this.#times.set(id, known + EWMA_WEIGHT * (ms - known));
    }
  }

  /** Requests per second that a server can run. */
  getCapacity(view: ServerView, id: string): number {
    const slots = view.find(id)?.slots ?? 1;
    const mean = this.#computeMean();
    return 1000 * slots / Math.max(1, this.#times.get(id) ?? mean);
  }

  keep(isKnown: (id: string) => boolean): void {
    for (const id of this.#times.keys()) {
      if (!isKnown(id)) this.#times.delete(id);
    }
  }

  #computeMean(): number {
    if (this.#times.size === 0) return FIRST_SERVICE_MS;
    let sum = 0;
    for (const ms of this.#times.values()) sum += ms;
    return sum / this.#times.size;
  }
}
