/** Makes one router's ownership decisions for one group. @module */
import {
  EventKind,
  type GrantReply,
  type GroupId,
  parseGroup,
  rankNodes,
  type ServiceName,
  Token,
  type UnitId,
  type VmId,
  type Zone,
} from "@jaytiller/model";
import { Claimant } from "./claimant.js";
import { HealthReporter } from "./health_reporter.js";
import {
  type GroupEnvironment,
  type HolderEpoch,
  isOwnershipChecked,
} from "./holder_epoch.js";
import {
  type Action,
  ActionKind,
  type GroupContext,
  Role,
  type RoutingDecision,
  RoutingDecisionKind,
} from "./messages.js";
import { MovePlanner } from "./move_planner.js";
import { PeerFencing, type PermitReply } from "./peer_fencing.js";
import type { PeerTable } from "./peer_table.js";
import { RequestRouter } from "./request_router.js";
import { type ServerDescription, ServerTable } from "./server_table.js";
import type { Timing } from "./timing.js";

/** Options of a `GroupHolder`. */
export interface GroupOptions {
  readonly group: GroupId;
  readonly self: VmId;
  readonly peers: PeerTable;
  readonly timing: Timing;
  /** Returns a new UUID for a record. */
  readonly newId: () => string;
}

/**
 * Claims a group, grants its units to its servers, and moves units between
 * them. It is a state machine without side effects: time and the state of the
 * system come in through `tick`, and the caller performs the returned actions.
 */
export class GroupHolder {
  readonly group: GroupId;
  readonly service: ServiceName;
  readonly zone: Zone;
  readonly #self: VmId;
  readonly #peers: PeerTable;
  readonly #timing: Timing;
  readonly #claimant: Claimant;
  readonly #fencing = new PeerFencing();
  readonly #servers: ServerTable;
  readonly #planner: MovePlanner;
  readonly #requestRouter: RequestRouter;
  readonly #healthReporter: HealthReporter;
  /** The last token under which this router held the group. */
  #token = Token.none;
  /** Set only while this router holds the group. */
  #epoch: HolderEpoch | undefined;
  #ctx: GroupContext | undefined;
  #actions: Action[] = [];

