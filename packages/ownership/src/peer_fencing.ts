/**
 * Tracks which peers are fenced off from a group and which one holds a permit.
 * @module
 */
import type { VmId } from "@jaytiller/model";

/** The permit-related part of a peer's reply to a heartbeat. */
export interface PermitReply {
  /** Whether the answered heartbeat carried a permit for this group. */
  readonly permitSent: boolean;
  /** Whether the peer holds a permit after processing the heartbeat. */
  readonly permitKept: boolean;
  /** Monotonic time, in ms, at which the answered heartbeat was sent. */
  readonly sentAt: number;
  readonly now: number;
}

/**
 * Holds the fenced peers and the permit of one token. A fenced peer can neither
 * renew leases in the group nor send requests to its servers: it has replied to
 * a heartbeat with the token and holds no permit. Times are monotonic ms.
 */
export class PeerFencing {
  /** When each fenced peer first replied under the token without a permit. */
  readonly #fencedAt = new Map<VmId, number>();
  /** Replies to heartbeats sent before this time do not fence a peer. */
  #from = -Infinity;
  #permitHolder: VmId | undefined;

  /** The peer that may hold a permit. */
  get permitHolder(): VmId | undefined {
    return this.#permitHolder;
  }

  /** Discards the permit and all fenced peers, for a new token. */
  reset(now: number): void {
    this.#permitHolder = undefined;
    this.#resetFencedPeers(now);
  }

  /** Records that a heartbeat with a permit is about to be sent to `to`. */
  recordIssuedPermit(to: VmId, now: number): void {
    this.#permitHolder = to;
    this.#resetFencedPeers(now);
  }

  /**
   * Handles a reply to a heartbeat with the current token. A reply of the
   * permit holder that shows it has no permit any more ends the permit.
   */
  handleReply(peer: VmId, reply: PermitReply): void {
    const { permitSent, permitKept, sentAt, now } = reply;
    if (permitSent || permitKept || sentAt < this.#from) return;
    if (this.#permitHolder === peer) this.reset(now);
    if (!this.#fencedAt.has(peer)) this.#fencedAt.set(peer, now);
  }

  /**
   * Returns when the last of `peers` was fenced, or `undefined` if any of them
   * is not.
   */
  getAllFencedAt(peers: readonly VmId[]): number | undefined {
    let latest = -Infinity;
    for (const id of peers) {
      const at = this.#fencedAt.get(id);
      if (at === undefined) return undefined;
      latest = Math.max(latest, at);
    }
    return latest;
  }

  /**
   * Discards all fenced peers and ignores replies to heartbeats sent before
   * `now`. Such replies may still arrive, and a standby that used its permit
   * may have issued a permit to another peer in the meantime.
   */
  #resetFencedPeers(now: number) {
    this.#fencedAt.clear();
    this.#from = now;
  }
}
