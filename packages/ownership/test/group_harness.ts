/** A test harness for a `GroupHolder` with its inputs. @module */
import {
  type GrantReply,
  type GrantRequest,
  type GroupId,
  type Heartbeat,
  type LogRecord,
  RecordKind,
  Token,
  type VmEntry,
  type VmId,
  VmKind,
  VmState,
} from "@jaytiller/model";
import { ClusterState } from "@jaytiller/state";
import {
  type Action,
  ActionKind,
  DEFAULT_TIMING,
  type GroupContext,
  GroupHolder,
  PeerTable,
} from "../src/mod.js";

/** The group under test, which has two shards. */
export const GROUP: GroupId = "desk/za";
const UNIX_MS = 1_800_000_000_000;

function makeVm(id: VmId, kind: VmKind): VmEntry {
  const common = { id, kind, zone: "za", url: `http://${id}` };
  const service = kind === VmKind.Backend ? { service: "desk" } : {};
  return { ...common, ...service, state: VmState.Live };
}

/** Runs the holder of router `r0`; the test simulates its peers and servers. */
export class GroupHarness {
  readonly peers: PeerTable;
  readonly holder: GroupHolder;
  readonly lastDeadline = new Map<VmId, number>();
  state = ClusterState.empty;
  now = 0;
  logFresh = true;
  vms: VmEntry[];
  #seq = 0;
  #ids = 0;

  constructor(
    options: { peers?: VmId[]; servers?: VmId[]; checks?: boolean } = {},
  ) {
    const { peers = ["r1"], servers = ["s0", "s1"], checks = true } = options;
    const timing = DEFAULT_TIMING;
    const self = "r0";
    this.peers = PeerTable.create({ self, zone: "za", timing, now: 0 });
    this.holder = new GroupHolder({
      group: GROUP,
      self,
      peers: this.peers,
      timing,
      newId: () => `own${this.#ids += 1}`,
    });
    this.vms = [
      ...[self, ...peers].map((id) => makeVm(id, VmKind.Entry)),
      ...servers.map((id) => makeVm(id, VmKind.Backend)),
    ];
    this.updateVms();
    this.append({
      kind: RecordKind.PutRoute,
      change: { operator: "op", reason: "", expectVersion: 0 },
      route: {
        service: "desk",
        pathPrefix: "/desk",
        shards: 2,
        checksOwner: checks,
        slots: 1,
        connections: 1,
        rules: [],
      },
    });
  }

  updateVms(): void {
    this.peers.updateVms(this.vms, { isLost: () => false, now: this.now });
  }

  removeVm(id: VmId): void {
    this.vms = this.vms.filter((v) => v.id !== id);
    this.updateVms();
  }

  /** Appends a record to the log, applies it, and returns its offset. */
  append(record: object, node = "op"): number {
    const offset = this.state.position;
    const id = `log${this.#ids += 1}`;
    const full = { id, hlc: "", node, ...record } as LogRecord;
    this.state = this.state.apply({ offset, atMs: 0, record: full }).state;
    return offset;
  }

  makeContext(): GroupContext {
    return {
      now: this.now,
      unixMs: UNIX_MS + this.now,
      state: this.state,
      logFresh: this.logFresh,
      logReadAt: this.logFresh ? this.now : -Infinity,
      vms: this.vms,
      listedSince: new Map(this.vms.map((v) => [v.id, -100_000])),
      requests: {
        countInFlight: () => 0,
        countBulk: () => 0,
        getLastDeadline: (server) => this.lastDeadline.get(server) ?? 0,
        getUnansweredDeadline: () => 0,
      },
      stopping: false,
    };
  }

  /** Advances the time by `ms`, ticks, and returns the actions. */
  tick(ms = 0): Action[] {
    this.now += ms;
    return this.holder.tick(this.makeContext());
  }

  /** Appends the records of all append actions. */
  appendRecords(actions: readonly Action[]): void {
    for (const a of actions) {
      if (a.kind === ActionKind.Append) this.append(a.record, "r0");
    }
  }

  /** Accepts all grants in `actions` on behalf of all servers but `silent`. */
  answerGrants(actions: readonly Action[], silent: readonly VmId[] = []) {
    for (const a of actions) {
      if (a.kind !== ActionKind.SendGrant || silent.includes(a.server)) {
        continue;
      }
      const { server, request } = a;
      const reply = this.makeReply(request);
      const { now } = this;
      this.holder.readGrantReply(reply, { server, seq: request.seq, now });
    }
  }

  makeReply(request: GrantRequest): GrantReply {
    return {
      accepted: true,
      token: request.token,
      seq: request.seq,
      incarnation: "one",
      atMs: this.now,
      draining: false,
      running: 0,
      busyUnits: [],
      load: 0,
    };
  }

  /** Delivers a heartbeat from a peer. */
  receiveHeartbeat(from: VmId, fields: Partial<Heartbeat> = {}): void {
    this.peers.handleHeartbeat({
      from,
      incarnation: `${from}#1`,
      hlc: "",
      seq: this.#seq += 1,
      position: this.state.position,
      logFresh: true,
      holds: [],
      permits: [],
      stopping: false,
      ...fields,
    }, this.now);
  }

  /** Delivers a peer's reply to a heartbeat that was sent `ageMs` ago. */
  receivePeerReply(
    peer: VmId,
    { ageMs = 1, permitSent = false, permitKept = false } = {},
  ): void {
    const token = this.holder.token.toString();
    const sentAt = this.now - ageMs;
    const { now } = this;
    const flags = { permitSent, permitKept };
    this.holder.handlePeerReply(peer, { token, ...flags, sentAt, now });
  }

  /** Makes `r0` the holder and gets its first grants accepted. */
  claim(): void {
    this.appendRecords(this.tick(300));
    this.answerGrants(this.tick());
    this.answerGrants(this.tick());
  }

  /** Ticks for `ms` while all servers but `silent` answer. */
  run(ms: number, silent: readonly VmId[] = [], step = 20): void {
    for (let t = 0; t < ms; t += step) {
      const actions = this.tick(step);
      this.appendRecords(actions);
      this.answerGrants(actions, silent);
    }
  }

  getOwner(unit: "s:0" | "s:1"): VmId | undefined {
    return this.state.getOwner("desk", unit)?.server;
  }

  getToken(): Token {
    return this.holder.token;
  }
}
