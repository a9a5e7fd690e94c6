/** Starts the moves of a group and computes when each is safe. @module */
import { EventKind, type UnitMove, type VmId } from "@jaytiller/model";
import { listCandidates } from "./candidates.js";
import {
  getEarlierRequestsEndAt,
  type GroupEnvironment,
  type HolderEpoch,
  isOwnershipChecked,
} from "./holder_epoch.js";
import type { GroupContext } from "./messages.js";
import { MoveTable } from "./move_table.js";
import type { PeerFencing } from "./peer_fencing.js";
import { planMoves } from "./placement.js";
import type { ServerTable } from "./server_table.js";

/** Plans the moves of a group and advances them under one token. */
export class MovePlanner {
  readonly moves: MoveTable;
  readonly #env: GroupEnvironment;
  readonly #servers: ServerTable;
  readonly #fencing: PeerFencing;
  /**
   * A summary of the last plan's input, to skip planning for the same input.
   */
  #basis = "";

  constructor(
    env: GroupEnvironment,
    parts: { servers: ServerTable; fencing: PeerFencing },
  ) {
    this.#env = env;
    this.#servers = parts.servers;
    this.#fencing = parts.fencing;
    this.moves = new MoveTable(env.group);
  }

  clear(): void {
    this.moves.clear();
    this.#basis = "";
  }

  /** Advances the moves in progress, then plans and starts new ones. */
  advance(ctx: GroupContext, epoch: HolderEpoch): void {
    const { newId, emit, service } = this.#env;
    const mayAppend = ctx.logFresh &&
      this.#fencing.permitHolder === undefined;
    const actions = this.moves.advance({
      ctx,
      token: epoch.token,
      newId,
      getLink: (id) => this.#servers.get(id),
      getLeaseExpiry: (id) => this.#getLeaseExpiry(id, { ctx, epoch }),
      getDrainedAt: (move, from) =>
        this.#getDrainedAt(move, from, { ctx, epoch }),
      mayAppend,
    });
    actions.forEach(emit);
    const earlierRequestsEnded = isOwnershipChecked(ctx, service) ||
      ctx.now >= getEarlierRequestsEndAt(ctx, this.#env, epoch);
    if (mayAppend && earlierRequestsEnded) this.#plan(ctx);
  }

  #plan(ctx: GroupContext) {
    const { group, service, recordEvent } = this.#env;
    const route = ctx.state.getRoute(service);
    if (!route) return;
    const { links } = this.#servers;
    // While a server may still send its first answer, a placement without it
    // would have to be undone soon.
    const open = [...links.values()]
      .some((l) => !l.hasAcceptedToken && !l.isSuspected(ctx.now));
    if (open) return;
    const owners = ctx.state.listOwners(service);
    const candidates = listCandidates({ group, service, ctx, owners, links });
    const basis = [
      ctx.state.position,
      this.moves.size,
      ...candidates.map((s) =>
        `${s.id} ${s.accepts} ${s.evictionReason ?? ""}`
      ),
    ].join("|");
    if (basis === this.#basis) return;
    this.#basis = basis;
    const assignments = ctx.state.listAssignments()
      .filter((a) => a.service === service);
    const { shards } = route;
    const planned = planMoves({
      service,
      shards,
      candidates,
      owners,
      assignments,
    });
    for (const move of planned) {
      const owner = ctx.state.getOwner(service, move.unit);
      const isOwnMove = (owner ? owner.group : move.toGroup) === group;
      if (!isOwnMove || !this.moves.add(move, ctx.now)) continue;
      const { unit, to: server } = move;
      const from = move.from ?? "nowhere";
      const text = `Moves from ${from} to ${server}: ${move.reason}`;
      recordEvent(EventKind.MoveStarted, text, { unit, server });
    }
  }

  /**
   * Returns the monotonic time after which an unresponsive server holds no
   * lease, or `undefined` while another router may still renew its lease or
   * send requests to it. For servers that do not verify ownership, this also
   * waits for the deadlines of all requests sent to the server.
   */
  #getLeaseExpiry(
    server: VmId,
    { ctx, epoch }: { ctx: GroupContext; epoch: HolderEpoch },
  ): number | undefined {
    const { peers, timing, service } = this.#env;
    const fencedAt = this.#fencing.getAllFencedAt(peers.listMembers());
    if (fencedAt === undefined) return undefined;
    const { leaseMs, leaseMarginMs, clockErrorMs } = timing;
    const leasesExpireAt = Math.max(
      this.#servers.get(server)?.allLeasesExpireAt ?? 0,
      Math.max(epoch.since, fencedAt) + leaseMs + leaseMarginMs,
    );
    if (isOwnershipChecked(ctx, service)) return leasesExpireAt;
    const remainingMs = ctx.requests.getLastDeadline(server) + clockErrorMs -
      ctx.unixMs;
    const earlierRequestsEndAt = getEarlierRequestsEndAt(ctx, this.#env, epoch);
    return Math.max(
      leasesExpireAt,
      ctx.now + remainingMs,
      earlierRequestsEndAt,
    );
  }

  /**
   * Returns the monotonic time after which no request for the unit can still
   * run on the old owner. A server that verifies ownership rejects requests
   * once it has released the unit, so there is no need to wait. This does not
   * hold for a key that is being split from its shard: the server keeps the
   * lease on the shard, which covers the key.
   */
  #getDrainedAt(
    { service, unit }: UnitMove,
    from: { server: VmId; silent: boolean },
    { ctx, epoch }: { ctx: GroupContext; epoch: HolderEpoch },
  ): number {
    const split = unit.startsWith("k:") &&
      !ctx.state.listOwners(service).has(unit);
    if (isOwnershipChecked(ctx, service) && !split) return 0;
    const lastDeadlineMs = from.silent
      ? ctx.requests.getLastDeadline(from.server)
      : ctx.requests.getUnansweredDeadline(service, unit);
    const remainingMs = lastDeadlineMs + this.#env.timing.clockErrorMs -
      ctx.unixMs;
    const earlierRequestsEndAt = getEarlierRequestsEndAt(ctx, this.#env, epoch);
    return Math.max(ctx.now + remainingMs, earlierRequestsEndAt);
  }
}
