/**
 * Simulated peer protocol: mirrors `Peers` of the router with its heartbeats,
 * gossip and log records fetched from peers.
 * @module
 */
import {
  type GroupId,
  type GroupView,
  type Handover,
  type Heartbeat,
  type HeartbeatReply,
  type LogEntry,
  Token,
  type VmEntry,
  type VmId,
  VmKind,
} from "@jaytiller/model";
import { PeerTable } from "@jaytiller/ownership";
import { callProcess, type Environment } from "./environment.js";
import type { SimulatedRouter } from "./router.js";

const GOSSIP_INTERVAL_MS = 1_000;
const GOSSIP_FANOUT = 2;
const RPC_TIMEOUT_MS = 1_000;

/** Payload of the periodic gossip between routers. */
interface Gossip {
  readonly from: VmId;
  readonly position: number;
  readonly groups: readonly GroupView[];
}

/** Exchanges messages between one router and its peers. */
export class PeerExchange {
  readonly table: PeerTable;
  readonly #router: SimulatedRouter;
  readonly #env: Environment;
  #seq = 0;
  #isFetching = false;
  stopping = false;

  constructor(router: SimulatedRouter, env: Environment) {
    this.#router = router;
    this.#env = env;
    this.table = PeerTable.create({
      self: router.id,
      zone: router.zone,
      timing: env.timing,
      now: router.process.now(),
    });
  }

  start(): void {
    const { process } = this.#router;
    process.startInterval(
      this.#env.timing.heartbeatMs,
      () => this.beat(),
    );
    process.startInterval(GOSSIP_INTERVAL_MS, () => this.#gossip());
  }

  updateVms(vms: readonly VmEntry[]): void {
    const { state } = this.#router.tail;
    const now = this.#router.process.now();
    this.table.updateVms(vms, { isLost: (vm) => state.isLost(vm), now });
  }

  beat(): void {
    const router = this.#router;
    const permits = router.choosePermits();
    for (const vm of router.vms) {
      if (vm.kind !== VmKind.Entry || vm.zone !== router.zone) continue;
      if (vm.id !== router.id) this.#sendHeartbeat(vm.id, permits);
    }
  }

  sendHandover(to: VmId, handover: Handover): void {
    this.#call<boolean>(to, {
      handle: (target) => target.acceptHandover(handover),
      finish: () => {},
    });
  }

  #call<T>(to: VmId, { handle, finish }: {
    handle: (target: SimulatedRouter) => T;
    finish: (reply: T | undefined) => void;
  }) {
    const env = this.#env;
    callProcess<T>(env, {
      from: this.#router.process,
      to,
      timeoutMs: RPC_TIMEOUT_MS,
      find: () => env.findRouter(to)?.process,
      handle: (answer) => answer(handle(env.findRouter(to)!)),
      finish,
    });
  }

  #sendHeartbeat(to: VmId, permits: ReadonlyMap<GroupId, VmId>) {
    const router = this.#router;
    const holds = router.listHeldGroups();
    const beat: Heartbeat = {
      from: router.id,
      incarnation: router.process.incarnation,
      hlc: "",
      seq: this.#seq += 1,
      position: router.tail.state.position,
      logFresh: router.tail.fresh,
      holds,
      permits: holds.filter((v) => permits.get(v.group) === to),
      stopping: this.stopping,
    };
    const sentAt = router.process.now();
    this.#call<HeartbeatReply>(to, {
      handle: (target) => target.peers.answerHeartbeat(beat),
      finish: (reply) => reply && this.#handleReply(reply, { beat, sentAt }),
    });
  }

  #handleReply(
    reply: HeartbeatReply,
    { beat, sentAt }: { beat: Heartbeat; sentAt: number },
  ) {
    const router = this.#router;
    const now = router.process.now();
    this.table.handleReply(reply, { now, sentAt });
    router.handlePeerReply({
      peer: reply.from,
      holds: beat.holds,
      sent: new Set(beat.permits.map((v) => v.group)),
      kept: new Set(reply.permits.map((v) => v.group)),
      sentAt,
      now,
    });
    if (reply.position > router.tail.state.position) this.#fetch(reply.from);
  }

  answerHeartbeat(beat: Heartbeat): HeartbeatReply {
    const router = this.#router;
    this.table.handleHeartbeat(beat, router.process.now());
    router.tick();
    const superseded: GroupView[] = [];
    for (const held of beat.holds) {
      const view = router.getView(held.group);
      const token = Token.parse(held.token);
      if (!view || !token || view.token.compare(token) <= 0) continue;
      superseded.push({
        group: held.group,
        token: view.token.toString(),
        holder: view.holder,
      });
    }
    const isBehind = beat.position > router.tail.state.position;
    if (isBehind && !router.tail.fresh) this.#fetch(beat.from);
    return {
      from: router.id,
      incarnation: router.process.incarnation,
      hlc: "",
      position: router.tail.state.position,
      logFresh: router.tail.fresh,
      superseded,
      permits: this.table.listPermits(beat.from),
      stopping: this.stopping,
    };
  }

  #gossip() {
    const others = this.#router.vms
      .filter((v) => v.kind === VmKind.Entry && v.id !== this.#router.id);
    for (let i = 0; i < GOSSIP_FANOUT && others.length > 0; i++) {
      const at = this.#env.random.drawInteger(0, others.length - 1);
      const [peer] = others.splice(at, 1);
      const own = this.#makeGossip();
      this.#call<Gossip>(peer!.id, {
        handle: (target) => target.peers.#answerGossip(own),
        finish: (reply) => reply && this.#handleGossip(reply, true),
      });
    }
  }

  #answerGossip(gossip: Gossip): Gossip {
    this.#handleGossip(gossip, false);
    return this.#makeGossip();
  }

  #makeGossip(): Gossip {
    const router = this.#router;
    return {
      from: router.id,
      position: router.tail.state.position,
      groups: router.listViews(),
    };
  }

  #handleGossip(gossip: Gossip, fetch: boolean) {
    for (const view of gossip.groups) this.table.recordView(view);
    const isBehind = gossip.position > this.#router.tail.state.position;
    if (fetch && isBehind) this.#fetch(gossip.from);
  }

  #fetch(from: VmId) {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { tail } = this.#router;
    const position = tail.state.position;
    this.#call<LogEntry[]>(from, {
      handle: (target) => target.tail.listRecords(position),
      finish: (entries) => {
        this.#isFetching = false;
        if (entries) tail.applyRecords(entries);
      },
    });
  }
}
