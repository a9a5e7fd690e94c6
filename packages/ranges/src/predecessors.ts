/** Tracks earlier coordinators that may still send grants. @module */
import type { OwnershipRecord, RouterRef } from "./record.js";
import { PREDECESSOR_TIMEOUT_MS } from "./term_guard.js";

/** An earlier coordinator, as stored in a record. */
export interface Predecessor {
  readonly router: RouterRef;
  /** Minimum time since another router succeeded it, ms. */
  readonly followedMs: number;
}

/**
 * Earlier coordinators that are not known to have stopped. Each stops on its
 * own a fixed time after another router succeeded it. The elapsed time is
 * stored in the record, so that it does not start again with each new
 * coordinator.
 */
export class Predecessors {
  readonly #claimedMs: number;
  #predecessors: readonly Predecessor[];

  private constructor(list: readonly Predecessor[], claimedMs: number) {
    this.#predecessors = list;
    this.#claimedMs = claimedMs;
  }

  /** Restores the list from the record that `self` succeeded at `claimedMs`. */
  static restore(
    record: OwnershipRecord | undefined,
    options: { self: RouterRef; claimedMs: number },
  ): Predecessors {
    const list = record ? listPredecessors(record, options.self) : [];
    return new Predecessors(list, options.claimedMs);
  }

  get isEmpty(): boolean {
    return this.#predecessors.length === 0;
  }

  /** Lists those that may still send grants, with `followedMs` as of now. */
  list(nowMs: number): readonly Predecessor[] {
    const passedMs = nowMs - this.#claimedMs;
    return this.#predecessors
      .map(({ router, followedMs }) => ({
        router,
        followedMs: Math.floor(followedMs + passedMs),
      }))
      .filter((p) => p.followedMs < PREDECESSOR_TIMEOUT_MS);
  }

  /** Returns the time by which all of them have stopped sending grants, ms. */
  computeGrantEndMs(): number {
    const latestFollowedMs = Math.min(
      ...this.#predecessors.map((p) => p.followedMs),
    );
    return this.isEmpty ? this.#claimedMs : this.#claimedMs +
      Math.max(0, PREDECESSOR_TIMEOUT_MS - latestFollowedMs);
  }

  /**
   * Removes those that are certain to have stopped; returns whether any were.
   */
  clear(hasEnded: (router: RouterRef) => boolean): boolean {
    const before = this.#predecessors.length;
    this.#predecessors = this.#predecessors.filter((p) => !hasEnded(p.router));
    return this.#predecessors.length < before;
  }
}

/**
 * Lists the predecessors of a router that succeeds the writer of a record. A
 * coordinator that has resigned is not among them.
 */
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
