/** Tracks the other entry VMs of a router's zone. @module */
import {
  type GroupId,
  type GroupView,
  type Heartbeat,
  type HeartbeatReply,
  Token,
  type VmEntry,
  type VmId,
  VmKind,
  type Zone,
} from "@jaytiller/model";
import { HANDOVER_GRACE_MS, type Timing } from "./timing.js";

interface Peer {
  /** Whether the peer has been on the VM list at any time. */
  listed: boolean;
  /** Whether the peer has left the VM list or was confirmed lost. */
  removed: boolean;
  removedAt: number;
  lastMessageAt: number;
  /** Send time of the latest heartbeat from this router that it answered. */
  answeredHeartbeatSentAt: number;
  /** Incarnation in the peer's latest heartbeat. */
  incarnation: string;
  lastSeq: number;
  /** Incarnation in the last message of any kind. */
  latestIncarnation: string;
  /** When `latestIncarnation` was first received. */
  latestIncarnationSince: number;
  position: number;
  logFresh: boolean;
  stopping: boolean;
  /** When the peer first reported that it is stopping. */
  stoppingSince: number;
}

/** Allows this router to take a group over without the log. */
export interface Permit {
  readonly token: Token;
  readonly from: VmId;
  /**
   * Log position of the holder. It may know newer owners than a router at a
   * lower position.
   */
  readonly position: number;
}

/**
 * Tracks the membership of one zone from heartbeats and the VM list. Times are
 * monotonic ms unless their names say otherwise.
 */
export class PeerTable {
  readonly #self: VmId;
  readonly #zone: Zone;
  readonly #timing: Timing;
  readonly #peers = new Map<VmId, Peer>();
  /** The highest known token of each group, with its holder. */
  readonly #views = new Map<GroupId, { token: Token; holder: VmId }>();
  /** The permits that this router holds. */
  readonly #permits = new Map<GroupId, Permit>();
  readonly #startedAt: number;

  private constructor(
    options: { self: VmId; zone: Zone; timing: Timing; now: number },
  ) {
    this.#self = options.self;
    this.#zone = options.zone;
    this.#timing = options.timing;
    this.#startedAt = options.now;
  }

  static create(
    options: { self: VmId; zone: Zone; timing: Timing; now: number },
  ): PeerTable {
    return new PeerTable(options);
  }

