/**
 * Determines which owners and services admit only a part of their requests.
 *
 * Load pattern: demand exceeds what an owner, because of a hot key, or a whole
 * service can process. Routers that each decide for themselves fill the
 * servers' queues together, and a full server may never respond. So the
 * coordinator publishes shares, and each router applies them at arrival.
 * @module
 */
import { DemandMix, type PriorityCount } from "./demand_mix.js";
import {
  mayOverfill,
  OccupancyControl,
  type OccupancyReport,
} from "./occupancy_control.js";
import {
  allocateShares,
  computeTotalShare,
  type PriorityDemand,
  type PriorityShare,
  ShareRamp,
} from "./priority_shares.js";

/** Load of a server that owns keys. */
export interface OwnerLoad {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** Requests per second that it can process. */
  readonly capacity: number;
  /** Requests per second for its keys, over some seconds. */
  readonly load: number;
  /** The same over half a second. */
  readonly recentLoad: number;
}

/** Capacity of a service that any of its servers can run. */
export interface ServiceCapacity {
  readonly name: string;
  /** Requests per second that its servers can process together. */
  readonly capacity: number;
}

/** Shares of an owner or a service. */
export interface PublishedShare {
  /** Id of the server, or name of the service. */
  readonly id: string;
  /** Names the server or service among both. */
  readonly resource: string;
  /** Share of all requests, for routers that know no priorities. */
  readonly share: number;
  /** Shares by priority, most urgent first; empty if the mix is not known. */
  readonly shares: readonly PriorityShare[];
  /** Demand and capacity from which it follows, requests per second. */
  readonly load: number;
  readonly capacity: number;
}

/** Facts for one plan. */
export interface AdmissionInput {
  readonly owners: readonly OwnerLoad[];
  readonly services: readonly ServiceCapacity[];
  readonly routers: number;
  readonly nowMs: number;
}

/** Shares below 1 and those of owners that are near overload. */
export interface AdmissionPlan {
  readonly owners: readonly PublishedShare[];
  readonly services: readonly PublishedShare[];
}

/**
 * Use from which the entry of an owner is published, so that routers report its
 * occupancy. Only with more routers than it can hold requests.
 */
const NEAR_OVERLOAD = 0.8;
/**
 * Part of a service's estimated capacity that is admitted. No occupancy corrects
 * the estimate, and one that is too low must not refuse what could be served.
 * The excess waits at the routers, in order of priority.
 */
const SERVICE_PART = 1.2;
/** Deviations of the recent load from the other one that count as a change. */
const SIGNIFICANT_DEVIATIONS = 4;
/**
 * Largest number of owners that are published, those with the smallest shares:
 * 150 entries are about 12 KB/s of the 15 KB/s that control may take.
 */
const MAX_OWNERS = 150;

/** Plans the shares from the reports of all routers; at the coordinator. */
export class AdmissionPlanner {
  readonly #mix = new DemandMix();
  readonly #occupancy = new OccupancyControl();
  readonly #ramp = new ShareRamp();

  /** Adds the counts and occupancies that one router reports. */
  add(
    report: {
      priorities: readonly PriorityCount[];
      occupancies: readonly OccupancyReport[];
    },
    nowMs: number,
  ): void {
    this.#mix.add(report.priorities, nowMs);
    this.#occupancy.add(report.occupancies, nowMs);
  }

