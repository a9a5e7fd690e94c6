/**
 * Issues the permits for requests to cold servers, at the coordinator.
 *
 * Load pattern: with many routers, the time slots of a cold server mostly lapse
 * unused, because the router whose slot it is has no request. A permit goes to a
 * router that has one. Routers that hear from no coordinator keep their slots, so
 * the coordinator issues only what is left beside the slots of all routers that
 * have not just confirmed that they use permits.
 *
 * Times are chosen so that no second contains slots of a router and permits that
 * were issued because that router uses none, also if the coordinator changes:
 * a router that has followed a coordinator no longer confirms to an earlier one,
 * and only a coordinator that most routers confirm to issues permits.
 * @module
 */
import {
  COLD_SLOT_LIFE_MS,
  COLD_WINDOW_MS,
  type ColdBound,
  computeColdRate,
  computePoissonQuantile,
  MIN_RATE_SHARE,
} from "./cold_share.js";
import { issueTokens, type PermitGrant, type TokenBucket } from "./permits.js";

/**
 * Time from a request for permits within which they have to be used, ms. It
 * includes the time on the way, so that it also bounds the age of a permit.
 */
export const COLD_PERMIT_LIFE_MS = 300;
/** Time after a heartbeat for which a confirmation of it counts, ms. */
const CONFIRMATION_LIFE_MS = 1_200;
/**
 * Time from its first confirmation until a router counts, ms: at least the
 * window, in which it may have used slots, and the life of a confirmation, after
 * which an earlier coordinator no longer counts it.
 */
const SETTLE_MS = 1_200;
/**
 * Time after a heartbeat for which a router uses no slots, ms. Permits that were
 * issued while it counted are older than the window by then.
 */
export const PERMIT_MODE_MS = CONFIRMATION_LIFE_MS + COLD_PERMIT_LIFE_MS +
  COLD_WINDOW_MS;
/**
 * More than this part of the routers has to count: two coordinators never have
 * as many at the same time.
 */
const MAJORITY = 0.5;
/**
 * Least part of the routers that is assumed to use slots: a coordinator forgets
 * routers that are cut off from it for more than a minute.
 */
const MIN_SLOT_ROUTERS = 0.25;
/** Time for which unused permits add up, s; at least one does. */
const BURST_S = 0.1;
/** Time after which a request without permits is repeated, ms. */
const NO_PERMITS_WAIT_MS = 200;

/** Whether this router uses permits for cold servers instead of time slots. */
export class PermitMode {
  #confirmedMs = -Infinity;

  /** Records a heartbeat of a coordinator that issues permits. */
  confirm(nowMs: number): void {
    this.#confirmedMs = nowMs;
  }

  isActive(nowMs: number): boolean {
    return nowMs - this.#confirmedMs <= PERMIT_MODE_MS;
  }
}

/** A reply to a heartbeat, by a router of this or a later build. */
export interface PermitConfirmation {
  /** Time at which the heartbeat was sent, ms. */
  readonly sentMs: number;
  readonly nowMs: number;
  /** Whether the router uses permits because of this heartbeat. */
  readonly isConfirmed: boolean;
}

interface RouterState {
  /** Time at which the last heartbeat with a reply was sent, ms. */
  sentMs: number;
  /** The same for the last one that was confirmed. */
  confirmedMs: number;
  /** Time since which the router has used no slots, ms. */
  sinceMs: number;
}

/** Permits of one server, and the refused requests for them since the last. */
interface ColdBucket extends TokenBucket {
  refused: number;
}

/** Permits of one coordinator for all cold servers. */
export class ColdPermitIssuer {
  /** Routers by incarnation. */
  readonly #routers = new Map<string, RouterState>();
  readonly #buckets = new Map<string, ColdBucket>();
  /** Computed rates by bound and share; `retain` clears them. */
  readonly #rates = new Map<string, PermitRate>();

  /** Records a reply of a router that may use permits. */
  recordReply(
    incarnation: string,
    { sentMs, nowMs, isConfirmed }: PermitConfirmation,
  ): void {
    const state = this.#routers.get(incarnation) ??
      { sentMs: -Infinity, confirmedMs: -Infinity, sinceMs: Infinity };
    this.#routers.set(incarnation, state);
    state.sentMs = Math.max(state.sentMs, sentMs);
    if (!isConfirmed) return;
    // After a longer gap the router may have used slots again.
    if (nowMs > state.confirmedMs + PERMIT_MODE_MS) state.sinceMs = nowMs;
    state.confirmedMs = Math.max(state.confirmedMs, sentMs);
  }

