/** Decides whether and when a request is sent again. @module */
import { RetryBudget } from "@jaytiller/placement";
import { RequestKind } from "@jaytiller/routing";
import type { ClientCall } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import { ExchangeEnd } from "./exchange.js";
import type { GatewaySettings } from "./settings.js";

/** Dependencies of a retry policy. */
export interface RetryPolicyOptions {
  readonly settings: () => GatewaySettings;
  readonly cluster: ClusterState;
  /** Returns the number of routers that share the retry budget. */
  readonly countRouters: () => number;
}

/** Failed connection attempts after which a request is refused. */
const MAX_CONNECT_FAILURES = 3;
/** Delay before a key's owner is tried again, ms. */
const OWNER_RETRY_DELAY_MS = 60;
/** Least time until the deadline for which a retry is sent, ms. */
const MIN_RETRY_TIME_MS = 30;

/** Rules and budgets for retries. */
export class RetryPolicy {
  readonly #options: RetryPolicyOptions;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(options: RetryPolicyOptions) {
    this.#options = options;
  }

  /** Counts a request from a client, for the budget of its service. */
  countRequest(call: ClientCall): void {
    this.#getBudget(call.service).countRequest(call.arrivedMs);
  }

  /** Uses one retry of a service; returns whether its budget allows it. */
  tryConsume(service: string, nowMs: number): boolean {
    const routers = this.#options.countRouters();
    return this.#getBudget(service).tryConsume(nowMs, routers);
  }

  /**
   * Returns whether a request may be sent again after an attempt that ended
   * with `end`, and uses a retry of the budget if it may have been written.
   * `unsent` counts the attempts that wrote nothing.
   */
  isRetryAllowed(call: ClientCall, end: ExchangeEnd, unsent: number): boolean {
    if (call.isAnswered || call.hasClientLeft) return false;
    const nowMs = performance.now();
    if (call.deadlineMs - nowMs < MIN_RETRY_TIME_MS) return false;
    if (NOT_WRITTEN.has(end)) return unsent < MAX_CONNECT_FAILURES;
    if (MAY_HAVE_RUN.has(end) && call.route.kind !== RequestKind.Idempotent) {
      return false;
    }
    if (call.triedServers.length >= call.route.maxAttempts) return false;
    return this.tryConsume(call.service, nowMs);
  }

  /**
   * Returns the earliest time of the next attempt, ms. A request for a key
   * waits before its only candidate, the key's owner, is tried again.
   */
  computeRetryTime(call: ClientCall, end: ExchangeEnd): number {
    const service = this.#options.cluster.routes?.findService(call.service);
    const isOwner = service?.sharded ?? false;
    const isDelayed = end === ExchangeEnd.NotRun || end === ExchangeEnd.NotSent;
    return isOwner && isDelayed ? performance.now() + OWNER_RETRY_DELAY_MS : 0;
  }

  #getBudget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const { retryRatio, retryBurst, retryWindowMs } = this.#options.settings();
    const budget = RetryBudget.create({
      ratio: retryRatio,
      burst: retryBurst,
      windowMs: retryWindowMs,
    });
    this.#budgets.set(service, budget);
    return budget;
  }
}

/** Results after which no server has received any byte of the request. */
export const NOT_WRITTEN: ReadonlySet<ExchangeEnd> = new Set([
  ExchangeEnd.NotSent,
  ExchangeEnd.Unsent,
]);

/** Results after which a server may have run the request. */
export const MAY_HAVE_RUN: ReadonlySet<ExchangeEnd> = new Set([
  ExchangeEnd.Broken,
  ExchangeEnd.TimedOut,
  ExchangeEnd.Cancelled,
]);