  /** Computes all shares again. */
  plan(facts: AdmissionInput): AdmissionPlan {
    const { nowMs } = facts;
    const owners = facts.owners
      .map((owner) => this.#planOwner(owner, facts))
      .filter((share) => share !== undefined)
      .sort((a, b) => a.share - b.share)
      .slice(0, MAX_OWNERS);
    const services = facts.services
      .map((service) => this.#planService(service, facts))
      .filter((share) => share !== undefined);
    const listed = new Set([
      ...owners.map(({ id }) => nameOwner(id)),
      ...services.map(({ id }) => nameService(id)),
    ]);
    this.#ramp.retain((resource) => listed.has(resource));
    const ids = new Set(facts.owners.map(({ id }) => id));
    this.#occupancy.retain((id) => ids.has(id));
    const names = new Set([
      ...facts.owners.map(({ service }) => service),
      ...facts.services.map(({ name }) => name),
    ]);
    this.#mix.retain((service) => names.has(service), nowMs);
    return { owners, services };
  }

  /**
   * The mix of priorities of an owner is taken to be that of its service: counts
   * by key and priority would be several times as many.
   */
  #planOwner(
    owner: OwnerLoad,
    { routers, nowMs }: AdmissionInput,
  ): PublishedShare | undefined {
    const { id, service, slots, capacity } = owner;
    const isMany = mayOverfill({ routers, slots });
    // Reports of a few routers come in bursts, which are not of the load.
    const load = isMany ? computeCurrentLoad(owner) : owner.load;
    const limit = NEAR_OVERLOAD * capacity;
    // Its keys may have moved: then it is free at once, without steps.
    if (Math.max(owner.load, load) <= limit) return undefined;
    const admitted = capacity *
      this.#occupancy.computePart(id, { slots, routers, nowMs });
    const mix = this.#mix.listDemands(service, nowMs);
    const demands = scaleDemands(mix, load);
    const share = this.#publish(nameOwner(id), {
      demands,
      admitted,
      nowMs,
    });
    const isNear = isMany && load > limit;
    if (share.share === 1 && !isNear) return undefined;
    const shares = mix.length > 0 ? share.shares : [];
    const resource = nameOwner(id);
    return { id, resource, share: share.share, shares, load, capacity };
  }

  #planService(
    { name, capacity }: ServiceCapacity,
    { nowMs }: AdmissionInput,
  ): PublishedShare | undefined {
    const demands = this.#mix.listDemands(name, nowMs);
    const load = demands.reduce((sum, d) => sum + d.perSecond, 0);
    const admitted = SERVICE_PART * capacity;
    const published = this.#publish(nameService(name), {
      demands,
      admitted,
      nowMs,
    });
    if (published.share === 1) return undefined;
    const resource = nameService(name);
    return { id: name, resource, ...published, load, capacity };
  }

  #publish(
    resource: string,
    { demands, admitted, nowMs }: {
      demands: readonly PriorityDemand[];
      admitted: number;
      nowMs: number;
    },
  ): { share: number; shares: readonly PriorityShare[] } {
    const allocation = allocateShares(demands, admitted);
    const shares = this.#ramp.advance(resource, allocation, nowMs);
    return { share: computeTotalShare(demands, shares), shares };
  }
}

/**
 * Returns the recent load if the difference from that over some seconds is more
 * than the scatter of its few requests, so that a burst is followed at once.
 */
export function computeCurrentLoad(
  { load, recentLoad }: Pick<OwnerLoad, "load" | "recentLoad">,
): number {
  // With a time constant of 0.5 s the variance of a rate is the rate itself.
  const deviation = Math.sqrt(Math.max(1, load));
  const isChanged =
    Math.abs(recentLoad - load) > SIGNIFICANT_DEVIATIONS * deviation;
  return isChanged ? recentLoad : load;
}

/** Scales the demand of a service to the load of one of its owners. */
function scaleDemands(
  mix: readonly PriorityDemand[],
  load: number,
): readonly PriorityDemand[] {
  const total = mix.reduce((sum, { perSecond }) => sum + perSecond, 0);
  if (total === 0) return [{ priority: 0, perSecond: load }];
  return mix.map(({ priority, perSecond }) => ({
    priority,
    perSecond: perSecond * load / total,
  }));
}

function nameOwner(id: string): string {
  return `server/${id}`;
}

function nameService(name: string): string {
  return `service/${name}`;
}
