/** Gossip: views and log positions of all routers, and missing records. @module */
import type { Gossip, LogEntry, RecordsReply, VmId } from "@jaytiller/model";
import type { PeerTable } from "@jaytiller/ownership";
import type { Clock } from "./clock.js";
import type { Groups } from "./groups.js";
import type { LogTail } from "./log_tail.js";
import type { PeerAddress, PeerRpc } from "./peer_rpc.js";
import type { VmWatch } from "./vm_watch.js";

const GOSSIP_MS = 1_000;
const GOSSIP_FANOUT = 2;
/** Records of one message. */
export const RECORDS_MAX = 500;

/** Position of an entry VM in the log, as it was heard. */
export interface HeardPosition {
  readonly position: number;
  /** Unix ms. */
  readonly atMs: number;
}

/** What gossip works with. */
export interface GossipOptions {
  readonly self: VmId;
  readonly rpc: PeerRpc;
  readonly table: PeerTable;
  readonly clock: Clock;
  readonly tail: LogTail;
  readonly vms: VmWatch;
  readonly getGroups: () => Groups;
  /** Peer URLs to ask at the start, while the VM list is not known. */
  readonly seeds: readonly string[];
}

/** Exchanges what routers know with two random routers a second. */
export class Gossiper {
  readonly #options: GossipOptions;
  readonly #self: VmId;
  readonly #rpc: PeerRpc;
  readonly #clock: Clock;
  readonly #tail: LogTail;
  readonly #vms: VmWatch;
  readonly #seeds: readonly string[];
  readonly #positions = new Map<VmId, HeardPosition>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #fetching = false;
  #stopped = false;

  constructor(options: GossipOptions) {
    this.#options = options;
    this.#self = options.self;
    this.#rpc = options.rpc;
    this.#clock = options.clock;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#seeds = options.seeds;
  }

  start(): void {
    this.#tail.subscribe((entry) => this.#confirmChange(entry));
    this.#timer = setInterval(() => this.#spread(), GOSSIP_MS);
    void this.#fetchFirstState();
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  /** Log positions of all entry VMs that were heard of. */
  listPositions(): ReadonlyMap<VmId, HeardPosition> {
    return this.#positions;
  }

  #spread() {
    const others = this.#vms.listEntryVms()
      .filter((v) => v.id !== this.#self);
    for (let i = 0; i < GOSSIP_FANOUT && others.length > 0; i++) {
      const at = Math.floor(Math.random() * others.length);
      const [peer] = others.splice(at, 1);
      void this.#sendGossip(peer!);
    }
  }

  /** Tells the router that accepted a change that it is in force here. */
  #confirmChange({ record }: LogEntry) {
    if (!("change" in record) || record.node === this.#self) return;
    const writer = this.#vms.get(record.node);
    // The entry counts as read only after this listener has returned.
    if (writer) setImmediate(() => void this.#sendGossip(writer));
  }

  /** Returns the peer's log position, `undefined` if it did not answer. */
  async #sendGossip(
    to: { peerUrl?: string | undefined },
  ): Promise<number | undefined> {
    if (to.peerUrl === undefined) return undefined;
    const target = { peerUrl: to.peerUrl };
    const reply = await this.#rpc.call<Gossip>(
      target,
      "gossip",
      this.#makeGossip(),
    );
    if (!reply) return undefined;
    this.#readGossip(reply);
    if (reply.position > this.#tail.state.position) {
      await this.fetchRecords(target);
    }
    return reply.position;
  }

  /** Answers a peer's gossip with one's own. */
  answer(gossip: Gossip): Gossip {
    this.#readGossip(gossip);
    return this.#makeGossip();
  }

  #makeGossip(): Gossip {
    this.notePosition(this.#self, this.#tail.state.position);
    return {
      from: this.#self,
      hlc: this.#clock.stamp(),
      position: this.#tail.state.position,
      groups: this.#options.getGroups().listViews(),
      positions: Object.fromEntries(this.#positions),
    };
  }

  #readGossip(gossip: Gossip) {
    this.#clock.observe(gossip.hlc);
    this.notePosition(gossip.from, gossip.position);
    for (const view of gossip.groups) this.#options.table.recordView(view);
    for (const [id, heard] of Object.entries(gossip.positions)) {
      const known = this.#positions.get(id);
      if (!known || known.atMs < heard.atMs) this.#positions.set(id, heard);
    }
  }

  /** Records a log position that a router reported. */
  notePosition(id: VmId, position: number) {
    this.#positions.set(id, { position, atMs: this.#clock.unixMs() });
  }

  /** Fetches log records that this router lacks. */
  async fetchRecords(from: PeerAddress) {
    if (this.#fetching) return;
    this.#fetching = true;
    const reply = await this.#rpc.call<RecordsReply>(from, "records", {
      from: this.#tail.state.position,
      max: RECORDS_MAX,
    });
    this.#fetching = false;
    if (reply) this.#tail.readRecords(reply);
  }

  /** With the log down at the start, the newest state of all peers is taken. */
  async #fetchFirstState() {
    await new Promise((resolve) => setTimeout(resolve, GOSSIP_MS));
    while (!this.#tail.ready && !this.#stopped) {
      const listed = this.#vms.listEntryVms()
        .filter((v) => v.id !== this.#self);
      const peers: { peerUrl?: string | undefined }[] = [
        ...listed,
        ...this.#seeds.map((peerUrl) => ({ peerUrl })),
      ];
      const heard = await Promise.all(peers.map((p) => this.#sendGossip(p)));
      const newest = Math.max(0, ...heard.map((position) => position ?? 0));
      const before = this.#tail.state.position;
      if (newest > 0 && before >= newest) return this.#tail.markReady();
      await this.#fetchUpTo(
        newest,
        peers.filter((_, i) => heard[i] === newest),
      );
      // Asks again at once while records arrive, else after a pause.
      if (this.#tail.state.position > before) continue;
      await new Promise((resolve) => setTimeout(resolve, GOSSIP_MS));
    }
  }

  /** Fetches records from the first of the peers until `position`. */
  async #fetchUpTo(
    position: number,
    [peer]: readonly { peerUrl?: string | undefined }[],
  ): Promise<void> {
    if (peer?.peerUrl === undefined) return;
    const target = { peerUrl: peer.peerUrl };
    for (;;) {
      const before = this.#tail.state.position;
      if (before >= position) return;
      await this.fetchRecords(target);
      if (this.#tail.state.position === before) return;
    }
  }
}