  constructor(options: GroupOptions) {
    const { group, self, peers, timing, newId } = options;
    const [service, zone] = parseGroup(group);
    this.group = group;
    this.service = service;
    this.zone = zone;
    this.#self = self;
    this.#peers = peers;
    this.#timing = timing;
    const env: GroupEnvironment = {
      group,
      service,
      zone,
      self,
      peers,
      timing,
      newId,
      emit: (action) => this.#actions.push(action),
      recordEvent: (kind, text, fields) => this.#emitEvent(kind, text, fields),
    };
    this.#claimant = new Claimant(env);
    this.#servers = new ServerTable(env);
    this.#healthReporter = new HealthReporter(env, this.#servers);
    const parts = { servers: this.#servers, fencing: this.#fencing };
    this.#planner = new MovePlanner(env, parts);
    const { moves } = this.#planner;
    this.#requestRouter = new RequestRouter(env, {
      servers: this.#servers,
      moves,
    });
  }

  get role(): Role {
    if (this.#epoch) return Role.Holder;
    return this.#claimant.isClaiming ? Role.Claiming : Role.Follower;
  }

  /** The token under which this router holds the group, or `Token.none`. */
  get token(): Token {
    return this.#epoch?.token ?? Token.none;
  }

  /** Returns the highest known token of the group and its holder. */
  getView(): { token: Token; holder: VmId } | undefined {
    if (this.#epoch) return { token: this.#token, holder: this.#self };
    const heard = this.#peers.getView(this.group);
    const claim = this.#ctx?.state.getClaim(this.group);
    if (!claim) return heard;
    const claimView = { token: Token.of(claim.term), holder: claim.node };
    return heard && heard.token.compare(claimView.token) > 0
      ? heard
      : claimView;
  }

  /** Advances the state machine to the time of the context. */
  tick(ctx: GroupContext): Action[] {
    this.#ctx = ctx;
    this.#actions = [];
    const claim = ctx.state.getClaim(this.group);
    if (claim) this.#claimant.observeClaim(claim, ctx);
    if (this.#epoch) this.#stepDownIfSuperseded(ctx, this.#epoch);
    if (this.#epoch) this.#hold(ctx, this.#epoch);
    else this.#follow(ctx);
    return this.#actions;
  }

  /** Handles a server's reply to the grant with sequence number `seq`. */
  readGrantReply(
    reply: GrantReply,
    { server, seq, now }: { server: VmId; seq: number; now: number },
  ): Action[] {
    this.#actions = [];
    if (!this.#epoch) return this.#actions;
    const unixMs = this.#ctx?.unixMs ?? 0;
    const at = { server, seq, now, unixMs };
    const higher = this.#servers.handleReply(reply, at);
    if (higher) this.#stepDown(`server ${server} has accepted token ${higher}`);
    return this.#actions;
  }

  handleGrantFailure(server: VmId, seq: number): void {
    this.#servers.handleFailure(server, seq);
  }

  /** Handles an append that certainly had no effect. */
  handleAppendFailure(recordId: string): void {
    this.#claimant.handleAppendFailure(recordId);
    this.#planner.moves.cancelAppend(recordId);
  }

  /**
   * Handles a peer's reply to a heartbeat that contained this group's token.
   */
  handlePeerReply(peer: VmId, reply: PermitReply & { token: string }): void {
    if (this.#epoch?.token.toString() !== reply.token) return;
    this.#fencing.handleReply(peer, reply);
  }

  /**
   * Chooses the standby that may take over without the log, and records that it
   * gets a permit. The caller sends the permit with the next heartbeat to that
   * peer. Returns `undefined` while the log is readable or no peer is suitable.
   */
  issuePermit(now: number): VmId | undefined {
    const ctx = this.#ctx;
    if (!this.#epoch || !ctx || ctx.logFresh) return undefined;
    const standby = this.#fencing.permitHolder ??
      this.#chooseStandby(ctx, now);
    if (standby !== undefined) this.#fencing.recordIssuedPermit(standby, now);
    return standby;
  }

  /** Returns the best peer to hand the group over to when this router stops. */
  chooseSuccessor(now: number): VmId | undefined {
    // Only the holder of the token can finish a move that is still in progress.
    if (!this.#epoch || this.#planner.moves.size > 0) return undefined;
    const heard = this.#peers.listReachable(now);
    // A permit and a handover lead to the same next ballot, so they must not go
    // to different peers.
    const permitHolder = this.#fencing.permitHolder;
    if (permitHolder !== undefined) {
      return heard.includes(permitHolder) ? permitHolder : undefined;
    }
    return rankNodes(this.group, heard)[0];
  }

  /** Steps down after a handover or on request. */
  resign(reason: string): Action[] {
    this.#actions = [];
    if (this.#epoch) this.#stepDown(reason);
    return this.#actions;
  }

  /** Takes the group over from a holder that stops and hands it over. */
  acceptHandover(
    from: VmId,
    { token, knownSinceMs }: { token: Token; knownSinceMs: number },
  ): Action[] {
    this.#actions = [];
    const ctx = this.#ctx;
    const view = this.getView();
    if (!ctx || ctx.stopping) return this.#actions;
    if (view && view.token.compare(token) > 0) return this.#actions;
    this.#becomeHolder(token.nextBallot(), ctx, {
      text: `Took over from ${from}, which is stopping`,
      knownSinceMs,
      waitMs: 0,
      isFirstHolder: false,
      predecessor: from,
    });
    return this.#actions;
  }

  /** Decides where to send a request for `key` at the monotonic time `now`. */
  direct(key: string, now: number): RoutingDecision {
    const ctx = this.#ctx;
    const epoch = this.#epoch;
    if (!epoch || !ctx) {
      const holder = this.getView()?.holder;
      return holder !== undefined && holder !== this.#self
        ? { kind: RoutingDecisionKind.NotHolder, holder }
        : { kind: RoutingDecisionKind.NotHolder };
    }
    const hasAuthority = this.hasAuthority(now);
    return this.#requestRouter.direct(key, { ctx, epoch, now, hasAuthority });
  }

  /**
   * Returns whether this holder may send requests to servers that do not verify
   * ownership. Callers have to check this immediately before each send, because
   * a holder whose process was paused may have been superseded.
   */
  hasAuthority(now: number): boolean {
    if (!this.#epoch || !this.#ctx) return false;
    if (now < this.#epoch.serveFrom) return false;
    // A takeover with a permit does not appear in the log.
    const confirmedByLog = this.#fencing.permitHolder === undefined &&
      now - this.#ctx.logReadAt < this.#timing.authorityMs;
    const { logReadAt } = this.#ctx;
    const { predecessor } = this.#epoch;
    return confirmedByLog ||
      this.#peers.hasAllReplies(now, { logReadAt, predecessor });
  }

  /** Returns the servers of the group with their liveness, for operators. */
  describeServers(now: number): ServerDescription[] {
    return this.#servers.describe(now);
  }

  /** Describes the moves in progress, for operators. */
  describeMoves(): string[] {
    return this.#planner.moves.describe();
  }

  #chooseStandby(ctx: GroupContext, now: number): VmId | undefined {
    if (this.#planner.moves.size > 0) return undefined;
    return rankNodes(this.group, this.#peers.listReachable(now))
      .find((id) => this.#peers.getPosition(id) >= ctx.state.position);
  }

  #follow(ctx: GroupContext) {
    const claim = ctx.state.getClaim(this.group);
    if (this.#claimant.hasWon(claim)) {
      const { isFirstClaim } = this.#claimant;
      const waitMs = isFirstClaim ? 0 : this.#getTakeoverWait(ctx);
      this.#becomeHolder(Token.of(claim.term), ctx, {
        text: "Became the holder by its claim",
        knownSinceMs: isFirstClaim ? 0 : ctx.unixMs + waitMs,
        waitMs,
        isFirstHolder: isFirstClaim,
      });
      return;
    }
    if (this.#claimant.isClaiming) this.#claimant.checkPending(ctx, claim);
    else if (!this.#usePermit(ctx)) {
      const holder = this.getView()?.holder;
      this.#claimant.claimIfNeeded(ctx, { claim, holder });
    }
  }

  /**
   * Returns how long, in ms, an earlier holder may still send requests to
   * servers that do not verify ownership.
   */
  #getTakeoverWait(ctx: GroupContext): number {
    if (isOwnershipChecked(ctx, this.service)) return 0;
    return this.#timing.authorityMs + this.#timing.leaseMarginMs;
  }

  /**
   * Takes over without the log if the holder issued a permit and is suspected
   * or removed. Returns whether this router took over.
   */
  #usePermit(ctx: GroupContext): boolean {
    const permit = this.#peers.getPermit(this.group);
    if (!permit || ctx.stopping) return false;
    const knownToken = this.getView()?.token;
    if (knownToken && knownToken.compare(permit.token) > 0) {
      this.#peers.deletePermit(this.group);
      return false;
    }
    // An older state may contain owners that the holder has replaced since.
    if (ctx.state.position < permit.position) return false;
    const gone = this.#peers.isRemoved(permit.from);
    if (!gone && !this.#peers.isSuspected(permit.from, ctx.now)) return false;
    this.#peers.deletePermit(this.group);
    const waitMs = this.#getTakeoverWait(ctx);
    this.#emitEvent(
      EventKind.PermitUsed,
      `Holder ${permit.from} is not responding`,
    );
    this.#becomeHolder(permit.token.nextBallot(), ctx, {
      text: `Took over from ${permit.from} with a permit, without the log`,
      knownSinceMs: ctx.unixMs + waitMs,
      waitMs,
      isFirstHolder: false,
      predecessor: permit.from,
    });
    return true;
  }

  #becomeHolder(
    token: Token,
    ctx: GroupContext,
    { text, knownSinceMs, waitMs, isFirstHolder, predecessor }: {
      text: string;
      knownSinceMs: number;
      waitMs: number;
      isFirstHolder: boolean;
      predecessor?: VmId;
    },
  ) {
    this.#token = token;
    const epoch = this.#epoch = {
      token,
      since: ctx.now,
      sinceUnixMs: ctx.unixMs,
      position: ctx.state.position,
      serveFrom: ctx.now + waitMs,
      isFirstHolder,
      predecessor,
      knownSinceMs,
    };
    this.#claimant.clearPending();
    this.#fencing.reset(ctx.now);
    this.#clearServerState();
    this.#requestRouter.clear();
    this.#peers.recordView({
      group: this.group,
      token: token.toString(),
      holder: this.#self,
    });
    this.#emitEvent(EventKind.Takeover, text);
    this.#emitRoleChange(Role.Holder, knownSinceMs);
    this.#hold(ctx, epoch);
  }

  #stepDown(reason: string) {
    this.#emitEvent(
      EventKind.Superseded,
      `No longer holds the group: ${reason}`,
    );
    this.#epoch = undefined;
    this.#claimant.resetEligibility();
    this.#clearServerState();
    this.#emitRoleChange(Role.Follower, 0);
  }

  #clearServerState() {
    this.#servers.clear();
    this.#healthReporter.clear();
    this.#planner.clear();
  }

  #stepDownIfSuperseded(ctx: GroupContext, { token }: HolderEpoch) {
    const claim = ctx.state.getClaim(this.group);
    if (claim && claim.term > token.term) {
      this.#stepDown(`${claim.node} has claimed it at offset ${claim.term}`);
      return;
    }
    const view = this.#peers.getView(this.group);
    if (view && view.token.compare(token) > 0) {
      this.#stepDown(`${view.holder} holds it with token ${view.token}`);
    }
  }

  #hold(ctx: GroupContext, epoch: HolderEpoch) {
    this.#servers.update(ctx);
    this.#requestRouter.updateUnits(ctx, epoch);
    this.#planner.advance(ctx, epoch);
    if (ctx.logFresh && this.#fencing.permitHolder === undefined) {
      this.#healthReporter.report(ctx, epoch);
    }
    const { moves } = this.#planner;
    const isReleased = (unit: UnitId) => moves.isReleased(unit);
    const hasMoves = moves.size > 0;
    this.#servers.renew(ctx, { epoch, isReleased, hasMoves });
  }

  #emitRoleChange(role: Role, knownSinceMs: number) {
    const kind = ActionKind.RoleChanged;
    this.#actions.push({ kind, role, token: this.#token, knownSinceMs });
  }

  #emitEvent(
    kind: EventKind,
    text: string,
    fields: { server?: VmId; unit?: UnitId } = {},
  ) {
    this.#actions.push({
      kind: ActionKind.RecordEvent,
      event: {
        kind,
        group: this.group,
        service: this.service,
        token: this.#token.toString(),
        text,
        ...fields,
      },
    });
  }
}
