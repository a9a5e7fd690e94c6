/** One router's statistics of one backend server. @module */
import {
  computeRequestsPerSlot,
  ConcurrencyLimit,
  type OccupancyEvidence,
  type ServerLoad,
} from "./concurrency_limit.js";

/** What the end of an exchange indicates about the server. */
export enum ExchangeOutcome {
  /** The server sent a complete response. */
  Answer = "answer",
  /** The server rejected the request because it is at capacity. */
  Full = "full",
  /**
   * The server sent no response by the end of the request's time. A full server
   * may never respond.
   */
  Missing = "missing",
  /** The server failed: it returned an error, or its response broke off. */
  Failure = "failure",
  /** No connection, or no response in time. */
  Unreachable = "silence",
  /** The server sent bytes without end, which take time from all others. */
  Endless = "endless",
  /** Cancelled because another server answered the same request first. */
  AnsweredElsewhere = "answeredElsewhere",
  /** No indication, for example because the client disconnected. */
  None = "none",
}

/** Weight of a new sample in the moving average of service times. */
const EWMA_WEIGHT = 0.15;
/** Samples needed for a service time; a single fast request means little. */
const MIN_SAMPLES = 3;
/** Time constant of the exponential decay of failures, ms. */
const FAILURE_DECAY_MS = 3_000;
/** Time for which a server is avoided after its first missing response, ms. */
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4_000;
/** Time constant of the exponential decay of a load report, ms. */
const LOAD_DECAY_MS = 400;
/**
 * Age up to which a reported pace applies, ms. The pace of a machine changes
 * about that often.
 */
const MAX_PACE_AGE_MS = 400;
/** Age up to which a load report tells why a response is missing, ms. */
const MAX_LOAD_AGE_MS = 2_000;
/** Service time assumed for the limit until enough samples are known, ms. */
const ASSUMED_SERVICE_MS = 150;

/** Mutable statistics of one server. */
export class ServerStats {
  inFlight = 0;
  #serviceMs = 0;
  /** Average of the paces reported with the samples. */
  #meanPace = 1;
  #samples = 0;
  #unreportedSamples = 0;
  #unreportedSumMs = 0;
  #load: ServerLoad | undefined;
  #loadAtMs = -Infinity;
  #sentSinceLoad = 0;
  /** Requests at the server by its last report that was not taken yet. */
  #occupancy: number | undefined;
  #failures = 0;
  #failuresAtMs = 0;
  #unreachableCount = 0;
  #backoffEndMs = -Infinity;
  /** Whether the server has yet to answer after bytes without end. */
  #isProbed = false;
  readonly #limit = new ConcurrencyLimit();
  /** Share of the server's capacity at the last `begin`. */
  #share = 1;

  /** Returns the average service time, without queueing, ms. */
  getServiceMs(assumedMs: number): number {
    return this.measuredServiceMs ?? assumedMs;
  }

  /** The measured service time, ms; absent until there are enough samples. */
  get measuredServiceMs(): number | undefined {
    return this.#samples < MIN_SAMPLES ? undefined : this.#serviceMs;
  }

