/**
 * Leases the capacity of undivided services to gateways, at the coordinator.
 *
 * Load pattern: so many gateways that one request of each would overfill a
 * server, and servers that never respond once they are full. The leased units of
 * a server never sum to more than it holds, whatever message is lost or late.
 * Requests that outlive a reduction by more than 5 s, and those of gateways
 * without leases, are not counted.
 * @module
 */
import type { ServerEntry } from "@jaytiller/routing";
import {
  computeHeldUnits,
  isLeased,
  LEASE_RECLAIM_MS,
  type LeaseMessage,
  type LeaseReply,
  type ServiceDemand,
} from "./capacity_units.js";
import { LeasePlan, type PlanCell, type Units } from "./lease_plan.js";
import { RendezvousOrder } from "./rendezvous_order.js";
import { planSpills, type Spill, type ZoneLoad } from "./zone_spillover.js";

/** A gateway to which units are leased. */
export interface Borrower {
  /** Identifies the process, not the node: a new process holds nothing. */
  readonly key: string;
  readonly node: string;
  readonly zone: string;
}

/** Servers of an undivided service that accept requests. */
export interface LentService {
  readonly service: string;
  readonly servers: readonly ServerEntry[];
}

/** What the planning of a service used and did. */
export interface LendingSummary {
  readonly service: string;
  readonly gateways: number;
  readonly servers: number;
  readonly units: number;
  readonly lent: number;
  /** Units that gateways may use, with those that are being taken back. */
  readonly held: number;
  readonly demand: number;
  /** Number of gateways whose leases changed. */
  readonly changed: number;
  /** Units that are lent from zone to zone. */
  readonly spills: readonly Spill[];
}

/** Silence after which a gateway gets no units in a plan, ms. */
const MAX_SILENCE_MS = 2_000;
/** Weight of a report in the mean demand, by which zones are compared. */
const MEAN_WEIGHT = 0.15;
/** Weight of a report by which the demand rises. */
const RISE_WEIGHT = 0.3;
/** Weight of a report by which it falls; slow, so that headroom stays. */
const FALL_WEIGHT = 0.04;

interface Demand {
  peak: number;
  mean: number;
}

/** Units by server, by service. */
type Leases = ReadonlyMap<string, Units>;

interface BorrowerState {
  borrower: Borrower;
  heardMs: number;
  clockMs: number;
  /** Version of the leases it is to have. */
  version: number;
  target: Leases;
  /** Newest version that it has confirmed. */
  acknowledged: number;
  /** Versions whose units it may be using, oldest first. */
  inForce: { readonly version: number; readonly leases: Leases }[];
  readonly demand: Map<string, Demand>;
}

/** Decides which gateway may use how much of which server. */
export class CapacityLender {
  readonly #getStartMs: () => number;
  readonly #states = new Map<string, BorrowerState>();
  /** Units lent from zone to zone, by service. */
  readonly #spills = new Map<string, readonly Spill[]>();
  readonly #rendezvous = new RendezvousOrder();
  #born: ReadonlyMap<string, number> = new Map();
  #lastVersion = 0;

  /**
   * `getStartMs` returns the time by which all leases of predecessors have
   * expired, ms; it may become earlier.
   */
  constructor({ getStartMs }: { getStartMs: () => number }) {
    this.#getStartMs = getStartMs;
  }

  /** Returns the number of units that a gateway may be using at a server. */
  countHeld(server: string): number {
    let sum = 0;
    for (const { inForce } of this.#states.values()) {
      const units = inForce.flatMap(({ leases }) =>
        [...leases.values()].map((lease) => lease.get(server) ?? 0)
      );
      sum += Math.max(0, ...units);
    }
    return sum;
  }

  /** Records the reply of a gateway that leases units. */
  recordReply(borrower: Borrower, reply: LeaseReply, nowMs: number): void {
    let state = this.#states.get(borrower.key);
    if (!state) {
      state = {
        borrower,
        heardMs: nowMs,
        clockMs: 0,
        version: 0,
        target: new Map(),
        acknowledged: 0,
        inForce: [],
        demand: new Map(),
      };
      this.#states.set(borrower.key, state);
    }
    state.borrower = borrower;
    state.heardMs = nowMs;
    state.clockMs = reply.leasesClockMs;
    state.acknowledged = reply.leasesVersion;
    // A gateway does not return to an older version of a term.
    const released = Math.min(
      reply.leasesVersion,
      reply.leasesReleased ?? reply.leasesVersion,
    );
    state.inForce = state.inForce.filter((v) => v.version >= released);
    recordDemand(state.demand, reply.demand);
  }

