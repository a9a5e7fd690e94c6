/** Tracks earlier coordinators that may still send grants. @module */
import type { OwnershipRecord, RouterRef } from "./record.js";
import { computeOutvotedMs, PREDECESSOR_TIMEOUT_MS } from "./term_guard.js";

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
  /** The last one, if it stops without a majority of its routers. */
  readonly #last: RouterRef | undefined;
  /** Nodes of the routers of its record. */
  readonly #lastRouters: ReadonlySet<string>;
  /** Those of them that have accepted this router's term. */
  readonly #followers: Set<string>;
  /** Time at which they became a majority, ms. */
  #majorityMs: number | undefined;

  private constructor(
    list: readonly Predecessor[],
    options: {
      claimedMs: number;
      self: RouterRef;
      record: OwnershipRecord | undefined;
    },
  ) {
    const { record, self, claimedMs } = options;
    this.#predecessors = list;
    this.#claimedMs = claimedMs;
    this.#last = record?.needsMajority ? record.coordinator : undefined;
    this.#lastRouters = new Set(record?.routers.map((r) => r.node));
    this.#followers = new Set();
    this.recordFollower(self, claimedMs);
  }

  /** Restores the list from the record that `self` succeeded at `claimedMs`. */
  static restore(
    record: OwnershipRecord | undefined,
    options: { self: RouterRef; claimedMs: number },
  ): Predecessors {
    const list = record ? listPredecessors(record, options.self) : [];
    return new Predecessors(list, { ...options, record });
  }

  get isEmpty(): boolean {
    return this.#predecessors.length === 0;
  }

  /** Lists those that may still send grants, with `followedMs` as of now. */
  list(nowMs: number): readonly Predecessor[] {
    const passedMs = nowMs - this.#claimedMs;
    return this.#predecessors
      .filter((p) => nowMs < this.#computeEndMs(p))
      .map(({ router, followedMs }) => ({
        router,
        followedMs: Math.floor(followedMs + passedMs),
      }))
      .filter((p) => p.followedMs < PREDECESSOR_TIMEOUT_MS);
  }

  /** Returns the time by which all of them have stopped sending grants, ms. */
  computeGrantEndMs(): number {
    const ends = this.#predecessors.map((p) => this.#computeEndMs(p));
    return Math.max(this.#claimedMs, ...ends);
  }

  /**
   * Records that a router has accepted this router's term. Another process of
   * it counts as well, because the one that the record names has ended. Returns
   * whether the last predecessor is known to stop earlier by that.
   */
  recordFollower({ node }: RouterRef, nowMs: number): boolean {
    if (this.#majorityMs !== undefined || !this.#lastRouters.has(node)) {
      return false;
    }
    this.#followers.add(node);
    if (this.#followers.size <= this.#lastRouters.size / 2) return false;
    this.#majorityMs = nowMs;
    return this.#last !== undefined;
  }

  #computeEndMs({ router, followedMs }: Predecessor): number {
    const claimedMs = this.#claimedMs;
    const timeoutMs = claimedMs +
      Math.max(0, PREDECESSOR_TIMEOUT_MS - followedMs);
    const majorityMs = this.#majorityMs;
    const isLast = router.incarnation === this.#last?.incarnation;
    if (!isLast || majorityMs === undefined) return timeoutMs;
    return Math.min(timeoutMs, computeOutvotedMs({ claimedMs, majorityMs }));
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
