/** Tracks the servers of a group and renews their grants. @module */
import {
  EventKind,
  type GrantReply,
  Token,
  type UnitId,
  type VmId,
} from "@jaytiller/model";
import type { Owner } from "@jaytiller/state";
import { isLeaving } from "./candidates.js";
import {
  type GroupEnvironment,
  type HolderEpoch,
  isGroupServer,
} from "./holder_epoch.js";
import { ActionKind, type GroupContext } from "./messages.js";
import { GrantOutcome, ServerLink } from "./server_link.js";

/** The state of a server, for operators. */
export interface ServerDescription {
  readonly id: VmId;
  readonly suspected: boolean;
  readonly acked: boolean;
  readonly draining: boolean;
  readonly load: number;
  readonly incarnation: string | undefined;
}

/** The input of a renewal besides the context. */
export interface RenewOptions {
  readonly epoch: HolderEpoch;
  /** Returns whether the unit must no longer be granted to its owner. */
  readonly isReleased: (unit: UnitId) => boolean;
  /** Whether any moves are in progress. */
  readonly hasMoves: boolean;
}

/** Holds the links to the servers of a group under one token. */
export class ServerTable {
  readonly #env: GroupEnvironment;
  readonly #links = new Map<VmId, ServerLink>();
  /** Monotonic time, in ms, since when each leaving server has been leaving. */
  readonly #leavingSince = new Map<VmId, number>();
  /**
   * The owners from which `#cachedUnits` was made; unset if it is incomplete.
   */
  #cachedOwners: ReadonlyMap<UnitId, Owner> | undefined;
  #cachedUnits: Map<VmId, UnitId[]> = new Map();
  /** Unix time, in ms, at which each server first accepted the token. */
  readonly #tokenAcceptedAtMs = new Map<VmId, number>();

  constructor(env: GroupEnvironment) {
    this.#env = env;
  }

  get links(): ReadonlyMap<VmId, ServerLink> {
    return this.#links;
  }

  clear(): void {
    this.#cachedOwners = undefined;
    this.#links.clear();
    this.#tokenAcceptedAtMs.clear();
  }

  get(server: VmId): ServerLink | undefined {
    return this.#links.get(server);
  }

  /**
   * Returns the Unix time, in ms, at which the server first accepted the token,
   * or 0 if it has not.
   */
  getTokenAcceptedAtMs(server: VmId): number {
    return this.#tokenAcceptedAtMs.get(server) ?? 0;
  }

  /**
   * Returns the monotonic time, in ms, since when the server has been leaving,
   * or `undefined` if it is not.
   */
  getLeavingSince(server: VmId): number | undefined {
    return this.#leavingSince.get(server);
  }

  /** Adds new servers from the VM list and updates the URLs of known ones. */
  update(ctx: GroupContext): void {
    const { timing } = this.#env;
    for (const vm of ctx.vms) {
      if (!isGroupServer(vm, this.#env)) continue;
      const { id, url } = vm;
      const link = this.#links.get(id);
      if (!isLeaving(vm, { ctx, link })) this.#leavingSince.delete(id);
      else if (!this.#leavingSince.has(id)) {
        this.#leavingSince.set(id, ctx.now);
        const text = `Server ${id} is leaving`;
        this.#env.recordEvent(EventKind.ServerLeaving, text, { server: id });
      }
      if (link) link.url = url;
      else {
        const now = ctx.now;
        this.#links.set(id, new ServerLink({ id, url, timing, now }));
      }
    }
  }

  /**
   * Handles a reply to a grant. Returns the token that the server accepted
   * instead if it supersedes the holder's token.
   */
  handleReply(
    reply: GrantReply,
    { server, seq, now, unixMs }: {
      server: VmId;
      seq: number;
      now: number;
      unixMs: number;
    },
  ): Token | undefined {
    const link = this.#links.get(server);
    if (!link) return undefined;
    const { recordEvent } = this.#env;
    const isFirstAcceptance = !link.hasAcceptedToken;
    const silent = link.isSuspected(now);
    const outcome = link.handleReply(reply, seq, now);
    if (outcome === GrantOutcome.Superseded) {
      const token = Token.parse(reply.token)!;
      const text = `Server ${server} accepted ${token}`;
      recordEvent(EventKind.GrantRefused, text, { server });
      return token;
    }
    if (outcome === GrantOutcome.Stale) return undefined;
    if (isFirstAcceptance) {
      this.#tokenAcceptedAtMs.set(server, unixMs);
      const text = `Server ${server} accepted the token`;
      recordEvent(EventKind.GrantAccepted, text, { server });
    } else if (silent) {
      const text = `Server ${server} is responding again`;
      recordEvent(EventKind.ServerHeard, text, { server });
    }
    if (outcome === GrantOutcome.Restarted) {
      const text = `Server ${server} restarted and lost its grants`;
      recordEvent(EventKind.ServerCrashed, text, { server });
    }
    return undefined;
  }

  handleFailure(server: VmId, seq: number): void {
    this.#links.get(server)?.handleFailure(seq);
  }

  /**
   * Emits the grants that are due. Units for which `isReleased` are left out.
   */
  renew(
    ctx: GroupContext,
    options: RenewOptions,
  ): void {
    const { group, service, self: holder, emit } = this.#env;
    const route = ctx.state.getRoute(service);
    const owned = this.#listUnits(ctx, options);
    const { token } = options.epoch;
    const { now } = ctx;
    for (const link of this.#links.values()) {
      const units = route ? owned.get(link.id) ?? [] : [];
      if (!link.isDue(units, now)) continue;
      emit({
        kind: ActionKind.SendGrant,
        server: link.id,
        url: link.url,
        checked: route?.checksOwner ?? true,
        request: link.makeGrant({ group, holder, token, units, now }),
      });
    }
  }

  /** Returns the units to grant to each server. */
  #listUnits(
    ctx: GroupContext,
    { epoch, isReleased, hasMoves }: RenewOptions,
  ): Map<VmId, UnitId[]> {
    const owners = ctx.state.listOwners(this.#env.service);
    if (owners === this.#cachedOwners && !hasMoves) return this.#cachedUnits;
    const owned = new Map<VmId, UnitId[]>();
    let isCacheable = !hasMoves;
    const rules = ctx.state.getRoute(this.#env.service)?.rules ?? [];
    const maxDeadlineMs = this.#env.timing.clockErrorMs +
      Math.max(0, ...rules.map((r) => r.deadlineMs));
    for (const [unit, { server, group, since, sinceMs }] of owners) {
      if (group !== this.#env.group || isReleased(unit)) continue;
      // Old requests for a unit that was moved away and back could take effect
      // after requests executed by the owner in between. Their token may still
      // be valid, and requests of an earlier holder run until their deadline.
      // So the unit is not granted while such requests run.
      const hasReturned = since >= epoch.position ||
        ctx.unixMs - sinceMs < maxDeadlineMs;
      if (hasReturned && this.#links.get(server)?.hasUngrantedRequests(unit)) {
        isCacheable = false;
        continue;
      }
      const list = owned.get(server);
      if (list) list.push(unit);
      else owned.set(server, [unit]);
    }
    this.#cachedOwners = isCacheable ? owners : undefined;
    this.#cachedUnits = owned;
    return owned;
  }

  /** Returns the servers with their liveness, for operators. */
  describe(now: number): ServerDescription[] {
    return [...this.#links.values()].map((l) => ({
      id: l.id,
      suspected: l.isSuspected(now),
      acked: l.hasAcceptedToken,
      draining: l.draining,
      load: l.load,
      incarnation: l.incarnation,
    }));
  }
}