  /** Makes the fields of the next heartbeat to a gateway. */
  makeMessage(key: string): LeaseMessage {
    const state = this.#states.get(key);
    if (!state) return { leasesVersion: 0 };
    const { version, acknowledged, target, clockMs } = state;
    if (version === 0) return { leasesVersion: 0 };
    const message = { leasesVersion: version, leasesEchoMs: clockMs };
    if (version === acknowledged) return message;
    const items = [...target.values()].flatMap((units) =>
      [...units].map(([id, count]) =>
        [id, this.#born.get(id) ?? 0, count] as const
      )
    );
    return { ...message, leases: { version, items } };
  }

  /**
   * Plans the leases of all services for the gateways, of which `gateways` is
   * the number with those that have not been heard. Returns what was done.
   */
  plan(
    options: {
      nowMs: number;
      gateways: number;
      borrowers: readonly Borrower[];
      services: readonly LentService[];
    },
  ): readonly LendingSummary[] {
    const { nowMs, gateways } = options;
    const known = new Set(options.borrowers.map((b) => b.key));
    this.#expire(known, nowMs);
    if (nowMs < this.#getStartMs()) return [];
    const lent = options.services.filter(({ servers }) =>
      isLeased(servers, gateways)
    );
    const restarted = this.#updateServers(lent);
    const states = [...this.#states.values()].filter((s) =>
      known.has(s.borrower.key) && nowMs - s.heardMs < MAX_SILENCE_MS
    );
    const targets = new Map<string, Map<string, Units>>();
    const changed = new Set<string>();
    const summaries = lent.map((service) =>
      this.#planService(service, { states, targets, changed })
    );
    for (const state of this.#states.values()) {
      const target = targets.get(state.borrower.key) ?? new Map();
      const isChanged = changed.has(state.borrower.key) ||
        [...state.target.keys()].some((service) => !target.has(service)) ||
        restarted.size > 0 && hasServer(state.target, restarted);
      if (isChanged) this.#setTarget(state, target);
    }
    return summaries;
  }

  #planService(
    { service, servers }: LentService,
    { states, targets, changed }: {
      states: readonly BorrowerState[];
      targets: Map<string, Map<string, Units>>;
      changed: Set<string>;
    },
  ): LendingSummary {
    const capacity = new Map(servers.map((s) => [s.id, computeHeldUnits(s)]));
    const heard = new Set(states);
    const borrowers = [...this.#states.values()].map((state) => ({
      key: state.borrower.key,
      node: state.borrower.node,
      demand: state.demand.get(service)?.peak ?? 0,
      target: heard.has(state) ? state.target.get(service) ?? NONE : NONE,
      held: computeHeld(state, service),
    }));
    const plan = new LeasePlan(capacity, borrowers, this.#rendezvous);
    const zones = listZoneLoads(service, servers, states);
    const spills = planSpills(zones, this.#spills.get(service) ?? []);
    this.#spills.set(service, spills);
    plan.distribute(makeCells({ servers, states, zones, spills }));
    const changes = plan.listChanges();
    let lent = 0;
    let held = 0;
    for (const borrower of borrowers) {
      const units = changes.get(borrower.key) ?? borrower.target;
      const target = targets.get(borrower.key) ?? new Map<string, Units>();
      targets.set(borrower.key, target);
      if (units.size > 0) target.set(service, units);
      for (const count of units.values()) lent += count;
      for (const count of borrower.held.values()) held += count;
      if (changes.has(borrower.key)) changed.add(borrower.key);
    }
    return {
      service,
      gateways: states.length,
      servers: servers.length,
      units: [...capacity.values()].reduce((sum, n) => sum + n, 0),
      lent,
      held,
      demand: borrowers.reduce((sum, b) => sum + b.demand, 0),
      changed: changes.size,
      spills,
    };
  }

  /** Drops leases that have expired, and gateways without any. */
  #expire(known: ReadonlySet<string>, nowMs: number): void {
    for (const [key, state] of this.#states) {
      if (nowMs - state.heardMs <= LEASE_RECLAIM_MS) continue;
      state.inForce = [];
      if (!known.has(key)) this.#states.delete(key);
      else if (state.target.size > 0) this.#setTarget(state, new Map());
    }
  }

