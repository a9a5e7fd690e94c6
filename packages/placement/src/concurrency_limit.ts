/**
 * Limits one router's requests in flight at one server.
 *
 * Load pattern: many routers send more requests for one server than it can
 * process, for example because one of its keys is hot. No router knows of the
 * others' requests. Without a common limit they fill the server's queue, and
 * each response arrives late or not at all although the server is never idle.
 * Each router starts with its share of the requests that the server can hold,
 * and follows the occupancy that the server reports.
 * @module
 */

/** Occupancy that a server reports with a response. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the machine now, as a multiple of the usual time.
   * Absent if the server does not report it.
   */
  readonly pace?: number;
}

/** What the end of an exchange tells about the occupancy of the server. */
export interface OccupancyEvidence {
  readonly nowMs: number;
  /** Time since the request was sent, ms. */
  readonly latencyMs: number;
  /** Time that a request takes without queueing, ms. */
  readonly serviceMs: number;
  /** See `computeShare`. */
  readonly share: number;
  /** See `computeRequestsPerSlot`. */
  readonly requestsPerSlot: number;
}

/**
 * Least number of requests at a server for each of its slots: enough to keep all
 * slots busy, but few enough that a request waits for less than the time of one
 * other.
 */
const REQUESTS_PER_SLOT = 1.5;
/**
 * Largest number of requests at a server for each of its slots. It holds 4, and
 * requests of other routers are on their way.
 */
const MAX_REQUESTS_PER_SLOT = 3;
/** Part of the target within which a response should arrive. */
const MAX_TARGET_SHARE = 0.8;
/**
 * Requests that a server holds for each of its slots. Before anything is known
 * of it, a router starts with its part of them: a server queues a few requests,
 * and most routers have none for it at first.
 */
export const REQUESTS_PER_SLOT_HELD = 4;
/** Largest limit before anything is known about the server. */
const MAX_INITIAL_LIMIT = 4;
const MAX_LIMIT = 24;
/** Increase after a response of a server that can hold more requests. */
const INCREASE = 0.3;
/** Least factor by which the limit is reduced at once. */
const MIN_REDUCTION = 0.5;
/** Longest pause between two requests while the limit is below one, ms. */
const MAX_PAUSE_MS = 3_000;
/** Age from which a limit below one no longer applies, ms. */
const MAX_EVIDENCE_AGE_MS = 4_000;

/** Returns the requests at a server that fall to one router; may be below 1. */
export function computeShare(options: {
  slots: number;
  routers: number;
}): number {
  return REQUESTS_PER_SLOT * options.slots / Math.max(1, options.routers);
}

/**
 * Returns the number of requests at a server for each of its slots that are all
 * answered in time: a burst may wait as long as callers accept. `serviceMs` is
 * the time of one request without queueing, `targetMs` the latency within which
 * its response has its full value; the least number applies if one is unknown.
 */
export function computeRequestsPerSlot(options: {
  serviceMs: number | undefined;
  targetMs: number | undefined;
}): number {
  const { serviceMs, targetMs } = options;
  if (serviceMs === undefined || targetMs === undefined) {
    return REQUESTS_PER_SLOT;
  }
  const inTime = MAX_TARGET_SHARE * targetMs / Math.max(1, serviceMs);
  return Math.min(MAX_REQUESTS_PER_SLOT, Math.max(REQUESTS_PER_SLOT, inTime));
}

/** Additive increase, multiplicative decrease by the reported occupancy. */
export class ConcurrencyLimit {
  /** Absent until there is evidence. */
  #limit: number | undefined;
  #reducedAtMs = -Infinity;
  #evidenceAtMs = -Infinity;
  #resumeAtMs = -Infinity;

  /** Returns the limit; below 1, requests are sent one by one with pauses. */
  get(nowMs: number, share: number): number {
    const limit = this.#limit ?? computeInitialLimit(share);
    const isOld = nowMs - this.#evidenceAtMs > MAX_EVIDENCE_AGE_MS;
    return isOld ? Math.max(1, limit) : limit;
  }

  /** Returns whether one more request may be sent. */
  hasRoom(inFlight: number, options: { nowMs: number; share: number }) {
    const limit = this.get(options.nowMs, options.share);
    if (limit >= 1) return inFlight < Math.floor(limit);
    return inFlight === 0 && options.nowMs >= this.#resumeAtMs;
  }

  /** Time since the last evidence, ms; `Infinity` without any. */
  getEvidenceAgeMs(nowMs: number): number {
    return nowMs - this.#evidenceAtMs;
  }

  /** Time until the next request while the limit is below one, ms. */
  getResumeDelayMs(nowMs: number): number {
    return Math.max(0, this.#resumeAtMs - nowMs);
  }

  /** Records a response; `inFlight` counts its request. */
  recordResponse(
    evidence: OccupancyEvidence,
    { load, inFlight }: { load: ServerLoad | undefined; inFlight: number },
  ): void {
    const { nowMs, share, requestsPerSlot } = evidence;
    const limit = this.get(nowMs, share);
    if (load && hasExcess(load, requestsPerSlot)) {
      const bearable = requestsPerSlot * load.slots;
      this.#reduce(evidence, bearable / computeOccupancy(load));
    } else if (inFlight >= Math.floor(limit)) {
      this.#limit = Math.min(MAX_LIMIT, limit + INCREASE);
    }
    this.#schedule(evidence);
  }

  /**
   * Records that the server rejected a request, or sent no response when due.
   * A server that reports room does so for another reason. `load` is its last
   * report, if there is a recent one.
   */
  recordFull(evidence: OccupancyEvidence, load: ServerLoad | undefined): void {
    const isFull = !load || hasExcess(load, evidence.requestsPerSlot);
    if (isFull) this.#reduce(evidence, MIN_REDUCTION);
    this.#schedule(evidence);
  }

  /** Requests that were sent before a reduction are no reason for another. */
  #reduce({ nowMs, latencyMs, share }: OccupancyEvidence, factor: number) {
    if (nowMs - latencyMs < this.#reducedAtMs) return;
    const least = Math.min(1, share / 2);
    const limit = this.get(nowMs, share) * Math.max(MIN_REDUCTION, factor);
    this.#limit = Math.max(least, limit);
    this.#reducedAtMs = nowMs;
  }

  #schedule(evidence: OccupancyEvidence): void {
    const { nowMs, serviceMs, share, requestsPerSlot } = evidence;
    this.#evidenceAtMs = nowMs;
    const limit = this.get(nowMs, share);
    const pauseMs = limit < 1 ? serviceMs * requestsPerSlot / limit : 0;
    this.#resumeAtMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  }
}

function computeInitialLimit(share: number): number {
  const limit = REQUESTS_PER_SLOT_HELD / REQUESTS_PER_SLOT * share;
  return Math.min(MAX_INITIAL_LIMIT, Math.max(1, limit));
}

function computeOccupancy({ running, waiting }: ServerLoad): number {
  return running + waiting;
}

/** Returns whether a server has more requests than it should. */
function hasExcess(load: ServerLoad, requestsPerSlot: number): boolean {
  return computeOccupancy(load) > requestsPerSlot * load.slots;
}