  /** Returns whether most routers can be reached, so that permits are of use. */
  isUseful(routers: number, nowMs: number): boolean {
    const oldestMs = nowMs - CONFIRMATION_LIFE_MS;
    const reached = [...this.#routers.values()]
      .filter(({ sentMs }) => sentMs >= oldestMs);
    return reached.length > MAJORITY * routers;
  }

  /** Issues up to `count` permits for a cold server. */
  issue(
    server: string,
    { count, bound, routers, nowMs }: {
      count: number;
      bound: ColdBound;
      /** Largest number of routers in the last minute. */
      routers: number;
      nowMs: number;
    },
  ): PermitGrant {
    const share = this.#countConfirmed(nowMs) / Math.max(1, routers);
    const isPossible = share > MAJORITY && bound.requestsPerSecond > 0;
    if (!isPossible) return { granted: 0, waitMs: NO_PERMITS_WAIT_MS };
    const { rate, burst } = this.#getRate(bound, Math.min(1, share));
    // An earlier coordinator may just have issued the first permits.
    const bucket = this.#buckets.get(server) ??
      { tokens: 0, atMs: nowMs, refused: 0 };
    this.#buckets.set(server, bucket);
    const grant = issueTokens(bucket, { count, rate, burst, nowMs });
    // As many as were refused before wait for the next permits.
    const aheadMs = grant.granted > 0 ? 0 : 1000 * bucket.refused / rate;
    bucket.refused = grant.granted > 0 ? 0 : bucket.refused + 1;
    return { ...grant, waitMs: Math.ceil(grant.waitMs + aheadMs) };
  }

  /** Forgets servers and routers that are gone. */
  retain(isKnown: (server: string) => boolean, nowMs: number): void {
    for (const server of this.#buckets.keys()) {
      if (!isKnown(server)) this.#buckets.delete(server);
    }
    this.#rates.clear();
    for (const [router, { sentMs }] of this.#routers) {
      if (nowMs - sentMs > PERMIT_MODE_MS) this.#routers.delete(router);
    }
  }

  #getRate(bound: ColdBound, share: number): PermitRate {
    const { requestsPerSecond, overage, slack } = bound;
    const key = `${requestsPerSecond}/${overage}/${slack}/${share}`;
    const rate = this.#rates.get(key) ?? computePermitRate(bound, share);
    this.#rates.set(key, rate);
    return rate;
  }

  /** Counts the routers that have used no slots for a while, and use none now. */
  #countConfirmed(nowMs: number): number {
    return [...this.#routers.values()].filter(({ confirmedMs, sinceMs }) =>
      nowMs - confirmedMs <= CONFIRMATION_LIFE_MS &&
      nowMs - sinceMs >= SETTLE_MS
    ).length;
  }
}

/** Permits per second, and those that may add up. */
export interface PermitRate {
  readonly rate: number;
  readonly burst: number;
}

/**
 * Computes the permits per second and at once that keep to the bound beside the
 * slots of the other routers. `share` is that of the routers that use permits.
 */
export function computePermitRate(
  bound: ColdBound,
  share: number,
): PermitRate {
  const { requestsPerSecond, overage, slack } = bound;
  const slotShare = Math.max(MIN_SLOT_ROUTERS, 1 - share);
  const usableS = (COLD_WINDOW_MS + COLD_SLOT_LIFE_MS) / 1000;
  const slots = computePoissonQuantile(
    slotShare * computeColdRate(bound) * usableS,
  );
  const burst = Math.max(1, BURST_S * requestsPerSecond);
  const left = requestsPerSecond * overage + slack - slots - burst;
  const rate = left / ((COLD_WINDOW_MS + COLD_PERMIT_LIFE_MS) / 1000);
  // As with slots, a bound without room for a burst is not kept in each second.
  const leastRate = MIN_RATE_SHARE * requestsPerSecond * share;
  return {
    rate: Math.min(requestsPerSecond, Math.max(leastRate, rate)),
    burst,
  };
}