  /** Returns the servers that are new processes under a known id. */
  #updateServers(services: readonly LentService[]): ReadonlySet<string> {
    const born = new Map<string, number>();
    const restarted = new Set<string>();
    for (const server of services.flatMap((s) => s.servers)) {
      born.set(server.id, server.born);
      const known = this.#born.get(server.id);
      if (known !== undefined && known !== server.born) {
        restarted.add(server.id);
      }
    }
    this.#born = born;
    return restarted;
  }

  #setTarget(state: BorrowerState, target: Leases): void {
    state.version = this.#lastVersion += 1;
    state.target = target;
    state.inForce.push({ version: state.version, leases: target });
  }
}

const NONE: Units = new Map();

function hasServer(target: Leases, ids: ReadonlySet<string>): boolean {
  return [...target.values()].some((units) =>
    [...units.keys()].some((id) => ids.has(id))
  );
}

/** Returns the most units at each server that a gateway may be using. */
function computeHeld({ inForce }: BorrowerState, service: string): Units {
  if (inForce.length === 1) return inForce[0]!.leases.get(service) ?? NONE;
  const held = new Map<string, number>();
  for (const { leases } of inForce) {
    for (const [id, count] of leases.get(service) ?? NONE) {
      held.set(id, Math.max(held.get(id) ?? 0, count));
    }
  }
  return held;
}

function recordDemand(
  known: Map<string, Demand>,
  reported: readonly ServiceDemand[],
): void {
  const named = new Set(reported.map(([service]) => service));
  const idle = [...known.keys()].filter((service) => !named.has(service))
    .map((service): ServiceDemand => [service, 0, 0]);
  for (const [service, peak, mean] of [...reported, ...idle]) {
    const demand = known.get(service) ?? { peak: 0, mean: 0 };
    known.set(service, demand);
    const weight = peak > demand.peak ? RISE_WEIGHT : FALL_WEIGHT;
    demand.peak += weight * (peak - demand.peak);
    demand.mean += MEAN_WEIGHT * (mean - demand.mean);
  }
}

function listZoneLoads(
  service: string,
  servers: readonly ServerEntry[],
  states: readonly BorrowerState[],
): readonly ZoneLoad[] {
  const loads = new Map<
    string,
    { units: number; slots: number; gateways: number; demand: number }
  >();
  const get = (zone: string) => {
    const known = loads.get(zone) ??
      { units: 0, slots: 0, gateways: 0, demand: 0 };
    loads.set(zone, known);
    return known;
  };
  for (const server of servers) {
    const load = get(server.zone);
    load.units += computeHeldUnits(server);
    load.slots += server.slots;
  }
  for (const { borrower, demand } of states) {
    const load = get(borrower.zone);
    load.gateways += 1;
    load.demand += demand.get(service)?.mean ?? 0;
  }
  return [...loads].map(([zone, load]) => ({ zone, ...load }));
}

/**
 * Lends each zone's servers to the gateways of the same zone, except for the
 * units that are lent to other zones.
 */
function makeCells({ servers, states, zones, spills }: {
  servers: readonly ServerEntry[];
  states: readonly BorrowerState[];
  zones: readonly ZoneLoad[];
  spills: readonly Spill[];
}): readonly PlanCell[] {
  const serversByZone = new Map<string, string[]>();
  for (const { id, zone } of servers) {
    serversByZone.set(zone, [...serversByZone.get(zone) ?? [], id]);
  }
  const borrowersByZone = new Map<string, string[]>();
  for (const { borrower: { key, zone } } of states) {
    borrowersByZone.set(zone, [...borrowersByZone.get(zone) ?? [], key]);
  }
  const own = zones.map(({ zone, units }) => {
    const lent = spills.filter((s) => s.from === zone)
      .reduce((sum, s) => sum + s.units, 0);
    return { from: zone, to: zone, units: units - lent };
  });
  return [...own, ...spills].map(({ from, to, units }) => ({
    units,
    servers: serversByZone.get(from) ?? [],
    borrowers: borrowersByZone.get(to) ?? [],
  })).filter(({ servers, borrowers }) =>
    servers.length > 0 && borrowers.length > 0
  );
}
