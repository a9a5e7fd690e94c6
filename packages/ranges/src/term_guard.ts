/**
 * Decides whether a coordinator may still send grants.
 *
 * Fault pattern: a coordinator is cut off from the store, or stands still, and
 * another one takes over meanwhile. Both renew the same leases, which does no
 * harm; but the successor has to know when a server that it cannot reach is
 * not renewed any more. So a coordinator stops by itself some time after the
 * last proof that nobody has followed it, and a successor waits for longer.
 * @module
 */
import type { LeaseTimes } from "./range_keeper.js";

/** A coordinator sends grants for this long after its last proof, ms. */
export const UNPROVED_LIMIT_MS = 13_000;
/** Successors assume that an earlier coordinator sends for this long, ms. */
export const PREDECESSOR_LIMIT_MS = 15_000;
/** A call that was sent arrives, or is reset, within this time, ms. */
export const CALL_FLIGHT_MS = 1_000;

/** Time within which leases end that are given up to now, ms from now. */
export function computeLeaseEnd({ holdMs, clockSkew }: LeaseTimes): number {
  return holdMs * (1 + clockSkew) + CALL_FLIGHT_MS;
}

/** Age of the proof that a term is the newest. */
export class TermGuard {
  #provedAt: number;
  #doubtedAt: number | undefined;

  private constructor(nowMs: number) {
    this.#provedAt = nowMs;
  }

  /** `nowMs`: when the claim was sent that began the term. */
  static create(nowMs: number): TermGuard {
    return new TermGuard(nowMs);
  }

  get isInDoubt(): boolean {
    return this.#doubtedAt !== undefined;
  }

  /** The store has answered a call sent at `sentMs`: nobody has followed. */
  prove(sentMs: number): void {
    this.#provedAt = Math.max(this.#provedAt, sentMs);
    // An answer to a call from before says nothing about the time since.
    if (sentMs >= (this.#doubtedAt ?? 0)) this.#doubtedAt = undefined;
  }

  /** The process stood still, or a server knows a higher fencing token. */
  doubt(nowMs: number): void {
    this.#doubtedAt = nowMs;
  }

  mayGrant(nowMs: number): boolean {
    return !this.isInDoubt && nowMs - this.#provedAt < UNPROVED_LIMIT_MS;
  }
}
