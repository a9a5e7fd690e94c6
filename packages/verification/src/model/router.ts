/**
 * Simulated router: mirrors `Groups` of the router around a real `GroupHolder`.
 * @module
 */
import {
  formatGroup,
  type GrantReply,
  type GroupId,
  type GroupView,
  type Handover,
  type LogRecord,
  Token,
  type VmEntry,
  type VmId,
} from "@jaytiller/model";
import {
  type Action,
  ActionKind,
  type GroupContext,
  GroupHolder,
  Role,
  type RoutingDecision,
} from "@jaytiller/ownership";
import { Dispatcher } from "./dispatcher.js";
import { callProcess, type Environment, SERVICE } from "./environment.js";
import { LogFollower } from "./log_follower.js";
import { PeerExchange } from "./peer_exchange.js";
import type { Process } from "./process.js";

const TICK_INTERVAL_MS = 20;
const VM_POLL_INTERVAL_MS = 500;
const HANDOVER_TIMEOUT_MS = 2_000;

type ActionHandlers = {
  readonly [K in ActionKind]: (
    action: Extract<Action, { kind: K }>,
  ) => void;
};

/** Simulates one router process, which serves only the group of its zone. */
export class SimulatedRouter {
  readonly id: VmId;
  readonly zone: string;
  readonly group: GroupId;
  readonly process: Process;
  readonly tail: LogFollower;
  readonly peers: PeerExchange;
  readonly dispatcher: Dispatcher;
  readonly #env: Environment;
  #holder: GroupHolder | undefined;
  #vms: readonly VmEntry[] = [];
  #vmsAsOfMs = -1;
  #listedSince = new Map<VmId, number>();
  #isTickScheduled = false;

