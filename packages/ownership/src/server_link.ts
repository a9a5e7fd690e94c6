/** Tracks the grants and the liveness of one backend server. @module */
import type {
  GrantReply,
  GrantRequest,
  GroupId,
  LeaseBasis,
  UnitId,
  VmId,
} from "@jaytiller/model";
import { Token } from "@jaytiller/model";
import type { Timing } from "./timing.js";

/** The outcome of a grant, derived from the server's reply. */
export enum GrantOutcome {
  Accepted = "accepted",
  /** The server process has restarted, without leases and running requests. */
  Restarted = "restarted",
  /** The server has accepted a higher token. */
  Superseded = "superseded",
  /** The reply belongs to an older request, or the request was stale. */
  Stale = "stale",
}

/**
 * Tracks grants, leases and liveness of one server under one holder token.
 * Times are monotonic ms.
 */
export class ServerLink {
  readonly id: VmId;
  url: string;
  readonly #timing: Timing;
  #seq = 0;
  #outstanding: GrantRequest | undefined;
  #lastSentAt = -Infinity;
  #lastReplyAt = -Infinity;
  /** Start of the current period without a suspicion. */
  #answeringSince = Infinity;
  #basis: LeaseBasis | null = null;
  #granted: ReadonlySet<UnitId> = new Set();
  /**
   * The list that `#granted` was made from, to skip comparing the same list.
   */
  #grantedList: readonly UnitId[] | undefined;
  /**
   * The acknowledged units and those of all requests since. The server may hold
   * any of them, because a request without a reply may have been processed.
   */
  #possiblyGranted: ReadonlySet<UnitId> = new Set();
  #busy: ReadonlySet<UnitId> = new Set();
  #leaseEndsAt = -Infinity;
  #hasAcceptedToken = false;
  #draining = false;
  #load = 0;
  /** When the holder created the link. */
  readonly #since: number;

  constructor(
    options: { id: VmId; url: string; timing: Timing; now: number },
  ) {
    this.id = options.id;
    this.url = options.url;
    this.#timing = options.timing;
    this.#since = options.now;
  }

  /** Whether the server has accepted the holder's token. */
  get hasAcceptedToken(): boolean {
    return this.#hasAcceptedToken;
  }

  get draining(): boolean {
    return this.#draining;
  }

  get load(): number {
    return this.#load;
  }

  get incarnation(): string | undefined {
    return this.#basis?.incarnation;
  }

  get lastReplyAt(): number {
    return this.#lastReplyAt;
  }

  get granted(): ReadonlySet<UnitId> {
    return this.#granted;
  }

  /**
   * Returns whether the server has acknowledged the unit and its lease is still
   * valid by the holder's clock.
   */
  isServing(unit: UnitId, now: number): boolean {
    return this.#hasAcceptedToken && now < this.#leaseEndsAt &&
      this.#granted.has(unit);
  }

  /**
   * Monotonic time, in ms, since when the server has answered without being
   * suspected; `Infinity` before its first answer.
   */
  get answeringSince(): number {
    return this.#answeringSince;
  }

  /** Returns whether the last reply is older than `suspectAfterMs`. */
  isSuspected(now: number): boolean {
    const since = Math.max(this.#since, this.#lastReplyAt);
    return now - since > this.#timing.suspectAfterMs;
  }

  /**
   * Monotonic time, in ms, after which all leases granted by this holder have
   * expired. A lease starts at a clock reading from an earlier reply, so the
   * time of the last reply is an upper bound for the start of each lease.
   */
  get allLeasesExpireAt(): number {
    const lastContactAt = Math.max(this.#lastReplyAt, this.#since);
    return lastContactAt + this.#timing.leaseMs + this.#timing.leaseMarginMs;
  }

  /**
   * Returns whether the server has acknowledged a grant without the unit and
   * runs no requests for it.
   */
  hasReleased(unit: UnitId): boolean {
    return this.#hasAcceptedToken && !this.#possiblyGranted.has(unit) &&
      !this.#busy.has(unit);
  }

  /**
   * Returns whether the server reported running requests for the unit,
   * including those sent by an earlier holder.
   */
  isBusy(unit: UnitId): boolean {
    return this.#busy.has(unit);
  }

  /**
   * Returns whether the server still runs requests for the unit although the
   * holder has not granted it since.
   */
  hasUngrantedRequests(unit: UnitId): boolean {
    return this.#busy.has(unit) && !this.#possiblyGranted.has(unit);
  }

  /**
   * Returns whether a grant has to be sent, because `renewMs` have passed or
   * because `units` differ from the granted units. No grant is due while
   * another one is outstanding.
   */
  isDue(units: readonly UnitId[], now: number): boolean {
    if (this.#outstanding) return false;
    if (now - this.#lastSentAt >= this.#timing.renewMs) return true;
    if (!this.#hasAcceptedToken || units === this.#grantedList) return false;
    return units.length !== this.#granted.size ||
      units.some((u) => !this.#granted.has(u));
  }

  /** Returns the next grant request and records it as outstanding. */
  makeGrant(
    { group, holder, token, units, now }: {
      group: GroupId;
      holder: VmId;
      token: Token;
      units: readonly UnitId[];
      now: number;
    },
  ): GrantRequest {
    this.#seq += 1;
    this.#lastSentAt = now;
    this.#outstanding = {
      group,
      holder,
      token: token.toString(),
      seq: this.#seq,
      leaseMs: this.#timing.leaseMs,
      basis: this.#basis,
      units,
    };
    this.#possiblyGranted = new Set([
      ...this.#possiblyGranted,
      ...this.#outstanding.units,
    ]);
    return this.#outstanding;
  }

  handleReply(reply: GrantReply, seq: number, now: number): GrantOutcome {
    const request = this.#outstanding;
    if (!request || request.seq !== seq) return GrantOutcome.Stale;
    this.#outstanding = undefined;
    if (!reply.accepted) {
      const higher = Token.parse(reply.token);
      const own = Token.parse(request.token)!;
      if (higher && higher.compare(own) > 0) return GrantOutcome.Superseded;
      // The server may have seen higher sequence numbers under this token: they
      // start from zero again when the holder's process restarts.
      this.#seq = Math.max(this.#seq, reply.seq);
      return GrantOutcome.Stale;
    }
    const before = this.#basis;
    const restarted = before !== null &&
      before.incarnation !== reply.incarnation;
    const resumed = !this.#hasAcceptedToken || this.isSuspected(now);
    if (resumed) this.#answeringSince = now;
    this.#hasAcceptedToken = true;
    this.#lastReplyAt = now;
    this.#draining = reply.draining;
    this.#load = reply.load;
    this.#busy = new Set(reply.busyUnits);
    this.#granted = new Set(restarted ? [] : request.units);
    this.#grantedList = restarted ? undefined : request.units;
    this.#possiblyGranted = this.#granted;
    if (request.basis && !restarted && before) {
      const basisAgeMs = reply.atMs - request.basis.atMs;
      this.#leaseEndsAt = now + this.#timing.leaseMs - basisAgeMs -
        this.#timing.leaseMarginMs;
    } else {
      this.#leaseEndsAt = -Infinity;
    }
    this.#basis = { incarnation: reply.incarnation, atMs: reply.atMs };
    // A grant without a basis starts no lease, so the next grant is due at
    // once.
    if (!request.basis || restarted) this.#lastSentAt = -Infinity;
    return restarted ? GrantOutcome.Restarted : GrantOutcome.Accepted;
  }

  handleFailure(seq: number): void {
    if (this.#outstanding?.seq === seq) this.#outstanding = undefined;
  }
}
