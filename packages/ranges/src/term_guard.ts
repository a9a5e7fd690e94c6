/**
 * Decides whether a coordinator may still send grants.
 *
 * Fault pattern: a coordinator is partitioned from the store, or its process is
 * paused, and another router takes over. Both renew the same leases, which is
 * harmless, but the successor must know when a server that it cannot reach
 * receives no more renewals. A coordinator therefore stops sending grants a
 * fixed time after the store last confirmed that it has no successor, and a
 * successor waits for longer than that.
 * @module
 */
import type { LeaseTimes } from "./assignment_manager.js";

/** A coordinator sends grants for this long after its last confirmation, ms. */
export const MAX_CONFIRMATION_AGE_MS = 13_000;
/**
 * Time for which a successor assumes that an earlier coordinator may still send
 * grants, ms; longer than `MAX_CONFIRMATION_AGE_MS`.
 */
export const PREDECESSOR_TIMEOUT_MS = 15_000;
/**
 * A sent call is delivered, or its connection is reset, within this time, ms.
 */
export const MAX_CALL_DELIVERY_MS = 1_000;

/**
 * Returns the time until every lease granted so far has expired, ms. It allows
 * for slow server clocks and for calls that are still in flight.
 */
export function computeMaxLeaseMs({ holdMs, clockSkew }: LeaseTimes): number {
  return holdMs * (1 + clockSkew) + MAX_CALL_DELIVERY_MS;
}

/** Tracks when the store last confirmed that this term is the newest. */
export class TermGuard {
  #confirmedAtMs: number;
  #suspendedAtMs: number | undefined;

  private constructor(nowMs: number) {
    this.#confirmedAtMs = nowMs;
  }

  /** Starts a term; `nowMs` is the time at which its claim was sent. */
  static create(nowMs: number): TermGuard {
    return new TermGuard(nowMs);
  }

  get isSuspended(): boolean {
    return this.#suspendedAtMs !== undefined;
  }

  /**
   * Records that the store, in reply to a call sent at `sentMs`, reported no
   * successor.
   */
  confirm(sentMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentMs);
    // A reply to a call sent before the suspension says nothing about the time
    // after.
    if (sentMs >= (this.#suspendedAtMs ?? 0)) this.#suspendedAtMs = undefined;
  }

  /**
   * Suspends grants until the store confirms the term again: the process was
   * paused, or a server has seen a higher fencing token.
   */
  suspend(nowMs: number): void {
    this.#suspendedAtMs = nowMs;
  }

  mayGrant(nowMs: number): boolean {
    return !this.isSuspended &&
      nowMs - this.#confirmedAtMs < MAX_CONFIRMATION_AGE_MS;
  }
}
