/** Heartbeats to other routers, and the RPC server of the peer port. @module */
import { createServer } from "node:http";
import Hapi from "@hapi/hapi";
import { getLogger, type Service } from "@jaytiller/kernel";
import {
  EventKind,
  type Gossip,
  type GroupId,
  type GroupView,
  type Handover,
  type Heartbeat,
  type HeartbeatReply,
  type OutcomeReply,
  type OutcomeRequest,
  type RecordsRequest,
  Token,
  type VmEntry,
  type VmId,
} from "@jaytiller/model";
import { PeerTable, type Timing } from "@jaytiller/ownership";
import {
  type JSONRPCParams,
  type JSONRPCRequest,
  JSONRPCServer,
} from "json-rpc-2.0";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import type { Groups } from "./groups.js";
import {
  Gossiper,
  MAX_RECORDS_PER_MESSAGE,
  type ReportedPosition,
} from "./gossip.js";
import type { LogTail } from "./log_tail.js";
import { MAX_MESSAGE_BYTES, PeerRpc } from "./peer_rpc.js";
import type { VmListPoller } from "./vm_list_poller.js";

const log = getLogger("peers");
/** Responses to forwarded requests may take as long as the requests. */
const STOP_TIMEOUT_MS = 120_000;

/** Exchanges heartbeats within the zone and serves the peer port. */
export class Peers implements Service {
  readonly peerTable: PeerTable;
  /** HTTP server of the peer port; services add routes before `start`. */
  readonly server: Hapi.Server;
  readonly #self: { id: VmId; zone: string };
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #tail: LogTail;
  readonly #vms: VmListPoller;
  readonly #timing: Timing;
  readonly #rpc = new JSONRPCServer({
    errorListener: (text) => log.warn(`${text}.`),
  });
  readonly #peerRpc: PeerRpc;
  readonly #gossiper: Gossiper;
  readonly #silent = new Set<VmId>();
  readonly #getGroups: () => Groups;
  #timer: ReturnType<typeof setInterval> | undefined;
  #seq = 0;
  #stopping = false;

  constructor(options: {
    self: { id: VmId; zone: string };
    listen: { host: string; port: number };
    clock: Clock;
    events: Events;
    tail: LogTail;
    vms: VmListPoller;
    timing: Timing;
    getGroups: () => Groups;
    /** Peer URLs to ask for state at start-up, while the VM list is unknown. */
    seeds: readonly string[];
  }) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#timing = options.timing;
    this.#getGroups = options.getGroups;
    this.peerTable = PeerTable.create({
      self: options.self.id,
      zone: options.self.zone,
      timing: options.timing,
      now: options.clock.now(),
    });
    this.#peerRpc = new PeerRpc(options.vms);
    this.#gossiper = new Gossiper({
      self: options.self.id,
      rpc: this.#peerRpc,
      peerTable: this.peerTable,
      clock: options.clock,
      tail: options.tail,
      vms: options.vms,
      getGroups: options.getGroups,
      seeds: options.seeds,
    });
    this.server = Hapi.server({
      host: options.listen.host,
      port: options.listen.port,
      listener: createServer({ keepAliveTimeout: 30_000 }),
      compression: false,
    });
    this.server.listener.keepAliveTimeout = 30_000;
    this.#registerRpcMethods();
  }

  get port(): number {
    return this.server.info.port as number;
  }

  get stopping(): boolean {
    return this.#stopping;
  }

  /** Returns the last reported log positions of entry VMs. */
  listPositions(): ReadonlyMap<VmId, ReportedPosition> {
    return this.#gossiper.listPositions();
  }

  async start(): Promise<void> {
    this.server.route({
      method: "POST",
      path: "/rpc",
      options: { payload: { maxBytes: MAX_MESSAGE_BYTES } },
      handler: async (request, h) => {
        const reply = await this.#rpc.receive(
          request.payload as JSONRPCRequest,
        );
        return reply ? h.response(reply) : h.response().code(204);
      },
    });
    await this.server.start();
    this.#vms.subscribe((vms) => this.#updateVms(vms));
    this.#updateVms(this.#vms.vms);
    this.#timer = setInterval(() => this.#beat(), this.#timing.heartbeatMs);
    this.#gossiper.start();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#gossiper.stop();
    await this.server.stop({ timeout: STOP_TIMEOUT_MS });
    this.#peerRpc.stop();
  }

  /** Announces in this and later heartbeats that this router is stopping. */
  announceStop(): void {
    this.#stopping = true;
    this.#beat();
  }

  sendHandover(to: VmId, handover: Handover): Promise<boolean> {
    return this.#peerRpc.call<boolean>(to, "handover", handover)
      .then((ok) => ok === true);
  }

  requestOutcome(
    to: VmId,
    request: OutcomeRequest,
  ): Promise<OutcomeReply | undefined> {
    return this.#peerRpc.call<OutcomeReply>(to, "outcome", request);
  }

  #registerRpcMethods() {
    const add = (name: string, handler: (params: never) => unknown) =>
      this.#rpc.addMethod(
        name,
        (params: JSONRPCParams | undefined) => handler(params as never),
      );
    add("heartbeat", (p: Heartbeat) => this.#handleHeartbeat(p));
    add("gossip", (p: Gossip) => this.#gossiper.answer(p));
    add(
      "records",
      (p: RecordsRequest) =>
        this.#tail.listRecords(
          p.from,
          Math.min(p.max, MAX_RECORDS_PER_MESSAGE),
        ),
    );
    add("handover", (p: Handover) => this.#getGroups().acceptHandover(p));
    add("outcome", (p: OutcomeRequest) => this.#getGroups().resolveIdentity(p));
  }

  #updateVms(vms: readonly VmEntry[]) {
    const { state } = this.#tail;
    const now = this.#clock.now();
    this.peerTable.updateVms(vms, { isLost: (vm) => state.isLost(vm), now });
  }

  #beat() {
    const now = this.#clock.now();
    const permits = this.#getGroups().issuePermits(now);
    // A holder needs replies to its own heartbeats. Any other router skips
    // peers that it has heard from recently, because a received message also
    // shows that the peer is alive. This halves the number of messages.
    const holds = this.#getGroups().listHeldGroups().length > 0;
    for (const vm of this.#vms.listEntryVms()) {
      if (vm.id === this.#self.id || vm.zone !== this.#self.zone) continue;
      if (
        !holds && !this.#stopping && this.peerTable.hasRecentMessage(vm.id, now)
      ) {
        continue;
      }
      void this.#sendHeartbeat(vm.id, permits);
    }
    this.#recordSuspicions(now);
  }

  async #sendHeartbeat(to: VmId, permits: ReadonlyMap<GroupId, VmId>) {
    const holds = this.#getGroups().listHeldGroups();
    const beat: Heartbeat = {
      from: this.#self.id,
      incarnation: this.#clock.incarnation,
      hlc: this.#clock.issueTimestamp(),
      seq: this.#seq += 1,
      position: this.#tail.state.position,
      logFresh: this.#tail.isFresh,
      holds,
      permits: holds.filter((v) => permits.get(v.group) === to),
      stopping: this.#stopping,
    };
    const sentAt = this.#clock.now();
    const reply = await this.#peerRpc.call<HeartbeatReply>(
      to,
      "heartbeat",
      beat,
    );
    if (!reply) return;
    const now = this.#clock.now();
    this.#clock.observe(reply.hlc);
    this.peerTable.handleReply(reply, { now, sentAt });
    this.#gossiper.recordPosition(reply.from, reply.position);
    const kept = new Set(reply.permits.map((v) => v.group));
    const sent = new Set(beat.permits.map((v) => v.group));
    this.#getGroups().handlePeerReply({
      peer: reply.from,
      holds,
      sent,
      kept,
      sentAt,
      now,
    });
    if (reply.position > this.#tail.state.position) {
      void this.#gossiper.fetchRecords(reply.from);
    }
  }

  #handleHeartbeat(beat: Heartbeat): HeartbeatReply {
    const now = this.#clock.now();
    this.#clock.observe(beat.hlc);
    this.peerTable.handleHeartbeat(beat, now);
    this.#gossiper.recordPosition(beat.from, beat.position);
    // The reply confirms that lower tokens were given up, so do that first.
    this.#getGroups().tick();
    const superseded: GroupView[] = [];
    for (const held of beat.holds) {
      const view = this.#getGroups().getView(held.group);
      const token = Token.parse(held.token);
      if (view && token && view.token.compare(token) > 0) {
        superseded.push({
          group: held.group,
          token: view.token.toString(),
          holder: view.holder,
        });
      }
    }
    if (beat.position > this.#tail.state.position && !this.#tail.isFresh) {
      void this.#gossiper.fetchRecords(beat.from);
    }
    return {
      from: this.#self.id,
      incarnation: this.#clock.incarnation,
      hlc: this.#clock.issueTimestamp(),
      position: this.#tail.state.position,
      logFresh: this.#tail.isFresh,
      superseded,
      permits: this.peerTable.listPermits(beat.from),
      stopping: this.#stopping,
    };
  }

  #recordSuspicions(now: number) {
    for (const id of this.peerTable.listMembers()) {
      const silent = this.peerTable.isSuspected(id, now);
      if (silent === this.#silent.has(id)) continue;
      if (silent) this.#silent.add(id);
      else this.#silent.delete(id);
      this.#events.add({
        kind: silent ? EventKind.PeerSuspected : EventKind.PeerHeard,
        server: id,
        text: silent
          ? `Entry VM ${id} does not respond`
          : `Entry VM ${id} responds`,
      });
    }
  }
}
