/** Simulated dispatcher: sends requests to servers and counts them. @module */
import type { ServiceName, UnitId, VmId } from "@jaytiller/model";
import {
  type InFlightRequests,
  RoutingDecisionKind,
} from "@jaytiller/ownership";
import { callProcess, type Environment, KEYS } from "./environment.js";
import type { SimulatedRouter } from "./router.js";

/** Mean time between requests of one holder. */
const REQUEST_INTERVAL_MS = 14;
const MIN_ATTEMPT_MS = 50;
const MAX_CONNECT_MS = 2;

/**
 * Request types, drawn with equal probability; a duplicate entry doubles it.
 */
const REQUEST_TYPES = [
  { deadlineMs: 700, workMs: 8, bulk: false, idempotent: true },
  { deadlineMs: 700, workMs: 30, bulk: false, idempotent: false },
  { deadlineMs: 700, workMs: 8, bulk: false, idempotent: true },
  { deadlineMs: 1_200, workMs: 250, bulk: true, idempotent: true },
] as const;

/** Longest time from the arrival of a request to its deadline, in ms. */
export const MAX_DEADLINE_MS = 1_200;

interface Attempt {
  readonly id: string;
  readonly key: string;
  readonly unit: UnitId;
  readonly server: VmId;
  readonly bulk: boolean;
  readonly deadlineMs: number;
}

/** Sends the requests of one router to backend servers and tracks them. */
export class Dispatcher implements InFlightRequests {
  readonly #router: SimulatedRouter;
  readonly #env: Environment;
  readonly #running = new Map<string, Attempt>();
  readonly #lastDeadlines = new Map<VmId, number>();
  /** Requests that timed out without an answer and may still be running. */
  #lost: Attempt[] = [];

  constructor(router: SimulatedRouter, env: Environment) {
    this.#router = router;
    this.#env = env;
  }

  start(): void {
    this.#router.process.startInterval(
      REQUEST_INTERVAL_MS,
      () => this.#startRequest(),
    );
  }

  get running(): number {
    return this.#running.size;
  }

  countInFlight(_service: ServiceName, unit: UnitId): number {
    return [...this.#running.values()].filter((a) => isForUnit(unit, a)).length;
  }

  countBulk(_service: ServiceName, unit: UnitId): number {
    return [...this.#running.values()]
      .filter((a) => isForUnit(unit, a) && a.bulk).length;
  }

  getLastDeadline(server: VmId): number {
    return this.#lastDeadlines.get(server) ?? 0;
  }

  getUnansweredDeadline(_service: ServiceName, unit: UnitId): number {
    const lost = this.#lost.filter((a) => isForUnit(unit, a));
    return Math.max(0, ...lost.map((a) => a.deadlineMs));
  }

  #startRequest() {
    const { random, newId } = this.#env;
    const router = this.#router;
    const key = random.pick(KEYS);
    const direction = router.direct(key);
    if (direction?.kind !== RoutingDecisionKind.Forward) return;
    const requestType = random.pick(REQUEST_TYPES);
    const { unit, server } = direction;
    const deadlineMs = router.process.unixMs() + requestType.deadlineMs;
    const id = newId();
    const attempt = {
      id,
      key,
      unit,
      server,
      bulk: requestType.bulk,
      deadlineMs,
    };
    this.#running.set(id, attempt);
    this.#lastDeadlines.set(
      server,
      Math.max(this.getLastDeadline(server), deadlineMs),
    );
    const isRetried = requestType.idempotent && !requestType.bulk;
    const timeoutMs = isRetried
      ? Math.max(MIN_ATTEMPT_MS, requestType.deadlineMs / 2)
      : requestType.deadlineMs;
    const token = direction.token.toString();
    router.process.startTimer(random.drawReal(0.5, MAX_CONNECT_MS), () => {
      if (!this.#env.checksOwner) {
        if (!router.hasAuthority()) {
          this.#running.delete(id);
          return;
        }
        this.#env.checker.checkSend(router.group, router.holder!.token);
      }
      this.#send(attempt, { token, timeoutMs, workMs: requestType.workMs });
    });
  }

  #send(
    attempt: Attempt,
    { token, timeoutMs, workMs }: {
      token: string;
      timeoutMs: number;
      workMs: number;
    },
  ) {
    const env = this.#env;
    const { id, server, key, unit, deadlineMs } = attempt;
    const work = { id, key, unit, token, deadlineMs, workMs };
    callProcess<boolean>(env, {
      from: this.#router.process,
      to: server,
      timeoutMs,
      find: () => env.findBackend(server)?.process,
      handle: (answer) => env.findBackend(server)!.handleWork(work, answer),
      finish: (reply) => {
        this.#running.delete(id);
        if (reply === undefined) this.#lost.push(attempt);
      },
    });
  }
}

function isForUnit(unit: UnitId, attempt: Attempt): boolean {
  return attempt.unit === unit || unit === `k:${attempt.key}`;
}
