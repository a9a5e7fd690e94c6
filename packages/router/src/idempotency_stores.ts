/** Idempotency stores of the groups that this router holds. @module */
import { IdempotencyStore } from "@jaytiller/identity";
import {
  type GroupId,
  type Handover,
  type IdentityEntry,
  IdentityState,
  type OutcomeReply,
  parseUuid7Ms,
} from "@jaytiller/model";
import type { Clock } from "./clock.js";

/** An identity is retained for this time after its last change. */
const RETENTION_MS = 600_000;
const MAX_IDENTITIES = 100_000;
/** Largest response body that is stored for replay. */
const MAX_STORED_BODY_BYTES = 16 * 1024;

/** Creates, hands over and queries the idempotency store of each group. */
export class IdempotencyStores {
  readonly #clock: Clock;
  readonly #limits: { toleranceMs: number; clockErrorMs: number };
  readonly #stores = new Map<GroupId, IdempotencyStore>();

  constructor(
    clock: Clock,
    limits: { toleranceMs: number; clockErrorMs: number },
  ) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Creates an empty store that knows no identity up to `knownSinceMs`. */
  open(group: GroupId, knownSinceMs: number): void {
    this.#stores.set(
      group,
      IdempotencyStore.create(this.#makeOptions(knownSinceMs)),
    );
  }

  get(group: GroupId): IdempotencyStore | undefined {
    return this.#stores.get(group);
  }

  /**
   * Returns whether an earlier holder may have executed the request, because
   * its identity is not clearly later than `knownSinceMs` (unix ms; 0 if there
   * was no earlier holder).
   */
  isPossiblyExecutedElsewhere(identity: string, knownSinceMs: number): boolean {
    if (knownSinceMs === 0) return false;
    const { toleranceMs, clockErrorMs } = this.#limits;
    const timeMs = parseUuid7Ms(identity) ?? 0;
    return timeMs <= knownSinceMs + toleranceMs + clockErrorMs;
  }

  /** Returns the outcome of an identity, and bars one that was not seen. */
  resolve(
    group: GroupId,
    identity: string,
    knownSinceMs: number,
  ): OutcomeReply {
    const store = this.#stores.get(group);
    if (!store) return { state: IdentityState.Forgotten };
    const seen = store.getState(identity) !== IdentityState.NotSeen;
    if (!seen && this.isPossiblyExecutedElsewhere(identity, knownSinceMs)) {
      return { state: IdentityState.Forgotten };
    }
    return store.resolve(identity, this.#clock.unixMs());
  }

  /** Returns the part of a handover that holds a group's identities. */
  encode(
    group: GroupId,
  ): { identities: readonly IdentityEntry[]; knownSinceMs: number } {
    const store = this.#stores.get(group);
    const unixMs = this.#clock.unixMs();
    if (!store) return { identities: [], knownSinceMs: unixMs };
    const { entries, knownSinceMs } = store.encode();
    return { identities: entries, knownSinceMs };
  }

  /** Restores the store that a handover contains. */
  restore(handover: Handover): void {
    const store = IdempotencyStore.restore(
      { knownSinceMs: handover.knownSinceMs, entries: handover.identities },
      this.#makeOptions(handover.knownSinceMs),
    );
    this.#stores.set(handover.group, store);
  }

  #makeOptions(knownSinceMs: number) {
    return {
      knownSinceMs,
      toleranceMs: this.#limits.toleranceMs,
      clockErrorMs: this.#limits.clockErrorMs,
      windowMs: RETENTION_MS,
      capacity: MAX_IDENTITIES,
      keptBytes: MAX_STORED_BODY_BYTES,
    };
  }
}
