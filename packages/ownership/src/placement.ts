/** Plans the placement of units on backend servers. @module */
import {
  computeShard,
  type GroupId,
  rankNodes,
  type ServiceName,
  type UnitId,
  type UnitMove,
  type VmId,
} from "@jaytiller/model";
import type { Assignment, Owner } from "@jaytiller/state";

/** A backend server that may be a target or a source of moves. */
export interface CandidateServer {
  readonly id: VmId;
  readonly group: GroupId;
  /** Whether units may be moved to this server. */
  readonly accepts: boolean;
  /** Why its units must be moved away; absent if they may stay. */
  readonly evictionReason?: string;
}

/** The input for the placement of one service. */
export interface PlacementInput {
  readonly service: ServiceName;
  readonly shards: number;
  /** All servers of the service in all zones. */
  readonly candidates: readonly CandidateServer[];
  readonly owners: ReadonlyMap<UnitId, Owner>;
  readonly assignments: readonly Assignment[];
}

/**
 * Returns the moves after which every unit is on a server that may own it, the
 * operators' assignments are followed, and no server has more shards than the
 * mean, rounded up. Assigned shards do not count. The plan moves as few units
 * as this allows and is deterministic, so that routers with the same input make
 * the same plan.
 */
export function planMoves(input: PlacementInput): UnitMove[] {
  const plan = new Plan(input);
  plan.placeAssigned();
  plan.placeUnowned();
  plan.balance();
  return plan.moves;
}

class Plan {
  readonly moves: UnitMove[] = [];
  readonly #input: PlacementInput;
  readonly #candidates: ReadonlyMap<VmId, CandidateServer>;
  /** The unassigned shards of each accepting server. */
  readonly #loads = new Map<VmId, UnitId[]>();
  readonly #assigned: ReadonlyMap<UnitId, Assignment>;
  readonly #ceiling: number;
  readonly #floor: number;

