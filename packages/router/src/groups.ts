/** State machines of this zone's groups, and their actions. @module */
import type { Agent } from "node:http";
import Wreck from "@hapi/wreck";
import { getLogger, type Service } from "@jaytiller/kernel";
import {
  EventKind,
  formatGroup,
  type GrantReply,
  type GroupId,
  type GroupView,
  type Handover,
  type LogRecord,
  type OutcomeReply,
  type OutcomeRequest,
  RecordKind,
  Token,
  type VmId,
} from "@jaytiller/model";
import {
  type Action,
  ActionKind,
  type GroupContext,
  GroupHolder,
  type InFlightRequests,
  Role,
  type RoutingDecision,
  RoutingDecisionKind,
  type Timing,
} from "@jaytiller/ownership";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import { createAgent } from "./http_call.js";
import type { IdempotencyStores } from "./idempotency_stores.js";
import type { LogTail } from "./log_tail.js";
import type { Peers } from "./peers.js";
import { ChangeSignal, waitMs } from "./signal.js";
import type { VmListPoller } from "./vm_list_poller.js";

const log = getLogger("groups");
const TICK_INTERVAL_MS = 20;
const HANDOVER_TIMEOUT_MS = 2_000;
const MAX_GRANT_REPLY_BYTES = 8 * 1024 * 1024;

type ActionHandlers = {
  readonly [K in ActionKind]: (
    holder: GroupHolder,
    action: Extract<Action, { kind: K }>,
  ) => void;
};

/** Runs one `GroupHolder` for each group of this router's zone. */
export class Groups implements Service {
  /** Notified after each tick and on stop. */
  readonly changed = new ChangeSignal();
  readonly #self: { id: VmId; zone: string };
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #tail: LogTail;
  readonly #vms: VmListPoller;
  readonly #peers: Peers;
  readonly #timing: Timing;
  readonly #identities: IdempotencyStores;
  readonly #getInFlightRequests: () => InFlightRequests;
  readonly #holders = new Map<GroupId, GroupHolder>();
  readonly #agent = createAgent({ maxSockets: 2 });
  #timer: ReturnType<typeof setInterval> | undefined;
  #tickScheduled = false;

