/**
 * Distributes the units of servers among gateways.
 *
 * Load pattern: demand differs from gateway to gateway and changes within
 * seconds. All units are lent, in proportion to demand with an even part for
 * everyone, so that a gateway has headroom when a burst begins. Every change
 * costs a new connection, so what is close to its fair part stays as it is.
 * @module
 */
import type { RendezvousOrder } from "./rendezvous_order.js";

/** Units by server. */
export type Units = ReadonlyMap<string, number>;

/** A gateway as far as a plan is concerned. */
export interface PlanBorrower {
  readonly key: string;
  readonly node: string;
  /** Smoothed peak of its wanted concurrency. */
  readonly demand: number;
  /** Units that it is to have now. */
  readonly target: Units;
  /** Units that it may be using; at least the target. */
  readonly held: Units;
}

/**
 * Units of some servers for some gateways. The lists of servers of two cells
 * are equal, or have no server in common.
 */
export interface PlanCell {
  readonly units: number;
  readonly servers: readonly string[];
  readonly borrowers: readonly string[];
}

/** Part of the units that is lent evenly, whatever the demand. */
const EVEN_SHARE = 0.4;
/**
 * Relative difference from the fair part up to which a gateway keeps its units.
 * Peaks of the demand differ by chance about that much.
 */
const TOLERANCE = 0.25;
/** Demand that is added for each gateway, so that the shares are defined. */
const MIN_DEMAND = 0.1;
/**
 * Units at one server as a share of the square root of a gateway's units: 3 at
 * each of 6 servers if it has 18. Fewer servers would leave no choice while
 * some are slow, more would need more connections.
 */
const CHUNK_FACTOR = 0.75;

interface Draft {
  readonly key: string;
  readonly node: string;
  readonly demand: number;
  target: Units;
  readonly held: Units;
  /** The target, once it differs from the original one. */
  changed: Map<string, number> | undefined;
}

/** Units of one gateway in one cell. */
interface Part {
  readonly draft: Draft;
  readonly fair: number;
  readonly current: number;
  wanted: number;
}

/** One planning step of a service. */
export class LeasePlan {
  readonly #drafts = new Map<string, Draft>();
  /** Units of each server that no gateway may be using. */
  readonly #free = new Map<string, number>();
  readonly #rendezvous: RendezvousOrder;

  /** `capacity` has the units of each server of the service. */
  constructor(
    capacity: Units,
    borrowers: readonly PlanBorrower[],
    rendezvous: RendezvousOrder,
  ) {
    this.#rendezvous = rendezvous;
    for (const [server, units] of capacity) this.#free.set(server, units);
    for (const borrower of borrowers) {
      this.#drafts.set(borrower.key, { ...borrower, changed: undefined });
      for (const [server, units] of borrower.held) this.#take(server, units);
    }
    this.#reduceExcess(capacity);
  }

  /** Distributes the cells, which have no pair of gateway and server in common. */
  distribute(cells: readonly PlanCell[]): void {
    const parts = cells.map((cell) => ({ cell, parts: this.#makeParts(cell) }));
    this.#lowerOutside(cells);
    // All reductions come first, so that raises find what is free.
    for (const { cell, parts: list } of parts) {
      for (const part of list) this.#lowerPart(part, cell);
    }
    for (const { cell, parts: list } of parts) this.#raiseParts(list, cell);
  }

  /** Takes back units at servers that are in no cell with the gateway. */
  #lowerOutside(cells: readonly PlanCell[]): void {
    const lists = new Map<string, Set<readonly string[]>>();
    const serverLists = new Map<string, readonly string[]>();
    for (const { servers, borrowers } of cells) {
      for (const server of servers) {
        if (!serverLists.has(server)) serverLists.set(server, servers);
      }
      for (const key of borrowers) {
        const known = lists.get(key) ?? new Set();
        lists.set(key, known.add(serverLists.get(servers[0] ?? "") ?? servers));
      }
    }
    for (const draft of this.#drafts.values()) {
      const allowed = lists.get(draft.key);
      for (const server of draft.target.keys()) {
        const list = serverLists.get(server);
        if (list && allowed?.has(list)) continue;
        this.#lower(draft, server, Infinity);
      }
    }
  }

  /** Lists the new targets of the gateways for which they changed. */
  listChanges(): ReadonlyMap<string, Units> {
    const changed = [...this.#drafts.values()].filter((d) => d.changed);
    return new Map(changed.map((d) => [d.key, d.target]));
  }

  #take(server: string, units: number): void {
    const free = this.#free.get(server);
    if (free !== undefined) this.#free.set(server, free - units);
  }

  /** Takes units back if a server holds less than before. */
  #reduceExcess(capacity: Units): void {
    const excess = new Map<string, number>();
    for (const draft of this.#drafts.values()) {
      for (const [server, units] of draft.target) {
        const known = excess.get(server) ?? -(capacity.get(server) ?? 0);
        const sum = known + units;
        if (sum > 0) this.#lower(draft, server, Math.min(units, sum));
        excess.set(server, Math.min(0, sum));
      }
    }
  }

  #makeParts({ units, servers, borrowers }: PlanCell): Part[] {
    const drafts = borrowers.map((key) => this.#drafts.get(key)!);
    const demand = drafts.reduce((sum, d) => sum + d.demand + MIN_DEMAND, 0);
    const isServer = new Set(servers);
    const parts = drafts.map((draft) => {
      const share = EVEN_SHARE / drafts.length +
        (1 - EVEN_SHARE) * (draft.demand + MIN_DEMAND) / demand;
      const fair = units * share;
      let current = 0;
      for (const [server, count] of draft.target) {
        if (isServer.has(server)) current += count;
      }
      const isClose = Math.abs(fair - current) <= Math.max(1, TOLERANCE * fair);
      return {
        draft,
        fair,
        current,
        wanted: isClose ? current : Math.round(fair),
      };
    });
    balanceParts(parts, units);
    return parts;
  }

  #lowerPart({ draft, current, wanted }: Part, { servers }: PlanCell): void {
    let excess = current - wanted;
    if (excess <= 0) return;
    const isServer = new Set(servers);
    const leases = [...draft.target].filter(([server]) => isServer.has(server))
      .sort((a, b) => a[1] - b[1]);
    for (const [server, units] of leases) {
      if (excess <= 0) return;
      const lowered = Math.min(units, excess);
      this.#lower(draft, server, lowered);
      excess -= lowered;
    }
  }

