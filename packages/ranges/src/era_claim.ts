/**
 * Decides what a coordinator may do after the store was restored from an older
 * copy.
 *
 * Fault pattern: the records of the lost seconds may have named another
 * coordinator, and owners that no remaining record names. Their leases go on.
 * @module
 */
import type { OwnershipRecord, RouterRef } from "./record.js";
import { computeOutvotedMs, PREDECESSOR_TIMEOUT_MS } from "./term_guard.js";

/** The newest record as a coordinator sees it that may claim again. */
export interface NewestWriter {
  readonly incarnation: string | undefined;
  /** Era in which the record was written. */
  readonly era: number;
}

/** What a coordinator does after it has noticed a new era. */
export enum EraStep {
  /** Its routers have not confirmed its term since. */
  Wait = "wait",
  /** Append the whole record as a claim of the new era. */
  Claim = "claim",
  /** Another router has claimed in the new era. */
  End = "end",
}

/**
 * Decides the next step of a coordinator whose term is of an earlier era. Its
 * memory is complete only if no other router succeeded it in the lost seconds.
 * A majority of its routers has to have accepted its term since it noticed the
 * new era: after that no other term can get a majority of them.
 */
export function decideEraStep(input: {
  readonly self: RouterRef;
  readonly newest: NewestWriter | undefined;
  /** Era of the store. */
  readonly era: number;
  /** Time of the last acceptance by a majority, ms. */
  readonly majorityMs: number;
  /** Time at which the coordinator noticed the era, ms. */
  readonly noticedMs: number;
}): EraStep {
  const { self, newest, era, majorityMs, noticedMs } = input;
  // A record of an earlier era is part of the copy, or arrived late: its
  // writer did not know this era and takes no such append as its own.
  const isClaimed = newest !== undefined && newest.era >= era &&
    newest.incarnation !== self.incarnation;
  if (isClaimed) return EraStep.End;
  return majorityMs < noticedMs ? EraStep.Wait : EraStep.Claim;
}

/**
 * Returns how long ago the claim was that began the wait for leases of which
 * only lost records knew, ms, or `undefined` if there are none. The router that
 * claims from the record continues that wait; it begins with each new era.
 */
export function getIncompleteMs(
  record: OwnershipRecord | undefined,
  { era, isFirstStart = false }: { era: number; isFirstStart?: boolean },
): number | undefined {
  // A store that was restored before the first start has lost no records.
  if (!record && isFirstStart) return undefined;
  if ((record?.era ?? 0) < era) return 0;
  return record?.incompleteMs;
}

/** What a coordinator withholds because of lost records. */
export enum Withheld {
  Nothing = "nothing",
  /** Leases are renewed, but no key gets another owner. */
  Changes = "changes",
  /** No lease calls are sent at all. */
  Grants = "grants",
}

/**
 * Withholds grants until all leases have ended that lost records may have
 * announced. After that, every owner gets its ranges under a token of the new
 * era, because a server may have seen a token that no remaining record names.
 */
export class GrantHold {
  #withheld = Withheld.Nothing;
  #sinceMs = -Infinity;
  #majorityMs = Infinity;
  readonly #maxLeaseMs: number;

  /** `maxLeaseMs` is the time until all leases granted so far have ended. */
  constructor(maxLeaseMs: number) {
    this.#maxLeaseMs = maxLeaseMs;
  }

  /**
   * Begins to withhold; `sinceMs` is the time of the claim that began the wait.
   * A hold of all grants is never reduced to one of changes.
   */
  begin(withheld: Withheld.Changes | Withheld.Grants, sinceMs: number): void {
    if (this.#withheld !== Withheld.Grants) this.#withheld = withheld;
    this.#sinceMs = sinceMs;
    this.#majorityMs = Infinity;
  }

  /** Records that a majority has accepted the new term by `majorityMs`. */
  recordMajority(majorityMs: number): void {
    if (majorityMs < this.#sinceMs) return;
    this.#majorityMs = Math.min(this.#majorityMs, majorityMs);
  }

  /** Returns whether records may lack grants of which leases remain. */
  isActive(nowMs: number): boolean {
    return this.#withheld !== Withheld.Nothing && nowMs < this.#computeEndMs();
  }

  /** Returns what is withheld until the tokens have been renewed. */
  get withheld(): Withheld {
    return this.#withheld;
  }

  /** Returns whether all ranges have to get new tokens now. */
  isTokenRenewalDue(nowMs: number): boolean {
    return this.#withheld !== Withheld.Nothing && !this.isActive(nowMs);
  }

  /**
   * Returns the time since the claim that began the wait, for the record, ms;
   * absent if nothing is withheld. Without new tokens, servers may refuse the
   * grants of a successor, so that the wait lasts until they are stored.
   */
  getElapsedMs(nowMs: number): number | undefined {
    if (this.#withheld === Withheld.Nothing) return undefined;
    return Math.floor(nowMs - this.#sinceMs);
  }

  /** Ends the hold once the record with the new tokens is stored. */
  end(): void {
    this.#withheld = Withheld.Nothing;
  }

  /**
   * Returns when all lost leases have ended. A coordinator with its memory and
   * a majority needs to wait only for one that briefly succeeded it. Without
   * that memory, the routers of the lost coordinators are not known, so that no
   * majority counts.
   */
  #computeEndMs(): number {
    const claimedMs = this.#sinceMs;
    const timeoutMs = claimedMs + PREDECESSOR_TIMEOUT_MS;
    const endMs = this.#withheld === Withheld.Changes
      ? Math.min(
        timeoutMs,
        computeOutvotedMs({ claimedMs, majorityMs: this.#majorityMs }),
      )
      : timeoutMs;
    return endMs + this.#maxLeaseMs;
  }
}