  constructor(options: {
    self: { id: VmId; zone: string };
    clock: Clock;
    events: Events;
    tail: LogTail;
    vms: VmListPoller;
    peers: Peers;
    timing: Timing;
    identities: IdempotencyStores;
    getInFlightRequests: () => InFlightRequests;
  }) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#peers = options.peers;
    this.#timing = options.timing;
    this.#identities = options.identities;
    this.#getInFlightRequests = options.getInFlightRequests;
  }

  start(): void {
    this.#tail.subscribe(() => this.scheduleTick());
    this.#timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#agent.destroy();
    this.changed.notify();
  }

  /** Schedules a tick for the end of the current event-loop iteration. */
  scheduleTick(): void {
    if (this.#tickScheduled) return;
    this.#tickScheduled = true;
    setImmediate(() => {
      this.#tickScheduled = false;
      this.tick();
    });
  }

  /** Advances the state machines of all groups and runs their actions. */
  tick(): void {
    const ctx = this.#makeContext();
    for (const route of ctx.state.listRoutes()) {
      const group = formatGroup(route.service, this.#self.zone);
      if (!this.#holders.has(group)) this.#addHolder(group);
    }
    for (const holder of this.#holders.values()) {
      this.#runActions(holder, holder.tick(ctx));
    }
    this.changed.notify();
  }

  /** Returns where a request goes; `NotHolder` for groups of other zones. */
  direct(group: GroupId, key: string): RoutingDecision {
    const holder = this.#holders.get(group);
    return holder
      ? holder.direct(key, this.#clock.now())
      : { kind: RoutingDecisionKind.NotHolder };
  }

  /** Returns whether this router holds the group and has authority now. */
  hasAuthority(group: GroupId): boolean {
    return this.#holders.get(group)?.hasAuthority(this.#clock.now()) ?? false;
  }

  /** Returns the highest known token and holder of a group of any zone. */
  getView(group: GroupId): { token: Token; holder: VmId } | undefined {
    const own = this.#holders.get(group)?.getView();
    if (own) return own;
    const heard = this.#peers.peerTable.getView(group);
    const claim = this.#tail.state.getClaim(group);
    if (!claim) return heard;
    const logged = { token: Token.of(claim.term), holder: claim.node };
    return heard && heard.token.compare(logged.token) > 0 ? heard : logged;
  }

  listViews(): GroupView[] {
    const groups = new Set<GroupId>([
      ...this.#holders.keys(),
      ...this.#tail.state.listClaims().keys(),
    ]);
    return [...groups].flatMap((group) => {
      const view = this.getView(group);
      if (!view) return [];
      return [{ group, token: view.token.toString(), holder: view.holder }];
    });
  }

  /** Returns the groups that this router holds. */
  listHeldGroups(): GroupView[] {
    return [...this.#holders.values()]
      .filter((h) => h.role === Role.Holder)
      .map((h) => ({
        group: h.group,
        token: h.token.toString(),
        holder: this.#self.id,
      }));
  }

  listHolders(): readonly GroupHolder[] {
    return [...this.#holders.values()];
  }

  /** Returns, by group, the peers to send a permit with the next heartbeat. */
  issuePermits(now: number): ReadonlyMap<GroupId, VmId> {
    const permits = new Map<GroupId, VmId>();
    for (const holder of this.#holders.values()) {
      const to = holder.issuePermit(now);
      if (to !== undefined) permits.set(holder.group, to);
    }
    return permits;
  }

  handlePeerReply(reply: {
    peer: VmId;
    holds: readonly GroupView[];
    sent: ReadonlySet<GroupId>;
    kept: ReadonlySet<GroupId>;
    sentAt: number;
    now: number;
  }): void {
    for (const view of reply.holds) {
      this.#holders.get(view.group)?.handlePeerReply(reply.peer, {
        token: view.token,
        permitSent: reply.sent.has(view.group),
        permitKept: reply.kept.has(view.group),
        sentAt: reply.sentAt,
        now: reply.now,
      });
    }
    this.tick();
  }

  /**
   * Takes over a group from a stopping holder. Returns false if this router is
   * behind the sender's log position or did not become the holder by it.
   */
  acceptHandover(handover: Handover): boolean {
    const holder = this.#holders.get(handover.group);
    const token = Token.parse(handover.token);
    if (!holder || !token) return false;
    if (this.#tail.state.position < handover.position) return false;
    const before = holder.token;
    const actions = holder.acceptHandover(handover.from, {
      token,
      knownSinceMs: handover.knownSinceMs,
    });
    if (holder.role !== Role.Holder || holder.token.equals(before)) {
      return false;
    }
    this.#runActions(holder, actions);
    this.#identities.restore(handover);
    this.scheduleTick();
    return true;
  }

  /**
   * Returns the outcome for an identity, and bars one that was not seen.
   * Returns `null` if this router does not serve the key now, because an
   * earlier holder may still execute the request.
   */
  resolveIdentity(request: OutcomeRequest): OutcomeReply | null {
    const group = this.#findOwnerGroup(request);
    if (group === undefined) return null;
    const direction = this.direct(group, request.key);
    if (direction.kind !== RoutingDecisionKind.Forward) return null;
    const { knownSinceMs } = direction;
    return this.#identities.resolve(group, request.identity, knownSinceMs);
  }

  /** Hands all held groups over to other entry VMs of the zone. */
  async handOverAll(): Promise<void> {
    const end = this.#clock.now() + HANDOVER_TIMEOUT_MS;
    // Peers claim groups that are not handed over within the timeout.
    await Promise.all(
      [...this.#holders.values()].map((h) => this.#handOver(h, end)),
    );
  }

  async #handOver(holder: GroupHolder, end: number) {
    while (holder.role === Role.Holder && this.#clock.now() < end) {
      const to = holder.chooseSuccessor(this.#clock.now());
      if (to === undefined) {
        await waitMs(TICK_INTERVAL_MS);
        continue;
      }
      const token = holder.token.toString();
      this.#runActions(holder, holder.resign(`handed over to ${to}`));
      const ok = await this.#peers.sendHandover(to, {
        from: this.#self.id,
        group: holder.group,
        token,
        position: this.#tail.state.position,
        ...this.#identities.encode(holder.group),
      });
      log.info(
        `Handover of ${holder.group} ${
          ok ? "accepted" : "not accepted"
        } by ${to}.`,
      );
    }
  }

  #findOwnerGroup(request: OutcomeRequest): GroupId | undefined {
    const { state } = this.#tail;
    const unit = state.resolveUnit(request.service, request.key);
    return unit && state.getOwner(request.service, unit)?.group;
  }

  #makeContext(): GroupContext {
    return {
      now: this.#clock.now(),
      unixMs: this.#clock.unixMs(),
      state: this.#tail.state,
      logFresh: this.#tail.isFresh,
      logReadAt: this.#tail.lastReadSentAt,
      vms: this.#vms.vms,
      listedSince: this.#vms.listedSince,
      requests: this.#getInFlightRequests(),
      stopping: this.#peers.stopping,
    };
  }

  #addHolder(group: GroupId) {
    this.#holders.set(
      group,
      new GroupHolder({
        group,
        self: this.#self.id,
        peers: this.#peers.peerTable,
        timing: this.#timing,
        newId: () => this.#clock.createUuid(),
      }),
    );
  }

  #runActions(holder: GroupHolder, actions: readonly Action[]) {
    for (const action of actions) {
      const handler = this.#actionHandlers[action.kind] as (
        h: GroupHolder,
        a: Action,
      ) => void;
      handler(holder, action);
    }
  }

  readonly #actionHandlers: ActionHandlers = {
    [ActionKind.SendGrant]: (holder, action) =>
      void this.#sendGrant(holder, action),
    [ActionKind.Append]: (holder, action) => {
      const record = {
        ...action.record,
        hlc: this.#clock.issueTimestamp(),
        node: this.#self.id,
      } as LogRecord;
      void this.#append(holder, record);
    },
    [ActionKind.RecordEvent]: (_holder, action) =>
      this.#events.add(action.event),
    [ActionKind.RoleChanged]: (holder, action) => {
      const held = action.role === Role.Holder;
      log.info(
        `${holder.group}: ${held ? "holds it" : "no longer holds it"} ` +
          `with token ${action.token}.`,
      );
      if (held) this.#identities.open(holder.group, action.knownSinceMs);
    },
  };

  async #append(holder: GroupHolder, record: LogRecord) {
    if (record.kind === RecordKind.Move) {
      this.#events.add({
        kind: EventKind.MoveAppended,
        group: holder.group,
        text: `Appending ${record.moves.length} moves to the log`,
      });
    }
    const mayBeAppended = await this.#tail.append(record);
    if (!mayBeAppended) holder.handleAppendFailure(record.id);
  }

  async #sendGrant(
    holder: GroupHolder,
    action: Extract<Action, { kind: ActionKind.SendGrant }>,
  ) {
    const { server, url, request } = action;
    const timeout = Math.floor(this.#timing.leaseMs / 2);
    const options = { timeout, json: "force" as const, agent: this.#agent };
    try {
      const reply = action.checked
        ? (await Wreck.post(`${url}/grants`, {
          ...options,
          payload: request,
          maxBytes: MAX_GRANT_REPLY_BYTES,
        })).payload as GrantReply
        : await this.#requestHealth(action, options);
      const now = this.#clock.now();
      const seq = request.seq;
      this.#runActions(
        holder,
        holder.readGrantReply(reply, { server, seq, now }),
      );
    } catch (error) {
      log.debug(`Grant to ${server} failed: ${(error as Error).message}.`);
      holder.handleGrantFailure(server, request.seq);
    }
    this.scheduleTick();
  }

  /** Polls a server that does not check owner tokens, so takes no grants. */
  async #requestHealth(
    action: Extract<Action, { kind: ActionKind.SendGrant }>,
    options: { timeout: number; json: "force"; agent: Agent },
  ): Promise<GrantReply> {
    const sentAt = this.#clock.now();
    const url = `${action.url}/health`;
    const { timeout, agent } = options;
    const response = await Wreck.request("GET", url, { timeout, agent });
    // The reported health can be wrong; any response shows a live server.
    const health = await Wreck.read(response, options)
      .catch(() => ({})) as Partial<GrantReply>;
    return {
      accepted: true,
      token: action.request.token,
      seq: action.request.seq,
      incarnation: health.incarnation ?? "",
      atMs: sentAt,
      draining: health.draining ?? false,
      running: health.running ?? 0,
      busyUnits: [],
      load: health.load ?? 0,
    };
  }
}
