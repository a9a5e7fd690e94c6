/**
 * Follows how full overloaded owners are, as all routers report it.
 *
 * Load pattern: one key of a server receives many times what it can process,
 * through more routers than it can hold requests. A router hears of the server
 * once in many seconds, but all of them together several times a second. The
 * coordinator merges these reports and keeps the server's queue short, also if
 * its estimate of the server's capacity is wrong by a fifth.
 * @module
 */
import { REQUESTS_PER_SLOT_HELD } from "./concurrency_limit.js";

/** Requests that a server reported to have, running and waiting. */
export type OccupancyReport = readonly [server: string, requests: number];

/** Weight of a new report in the moving average. */
const EWMA_WEIGHT = 0.3;
/** Age from which reports say nothing more about a server, ms. */
const MAX_AGE_MS = 2_000;
/** Part of the estimated capacity that is admitted without reports. */
const UNKNOWN_PART = 0.95;
/**
 * Requests at a server for each slot at which its whole capacity is admitted.
 * With 1.5, slots are idle between two reports of a server near its capacity.
 */
const REQUESTS_PER_SLOT_AIMED = 2;
const MIN_PART = 0.4;
const MAX_PART = 1.2;
/**
 * Part of the capacity that is admitted if one request from each router fits
 * into the server: the routers' own limits bound its queue, and an estimate
 * that is too low must not leave the server idle.
 */
const FEW_ROUTERS_PART = 1.2;

interface Occupancy {
  readonly requests: number;
  readonly atMs: number;
}

/** Returns whether one request from each router may fill a server. */
export function mayOverfill(options: {
  routers: number;
  slots: number;
}): boolean {
  return options.routers > REQUESTS_PER_SLOT_HELD * options.slots;
}

/** Reported occupancy of servers, and what follows from it. */
export class OccupancyControl {
  readonly #known = new Map<string, Occupancy>();

  /** Adds the reports of one router. */
  add(reports: readonly OccupancyReport[], nowMs: number): void {
    for (const [server, requests] of reports) {
      const known = this.#known.get(server);
      const isOld = !known || nowMs - known.atMs > MAX_AGE_MS;
      const mean = isOld
        ? requests
        : known.requests + EWMA_WEIGHT * (requests - known.requests);
      this.#known.set(server, { requests: mean, atMs: nowMs });
    }
  }

  /**
   * Returns the part of a server's estimated capacity that is admitted. It falls
   * in proportion to the requests at the server above those that keep its slots
   * busy.
   */
  computePart(
    server: string,
    options: { slots: number; routers: number; nowMs: number },
  ): number {
    if (!mayOverfill(options)) return FEW_ROUTERS_PART;
    const { slots, nowMs } = options;
    const known = this.#known.get(server);
    if (!known || nowMs - known.atMs > MAX_AGE_MS) return UNKNOWN_PART;
    const excess = known.requests - REQUESTS_PER_SLOT_AIMED * slots;
    const part = 1 - excess / (REQUESTS_PER_SLOT_HELD * slots);
    return Math.min(MAX_PART, Math.max(MIN_PART, part));
  }

  /** Forgets servers that are no longer registered. */
  retain(isKnown: (server: string) => boolean): void {
    for (const server of this.#known.keys()) {
      if (!isKnown(server)) this.#known.delete(server);
    }
  }
}
