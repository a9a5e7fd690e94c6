/** Identity memories of the groups that this router holds. @module */
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

const WINDOW_MS = 600_000;
const CAPACITY = 100_000;
const KEPT_BYTES = 16 * 1024;

/** Opens, hands over and answers for identity memories. */
export class Identities {
  readonly #clock: Clock;
  readonly #limits: { toleranceMs: number; clockErrorMs: number };
  readonly #memories = new Map<GroupId, IdempotencyStore>();

  constructor(
    clock: Clock,
    limits: { toleranceMs: number; clockErrorMs: number },
  ) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Opens an empty memory; identities up to `knownSinceMs` are unknown. */
  open(group: GroupId, knownSinceMs: number): void {
    this.#memories.set(
      group,
      IdempotencyStore.create(this.#makeOptions(knownSinceMs)),
    );
  }

  get(group: GroupId): IdempotencyStore | undefined {
    return this.#memories.get(group);
  }

  /** Could another holder have run an identity up to `knownSinceMs`? */
  mayPrecede(identity: string, knownSinceMs: number): boolean {
    if (knownSinceMs === 0) return false;
    const { toleranceMs, clockErrorMs } = this.#limits;
    const timeMs = parseUuid7Ms(identity) ?? 0;
    return timeMs <= knownSinceMs + toleranceMs + clockErrorMs;
  }

  /** What became of an identity; one that was not seen is barred. */
  resolve(
    group: GroupId,
    identity: string,
    knownSinceMs: number,
  ): OutcomeReply {
    const memory = this.#memories.get(group);
    if (!memory) return { state: IdentityState.Forgotten };
    const seen = memory.getState(identity) !== IdentityState.NotSeen;
    if (!seen && this.mayPrecede(identity, knownSinceMs)) {
      return { state: IdentityState.Forgotten };
    }
    return memory.resolve(identity, this.#clock.unixMs());
  }

  encode(
    group: GroupId,
  ): { identities: readonly IdentityEntry[]; knownSinceMs: number } {
    const memory = this.#memories.get(group);
    const unixMs = this.#clock.unixMs();
    if (!memory) return { identities: [], knownSinceMs: unixMs };
    const { entries, knownSinceMs } = memory.encode();
    return { identities: entries, knownSinceMs };
  }

  /** Takes over the memory that came with a handover. */
  restore(handover: Handover): void {
    const memory = IdempotencyStore.restore(
      { knownSinceMs: handover.knownSinceMs, entries: handover.identities },
      this.#makeOptions(handover.knownSinceMs),
    );
    this.#memories.set(handover.group, memory);
  }

  #makeOptions(knownSinceMs: number) {
    return {
      knownSinceMs,
      toleranceMs: this.#limits.toleranceMs,
      clockErrorMs: this.#limits.clockErrorMs,
      windowMs: WINDOW_MS,
      capacity: CAPACITY,
      keptBytes: KEPT_BYTES,
    };
  }
}
