/** Admission shares as a router received them. @module */
import { findShare, type PriorityShare } from "./priority_shares.js";

/** Shares of the requests for a resource. */
export interface ReceivedShare {
  /** Share of all requests. */
  readonly share: number;
  /** Shares by priority, most urgent first; absent if only `share` is known. */
  readonly shares?: readonly PriorityShare[];
  /** Time since they were computed, ms; absent from older builds. */
  readonly ageMs?: number;
}

/** Age from which shares no longer apply, ms. */
const MAX_AGE_MS = 2_000;

interface KnownShare extends ReceivedShare {
  readonly computedMs: number;
}

/** The newest shares of servers and services. */
export class AdmissionShares {
  readonly #known = new Map<string, KnownShare>();
  #mergedMs = -Infinity;

  /**
   * Adds shares that were received at `nowMs`. Others stay until they are too
   * old, because a message holds only what has to be told again.
   */
  merge(
    received: Iterable<readonly [resource: string, share: ReceivedShare]>,
    nowMs: number,
  ): void {
    this.#mergedMs = nowMs;
    for (const [resource, { computedMs }] of this.#known) {
      if (nowMs - computedMs > MAX_AGE_MS) this.#known.delete(resource);
    }
    for (const [resource, share] of received) {
      const computedMs = nowMs - Math.max(0, share.ageMs ?? 0);
      const known = this.#known.get(resource);
      if (known && known.computedMs > computedMs) continue;
      this.#known.set(resource, { ...share, computedMs });
    }
  }

  /** Replaces all shares with those computed at `nowMs`. */
  replace(
    received: Iterable<readonly [resource: string, share: ReceivedShare]>,
    nowMs: number,
  ): void {
    this.#known.clear();
    this.merge(received, nowMs);
  }

  /** Lists the resources whose shares apply. */
  list(nowMs: number): readonly string[] {
    return [...this.#known]
      .filter(([, { computedMs }]) => nowMs - computedMs <= MAX_AGE_MS)
      .map(([resource]) => resource);
  }

  /** Returns whether some requests for a resource are not admitted. */
  isShort(resource: string, nowMs: number): boolean {
    const known = this.#known.get(resource);
    if (!known || nowMs - known.computedMs > MAX_AGE_MS) return false;
    const { share, shares = [] } = known;
    return share < 1 || shares.some(([, part]) => part < 1);
  }

  /**
   * Returns whether the coordinator finds that a resource is not near overload:
   * it has sent shares lately, and none for the resource.
   */
  hasRoom(resource: string, nowMs: number): boolean {
    return nowMs - this.#mergedMs <= MAX_AGE_MS &&
      this.getAgeMs(resource, nowMs) === undefined;
  }

  /** Time since a share that applies was computed, ms; absent without one. */
  getAgeMs(resource: string, nowMs: number): number | undefined {
    const known = this.#known.get(resource);
    if (!known || nowMs - known.computedMs > MAX_AGE_MS) return undefined;
    return nowMs - known.computedMs;
  }

  /** Returns the share of the requests for a resource that is admitted. */
  get(resource: string, priority: number, nowMs: number): number {
    const known = this.#known.get(resource);
    if (!known || nowMs - known.computedMs > MAX_AGE_MS) return 1;
    const { share, shares } = known;
    return shares && shares.length > 0 ? findShare(shares, priority) : share;
  }
}
