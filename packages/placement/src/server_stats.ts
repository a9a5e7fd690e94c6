/** What one router has seen of one backend server. @module */

/** Occupancy that a server reports with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How an exchange with a server ended, as far as the server goes. */
export enum ExchangeSign {
  /** A whole answer of the server. */
  Answer = "answer",
  /** The server turned the request away because it is full. */
  Full = "full",
  /** The server failed: an error of its own, or a broken answer. */
  Failure = "failure",
  /** No connection, or no answer in time. */
  Silence = "silence",
  /** Says nothing about the server, as when the client has left. */
  None = "none",
}

const EWMA_WEIGHT = 0.15;
/** One quick request says little about a server. */
const MIN_SAMPLES = 3;
/** Time constant with which failures are forgotten, ms. */
const FAILURE_DECAY_MS = 3_000;
/** Time for which a server that does not answer is avoided at first, ms. */
const SILENCE_PAUSE_MS = 500;
const MAX_SILENCE_PAUSE_MS = 4_000;
/** A report of load loses its meaning within this time, ms. */
const LOAD_MEMORY_MS = 400;
const FIRST_LIMIT = 4;
const MAX_LIMIT = 24;

/** Mutable record of one server. */
export class ServerStats {
  inFlight = 0;
  #serviceMs = 0;
  #samples = 0;
  #newSamples = 0;
  #newSumMs = 0;
  #load: ServerLoad | undefined;
  #loadAt = -Infinity;
  #sentSinceLoad = 0;
  #failures = 0;
  #failuresAt = 0;
  #silences = 0;
  #silentUntil = -Infinity;
  #limit = FIRST_LIMIT;

  /** Time that the server takes for a request without waiting, ms. */
  getServiceMs(assumedMs: number): number {
    return this.measuredServiceMs ?? assumedMs;
  }

  /** The same; absent until a few requests have been measured. */
  get measuredServiceMs(): number | undefined {
    return this.#samples < MIN_SAMPLES ? undefined : this.#serviceMs;
  }

  /** Returns what has been measured since the last call. */
  takeSamples(): { count: number; sumMs: number } | undefined {
    if (this.#newSamples === 0) return undefined;
    const taken = { count: this.#newSamples, sumMs: this.#newSumMs };
    [this.#newSamples, this.#newSumMs] = [0, 0];
    return taken;
  }

  /** Requests that this router may have under way at the server. */
  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Takes note of a send. */
  begin(): void {
    this.inFlight += 1;
    this.#sentSinceLoad += 1;
  }

  /** Takes note of the end of an exchange that `begin` announced. */
  end(sign: ExchangeSign, facts: ExchangeFacts): void {
    this.inFlight -= 1;
    if (facts.load) this.#noteLoad(facts.load, facts.nowMs);
    const handlers: Record<ExchangeSign, () => void> = {
      [ExchangeSign.Answer]: () => this.#noteAnswer(facts),
      [ExchangeSign.Full]: () => this.#noteFull(),
      [ExchangeSign.Failure]: () => this.#noteFailure(facts.nowMs),
      [ExchangeSign.Silence]: () => this.#noteSilence(facts.nowMs),
      [ExchangeSign.None]: () => {},
    };
    handlers[sign]();
  }

  isSilent(nowMs: number): boolean {
    return nowMs < this.#silentUntil;
  }

  /** Recent failures, weighted by their age. */
  getFailures(nowMs: number): number {
    const age = nowMs - this.#failuresAt;
    return this.#failures * Math.exp(-age / FAILURE_DECAY_MS);
  }

  /** Requests that are probably at the server: its last report and our own. */
  estimateOccupancy(nowMs: number): number {
    const age = nowMs - this.#loadAt;
    if (!this.#load || age > 3 * LOAD_MEMORY_MS) return this.inFlight;
    const reported = this.#load.running + this.#load.waiting;
    const faded = reported * Math.exp(-age / LOAD_MEMORY_MS);
    return Math.max(this.inFlight, faded + this.#sentSinceLoad);
  }

  #noteLoad(load: ServerLoad, nowMs: number): void {
    // The report counts the request that it comes with.
    this.#load = { ...load, running: Math.max(0, load.running - 1) };
    this.#loadAt = nowMs;
    this.#sentSinceLoad = 0;
  }

  #noteAnswer({ latencyMs, load, nowMs }: ExchangeFacts): void {
    this.#silences = 0;
    this.#silentUntil = -Infinity;
    const queued = load ? load.waiting > 0 : false;
    if (!queued && latencyMs !== undefined) this.#noteServiceTime(latencyMs);
    if (load && load.waiting > load.slots) {
      this.#limit = Math.max(1, this.#limit * 0.95);
    } else {
      this.#limit = Math.min(MAX_LIMIT, this.#limit + 0.3);
    }
    this.#failures = this.getFailures(nowMs) * 0.8;
    this.#failuresAt = nowMs;
  }

  /** The first measurements count alike, later ones fade. */
  #noteServiceTime(ms: number): void {
    this.#samples += 1;
    this.#newSamples += 1;
    this.#newSumMs += ms;
    const weight = Math.max(EWMA_WEIGHT, 1 / this.#samples);
    this.#serviceMs += weight * (ms - this.#serviceMs);
  }

  #noteFull(): void {
    this.#silences = 0;
    this.#limit = Math.max(1, this.#limit * 0.7);
  }

  #noteFailure(nowMs: number): void {
    this.#failures = this.getFailures(nowMs) + 1;
    this.#failuresAt = nowMs;
  }

  #noteSilence(nowMs: number): void {
    this.#noteFailure(nowMs);
    const pause = SILENCE_PAUSE_MS * 2 ** this.#silences;
    this.#silences = Math.min(this.#silences + 1, 4);
    this.#silentUntil = nowMs + Math.min(pause, MAX_SILENCE_PAUSE_MS);
  }
}

/** What is known at the end of an exchange. */
export interface ExchangeFacts {
  readonly nowMs: number;
  /** From the send to the end of the answer; absent without an answer. */
  readonly latencyMs?: number;
  readonly load?: ServerLoad;
}