  constructor(input: PlacementInput) {
    this.#input = input;
    this.#candidates = new Map(input.candidates.map((s) => [s.id, s]));
    this.#assigned = new Map(
      input.assignments.filter((a) => this.#candidates.get(a.server)?.accepts)
        .map((a) => [a.unit, a]),
    );
    for (const s of input.candidates) if (s.accepts) this.#loads.set(s.id, []);
    const unassignedShards = input.shards -
      [...this.#assigned.keys()].filter((u) => u.startsWith("s:")).length;
    const servers = Math.max(1, this.#loads.size);
    this.#ceiling = Math.ceil(unassignedShards / servers);
    this.#floor = Math.floor(unassignedShards / servers);
    for (const [unit, owner] of input.owners) {
      if (!unit.startsWith("s:") || this.#assigned.has(unit)) continue;
      this.#loads.get(owner.server)?.push(unit);
    }
  }

  placeAssigned() {
    const { owners, shards } = this.#input;
    for (const a of this.#assigned.values()) {
      const unitOwner = owners.get(a.unit);
      if (unitOwner?.server === a.server) continue;
      if (a.unit.startsWith("s:") && Number(a.unit.slice(2)) >= shards) {
        continue;
      }
      this.#add(a.unit, a.server, `Assigned by an operator: ${a.reason}`, {
        owner: unitOwner ?? this.#findShardOwner(a.unit),
      });
    }
  }

  /** Places units that have no owner or that must leave their owner. */
  placeUnowned() {
    const { owners, shards } = this.#input;
    if (this.#loads.size === 0) return;
    for (let i = 0; i < shards; i++) {
      const unit: UnitId = `s:${i}`;
      if (this.#assigned.has(unit)) continue;
      const owner = owners.get(unit);
      const server = owner && this.#candidates.get(owner.server);
      if (owner && server && server.evictionReason === undefined) continue;
      this.#place(unit, owner, server?.evictionReason);
    }
    for (const [unit, owner] of owners) {
      if (unit.startsWith("s:") || this.#assigned.has(unit)) continue;
      const server = this.#candidates.get(owner.server);
      if (server && server.evictionReason === undefined) continue;
      this.#place(unit, owner, server?.evictionReason);
    }
  }

  /** Moves shards from servers above the ceiling to those below the floor. */
  balance() {
    const servers = [...this.#loads.keys()].sort();
    const ranked = new Map(servers.map((id) => [id, this.#orderUnits(id)]));
    for (const limit of [this.#ceiling, this.#floor]) {
      for (const from of servers) {
        const units = this.#loads.get(from)!;
        while (units.length > limit) {
          const belowFloor = servers.filter((id) =>
            this.#count(id) < this.#floor
          );
          // A server above the ceiling gives a shard away even if no other
          // server is below the floor.
          const to = belowFloor.length > 0 || limit === this.#floor
            ? belowFloor
            : servers.filter((id) => this.#count(id) < this.#ceiling);
          if (to.length === 0) break;
          this.#moveShard({ unit: ranked.get(from)!.pop()!, from, below: to });
        }
      }
    }
  }

  /** Returns the shards of a server, in reverse order of leaving it. */
  #orderUnits(server: VmId): UnitId[] {
    // Shards that this plan has just placed leave first, because redirecting
    // them costs no extra move. Next are the shards for which the server has
    // the worst rank, so that later plans choose the same shards again.
    const placed = new Set(this.moves.map((m) => m.unit));
    return [...this.#loads.get(server)!].sort((a, b) =>
      Number(placed.has(a)) - Number(placed.has(b)) ||
      this.#rankServer(a, server) - this.#rankServer(b, server) ||
      (a < b ? 1 : -1)
    );
  }

  #count(server: VmId): number {
    return this.#loads.get(server)!.length;
  }

  #moveShard(
    { unit, from, below }: { unit: UnitId; from: VmId; below: VmId[] },
  ) {
    const units = this.#loads.get(from)!;
    units.splice(units.indexOf(unit), 1);
    const to = rankNodes(unit, below)[0]!;
    this.#loads.get(to)!.push(unit);
    const owner = this.#input.owners.get(unit);
    if (owner?.server === from) {
      this.#add(unit, to, "Balances load across servers", { owner });
      return;
    }
    // This plan placed the unit on `from`, so only the target of that move
    // changes.
    const at = this.moves.findIndex((m) => m.unit === unit);
    const toGroup = this.#candidates.get(to)!.group;
    this.moves[at] = { ...this.moves[at]!, to, toGroup };
  }

  #place(
    unit: UnitId,
    owner: Owner | undefined,
    evictionReason: string | undefined,
  ) {
    const ranked = rankNodes(`${this.#input.service}/${unit}`, [
      ...this.#loads.keys(),
    ]);
    const sameGroup = ranked.filter((id) =>
      this.#candidates.get(id)!.group === owner?.group
    );
    const below = (ids: readonly VmId[], limit: number) =>
      ids.find((id) => this.#loads.get(id)!.length < limit);
    // Servers below the floor come first. Otherwise `balance` would move a unit
    // to them right after its placement.
    const to = below(sameGroup, this.#floor) ?? below(ranked, this.#floor) ??
      below(sameGroup, this.#ceiling) ?? below(ranked, this.#ceiling) ??
      ranked[0];
    if (to === undefined) return;
    if (unit.startsWith("s:")) this.#loads.get(to)!.push(unit);
    const reason = evictionReason ??
      (owner ? "The owner is no longer listed" : "First placement");
    this.#add(unit, to, reason, { owner });
  }

  #add(
    unit: UnitId,
    to: VmId,
    reason: string,
    { owner }: { owner: Owner | undefined },
  ) {
    this.moves.push({
      service: this.#input.service,
      unit,
      from: owner?.server ?? null,
      to,
      toGroup: this.#candidates.get(to)!.group,
      reason,
    });
  }

  #rankServer(unit: UnitId, server: VmId): number {
    return rankNodes(`${this.#input.service}/${unit}`, [...this.#loads.keys()])
      .indexOf(server);
  }

  #findShardOwner(unit: UnitId): Owner | undefined {
    if (unit.startsWith("s:")) return undefined;
    const shard = computeShard(unit.slice(2), this.#input.shards);
    return this.#input.owners.get(shard);
  }
}