  constructor(
    options: { process: Process; zone: string; env: Environment },
  ) {
    this.process = options.process;
    this.id = options.process.id;
    this.zone = options.zone;
    this.group = formatGroup(SERVICE, options.zone);
    this.#env = options.env;
    this.peers = new PeerExchange(this, this.#env);
    this.dispatcher = new Dispatcher(this, this.#env);
    this.tail = new LogFollower({
      process: this.process,
      env: this.#env,
      onChange: () => this.#scheduleTick(),
    });
    this.#pollVms();
    this.process.startInterval(VM_POLL_INTERVAL_MS, () => this.#pollVms());
    this.process.startInterval(TICK_INTERVAL_MS, () => this.tick());
    this.peers.start();
    this.dispatcher.start();
  }

  get vms(): readonly VmEntry[] {
    return this.#vms;
  }

  get holder(): GroupHolder | undefined {
    return this.#holder;
  }

  tick(): void {
    const ctx = this.#makeContext();
    if (!this.#holder && ctx.state.getRoute(SERVICE)) {
      this.#holder = new GroupHolder({
        group: this.group,
        self: this.id,
        peers: this.peers.table,
        timing: this.#env.timing,
        newId: this.#env.newId,
      });
    }
    if (this.#holder) this.#perform(this.#holder.tick(ctx));
  }

  direct(key: string): RoutingDecision | undefined {
    const { state } = this.tail;
    const unit = state.resolveUnit(SERVICE, key);
    const group = unit && state.getOwner(SERVICE, unit)?.group;
    if (group !== this.group) return undefined;
    return this.#holder?.direct(key, this.process.now());
  }

  hasAuthority(): boolean {
    return this.#holder?.hasAuthority(this.process.now()) ?? false;
  }

  /** Returns the highest known token of a group in any zone, and its holder. */
  getView(group: GroupId): { token: Token; holder: VmId } | undefined {
    const own = group === this.group ? this.#holder?.getView() : undefined;
    if (own) return own;
    const heard = this.peers.table.getView(group);
    const claim = this.tail.state.getClaim(group);
    if (!claim) return heard;
    const logView = { token: Token.of(claim.term), holder: claim.node };
    return heard && heard.token.compare(logView.token) > 0 ? heard : logView;
  }

  listViews(): GroupView[] {
    const groups = [...this.tail.state.listClaims().keys()];
    return groups.flatMap((group) => {
      const view = this.getView(group);
      if (!view) return [];
      return [{ group, token: view.token.toString(), holder: view.holder }];
    });
  }

  listHeldGroups(): GroupView[] {
    if (this.#holder?.role !== Role.Holder) return [];
    const token = this.#holder.token.toString();
    return [{ group: this.group, token, holder: this.id }];
  }

  choosePermits(): ReadonlyMap<GroupId, VmId> {
    const to = this.#holder?.issuePermit(this.process.now());
    return new Map(to === undefined ? [] : [[this.group, to]]);
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
      this.#holder?.handlePeerReply(reply.peer, {
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
    const holder = this.#holder;
    const token = Token.parse(handover.token)!;
    if (!holder || handover.group !== this.group) return false;
    if (this.tail.state.position < handover.position) return false;
    const before = holder.token;
    const actions = holder.acceptHandover(handover.from, {
      token,
      knownSinceMs: handover.knownSinceMs,
    });
    if (holder.role !== Role.Holder || holder.token.equals(before)) {
      return false;
    }
    this.#perform(actions);
    this.#scheduleTick();
    return true;
  }

  /**
   * Hands the group over, waits for requests in flight, then calls `onEnd`.
   * Gives up after `HANDOVER_TIMEOUT_MS`.
   */
  stop(onEnd: () => void): void {
    this.peers.stopping = true;
    this.peers.beat();
    const end = this.process.now() + HANDOVER_TIMEOUT_MS;
    const continueStop = () => {
      const holder = this.#holder;
      const isWaiting = this.process.now() < end;
      if (isWaiting && holder?.role === Role.Holder) this.#handOver(holder);
      const done = holder?.role !== Role.Holder &&
        !this.dispatcher.running;
      if (done || !isWaiting) onEnd();
      else this.process.startTimer(TICK_INTERVAL_MS, continueStop);
    };
    continueStop();
  }

  #handOver(holder: GroupHolder) {
    const to = holder.chooseSuccessor(this.process.now());
    if (to === undefined) return;
    const token = holder.token.toString();
    this.#perform(holder.resign(`handed over to ${to}`));
    this.peers.sendHandover(to, {
      from: this.id,
      group: this.group,
      token,
      position: this.tail.state.position,
      identities: [],
      knownSinceMs: 0,
    });
  }

  #pollVms() {
    const list = this.#env.vms.read();
    if (!list || list.asOfMs < this.#vmsAsOfMs) return;
    this.#vmsAsOfMs = list.asOfMs;
    this.#vms = list.vms;
    const now = this.process.now();
    this.#listedSince = new Map(
      list.vms.map((v) => [v.id, this.#listedSince.get(v.id) ?? now]),
    );
    this.peers.updateVms(list.vms);
  }

  #scheduleTick() {
    if (this.#isTickScheduled) return;
    this.#isTickScheduled = true;
    this.process.startTimer(0, () => {
      this.#isTickScheduled = false;
      this.tick();
    });
  }

  #makeContext(): GroupContext {
    return {
      now: this.process.now(),
      unixMs: this.process.unixMs(),
      state: this.tail.state,
      logFresh: this.tail.fresh,
      logReadAt: this.tail.readAt,
      vms: this.#vms,
      listedSince: this.#listedSince,
      requests: this.dispatcher,
      stopping: this.peers.stopping,
    };
  }

  #perform(actions: readonly Action[]) {
    for (const action of actions) {
      const handler = this.#handlers[action.kind] as (a: Action) => void;
      handler(action);
    }
  }

  readonly #handlers: ActionHandlers = {
    [ActionKind.SendGrant]: (action) => this.#sendGrant(action),
    [ActionKind.Append]: (action) => {
      const record = { ...action.record, hlc: "", node: this.id } as LogRecord;
      this.tail.append(record, (possible) => {
        if (!possible) this.#holder?.handleAppendFailure(record.id);
      });
    },
    [ActionKind.RecordEvent]: ({ event }) => {
      const unit = event.unit ?? "";
      const token = event.token ?? "";
      this.#env.trace(
        `${this.id} ${event.kind} ${token} ${unit}: ${event.text}`,
      );
    },
    [ActionKind.RoleChanged]: () => {},
  };

  #sendGrant(action: Extract<Action, { kind: ActionKind.SendGrant }>) {
    const env = this.#env;
    const { server, request, checked } = action;
    const sentAt = this.process.now();
    callProcess<GrantReply>(env, {
      from: this.process,
      to: server,
      timeoutMs: Math.floor(env.timing.leaseMs / 2),
      find: () => env.findBackend(server)?.process,
      handle: (answer) => {
        const backend = env.findBackend(server)!;
        if (checked) answer(backend.handleGrant(request));
        else {
          const { token, seq } = request;
          const busyUnits: never[] = [];
          const health = backend.reportHealth();
          answer({ ...health, token, seq, busyUnits, atMs: sentAt });
        }
      },
      finish: (reply) => {
        const holder = this.#holder!;
        const { seq } = request;
        const now = this.process.now();
        if (!reply) holder.handleGrantFailure(server, seq);
        else this.#perform(holder.readGrantReply(reply, { server, seq, now }));
        this.#scheduleTick();
      },
    });
  }
}
