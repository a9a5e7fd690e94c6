/** Estimates the demand of each service by priority. @module */
import type { PriorityDemand } from "./priority_shares.js";

/** Requests of a priority that arrived at one router since its last report. */
export type PriorityCount = readonly [
  service: string,
  priority: number,
  count: number,
];

/** Time constant with which the demand follows new counts, ms. */
const TIME_CONSTANT_MS = 1_000;
/** Demand below which a priority is forgotten, requests per second. */
const MIN_DEMAND = 0.01;
/** Largest number of priorities of a service that are kept. */
const MAX_PRIORITIES = 16;

interface Rate {
  perSecond: number;
  atMs: number;
}

/** Exponentially decaying request rates, summed over the routers' reports. */
export class DemandMix {
  readonly #services = new Map<string, Map<number, Rate>>();

  /** Adds the counts that one router reports. */
  add(counts: readonly PriorityCount[], nowMs: number): void {
    for (const [service, priority, count] of counts) {
      const rates = this.#services.get(service) ?? new Map<number, Rate>();
      this.#services.set(service, rates);
      const known = rates.get(priority);
      if (!known && rates.size >= MAX_PRIORITIES) continue;
      const perSecond = (known ? decay(known, nowMs) : 0) +
        1000 * count / TIME_CONSTANT_MS;
      rates.set(priority, { perSecond, atMs: nowMs });
    }
  }

  /** Lists the demand of a service, most urgent first. */
  listDemands(service: string, nowMs: number): readonly PriorityDemand[] {
    const rates = [...this.#services.get(service) ?? []];
    return rates
      .map(([priority, rate]) => ({ priority, perSecond: decay(rate, nowMs) }))
      .filter(({ perSecond }) => perSecond >= MIN_DEMAND)
      .sort((a, b) => a.priority - b.priority);
  }

  /** Forgets demand that has ended, and services that are not configured. */
  retain(isKnown: (service: string) => boolean, nowMs: number): void {
    for (const [service, rates] of this.#services) {
      for (const [priority, rate] of rates) {
        if (decay(rate, nowMs) < MIN_DEMAND) rates.delete(priority);
      }
      if (rates.size === 0 || !isKnown(service)) this.#services.delete(service);
    }
  }
}

function decay({ perSecond, atMs }: Rate, nowMs: number): number {
  return perSecond * Math.exp(-Math.max(0, nowMs - atMs) / TIME_CONSTANT_MS);
}
