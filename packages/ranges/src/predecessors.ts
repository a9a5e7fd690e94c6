/** Earlier coordinators that may still send grants. @module */
import type { OwnershipRecord, RouterRef } from "./record.js";
import { PREDECESSOR_LIMIT_MS } from "./term_guard.js";

/** An earlier coordinator, as a record names it. */
export interface Predecessor {
  readonly router: RouterRef;
  /** Time since another router followed it, at least, ms. */
  readonly followedMs: number;
}

/**
 * Those that are not known to have ended. Each ends by itself some time after
 * it was followed: that time is kept in the record, so that a series of
 * coordinators does not count it anew each time.
 */
export class Predecessors {
  readonly #claimedMs: number;
  #list: readonly Predecessor[];

  private constructor(list: readonly Predecessor[], claimedMs: number) {
    this.#list = list;
    this.#claimedMs = claimedMs;
  }

  /** Continues from the record that `self` has followed at `claimedMs`. */
  static restore(
    record: OwnershipRecord | undefined,
    options: { self: RouterRef; claimedMs: number },
  ): Predecessors {
    const list = record ? listPredecessors(record, options.self) : [];
    return new Predecessors(list, options.claimedMs);
  }

  get isEmpty(): boolean {
    return this.#list.length === 0;
  }

  /** Those that may still send grants, with their times as of now. */
  list(nowMs: number): readonly Predecessor[] {
    const passedMs = nowMs - this.#claimedMs;
    return this.#list
      .map(({ router, followedMs }) => ({
        router,
        followedMs: Math.floor(followedMs + passedMs),
      }))
      .filter((p) => p.followedMs < PREDECESSOR_LIMIT_MS);
  }

  /** Time by which the last of them has sent its last grant, ms. */
  computeEnd(): number {
    const leastMs = Math.min(...this.#list.map((p) => p.followedMs));
    return this.isEmpty
      ? this.#claimedMs
      : this.#claimedMs + Math.max(0, PREDECESSOR_LIMIT_MS - leastMs);
  }

  /** Forgets those that have certainly ended; returns whether any were. */
  clear(hasEnded: (router: RouterRef) => boolean): boolean {
    const before = this.#list.length;
    this.#list = this.#list.filter((p) => !hasEnded(p.router));
    return this.#list.length < before;
  }
}

/** Predecessors of the router that follows a record. */
export function listPredecessors(
  record: OwnershipRecord,
  self: RouterRef,
): readonly Predecessor[] {
  const last = record.resigned
    ? []
    : [{ router: record.coordinator, followedMs: 0 }];
  return [...record.predecessors, ...last]
    .filter((p) => p.router.node !== self.node);
}