  /** Returns the service times measured since the last call. */
  takeSamples(): { count: number; sumMs: number } | undefined {
    if (this.#unreportedSamples === 0) return undefined;
    const taken = {
      count: this.#unreportedSamples,
      sumMs: this.#unreportedSumMs,
    };
    [this.#unreportedSamples, this.#unreportedSumMs] = [0, 0];
    return taken;
  }

  /** Returns the requests at the server, if it has reported them again. */
  takeOccupancy(): number | undefined {
    const occupancy = this.#occupancy;
    this.#occupancy = undefined;
    return occupancy;
  }

  /**
   * Returns the maximum number of this router's requests in flight at the
   * server. `share` is the part of its capacity that falls to this router, and
   * `least` the smallest limit.
   */
  getLimit(nowMs: number, share: number, least = 0): number {
    return Math.max(least, this.#limit.get(nowMs, share));
  }

  /** Time since the last evidence for the limit, ms; `Infinity` without any. */
  getLimitAgeMs(nowMs: number): number {
    return this.#limit.getEvidenceAgeMs(nowMs);
  }

  /** Time until the next request while the limit is below one, ms. */
  getResumeDelayMs(nowMs: number): number {
    return this.#limit.getResumeDelayMs(nowMs);
  }

  /**
   * Returns the last load report without the request that brought it, and its
   * age; `undefined` if there was none.
   */
  getLoadReport(nowMs: number): (ServerLoad & { ageMs: number }) | undefined {
    return this.#load && { ...this.#load, ageMs: nowMs - this.#loadAtMs };
  }

  /** Time since `getFailures` last changed otherwise than by age, ms. */
  getFailuresAgeMs(nowMs: number): number {
    return nowMs - this.#failuresAtMs;
  }

  /** Time for which the server is still avoided, ms; 0 if it is not. */
  getBackoffMs(nowMs: number): number {
    return Math.max(0, this.#backoffEndMs - nowMs);
  }

  /** Returns whether one more request may be sent to the server. */
  hasRoom(nowMs: number, share: number, least = 0): boolean {
    return this.inFlight < least ||
      this.#limit.hasRoom(this.inFlight, { nowMs, share });
  }

  /** Records that a request is sent. */
  begin(share: number): void {
    this.#share = share;
    this.inFlight += 1;
    this.#sentSinceLoad += 1;
  }

  /** Records the end of an exchange that `begin` started. */
  end(sign: ExchangeOutcome, facts: ExchangeFacts): void {
    if (facts.load) this.#recordLoad(facts.load, facts.nowMs);
    const handlers: Record<ExchangeOutcome, () => void> = {
      [ExchangeOutcome.Answer]: () => this.#recordAnswer(facts),
      [ExchangeOutcome.Full]: () => this.#recordFull(facts),
      [ExchangeOutcome.Missing]: () => this.#recordMissing(facts),
      [ExchangeOutcome.Failure]: () => this.#recordFailure(facts.nowMs),
      [ExchangeOutcome.Unreachable]: () => this.#recordUnreachable(facts.nowMs),
      [ExchangeOutcome.Endless]: () => this.#recordEndless(facts.nowMs),
      [ExchangeOutcome.AnsweredElsewhere]: () =>
        this.#recordAnsweredElsewhere(facts),
      [ExchangeOutcome.None]: () => {},
    };
    handlers[sign]();
    this.inFlight -= 1;
  }

  /**
   * Returns whether the server is avoided after missing responses. One that has
   * sent bytes without end gets a single request at a time until it answers.
   */
  isUnreachable(nowMs: number): boolean {
    return nowMs < this.#backoffEndMs || this.#isProbed && this.inFlight > 0;
  }

  /** Returns the number of recent failures, weighted by age. */
  getFailures(nowMs: number): number {
    const ageMs = nowMs - this.#failuresAtMs;
    return this.#failures * Math.exp(-ageMs / FAILURE_DECAY_MS);
  }

  /**
   * Estimates the number of requests at the server from its last load report
   * and this router's own requests.
   */
  estimateOccupancy(nowMs: number): number {
    const ageMs = nowMs - this.#loadAtMs;
    if (!this.#load || ageMs > 3 * LOAD_DECAY_MS) return this.inFlight;
    const reported = this.#load.running + this.#load.waiting;
    const decayed = reported * Math.exp(-ageMs / LOAD_DECAY_MS);
    return Math.max(this.inFlight, decayed + this.#sentSinceLoad);
  }

  /**
   * Returns how long work takes now as a multiple of the average service time,
   * or 1 without a recent report. Some servers are always faster than usual, so
   * a pace counts relative to the server's own average.
   */
  getRelativePace(nowMs: number): number {
    const isRecent = nowMs - this.#loadAtMs <= MAX_PACE_AGE_MS;
    const pace = isRecent ? this.#load?.pace : undefined;
    return pace === undefined ? 1 : pace / this.#meanPace;
  }

  #recordLoad(load: ServerLoad, nowMs: number): void {
    // The report includes the request whose response carries it.
    this.#load = { ...load, running: Math.max(0, load.running - 1) };
    this.#loadAtMs = nowMs;
    this.#occupancy = load.running + load.waiting;
    this.#sentSinceLoad = 0;
  }

  #recordAnswer(facts: ExchangeFacts): void {
    const { latencyMs, load, nowMs } = facts;
    this.#unreachableCount = 0;
    this.#backoffEndMs = -Infinity;
    this.#isProbed = false;
    const queued = load ? load.waiting > 0 : false;
    if (!queued && latencyMs !== undefined) {
      this.#recordServiceTime(latencyMs, load?.pace ?? 1);
    }
    const { inFlight } = this;
    this.#limit.recordResponse(this.#makeEvidence(facts), { load, inFlight });
    this.#failures = this.getFailures(nowMs) * 0.8;
    this.#failuresAtMs = nowMs;
  }

  /** A latency is not divided by the pace at its end, which may have changed. */
  #recordServiceTime(ms: number, pace: number): void {
    this.#unreportedSamples += 1;
    this.#unreportedSumMs += ms;
    this.#average(ms, pace);
  }

  /**
   * Records that a response would have taken longer than this. Without it, a
   * server whose slow responses are all cancelled would still count as fast. It
   * is no measured time, and not reported as one.
   */
  #recordAnsweredElsewhere({ latencyMs = 0, nowMs }: ExchangeFacts): void {
    const isLoadRecent = nowMs - this.#loadAtMs < MAX_LOAD_AGE_MS;
    if (isLoadRecent && this.#load && this.#load.waiting > 0) return;
    const ms = latencyMs / this.getRelativePace(nowMs);
    if (ms <= this.getServiceMs(ASSUMED_SERVICE_MS)) return;
    this.#average(ms, this.#meanPace);
  }

  /** Averages the first samples equally, and later ones exponentially. */
  #average(ms: number, pace: number): void {
    this.#samples += 1;
    const weight = Math.max(EWMA_WEIGHT, 1 / this.#samples);
    this.#serviceMs += weight * (ms - this.#serviceMs);
    this.#meanPace += weight * (pace - this.#meanPace);
  }

  #recordFull(facts: ExchangeFacts): void {
    this.#unreachableCount = 0;
    const { load } = facts;
    this.#limit.recordFull(this.#makeEvidence(facts), load);
    // A server that rejects requests although it has free slots is failing.
    if (load && load.running < load.slots) this.#recordFailure(facts.nowMs);
  }

  #recordMissing(facts: ExchangeFacts): void {
    const { nowMs } = facts;
    this.#recordFailure(nowMs);
    const isRecent = nowMs - this.#loadAtMs < MAX_LOAD_AGE_MS;
    const load = isRecent ? this.#load : undefined;
    this.#limit.recordFull(this.#makeEvidence(facts), load);
  }

  #makeEvidence(
    { nowMs, latencyMs, targetMs }: ExchangeFacts,
  ): OccupancyEvidence {
    return {
      requestsPerSlot: computeRequestsPerSlot({
        serviceMs: this.measuredServiceMs,
        targetMs,
      }),
      nowMs,
      latencyMs: latencyMs ?? 0,
      serviceMs: this.getServiceMs(ASSUMED_SERVICE_MS),
      share: this.#share,
    };
  }

  #recordFailure(nowMs: number): void {
    this.#failures = this.getFailures(nowMs) + 1;
    this.#failuresAtMs = nowMs;
  }

  #recordUnreachable(nowMs: number): void {
    this.#recordFailure(nowMs);
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** this.#unreachableCount;
    this.#unreachableCount = Math.min(this.#unreachableCount + 1, 4);
    this.#backoffEndMs = nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  #recordEndless(nowMs: number): void {
    this.#recordUnreachable(nowMs);
    this.#isProbed = true;
  }
}

/** Measurements at the end of an exchange. */
export interface ExchangeFacts {
  readonly nowMs: number;
  /** Time from send to end of response, ms; absent without a response. */
  readonly latencyMs?: number;
  readonly load?: ServerLoad;
  /** Latency within which the response has its full value, ms. */
  readonly targetMs?: number;
}
