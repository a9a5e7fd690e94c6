/** Simulated backend server. @module */
import {
  type GrantReply,
  type GrantRequest,
  Token,
  type UnitId,
} from "@jaytiller/model";
import type { Checker } from "./checker.js";
import type { Process } from "./process.js";
import type { Random } from "./random.js";

/** A request as it arrives at a backend server. */
export interface WorkRequest {
  readonly id: string;
  readonly key: string;
  readonly unit: UnitId;
  readonly token: string;
  /** Unix ms. */
  readonly deadlineMs: number;
  readonly workMs: number;
}

/** Simulates one process of a backend server. */
export class Backend {
  readonly process: Process;
  readonly #checks: boolean;
  readonly #checker: Checker;
  readonly #random: Random;
  readonly #running = new Map<string, UnitId>();
  #token = Token.none;
  #seq = -1;
  #units: ReadonlySet<UnitId> = new Set();
  #leaseEndMs = -Infinity;
  draining = false;

  constructor(
    options: {
      process: Process;
      checks: boolean;
      checker: Checker;
      random: Random;
    },
  ) {
    this.process = options.process;
    this.#checks = options.checks;
    this.#checker = options.checker;
    this.#random = options.random;
  }

  /**
   * Returns the leased units and the simulated time at which the lease expires.
   */
  getLease(): { units: ReadonlySet<UnitId>; endsAt: number } {
    const endsAt = this.process.alive
      ? this.process.computeRealTime(this.#leaseEndMs)
      : -Infinity;
    return { units: this.#units, endsAt };
  }

  /**
   * Handles a lease grant. Rejects one with a lower token, or with the same
   * token and a lower sequence number. The lease starts at the basis of the
   * grant if that names this incarnation.
   */
  handleGrant(request: GrantRequest): GrantReply {
    const token = Token.parse(request.token)!;
    const order = token.compare(this.#token);
    const accepted = order > 0 || (order === 0 && request.seq >= this.#seq);
    if (accepted) {
      this.#token = token;
      this.#seq = request.seq;
      const { basis } = request;
      const valid = basis?.incarnation === this.process.incarnation;
      const held = this.#units;
      this.#units = new Set(request.units.filter((u) => valid || held.has(u)));
      if (valid) this.#leaseEndMs = basis!.atMs + request.leaseMs;
      this.#checker.checkGrant(this, request);
    }
    return { ...this.reportHealth(), accepted };
  }

  /** Returns the state that grant replies and health checks report. */
  reportHealth(): GrantReply {
    return {
      accepted: true,
      token: this.#token.toString(),
      seq: this.#seq,
      incarnation: this.process.incarnation,
      atMs: this.process.now(),
      draining: this.draining,
      running: this.#running.size,
      busyUnits: [...new Set(this.#running.values())],
      load: 0,
    };
  }

  /** Runs a request and answers whether it took effect. */
  handleWork(work: WorkRequest, answer: (ran: boolean) => void): void {
    if (!this.#isAllowed(work)) return answer(false);
    this.#running.set(work.id, work.unit);
    const startedAt = this.#checker.now;
    const workMs = work.workMs * this.#random.drawReal(0.5, 1.5);
    this.process.startTimer(workMs, () => {
      this.#running.delete(work.id);
      if (!this.#isAllowed(work)) return answer(false);
      this.#checker.checkEffect(this, { work, startedAt });
      answer(true);
    });
  }

  #isAllowed(work: WorkRequest): boolean {
    if (this.process.unixMs() >= work.deadlineMs) return false;
    if (!this.#checks) return true;
    return work.token === this.#token.toString() &&
      this.#units.has(work.unit) && this.process.now() < this.#leaseEndMs;
  }
}
