/**
 * Model of many routers that send requests for one server, which owns a hot key.
 * The routers use the product's decisions; server, network and clients are
 * simulated. Nothing depends on the clock.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  computeAdmissionShare,
  computeShare,
  decideAdmission,
  estimateLatency,
  ExchangeOutcome,
  type ServerLoad,
  ServerStats,
  Verdict,
} from "../src/mod.js";
import { type ServerEntry, ServerState } from "@jaytiller/routing";

/** What a server does with a request that it can neither run nor queue. */
export enum FullBehavior {
  /** It rejects the request. */
  Reject = "reject",
  /** It never responds to the request. */
  Hang = "hang",
}

/** Load on one server. */
export interface OwnerLoad {
  readonly seed: number;
  readonly routers: number;
  readonly slots: number;
  /** Requests that may wait at the server. */
  readonly queue: number;
  readonly serviceMs: number;
  /** Requests per second, of all clients together. */
  readonly arrivalsPerS: number;
  readonly durationMs: number;
  readonly onFull: FullBehavior;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** What became of the requests. */
export interface OwnerReport {
  /** Requests that the server can process in the time of the run. */
  readonly capacity: number;
  readonly inTarget: number;
  readonly late: number;
  /** Requests that a router refused without sending them. */
  readonly refused: number;
  /** Requests that the server rejected. */
  readonly rejected: number;
  /** Requests that were sent and had no response by their deadline. */
  readonly unanswered: number;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** Time between router and server, one way, ms. */
const NETWORK_MS = 1;
/** Interval at which routers receive the server's admission share, ms. */
const SHARE_INTERVAL_MS = 400;
/** Time over which arrivals are measured for the admission share, ms. */
const MEASURED_MS = 2_000;
const SERVER_ID = "owner";

interface ModelRequest {
  readonly router: Router;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  sentMs: number;
  isEnded: boolean;
}

interface Router {
  readonly stats: ServerStats;
  readonly waiting: ModelRequest[];
}

/** Plays the load and reports what became of the requests. */
export function playOwnerLoad(load: OwnerLoad): OwnerReport {
  return new OwnerModel(load).play();
}

class OwnerModel {
  readonly #load: OwnerLoad;
  readonly #random: RandomGenerator;
  readonly #events: Event[] = [];
  readonly #entry: ServerEntry;
  readonly #share: number;
  readonly #queue: ModelRequest[] = [];
  readonly #counts = {
    inTarget: 0,
    late: 0,
    refused: 0,
    rejected: 0,
    unanswered: 0,
  };
  readonly #arrivalTimes: number[] = [];
  #nowMs = 0;
  #running = 0;
  /** Share of the requests that routers send. */
  #admissionShare = 1;

  constructor(load: OwnerLoad) {
    this.#load = load;
    this.#random = xoroshiro128plus(load.seed);
    this.#share = computeShare(load);
    this.#entry = {
      id: SERVER_ID,
      born: 1,
      service: "s",
      address: "owner:1",
      zone: "z1",
      slots: load.slots,
      state: ServerState.Ready,
      sequence: 1,
    };
  }

  play(): OwnerReport {
    const { routers, arrivalsPerS, durationMs, slots, serviceMs } = this.#load;
    const all = Array.from(
      { length: routers },
      (): Router => ({ stats: new ServerStats(), waiting: [] }),
    );
    let atMs = 0;
    while (atMs < durationMs) {
      const router = all[Math.floor(this.#draw() * routers)]!;
      this.#schedule(atMs, () => this.#arrive(router));
      atMs += -Math.log(1 - this.#draw()) * 1000 / arrivalsPerS;
    }
    for (let ms = 0; ms < durationMs; ms += SHARE_INTERVAL_MS) {
      this.#schedule(ms, () => this.#updateAdmissionShare());
    }
    this.#runEvents();
    return { capacity: durationMs * slots / serviceMs, ...this.#counts };
  }

  /** Returns a number from 0 to less than 1. */
  #draw(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }

  #schedule(atMs: number, run: () => void): void {
    const index = this.#events.findIndex((event) => event.atMs > atMs);
    const at = index < 0 ? this.#events.length : index;
    this.#events.splice(at, 0, { atMs, run });
  }

  #runEvents(): void {
    for (let next = this.#events.shift(); next; next = this.#events.shift()) {
      this.#nowMs = next.atMs;
      next.run();
    }
  }

  #updateAdmissionShare(): void {
    const { slots, serviceMs } = this.#load;
    const measuredMs = Math.min(MEASURED_MS, this.#nowMs);
    const sinceMs = this.#nowMs - measuredMs;
    const count = this.#arrivalTimes.filter((ms) => ms >= sinceMs).length;
    this.#admissionShare = computeAdmissionShare({
      load: 1000 * count / Math.max(1, measuredMs),
      capacity: 1000 * slots / serviceMs,
    });
  }

