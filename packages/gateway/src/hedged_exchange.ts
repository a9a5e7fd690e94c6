/** Sends a slow request to a second server as well. @module */
import {
  decideHedge,
  HedgeBudget,
  HedgeVerdict,
  RecentLatencies,
} from "@jaytiller/placement";
import { RequestKind, type ServerEntry } from "@jaytiller/routing";
import { nameServiceResource } from "./admission_messages.js";
import type { ClientCall } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import { ExchangeEnd, type ExchangeResult } from "./exchange.js";
import type { Placer } from "./placer.js";
import type { GatewaySettings, HedgingSettings } from "./settings.js";

/** Reason of the abort of an attempt whose request was answered elsewhere. */
export const ANSWERED_ELSEWHERE = Symbol("answeredElsewhere");

/** Dependencies of a `HedgedExchange`. */
export interface HedgedExchangeOptions {
  readonly settings: () => GatewaySettings;
  readonly cluster: ClusterState;
  readonly placer: Placer;
  /** Uses one retry of a service; returns whether its budget allows it. */
  readonly tryConsumeRetry: (service: string, nowMs: number) => boolean;
  /** Returns whether the process takes no further work. */
  readonly isStopping: () => boolean;
}

/** One exchange with a server that the placer has reserved. */
export interface HedgedAttempt {
  readonly server: ServerEntry;
  /**
   * Ends the exchange; aborted with `ANSWERED_ELSEWHERE` when the other attempt is answered,
   * and as well when the call is cancelled.
   */
  readonly signal: AbortSignal;
  /** Servers to which the request is written and that have not answered. */
  readonly written: Set<string>;
}

/** A request to send, and how. */
export interface HedgedSend {
  readonly server: ServerEntry;
  /** Size of the request body, bytes. */
  readonly bodySize: number;
  /** Runs an exchange and records its evidence. */
  readonly runAttempt: (attempt: HedgedAttempt) => Promise<ExchangeResult>;
  /** Reads input that may have arrived, such as the awaited response. */
  readonly readPendingInput: () => Promise<void> | undefined;
}

interface RouteHedges {
  readonly latencies: RecentLatencies;
  readonly budget: HedgeBudget;
}

/** Exchanges with a second attempt once the first is slower than most. */
export class HedgedExchange {
  readonly #options: HedgedExchangeOptions;
  readonly #routes = new Map<string, RouteHedges>();
  /** Requests that count for the budget of their route. */
  readonly #counted = new WeakSet<ClientCall>();
  #sent = 0;
  #won = 0;
  #cancelled = 0;
  #refusedByBudget = 0;

  constructor(options: HedgedExchangeOptions) {
    this.#options = options;
  }

  /**
   * Returns the result of the attempt that was answered first, or of the one
   * that failed last.
   */
  run(call: ClientCall, send: HedgedSend): Promise<ExchangeResult> {
    const { server } = send;
    const hedging = this.#findSettings(call);
    if (!hedging) {
      const { signal } = call;
      return send.runAttempt({ server, signal, written: new Set() });
    }
    const route = this.#getRoute(call);
    // One that is refused allows no extra work, and one sent again no more.
    if (!this.#counted.has(call)) {
      this.#counted.add(call);
      route.budget.countRequest(hedging.maxShare, performance.now());
    }
    return new HedgeRace(call, send, {
      ...route,
      quantile: hedging.quantile,
      reserve: (context) => this.#reserve(call, send, context),
      onCancelled: () => this.#cancelled += 1,
      onWon: () => this.#won += 1,
    }).run();
  }

  /** Removes the state of routes that are no longer configured. */
  retainRoutes(isKnown: (route: string) => boolean): void {
    for (const name of this.#routes.keys()) {
      if (!isKnown(name)) this.#routes.delete(name);
    }
  }

  listMetrics(): readonly (readonly [string, number])[] {
    return [
      ["jaytiller_hedges_sent", this.#sent],
      ["jaytiller_hedges_won", this.#won],
      ["jaytiller_hedges_cancelled", this.#cancelled],
      ["jaytiller_hedges_refused_by_budget", this.#refusedByBudget],
    ];
  }

  /** Returns the settings if a call may be hedged at all. */
  #findSettings(call: ClientCall): HedgingSettings | undefined {
    const { hedging } = this.#options.settings();
    if (!hedging || hedging.maxShare <= 0) return undefined;
    const isIdempotent = call.route.kind === RequestKind.Idempotent;
    return isIdempotent && !this.#isSharded(call) ? hedging : undefined;
  }

  #isSharded(call: ClientCall): boolean {
    const { cluster } = this.#options;
    return cluster.routes?.findService(call.service)?.sharded !== false;
  }

  #getRoute({ route: { name } }: ClientCall): RouteHedges {
    const known = this.#routes.get(name);
    if (known) return known;
    const route = {
      latencies: new RecentLatencies(),
      budget: new HedgeBudget(),
    };
    this.#routes.set(name, route);
    return route;
  }

  /** Reserves a second server if the request may be sent to one now. */
  #reserve(
    call: ClientCall,
    { server, bodySize }: HedgedSend,
    { nowMs, expectedMs }: { nowMs: number; expectedMs: number },
  ): ServerEntry | undefined {
    const { cluster, placer, isStopping } = this.#options;
    const { route, service } = call;
    // The settings may have been reloaded since the first attempt.
    if (!this.#findSettings(call) || call.isAnswered || isStopping()) {
      return undefined;
    }
    const resource = nameServiceResource(service);
    const verdict = decideHedge({
      isIdempotent: route.kind === RequestKind.Idempotent,
      isSharded: this.#isSharded(call),
      attemptsLeft: route.maxAttempts - call.triedServers.length - 1,
      hasClientLeft: call.hasClientLeft,
      leftMs: call.deadlineMs - nowMs,
      expectedMs,
      isShort: cluster.admission.isShort(resource, nowMs) ||
        placer.isShort(resource, nowMs),
    });
    if (verdict !== HedgeVerdict.Send) return undefined;
    const second = placer.reserveSecond(call, {
      body: bodySize,
      first: server.id,
      isAllowed: () => this.#tryConsume(call, nowMs),
    });
    if (second) this.#sent += 1;
    return second;
  }

