/** Mirrors the router's dispatcher: sends work and counts it. @module */
import type { ServiceName, UnitId, VmId } from "@jaytiller/model";
import {
  type InFlightRequests,
  RoutingDecisionKind,
} from "@jaytiller/ownership";
import { callProcess, type Environment, KEYS } from "./environment.js";
import type { SimulatedRouter } from "./router.js";

/** Mean time between requests of one holder. */
const REQUEST_EVERY_MS = 14;
const MIN_ATTEMPT_MS = 50;
const MAX_CONNECT_MS = 2;

/** Kinds of requests and how often each comes. */
const CALLS = [
  { deadlineMs: 700, workMs: 8, bulk: false, repeatable: true },
  { deadlineMs: 700, workMs: 30, bulk: false, repeatable: false },
  { deadlineMs: 700, workMs: 8, bulk: false, repeatable: true },
  { deadlineMs: 1_200, workMs: 250, bulk: true, repeatable: true },
] as const;

/** Longest time from arrival to deadline. */
export const LONGEST_DEADLINE_MS = 1_200;

interface Attempt {
  readonly id: string;
  readonly key: string;
  readonly unit: UnitId;
  readonly server: VmId;
  readonly bulk: boolean;
  readonly deadlineMs: number;
}

/** Requests of one router to the servers of its groups. */
export class Dispatcher implements InFlightRequests {
  readonly #router: SimulatedRouter;
  readonly #env: Environment;
  readonly #running = new Map<string, Attempt>();
  readonly #lastDeadlines = new Map<VmId, number>();
  /** Requests that may still run although nothing waits for them. */
  #lost: Attempt[] = [];

  constructor(router: SimulatedRouter, env: Environment) {
    this.#router = router;
    this.#env = env;
  }

  start(): void {
    this.#router.process.startInterval(REQUEST_EVERY_MS, () => this.#arrive());
  }

  get running(): number {
    return this.#running.size;
  }

  countInFlight(_service: ServiceName, unit: UnitId): number {
    return [...this.#running.values()].filter((a) => covers(unit, a)).length;
  }

  countBulk(_service: ServiceName, unit: UnitId): number {
    return [...this.#running.values()]
      .filter((a) => covers(unit, a) && a.bulk).length;
  }

  getLastDeadline(server: VmId): number {
    return this.#lastDeadlines.get(server) ?? 0;
  }

  getUnansweredDeadline(_service: ServiceName, unit: UnitId): number {
    const lost = this.#lost.filter((a) => covers(unit, a));
    return Math.max(0, ...lost.map((a) => a.deadlineMs));
  }

  #arrive() {
    const { random, newId } = this.#env;
    const router = this.#router;
    const key = random.pick(KEYS);
    const direction = router.direct(key);
    if (direction?.kind !== RoutingDecisionKind.Forward) return;
    const call = random.pick(CALLS);
    const { unit, server } = direction;
    const deadlineMs = router.process.unixMs() + call.deadlineMs;
    const id = newId();
    const attempt = { id, key, unit, server, bulk: call.bulk, deadlineMs };
    this.#running.set(id, attempt);
    this.#lastDeadlines.set(
      server,
      Math.max(this.getLastDeadline(server), deadlineMs),
    );
    const retried = call.repeatable && !call.bulk;
    const timeoutMs = retried
      ? Math.max(MIN_ATTEMPT_MS, call.deadlineMs / 2)
      : call.deadlineMs;
    const token = direction.token.toString();
    router.process.startTimer(random.drawReal(0.5, MAX_CONNECT_MS), () => {
      if (!this.#env.checksOwner) {
        if (!router.hasAuthority()) {
          this.#running.delete(id);
          return;
        }
        this.#env.checker.readSend(router.group, router.holder!.token);
      }
      this.#send(attempt, { token, timeoutMs, workMs: call.workMs });
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
      handle: (answer) => env.findBackend(server)!.readWork(work, answer),
      finish: (reply) => {
        this.#running.delete(id);
        if (reply === undefined) this.#lost.push(attempt);
      },
    });
  }
}

function covers(unit: UnitId, attempt: Attempt): boolean {
  return attempt.unit === unit || unit === `k:${attempt.key}`;
}
