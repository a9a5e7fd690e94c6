/**
 * Divides the capacity of an overloaded server or service among priorities.
 *
 * Load pattern: demand exceeds capacity, for seconds or for the whole day.
 * Urgent requests have to be served first, but none of the others may starve,
 * and shares that follow each change of the load at once would oscillate.
 * @module
 */

/** Demand of one priority of a service. */
export interface PriorityDemand {
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Requests per second that arrive at all routers together. */
  readonly perSecond: number;
}

/** Share of the requests of a priority that is admitted, above 0 and up to 1. */
export type PriorityShare = readonly [priority: number, share: number];

/** Shares in order of urgency. */
export interface ShareAllocation {
  readonly shares: readonly PriorityShare[];
  /** Share below which no priority of the service is held. */
  readonly floor: number;
}

/** Part of its proportional share of the capacity that each priority gets. */
const GUARANTEED_PART = 0.3;
/** Demand too small for a quotient, requests per second. */
const NO_DEMAND = 1e-6;
/** Largest rise of a share in a second. */
const MAX_RISE = 0.2;

/**
 * Allocates capacity (requests per second): each priority gets the guaranteed
 * part, and the rest goes to the most urgent demand first. So a more urgent
 * priority never has a smaller share than a less urgent one.
 */
export function allocateShares(
  demands: readonly PriorityDemand[],
  capacity: number,
): ShareAllocation {
  const total = demands.reduce((sum, { perSecond }) => sum + perSecond, 0);
  if (total === 0) return { shares: [], floor: GUARANTEED_PART };
  const floor = GUARANTEED_PART * Math.min(1, capacity / total);
  let rest = Math.max(0, capacity - floor * total);
  let least = 1;
  const sorted = [...demands].sort((a, b) => a.priority - b.priority);
  const shares = sorted.map(({ priority, perSecond }): PriorityShare => {
    const granted = Math.min(rest, (1 - floor) * perSecond);
    rest -= granted;
    if (perSecond > NO_DEMAND) {
      least = Math.min(least, floor + granted / perSecond);
    }
    return [priority, least];
  });
  return { shares, floor };
}

/**
 * Returns the share of a priority. One without demand so far gets that of the
 * next less urgent one, or else the smallest.
 */
export function findShare(
  shares: readonly PriorityShare[],
  priority: number,
): number {
  const found = shares.find(([listed]) => listed >= priority) ?? shares.at(-1);
  return found?.[1] ?? 1;
}

/** Returns the share of all requests that is admitted. */
export function computeTotalShare(
  demands: readonly PriorityDemand[],
  shares: readonly PriorityShare[],
): number {
  let total = 0;
  let admitted = 0;
  for (const { priority, perSecond } of demands) {
    total += perSecond;
    admitted += perSecond * findShare(shares, priority);
  }
  return total === 0 ? 1 : admitted / total;
}

interface PublishedShares {
  readonly shares: readonly PriorityShare[];
  readonly atMs: number;
}

/** Shares as they are published: they fall at once and rise in steps. */
export class ShareRamp {
  readonly #published = new Map<string, PublishedShares>();

  /** Returns the shares of a resource after the last ones, from 1 at first. */
  advance(
    resource: string,
    { shares, floor }: ShareAllocation,
    nowMs: number,
  ): readonly PriorityShare[] {
    const known = this.#published.get(resource);
    const elapsedMs = nowMs - (known?.atMs ?? nowMs);
    const rise = MAX_RISE * Math.min(1, elapsedMs / 1000);
    let least = 1;
    const ramped = shares.map(([priority, target]): PriorityShare => {
      const before = findShare(known?.shares ?? [], priority);
      const next = Math.max(floor, Math.min(target, before + rise));
      // After a change of the mix, the last shares may be in another order.
      least = Math.min(least, roundUp(next));
      return [priority, least];
    });
    this.#published.set(resource, { shares: ramped, atMs: nowMs });
    return ramped;
  }

  /** Forgets resources that are no longer listed. */
  retain(isKnown: (resource: string) => boolean): void {
    for (const resource of this.#published.keys()) {
      if (!isKnown(resource)) this.#published.delete(resource);
    }
  }
}

/** Rounds a share, without falling below a floor. */
function roundUp(share: number): number {
  return Math.min(1, Math.ceil(share * 1e5 - 1e-6) / 1e5);
}
