/**
 * Decides when a request gets a second attempt at another server.
 *
 * Load pattern: one of many servers is slow for a while, for example because of
 * a pause of its process, and the requests that it has are the slowest of all.
 * A second attempt helps only if other servers have room; while a service is
 * short of capacity it would slow down all requests.
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Time after which the other histogram is filled, ms. */
const ROTATION_MS = 10_000;
/** Age of the newest latency from which a period is not used, ms. */
const MAX_AGE_MS = 20_000;
/** Latencies beyond the quantile that a reliable value needs. */
const MIN_BEYOND = 2;
const MIN_COUNT = 20;
/** Time for which a computed value is used, ms. */
const CACHE_MS = 500;
/** Unit of the histograms, ms. */
const UNIT_MS = 0.1;
const MAX_LATENCY_MS = 600_000;

/** A quantile of recent latencies. */
export interface LatencyQuantile {
  readonly ms: number;
  /** Median of the same latencies, ms. */
  readonly medianMs: number;
  readonly count: number;
  /** Time since the newest of the latencies, ms. */
  readonly ageMs: number;
}

interface Period {
  readonly startMs: number;
  readonly histogram: Histogram;
  newestMs: number;
}

interface CachedQuantile {
  readonly quantile: number;
  readonly atMs: number;
  readonly period: Period;
  readonly value: Omit<LatencyQuantile, "ageMs">;
}

/**
 * Latencies of one route in the current and the previous period. A quantile is
 * of the previous period if that has enough latencies, because it is complete.
 */
export class RecentLatencies {
  #current: Period | undefined;
  #previous: Period | undefined;
  #cached: CachedQuantile | undefined;

  record(latencyMs: number, nowMs: number): void {
    this.#rotate(nowMs);
    this.#current ??= makePeriod(nowMs);
    const units = Math.round(Math.min(MAX_LATENCY_MS, latencyMs) / UNIT_MS);
    this.#current.histogram.recordValue(Math.max(0, units));
    this.#current.newestMs = nowMs;
  }

  /** Returns a quantile, or `undefined` if there are too few latencies. */
  getQuantile(quantile: number, nowMs: number): LatencyQuantile | undefined {
    this.#rotate(nowMs);
    const cached = this.#cached;
    const isCurrent = cached?.quantile === quantile &&
      nowMs - cached.atMs <= CACHE_MS;
    if (!isCurrent) this.#cached = this.#compute(quantile, nowMs);
    if (!this.#cached) return undefined;
    const { period, value } = this.#cached;
    const ageMs = nowMs - period.newestMs;
    return ageMs > MAX_AGE_MS ? undefined : { ...value, ageMs };
  }

  #compute(quantile: number, nowMs: number): CachedQuantile | undefined {
    const minCount = Math.max(
      MIN_COUNT,
      Math.ceil(MIN_BEYOND / (1 - quantile)),
    );
    const period = [this.#previous, this.#current].find((p) =>
      p !== undefined && p.histogram.totalCount >= minCount &&
      nowMs - p.newestMs <= MAX_AGE_MS
    );
    if (!period) return undefined;
    const { histogram } = period;
    const value = {
      ms: histogram.getValueAtPercentile(100 * quantile) * UNIT_MS,
      medianMs: histogram.getValueAtPercentile(50) * UNIT_MS,
      count: histogram.totalCount,
    };
    return { quantile, atMs: nowMs, period, value };
  }

  #rotate(nowMs: number): void {
    const ageMs = this.#current ? nowMs - this.#current.startMs : 0;
    if (ageMs < ROTATION_MS) return;
    this.#previous = ageMs < 2 * ROTATION_MS ? this.#current : undefined;
    this.#current = undefined;
    this.#cached = undefined;
  }
}

function makePeriod(startMs: number): Period {
  const histogram = build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS / UNIT_MS,
    numberOfSignificantValueDigits: 2,
  });
  return { startMs, histogram, newestMs: startMs };
}

/** Why a slow request gets no second attempt, or that it may get one. */
export enum HedgeVerdict {
  Send = "send",
  /** The request may run only once, or only one server may run it. */
  OneServer = "oneServer",
  /** The route allows no further attempt. */
  NoAttempt = "noAttempt",
  /** The client has left, or a second attempt would end after the deadline. */
  TooLate = "tooLate",
  /** The service is short of capacity. */
  Short = "short",
}

/** What is known of a request whose first attempt is slow. */
export interface HedgeFacts {
  readonly isIdempotent: boolean;
  /** Whether each key of the service has one server. */
  readonly isSharded: boolean;
  /** Attempts that the route still allows beside the one in progress. */
  readonly attemptsLeft: number;
  readonly hasClientLeft: boolean;
  /** Time until the deadline, ms. */
  readonly leftMs: number;
  /** Time that a second attempt is expected to take, ms. */
  readonly expectedMs: number;
  /** Whether requests of the service are refused, or wait for capacity. */
  readonly isShort: boolean;
}

/** Decides whether a slow request may get a second attempt. */
export function decideHedge(facts: HedgeFacts): HedgeVerdict {
  if (!facts.isIdempotent || facts.isSharded) return HedgeVerdict.OneServer;
  if (facts.attemptsLeft < 1) return HedgeVerdict.NoAttempt;
  if (facts.hasClientLeft || facts.leftMs <= facts.expectedMs) {
    return HedgeVerdict.TooLate;
  }
  return facts.isShort ? HedgeVerdict.Short : HedgeVerdict.Send;
}
