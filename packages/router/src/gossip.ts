/** Gossip of group views, log positions and missing records. @module */
import type { Gossip, LogEntry, RecordsReply, VmId } from "@jaytiller/model";
import type { PeerTable } from "@jaytiller/ownership";
import type { Clock } from "./clock.js";
import type { Groups } from "./groups.js";
import type { LogTail } from "./log_tail.js";
import type { PeerAddress, PeerRpc } from "./peer_rpc.js";
import type { VmListPoller } from "./vm_list_poller.js";

const GOSSIP_INTERVAL_MS = 1_000;
const GOSSIP_FANOUT = 2;
/** Largest number of log records in one message. */
export const MAX_RECORDS_PER_MESSAGE = 500;

/** Log position that an entry VM reported. */
export interface ReportedPosition {
  readonly position: number;
  /** Unix ms, by the clock of the router that received the report. */
  readonly atMs: number;
}

/** Dependencies of a `Gossiper`. */
export interface GossipOptions {
  readonly self: VmId;
  readonly rpc: PeerRpc;
  readonly peerTable: PeerTable;
  readonly clock: Clock;
  readonly tail: LogTail;
  readonly vms: VmListPoller;
  readonly getGroups: () => Groups;
  /** Peer URLs to ask for state at start-up, while the VM list is unknown. */
  readonly seeds: readonly string[];
}

/** Exchanges views and log positions with two random routers each second. */
export class Gossiper {
  readonly #options: GossipOptions;
  readonly #self: VmId;
  readonly #rpc: PeerRpc;
  readonly #clock: Clock;
  readonly #tail: LogTail;
  readonly #vms: VmListPoller;
  readonly #seeds: readonly string[];
  readonly #positions = new Map<VmId, ReportedPosition>();
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
    this.#tail.subscribe((entry) => this.#acknowledgeChange(entry));
    this.#timer = setInterval(
      () => this.#sendToRandomPeers(),
      GOSSIP_INTERVAL_MS,
    );
    void this.#fetchInitialState();
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  /** Returns the last reported log positions of entry VMs. */
  listPositions(): ReadonlyMap<VmId, ReportedPosition> {
    return this.#positions;
  }

  #sendToRandomPeers() {
    const others = this.#vms.listEntryVms()
      .filter((v) => v.id !== this.#self);
    for (let i = 0; i < GOSSIP_FANOUT && others.length > 0; i++) {
      const at = Math.floor(Math.random() * others.length);
      const [peer] = others.splice(at, 1);
      void this.#sendGossip(peer!);
    }
  }

  /** Tells the router that submitted a change that it is in force here. */
  #acknowledgeChange({ record }: LogEntry) {
    if (!("change" in record) || record.node === this.#self) return;
    const writer = this.#vms.get(record.node);
    // The entry counts as read only after this listener has returned.
    if (writer) setImmediate(() => void this.#sendGossip(writer));
  }

  /**
   * Exchanges gossip with a peer and fetches records that this router lacks.
   * Resolves to the peer's log position, `undefined` if it did not respond.
   */
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
    this.#mergeGossip(reply);
    if (reply.position > this.#tail.state.position) {
      await this.fetchRecords(target);
    }
    return reply.position;
  }

  /** Merges a peer's gossip and returns this router's own. */
  answer(gossip: Gossip): Gossip {
    this.#mergeGossip(gossip);
    return this.#makeGossip();
  }

  #makeGossip(): Gossip {
    this.recordPosition(this.#self, this.#tail.state.position);
    return {
      from: this.#self,
      hlc: this.#clock.issueTimestamp(),
      position: this.#tail.state.position,
      groups: this.#options.getGroups().listViews(),
      positions: Object.fromEntries(this.#positions),
    };
  }

  #mergeGossip(gossip: Gossip) {
    this.#clock.observe(gossip.hlc);
    this.recordPosition(gossip.from, gossip.position);
    for (const view of gossip.groups) this.#options.peerTable.recordView(view);
    for (const [id, heard] of Object.entries(gossip.positions)) {
      const known = this.#positions.get(id);
      if (!known || known.atMs < heard.atMs) this.#positions.set(id, heard);
    }
  }

  /** Records the log position that a router reported. */
  recordPosition(id: VmId, position: number) {
    this.#positions.set(id, { position, atMs: this.#clock.unixMs() });
  }

  /** Fetches log records that this router lacks, unless a fetch is running. */
  async fetchRecords(from: PeerAddress) {
    if (this.#fetching) return;
    this.#fetching = true;
    const reply = await this.#rpc.call<RecordsReply>(from, "records", {
      from: this.#tail.state.position,
      max: MAX_RECORDS_PER_MESSAGE,
    });
    this.#fetching = false;
    if (reply) this.#tail.applyPeerRecords(reply);
  }

  /**
   * Fetches the state from peers while the log is unavailable at start-up. The
   * state is complete at the highest position that any peer reported.
   */
  async #fetchInitialState() {
    await new Promise((resolve) => setTimeout(resolve, GOSSIP_INTERVAL_MS));
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
      // Retries at once while records arrive, otherwise after a delay.
      if (this.#tail.state.position > before) continue;
      await new Promise((resolve) => setTimeout(resolve, GOSSIP_INTERVAL_MS));
    }
  }

  /** Fetches records from the first peer up to `position`, while any arrive. */
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
