/** Chooses the server for the requests for a key. @module */
import { Reason, type UnitId } from "@jaytiller/model";
import type { Owner } from "@jaytiller/state";
import type { GroupEnvironment, HolderEpoch } from "./holder_epoch.js";
import {
  type GroupContext,
  type RoutingDecision,
  RoutingDecisionKind,
} from "./messages.js";
import type { MoveTable } from "./move_table.js";
import type { ServerTable } from "./server_table.js";
import { MAX_LEAVING_SERVE_MS } from "./timing.js";

/** Routes requests for keys to their owners under one token. */
export class RequestRouter {
  readonly #env: GroupEnvironment;
  readonly #servers: ServerTable;
  readonly #moves: MoveTable;
  /**
   * Unix time, in ms, up to which the executed idempotency keys of a unit may
   * be unknown, because another group owned it; 0 if it came from no other
   * group.
   */
  readonly #unitKnownSinceMs = new Map<UnitId, number>();
  #lastOwners: ReadonlyMap<UnitId, Owner> | undefined;

  constructor(
    env: GroupEnvironment,
    parts: { servers: ServerTable; moves: MoveTable },
  ) {
    this.#env = env;
    this.#servers = parts.servers;
    this.#moves = parts.moves;
  }

  clear(): void {
    this.#lastOwners = undefined;
    this.#unitKnownSinceMs.clear();
  }

  /**
   * Records when units arrive from another group. The idempotency keys that
   * were executed for them under the other group's holder are unknown here.
   */
  updateUnits(ctx: GroupContext, { token }: HolderEpoch): void {
    const { service, group } = this.#env;
    const owners = ctx.state.listOwners(service);
    // The map is immutable, so the same map contains no changes.
    if (owners === this.#lastOwners) return;
    this.#lastOwners = owners;
    for (const [unit, owner] of owners) {
      if (owner.group !== group) this.#unitKnownSinceMs.delete(unit);
      else if (!this.#unitKnownSinceMs.has(unit)) {
        const { previous } = owner;
        const movedHere = owner.since > token.term && previous !== null;
        const fromOtherGroup = movedHere && !this.#servers.get(previous);
        this.#unitKnownSinceMs.set(unit, fromOtherGroup ? ctx.unixMs : 0);
      }
    }
  }

  /** Decides where to send a request for `key` at the monotonic time `now`. */
  direct(
    key: string,
    { ctx, epoch, now, hasAuthority }: {
      ctx: GroupContext;
      epoch: HolderEpoch;
      now: number;
      hasAuthority: boolean;
    },
  ): RoutingDecision {
    const { service, group } = this.#env;
    const route = ctx.state.getRoute(service);
    const unit = ctx.state.resolveUnit(service, key);
    if (!route || unit === undefined) {
      return makeWait(Reason.NoRoute, `Service ${service} has no route`);
    }
    const owner = ctx.state.getOwner(service, unit);
    if (!owner) {
      return makeWait(Reason.NoOwner, `Unit ${unit} has no owner yet`);
    }
    if (owner.group !== group) return { kind: RoutingDecisionKind.NotHolder };
    if (this.#moves.isBlocked(unit) || this.#moves.isBlocked(`k:${key}`)) {
      return makeWait(
        Reason.Moving,
        `Unit ${unit} is moving to another server`,
      );
    }
    if (!route.checksOwner && !hasAuthority) {
      return makeWait(
        Reason.NoAuthority,
        "Neither log nor zone confirms the holder",
      );
    }
    const { server } = owner;
    const leaving = this.#servers.getLeavingSince(server);
    if (leaving !== undefined && now - leaving > MAX_LEAVING_SERVE_MS) {
      return makeWait(Reason.Draining, `Server ${server} is leaving`);
    }
    const link = this.#servers.get(server);
    if (!link?.isServing(unit, now)) {
      return makeWait(
        Reason.OwnerUnreachable,
        `Server ${server} has no live lease on unit ${unit}`,
      );
    }
    const checked = route.checksOwner;
    return {
      kind: RoutingDecisionKind.Forward,
      unit,
      server,
      url: link.url,
      leaving: leaving !== undefined,
      token: epoch.token,
      knownSinceMs: this.#getKnownSince(unit, { owner, epoch, checked }),
    };
  }

  #getKnownSince(
    unit: UnitId,
    { owner, epoch, checked }: {
      owner: Owner;
      epoch: HolderEpoch;
      checked: boolean;
    },
  ): number {
    const arrivedMs = this.#unitKnownSinceMs.get(unit) ?? 0;
    const knownSinceMs = Math.max(epoch.knownSinceMs, arrivedMs);
    // Requests of another holder may have been executed until the server
    // accepted this holder's token. That cannot be the case after a handover or
    // a first claim.
    const waitsForToken = checked && epoch.knownSinceMs >= epoch.sinceUnixMs;
    if (!waitsForToken) return knownSinceMs;
    return Math.max(
      knownSinceMs,
      this.#servers.getTokenAcceptedAtMs(owner.server),
    );
  }
}

function makeWait(reason: Reason, text: string): RoutingDecision {
  return { kind: RoutingDecisionKind.Wait, reason, text };
}