  /** Raises one server of each gateway in turn, as long as units are free. */
  #raiseParts(parts: readonly Part[], { units, servers }: PlanCell): void {
    const chunk = computeChunk(units / Math.max(1, parts.length));
    let open = parts
      .map(({ draft, current, wanted }) => ({
        draft,
        missing: wanted - current,
      }))
      .filter((p) => p.missing > 0)
      .sort((a, b) => b.missing - a.missing);
    const orders = new Map<string, readonly string[]>();
    while (open.length > 0) {
      const next: typeof open = [];
      for (const { draft, missing } of open) {
        const order = orders.get(draft.key) ??
          this.#rendezvous.order(draft.node, servers);
        orders.set(draft.key, order);
        const raised = this.#raiseOne(draft, { order, missing, chunk });
        if (raised === 0 || raised === missing) continue;
        next.push({ draft, missing: missing - raised });
      }
      open = next;
    }
  }

  /** Raises the units at the most suitable server; returns by how many. */
  #raiseOne(
    draft: Draft,
    { order, missing, chunk }: {
      order: readonly string[];
      missing: number;
      chunk: number;
    },
  ): number {
    const getUnits = (server: string) => draft.target.get(server) ?? 0;
    const getFree = (server: string) => this.#getFreeFor(draft, server);
    const least = Math.min(chunk, missing);
    const server =
      order.find((s) =>
        getUnits(s) > 0 && getUnits(s) < chunk && getFree(s) > 0
      ) ??
        order.find((s) => getUnits(s) === 0 && getFree(s) >= least) ??
        order.find((s) => getUnits(s) > 0 && getFree(s) > 0) ??
        order.find((s) => getFree(s) > 0);
    if (server === undefined) return 0;
    const units = getUnits(server);
    const most = units < chunk ? chunk - units : 1;
    const raised = Math.min(missing, most, getFree(server));
    const held = draft.held.get(server) ?? 0;
    this.#take(
      server,
      Math.max(held, units + raised) - Math.max(held, units),
    );
    setUnits(draft, server, units + raised);
    return raised;
  }

  /** Units that a gateway may get, with those that it may still be using. */
  #getFreeFor(draft: Draft, server: string): number {
    const held = draft.held.get(server) ?? 0;
    const own = Math.max(0, held - (draft.target.get(server) ?? 0));
    return Math.max(0, this.#free.get(server) ?? 0) + own;
  }

  #lower(draft: Draft, server: string, units: number): void {
    setUnits(draft, server, (draft.target.get(server) ?? 0) - units);
  }
}

function setUnits(draft: Draft, server: string, units: number): void {
  draft.changed ??= new Map(draft.target);
  draft.target = draft.changed;
  if (units > 0) draft.changed.set(server, units);
  else draft.changed.delete(server);
}

/** Adjusts the wanted units until their sum is `units`. */
function balanceParts(parts: readonly Part[], units: number): void {
  if (parts.length === 0) return;
  let sum = parts.reduce((total, p) => total + p.wanted, 0);
  const choose = (sign: 1 | -1) =>
    parts.reduce((best, p) =>
      sign * (p.fair - p.wanted) > sign * (best.fair - best.wanted) ? p : best
    );
  for (; sum < units; sum++) choose(1).wanted += 1;
  for (; sum > units; sum--) {
    const part = choose(-1);
    if (part.wanted === 0) return;
    part.wanted -= 1;
  }
}

function computeChunk(units: number): number {
  return Math.max(1, Math.round(CHUNK_FACTOR * Math.sqrt(units)));
}
