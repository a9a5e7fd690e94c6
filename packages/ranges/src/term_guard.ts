/**
 * Decides whether a coordinator may still send grants.
 *
 * Fault pattern: a coordinator is partitioned from the store, or its process is
 * paused, and another router takes over. Both renew the same leases, which is
 * harmless, but the successor must know when a server that it cannot reach
 * receives no more renewals. A coordinator therefore stops sending grants a
 * fixed time after the store last confirmed that it has no successor. Unless
 * the store has done so just now, a majority of the routers must also have
 * accepted its term lately. A successor waits for longer than that: until the
 * majority has accepted its own term, or for the fixed time.
 * @module
 */
import type { LeaseTimes } from "./assignment_manager.js";
import type { RouterRef } from "./record.js";
import { TermWitnesses } from "./term_witnesses.js";

/** A coordinator sends grants for this long after its last confirmation, ms. */
export const MAX_CONFIRMATION_AGE_MS = 13_000;
/** Age of a confirmation up to which no majority is needed, ms. */
const MAX_SOLE_CONFIRMATION_AGE_MS = 1_500;
/** Age of a majority's acceptance up to which it counts, ms. */
const MAX_MAJORITY_AGE_MS = 2_000;
/** Age of a majority's acceptance from which the store is asked, ms. */
const UNCERTAIN_MAJORITY_AGE_MS = 900;
/** Allowance for timers and clocks of different routers, ms. */
const TIMING_MARGIN_MS = 500;
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

/**
 * Returns the time by which a predecessor has stopped sending grants, ms, if
 * it was succeeded at `claimedMs` and a majority of the routers of its last
 * record has accepted the successor's term at `majorityMs`.
 */
export function computeOutvotedMs(
  { claimedMs, majorityMs }: { claimedMs: number; majorityMs: number },
): number {
  return TIMING_MARGIN_MS + Math.max(
    claimedMs + MAX_SOLE_CONFIRMATION_AGE_MS,
    majorityMs + MAX_MAJORITY_AGE_MS,
  );
}

/** Tracks the evidence that this term is the newest. */
export class TermGuard {
  readonly #witnesses: TermWitnesses;
  #confirmedAtMs: number;
  #suspendedAtMs: number | undefined;

  private constructor(nowMs: number, witnesses: TermWitnesses) {
    this.#confirmedAtMs = nowMs;
    this.#witnesses = witnesses;
  }

  /**
   * Starts a term; `nowMs` is the time at which its claim was sent, `routers`
   * are those of its record.
   */
  static create(
    nowMs: number,
    options: { self: RouterRef; routers: readonly RouterRef[] },
  ): TermGuard {
    const witnesses = new TermWitnesses(options.self, options.routers);
    return new TermGuard(nowMs, witnesses);
  }

  get witnesses(): TermWitnesses {
    return this.#witnesses;
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
    if (this.isSuspended) return false;
    const ageMs = nowMs - this.#confirmedAtMs;
    if (ageMs < MAX_SOLE_CONFIRMATION_AGE_MS) return true;
    return ageMs < MAX_CONFIRMATION_AGE_MS &&
      this.#getMajorityAgeMs(nowMs) < MAX_MAJORITY_AGE_MS;
  }

  /** Returns whether the store has to confirm the term at short intervals. */
  isMajorityUncertain(nowMs: number): boolean {
    return this.#getMajorityAgeMs(nowMs) > UNCERTAIN_MAJORITY_AGE_MS;
  }

  #getMajorityAgeMs(nowMs: number): number {
    return nowMs - this.#witnesses.getMajorityMs();
  }
}