  #tryConsume(call: ClientCall, nowMs: number): boolean {
    const { budget } = this.#getRoute(call);
    const isAllowed = budget.isAllowed(nowMs) &&
      this.#options.tryConsumeRetry(call.service, nowMs);
    if (isAllowed) budget.consume(nowMs);
    else this.#refusedByBudget += 1;
    return isAllowed;
  }
}

interface RaceOptions extends RouteHedges {
  readonly quantile: number;
  /** Reserves a second server if the request may be sent to one now. */
  readonly reserve: (
    context: { nowMs: number; expectedMs: number },
  ) => ServerEntry | undefined;
  /** Called when the second attempt is cancelled for the first one. */
  readonly onCancelled: () => void;
  /** Called when the second attempt is answered first. */
  readonly onWon: () => void;
}

/** An attempt in progress. */
interface RunningAttempt {
  readonly server: ServerEntry;
  readonly controller: AbortController;
  readonly startedMs: number;
  result?: ExchangeResult;
}

/** The one or two attempts of an exchange. */
class HedgeRace {
  readonly #call: ClientCall;
  readonly #send: HedgedSend;
  readonly #options: RaceOptions;
  readonly #written = new Set<string>();
  readonly #attempts: RunningAttempt[] = [];
  #timer: NodeJS.Timeout | undefined;
  #isDone = false;
  #resolve: (result: ExchangeResult) => void = () => {};
  #reject: (error: unknown) => void = () => {};

  constructor(call: ClientCall, send: HedgedSend, options: RaceOptions) {
    this.#call = call;
    this.#send = send;
    this.#options = options;
  }

  run(): Promise<ExchangeResult> {
    return new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      this.#start(this.#send.server);
      const { latencies, quantile } = this.#options;
      const recent = latencies.getQuantile(quantile, performance.now());
      // A request is hedged once, also if it is sent again after a failure.
      if (!recent || this.#call.hedge) return;
      this.#timer = setTimeout(
        () => this.#startSecond(recent.medianMs).catch(reject),
        recent.ms,
      );
    });
  }

  async #startSecond(expectedMs: number): Promise<void> {
    // The response may have arrived while the event loop was behind.
    await this.#send.readPendingInput();
    if (this.#isDone) return;
    const nowMs = performance.now();
    const server = this.#options.reserve({ nowMs, expectedMs });
    if (!server) return;
    this.#call.hedge = { server: server.id };
    this.#start(server);
  }

  #start(server: ServerEntry): void {
    const controller = new AbortController();
    const startedMs = performance.now();
    const attempt: RunningAttempt = { server, controller, startedMs };
    this.#attempts.push(attempt);
    const signal = AbortSignal.any([this.#call.signal, controller.signal]);
    const written = this.#written;
    void this.#send.runAttempt({ server, signal, written })
      .then((result) => this.#handleEnd(attempt, result))
      .catch((error: unknown) => this.#reject(error));
  }

  #handleEnd(attempt: RunningAttempt, result: ExchangeResult): void {
    attempt.result = result;
    if (this.#isDone) return;
    const isAnswered = result.end === ExchangeEnd.Answered;
    if (attempt === this.#attempts[0]) this.#recordFirst(result);
    const other = this.#attempts.find((a) => a !== attempt && !a.result);
    if (other && !isAnswered) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    const { hedge } = this.#call;
    if (isAnswered && hedge && this.#attempts.length > 1) {
      this.#call.hedge = { ...hedge, winner: attempt.server.id };
      if (attempt !== this.#attempts[0]) this.#options.onWon();
    }
    if (other) this.#cancel(other);
    this.#resolve(result);
  }

  /** Ends an attempt whose response is no longer needed. */
  #cancel(attempt: RunningAttempt): void {
    const nowMs = performance.now();
    if (attempt === this.#attempts[0]) {
      // Without the cancelled ones, which were slower than the quantile, the
      // quantile would fall and ever more requests would be hedged.
      this.#options.latencies.record(nowMs - attempt.startedMs, nowMs);
    } else {
      this.#options.onCancelled();
    }
    attempt.controller.abort(ANSWERED_ELSEWHERE);
  }

  /** Records a first attempt; a fast error says nothing about the others. */
  #recordFirst({ end, answer, latencyMs }: ExchangeResult): void {
    if (end !== ExchangeEnd.Answered || (answer?.status ?? 500) >= 500) return;
    this.#options.latencies.record(latencyMs, performance.now());
  }
}