  #arrive(router: Router): void {
    const arrivedMs = this.#nowMs;
    this.#arrivalTimes.push(arrivedMs);
    if (this.#draw() >= this.#admissionShare) {
      this.#counts.refused += 1;
      return;
    }
    const request: ModelRequest = {
      router,
      arrivedMs,
      deadlineMs: arrivedMs + this.#load.deadlineMs,
      sentMs: 0,
      isEnded: false,
    };
    const verdict = this.#decide(request, router.waiting.length);
    if (verdict === Verdict.Send) this.#send(request);
    if (verdict === Verdict.Refuse) this.#counts.refused += 1;
    if (verdict !== Verdict.Wait) return;
    router.waiting.push(request);
    const waitMs = 0.4 * this.#load.deadlineMs;
    this.#schedule(arrivedMs + waitMs, () => this.#stopWaiting(request));
  }

  #decide({ router, deadlineMs }: ModelRequest, ahead: number): Verdict {
    const { stats } = router;
    const { serviceMs, targetMs } = this.#load;
    const nowMs = this.#nowMs;
    const candidate = { entry: this.#entry, stats };
    const assumedMs = serviceMs;
    return decideAdmission({
      hasCapacity: stats.hasRoom(nowMs, this.#share),
      ahead,
      limit: stats.getLimit(nowMs, this.#share),
      serviceMs: stats.getServiceMs(assumedMs),
      expectedMs: estimateLatency(candidate, { nowMs, assumedMs }),
      leftMs: deadlineMs - nowMs,
      targetMs,
    }).verdict;
  }

  #stopWaiting(request: ModelRequest): void {
    const { waiting } = request.router;
    const index = waiting.indexOf(request);
    if (index < 0) return;
    waiting.splice(index, 1);
    this.#counts.refused += 1;
  }

  #send(request: ModelRequest): void {
    request.sentMs = this.#nowMs;
    request.router.stats.begin(this.#share);
    this.#schedule(this.#nowMs + NETWORK_MS, () => this.#reachServer(request));
    this.#schedule(request.deadlineMs, () => this.#miss(request));
  }

  #reachServer(request: ModelRequest): void {
    const { slots, queue, onFull } = this.#load;
    if (this.#running < slots) return this.#execute(request);
    if (this.#queue.length < queue) return void this.#queue.push(request);
    if (onFull === FullBehavior.Hang) return;
    this.#counts.rejected += 1;
    this.#end(request, ExchangeOutcome.Full);
  }

  #execute(request: ModelRequest): void {
    this.#running += 1;
    // Between 0.4 and 1.6 times the mean.
    const durationMs = this.#load.serviceMs * (0.4 + 1.2 * this.#draw());
    this.#schedule(this.#nowMs + durationMs, () => this.#answer(request));
  }

  #answer(request: ModelRequest): void {
    const totalMs = this.#nowMs + NETWORK_MS - request.arrivedMs;
    const isInTarget = totalMs <= this.#load.targetMs;
    if (!request.isEnded) this.#counts[isInTarget ? "inTarget" : "late"] += 1;
    const reported = this.#report();
    this.#running -= 1;
    this.#end(request, ExchangeOutcome.Answer, reported);
    // A server drops requests whose connections have closed.
    let next = this.#queue.shift();
    while (next?.isEnded) next = this.#queue.shift();
    if (next) this.#execute(next);
  }

  #report(): ServerLoad {
    const { slots } = this.#load;
    return { running: this.#running, waiting: this.#queue.length, slots };
  }

  #miss(request: ModelRequest): void {
    if (request.isEnded) return;
    this.#counts.unanswered += 1;
    this.#end(request, ExchangeOutcome.Missing);
  }

  #end(request: ModelRequest, outcome: ExchangeOutcome, load?: ServerLoad) {
    if (request.isEnded) return;
    request.isEnded = true;
    const { stats, waiting } = request.router;
    stats.end(outcome, {
      nowMs: this.#nowMs,
      latencyMs: this.#nowMs - request.sentMs,
      ...(load ? { load } : {}),
    });
    const next = waiting[0];
    if (!next) return;
    const verdict = this.#decide(next, 0);
    if (verdict === Verdict.Wait) return;
    waiting.shift();
    if (verdict === Verdict.Send) this.#send(next);
    else this.#counts.refused += 1;
  }
}
