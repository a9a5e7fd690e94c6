/** Runs the holders of this zone's groups and carries out their actions. @module */
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
import type { Identities } from "./identities.js";
import type { LogTail } from "./log_tail.js";
import type { Peers } from "./peers.js";
import { ChangeSignal, waitMs } from "./signal.js";
import type { VmWatch } from "./vm_watch.js";

const log = getLogger("groups");
const TICK_MS = 20;
const HANDOVER_WAIT_MS = 2_000;
const GRANT_MAX_BYTES = 8 * 1024 * 1024;

type ActionHandlers = {
  readonly [K in ActionKind]: (
    holder: GroupHolder,
    action: Extract<Action, { kind: K }>,
  ) => void;
};

/** The groups of this router's zone. */
export class Groups implements Service {
  /** Wakes waiters after each step of the decisions. */
  readonly changed = new ChangeSignal();
  readonly #self: { id: VmId; zone: string };
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #tail: LogTail;
  readonly #vms: VmWatch;
  readonly #peers: Peers;
  readonly #timing: Timing;
  readonly #identities: Identities;
  readonly #getTraffic: () => InFlightRequests;
  readonly #holders = new Map<GroupId, GroupHolder>();
  readonly #agent = createAgent({ maxSockets: 2 });
  #timer: ReturnType<typeof setInterval> | undefined;
  #soon = false;

  constructor(options: {
    self: { id: VmId; zone: string };
    clock: Clock;
    events: Events;
    tail: LogTail;
    vms: VmWatch;
    peers: Peers;
    timing: Timing;
    identities: Identities;
    getTraffic: () => InFlightRequests;
  }) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#peers = options.peers;
    this.#timing = options.timing;
    this.#identities = options.identities;
    this.#getTraffic = options.getTraffic;
  }

  start(): void {
    this.#tail.subscribe(() => this.tickSoon());
    this.#timer = setInterval(() => this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#agent.destroy();
    this.changed.notify();
  }

  /** Advances all decisions at the end of the current turn of the loop. */
  tickSoon(): void {
    if (this.#soon) return;
    this.#soon = true;
    setImmediate(() => {
      this.#soon = false;
      this.tick();
    });
  }

  /** Advances all decisions now. */
  tick(): void {
    const ctx = this.#makeContext();
    for (const route of ctx.state.listRoutes()) {
      const group = formatGroup(route.service, this.#self.zone);
      if (!this.#holders.has(group)) this.#addHolder(group);
    }
    for (const holder of this.#holders.values()) {
      this.#perform(holder, holder.tick(ctx));
    }
    this.changed.notify();
  }

  /** Where a request for the key goes, if its group is of this zone. */
  direct(group: GroupId, key: string): RoutingDecision {
    const holder = this.#holders.get(group);
    return holder
      ? holder.direct(key, this.#clock.now())
      : { kind: RoutingDecisionKind.NotHolder };
  }

  /** Is this router the group's holder with authority at this moment? */
  hasAuthority(group: GroupId): boolean {
    return this.#holders.get(group)?.hasAuthority(this.#clock.now()) ?? false;
  }

  /** Highest known token and holder of a group of any zone. */
  getView(group: GroupId): { token: Token; holder: VmId } | undefined {
    const own = this.#holders.get(group)?.getView();
    if (own) return own;
    const heard = this.#peers.table.getView(group);
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

  /** Groups that this router holds. */
  listHeld(): GroupView[] {
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

  /** Peers that are to receive a permit with the next heartbeat. */
  choosePermits(now: number): ReadonlyMap<GroupId, VmId> {
    const permits = new Map<GroupId, VmId>();
    for (const holder of this.#holders.values()) {
      const to = holder.issuePermit(now);
      if (to !== undefined) permits.set(holder.group, to);
    }
    return permits;
  }

  readPeerReply(reply: {
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
    this.#perform(holder, actions);
    this.#identities.restore(handover);
    this.tickSoon();
    return true;
  }

  /**
   * What became of an identity here; one that was not seen is barred. `null`
   * if this router cannot tell now, because an earlier holder may still run it.
   */
  resolveIdentity(request: OutcomeRequest): OutcomeReply | null {
    const group = this.#findOwnerGroup(request);
    if (group === undefined) return null;
    const direction = this.direct(group, request.key);
    if (direction.kind !== RoutingDecisionKind.Forward) return null;
    const { knownSinceMs } = direction;
    return this.#identities.resolve(group, request.identity, knownSinceMs);
  }

  /** Hands all groups to other entry VMs of the zone. */
  async handOverAll(): Promise<void> {
    const end = this.#clock.now() + HANDOVER_WAIT_MS;
    // Peers claim the groups that are not handed over in time.
    await Promise.all(
      [...this.#holders.values()].map((h) => this.#handOver(h, end)),
    );
  }

  async #handOver(holder: GroupHolder, end: number) {
    while (holder.role === Role.Holder && this.#clock.now() < end) {
      const to = holder.chooseSuccessor(this.#clock.now());
      if (to === undefined) {
        await waitMs(TICK_MS);
        continue;
      }
      const token = holder.token.toString();
      this.#perform(holder, holder.resign(`handed over to ${to}`));
      const ok = await this.#peers.sendHandover(to, {
        from: this.#self.id,
        group: holder.group,
        token,
        position: this.#tail.state.position,
        ...this.#identities.encode(holder.group),
      });
      log.info(`${holder.group} ${ok ? "handed over" : "not taken"} by ${to}.`);
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
      logFresh: this.#tail.fresh,
      logReadAt: this.#tail.readAt,
      vms: this.#vms.vms,
      listedSince: this.#vms.listedSince,
      requests: this.#getTraffic(),
      stopping: this.#peers.stopping,
    };
  }

  #addHolder(group: GroupId) {
    this.#holders.set(
      group,
      new GroupHolder({
        group,
        self: this.#self.id,
        peers: this.#peers.table,
        timing: this.#timing,
        newId: () => this.#clock.newUuid(),
      }),
    );
  }

  #perform(holder: GroupHolder, actions: readonly Action[]) {
    for (const action of actions) {
      const handler = this.#handlers[action.kind] as (
        h: GroupHolder,
        a: Action,
      ) => void;
      handler(holder, action);
    }
  }

  readonly #handlers: ActionHandlers = {
    [ActionKind.SendGrant]: (holder, action) =>
      void this.#sendGrant(holder, action),
    [ActionKind.Append]: (holder, action) => {
      const record = {
        ...action.record,
        hlc: this.#clock.stamp(),
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
        text: `Appends ${record.moves.length} moves`,
      });
    }
    const possible = await this.#tail.append(record);
    if (!possible) holder.handleAppendFailure(record.id);
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
          maxBytes: GRANT_MAX_BYTES,
        })).payload as GrantReply
        : await this.#askHealth(action, options);
      const now = this.#clock.now();
      const seq = request.seq;
      this.#perform(holder, holder.readGrantReply(reply, { server, seq, now }));
    } catch (error) {
      log.debug(`Grant to ${server} failed: ${(error as Error).message}.`);
      holder.handleGrantFailure(server, request.seq);
    }
    this.tickSoon();
  }

  /** Servers that do not check have no grants; an answer shows they live. */
  async #askHealth(
    action: Extract<Action, { kind: ActionKind.SendGrant }>,
    options: { timeout: number; json: "force"; agent: Agent },
  ): Promise<GrantReply> {
    const sentAt = this.#clock.now();
    const url = `${action.url}/health`;
    const { timeout, agent } = options;
    const response = await Wreck.request("GET", url, { timeout, agent });
    // Health reports mislead; any answer shows that the server lives.
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