  /**
   * Applies a VM list from the platform. A peer that was listed before and is
   * missing, or that is confirmed lost, counts as removed.
   */
  updateVms(
    vms: readonly VmEntry[],
    { isLost, now }: { isLost: (vm: VmId) => boolean; now: number },
  ): void {
    const listed = new Set<VmId>();
    for (const vm of vms) {
      if (vm.kind !== VmKind.Entry || vm.zone !== this.#zone) continue;
      if (vm.id === this.#self) continue;
      listed.add(vm.id);
      this.#getPeer(vm.id).listed = true;
    }
    for (const [id, peer] of this.#peers) {
      const removed = isLost(id) || (peer.listed && !listed.has(id));
      if (removed && !peer.removed) peer.removedAt = now;
      peer.removed = removed;
    }
  }

  /** Returns the other entry VMs of the zone that may still be running. */
  listMembers(): VmId[] {
    return [...this.#peers].filter(([, p]) => !p.removed).map(([id]) => id);
  }

  /**
   * Records that a VM claimed a group at the Unix time `claimedMs`. If the
   * claim is older than the maximum lag of the VM list, the VM must have been
   * listed.
   */
  recordHolder(
    id: VmId,
    { claimedMs, unixMs }: { claimedMs: number; unixMs: number },
  ): void {
    if (id === this.#self) return;
    const peer = this.#getPeer(id);
    if (unixMs - claimedMs > MAX_VM_LIST_LAG_MS) peer.listed = true;
  }

  isRemoved(id: VmId): boolean {
    return this.#peers.get(id)?.removed ?? false;
  }

  /**
   * Returns whether the last message of the peer is older than
   * `suspectAfterMs`.
   */
  isSuspected(id: VmId, now: number): boolean {
    const heard = this.#peers.get(id)?.lastMessageAt ?? -Infinity;
    const since = Math.max(heard, this.#startedAt);
    return now - since > this.#timing.suspectAfterMs;
  }

  /** Returns whether the peer sent a message within the last `heartbeatMs`. */
  hasRecentMessage(id: VmId, now: number): boolean {
    const heard = this.#peers.get(id)?.lastMessageAt ?? -Infinity;
    return now - heard < this.#timing.heartbeatMs;
  }

  isStopping(id: VmId): boolean {
    return this.#peers.get(id)?.stopping ?? false;
  }

  /**
   * Returns whether the peer is stopping and may still hand over its groups.
   */
  isHandingOver(id: VmId, now: number): boolean {
    const peer = this.#peers.get(id);
    return peer !== undefined && peer.stopping &&
      now - peer.stoppingSince < HANDOVER_GRACE_MS;
  }

  getPosition(id: VmId): number {
    return this.#peers.get(id)?.position ?? -1;
  }

  /** Returns the members that are neither suspected nor stopping. */
  listReachable(now: number): VmId[] {
    return this.listMembers()
      .filter((id) => !this.isSuspected(id, now) && !this.isStopping(id));
  }

  /**
   * Returns whether every member has answered a heartbeat that was sent within
   * the last `authorityMs`. A peer whose process started after `logReadAt` does
   * not count, because its earlier process may have claimed a group and the new
   * one does not know that. For the same reason the result is false if a peer
   * was removed after `logReadAt`, except for `predecessor`, from which the
   * caller took the group over.
   */
  hasAllReplies(
    now: number,
    { logReadAt, predecessor }: {
      logReadAt: number;
      predecessor: VmId | undefined;
    },
  ): boolean {
    return [...this.#peers].every(([id, peer]) => {
      if (peer.removed) return id === predecessor || peer.removedAt < logReadAt;
      return now - peer.answeredHeartbeatSentAt < this.#timing.authorityMs &&
        peer.latestIncarnationSince < logReadAt;
    });
  }

  /**
   * Handles a heartbeat of a peer, which replaces all permits from that peer.
   * Returns false and ignores the heartbeat if it is out of order.
   */
  handleHeartbeat(beat: Heartbeat, now: number): boolean {
    const peer = this.#getPeer(beat.from);
    if (peer.incarnation === beat.incarnation && beat.seq <= peer.lastSeq) {
      return false;
    }
    peer.incarnation = beat.incarnation;
    peer.lastSeq = beat.seq;
    this.#recordMessage(peer, beat, now);
    for (const view of beat.holds) this.recordView(view);
    for (const [group, permit] of this.#permits) {
      if (permit.from === beat.from) this.#permits.delete(group);
    }
    for (const view of beat.permits) {
      const token = Token.parse(view.token);
      if (!token) continue;
      const { from, position } = beat;
      this.#permits.set(view.group, { token, from, position });
    }
    return true;
  }

  /** Handles the reply to a heartbeat that was sent at `sentAt`. */
  handleReply(
    reply: HeartbeatReply,
    { now, sentAt }: { now: number; sentAt: number },
  ): void {
    const peer = this.#getPeer(reply.from);
    peer.answeredHeartbeatSentAt = Math.max(
      peer.answeredHeartbeatSentAt,
      sentAt,
    );
    this.#recordMessage(peer, reply, now);
    for (const view of reply.superseded) this.recordView(view);
  }

  /** Records a token of a group, unless an equal or higher one is known. */
  recordView(view: GroupView): void {
    const token = Token.parse(view.token);
    if (!token) return;
    const known = this.#views.get(view.group);
    if (known && known.token.compare(token) >= 0) return;
    this.#views.set(view.group, { token, holder: view.holder });
  }

  /** Returns the highest known token of a group and its holder. */
  getView(group: GroupId): { token: Token; holder: VmId } | undefined {
    return this.#views.get(group);
  }

  /** Returns the highest known token of each group. */
  listViews(): GroupView[] {
    return [...this.#views].map(([group, v]) => ({
      group,
      token: v.token.toString(),
      holder: v.holder,
    }));
  }

  /** Returns the permit that this router holds for the group, if any. */
  getPermit(group: GroupId): Permit | undefined {
    return this.#permits.get(group);
  }

  listPermits(from: VmId): GroupView[] {
    return [...this.#permits].filter(([, p]) => p.from === from)
      .map(([group, p]) => ({
        group,
        token: p.token.toString(),
        holder: from,
      }));
  }

  deletePermit(group: GroupId): void {
    this.#permits.delete(group);
  }

  #recordMessage(
    peer: Peer,
    message: {
      incarnation: string;
      position: number;
      logFresh: boolean;
      stopping: boolean;
    },
    now: number,
  ) {
    if (peer.latestIncarnation !== message.incarnation) {
      peer.latestIncarnation = message.incarnation;
      peer.latestIncarnationSince = now;
    }
    peer.lastMessageAt = now;
    peer.position = message.position;
    peer.logFresh = message.logFresh;
    if (message.stopping && !peer.stopping) peer.stoppingSince = now;
    peer.stopping = message.stopping;
  }

  #getPeer(id: VmId): Peer {
    let peer = this.#peers.get(id);
    if (!peer) {
      peer = {
        listed: false,
        removed: false,
        removedAt: -Infinity,
        lastMessageAt: -Infinity,
        answeredHeartbeatSentAt: -Infinity,
        incarnation: "",
        lastSeq: -1,
        latestIncarnation: "",
        latestIncarnationSince: -Infinity,
        position: -1,
        logFresh: false,
        stopping: false,
        stoppingSince: -Infinity,
      };
      this.#peers.set(id, peer);
    }
    return peer;
  }
}

/** The maximum lag of the VM list behind the actual VMs. */
const MAX_VM_LIST_LAG_MS = 60_000;
