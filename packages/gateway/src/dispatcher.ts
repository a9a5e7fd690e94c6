/** Handles a request: route, server, exchange and response. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type Route,
  type ServerEntry,
  WeightedRoundRobin,
} from "@jaytiller/routing";
import { AttemptRunner } from "./attempt_runner.js";
import type { Body } from "./body_chunks.js";
import { ChunkPacer } from "./chunk_pacer.js";
import { ClientCall, type ReceivedRequest } from "./client_call.js";
import { InputHold } from "./client_input.js";
import type { ClusterState } from "./cluster_state.js";
import {
  ExchangeEnd,
  type ExchangeResult,
  type ServerAnswer,
} from "./exchange.js";
import { HedgedExchange } from "./hedged_exchange.js";
import { ClientLimit, type LimitLog } from "./limit_log.js";
import type { LoopMonitor } from "./loop_monitor.js";
import { HeldKind, type MemoryBudget } from "./memory_budget.js";
import type { Placer } from "./placer.js";
import type { RequestProtocol } from "./ports.js";
import { RefusalResponder } from "./refusal_responder.js";
import {
  BodyEnd,
  type BodyResult,
  getStatedLength,
  readBody,
} from "./request_body.js";
import { RequestLog } from "./request_log.js";
import type { RequestMetrics } from "./request_metrics.js";
import { NOT_WRITTEN, RetryPolicy } from "./retry_policy.js";
import { decideRoute, type RouteDecision } from "./route_decision.js";
import type { ServerAgents } from "./server_agents.js";
import { computeFingerprint, ServerEvidence } from "./server_evidence.js";
import type { GatewaySettings } from "./settings.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a dispatcher. */
export interface DispatcherOptions {
  readonly settings: () => GatewaySettings;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly placer: Placer;
  readonly agents: ServerAgents;
  readonly protocol: RequestProtocol;
  readonly log: EventLog;
  readonly loop: LoopMonitor;
  readonly metrics: RequestMetrics;
  readonly budget: MemoryBudget;
  readonly limits: LimitLog;
  /** Returns the number of routers that share the retry budget. */
  readonly countRouters: () => number;
}

/**
 * Chunks of all request bodies that are read in a second. Each takes 2 us to
 * 3 us of a core, so these take at most a fifth of a small VM's processor.
 */
const REQUEST_CHUNKS_PER_SECOND = 15_000;

/** Forwards each request to a server and the response to the client. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #splits = new WeightedRoundRobin();
  readonly #requestPacer: ChunkPacer;
  readonly #evidence: ServerEvidence;
  readonly #requestLog: RequestLog;
  readonly #refusals: RefusalResponder;
  readonly #retries: RetryPolicy;
  readonly #attempts: AttemptRunner;
  readonly #hedged: HedgedExchange;
  #open = 0;
  #drain: DrainTimes | undefined;
  #isRefusing = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#requestPacer = new ChunkPacer({
      perSecond: REQUEST_CHUNKS_PER_SECOND,
      onPause: () => options.limits.record(ClientLimit.ChunksPaced),
    });
    const requestLog = new RequestLog({
      ...options,
      getZone: () => options.settings().zone,
    });
    this.#requestLog = requestLog;
    this.#refusals = new RefusalResponder({ ...options, requestLog });
    this.#retries = new RetryPolicy(options);
    const evidence = new ServerEvidence(options);
    this.#evidence = evidence;
    this.#attempts = new AttemptRunner({ ...options, evidence });
    this.#hedged = new HedgedExchange({
      ...options,
      tryConsumeRetry: (service, nowMs) =>
        this.#retries.tryConsume(service, nowMs),
      isStopping: () => this.#drain !== undefined || this.#isRefusing,
    });
  }

  /** Number of requests that have not been answered. */
  get open(): number {
    return this.#open;
  }

  /**
   * Makes all further responses close their connections, and sends no request
   * late in a planned stop that may not have ended before the process does.
   */
  beginDrain(times: DrainTimes): void {
    this.#drain = times;
  }

  /** Refuses all further requests because the process is about to exit. */
  refuseAll(): void {
    this.#isRefusing = true;
  }

  /** Whether responses should close their connections. */
  get isClosing(): boolean {
    return this.#drain !== undefined;
  }

  /** Lists the metrics of hedged requests. */
  listMetrics(): readonly (readonly [string, number])[] {
    return this.#hedged.listMetrics();
  }

  /** Handles one request. */
  async serve(received: ReceivedRequest): Promise<void> {
    const nowMs = performance.now();
    const { request, response, pipelined } = received;
    response.sendDate = false;
    const metadata = this.#options.protocol.parseRequestHeaders(
      request.headers,
    );
    const decision = this.decideRoute({
      host: request.headers.host ?? "",
      target: request.url ?? "/",
      nowMs,
    });
    if ("rejection" in decision) {
      return this.#refusals.reject(received, metadata, decision.rejection);
    }
    const { table, route } = decision;
    const service = this.#splits.chooseService(route);
    const call = new ClientCall(request, response, {
      metadata,
      route,
      service,
      nowMs,
      pipelined,
    });
    this.#open += 1;
    try {
      await this.#run(call, table.configuration.limits.maxBodyBytes);
    } finally {
      this.#open -= 1;
    }
  }

  /** Finds the route of a request, and changes nothing. */
  decideRoute(
    request: { host: string; target: string; nowMs: number },
  ): RouteDecision {
    const { cluster, settings } = this.#options;
    return decideRoute(cluster, request, {
      isRefusing: this.#isRefusing,
      maxAgeMs: settings().configurationApplyMs,
    });
  }

  /** Returns the service of a route's next request, and counts no request. */
  peekService(route: Route): string {
    return this.#splits.peekService(route);
  }

  /** Returns whether a request that is sent now may be cut by the stop. */
  isTooLate(deadlineMs: number): boolean {
    if (!this.#drain) return false;
    const { lateMs, endMs } = this.#drain;
    return performance.now() > lateMs && deadlineMs > endMs;
  }

  async #run(call: ClientCall, maxBodyBytes: number): Promise<void> {
    call.onTimeout = () => this.#refusals.timeOut(call);
    call.onGiveUp(() => this.#refusals.giveUp(call));
    const { budget } = this.#options;
    const length = getStatedLength(call.request);
    if (length <= maxBodyBytes && !budget.hasRoom(length)) {
      return this.#refusals.refuseBody(call, length);
    }
    try {
      await this.#serveBody(call, await this.#readBody(call, maxBodyBytes));
    } finally {
      call.memory.releaseBuffers();
    }
  }

  #readBody(call: ClientCall, maxBytes: number): Promise<BodyResult> {
    const { input } = call;
    const { result, stop } = readBody(call.request, {
      maxBytes,
      held: call.memory,
      pacer: this.#requestPacer,
      source: {
        pause: () => input.hold(InputHold.Chunks),
        resume: () => input.release(InputHold.Chunks),
      },
      onChunk: () => input.countChunk(),
    });
    call.onAnswered = stop;
    return result;
  }

  async #serveBody(call: ClientCall, { end, body }: BodyResult): Promise<void> {
    if (call.isGivenUp) return;
    if (end === BodyEnd.TooLarge) return this.#refusals.refuseTooLarge(call);
    if (end !== BodyEnd.Whole || call.isAnswered) {
      return this.#requestLog.write(call, "bodyCutShort");
    }
    await call.waitForTurn();
    if (call.isAnswered) return;
    if (call.hasClientLeft) return this.#requestLog.write(call, "clientLeft");
    if (this.#isRefusing) return this.#refusals.refuseStopping(call);
    this.#countRequest(call);
    if (this.#isBarred(call, body)) return this.#refusals.refuseBarred(call);
    await this.#send(call, body);
  }

  async #send(call: ClientCall, body: Body): Promise<void> {
    let unsent = 0;
    let notBeforeMs = 0;
    while (!call.isAnswered) {
      if (this.isTooLate(call.deadlineMs)) {
        return this.#refusals.refuseStopping(call);
      }
      const placement = await this.#options.placer.findServer(call, {
        body: body.size,
        notBeforeMs,
      });
      if ("reason" in placement) return this.#refusals.refuse(call, placement);
      if (this.isTooLate(call.deadlineMs)) {
        this.#evidence.release(placement.server);
        return this.#refusals.refuseStopping(call);
      }
      const result = await this.#exchange(call, placement.server, body);
      if (result.end === ExchangeEnd.Answered) {
        this.#deliver(call, result.answer!);
        return this.#requestLog.write(call, "answered", result);
      }
      if (NOT_WRITTEN.has(result.end)) unsent += 1;
      if (!this.#retries.isRetryAllowed(call, result.end, unsent)) {
        return this.#refusals.fail(call, result);
      }
      notBeforeMs = this.#retries.computeRetryTime(call, result.end);
      this.#requestLog.write(call, "sendAgain", result);
    }
  }

  #deliver(call: ClientCall, answer: ServerAnswer): void {
    const memory = this.#options.budget.open({
      kind: HeldKind.Delivery,
      address: call.clientAddress,
      giveUp: () => {
        call.cutOff();
        memory.release();
      },
    });
    call.deliver(answer, memory);
  }

  #exchange(
    call: ClientCall,
    server: ServerEntry,
    body: Body,
  ): Promise<ExchangeResult> {
    call.onClientLeft = () => call.cancel();
    if (call.hasClientLeft) call.cancel();
    return this.#hedged.run(call, {
      server,
      bodySize: body.size,
      runAttempt: (attempt) => this.#attempts.run(call, body, attempt),
      readPendingInput: () => this.#attempts.confirmClient(call),
    });
  }

  #isBarred(call: ClientCall, body: Body): boolean {
    const { barred } = this.#options.cluster;
    return barred.size > 0 && barred.has(computeFingerprint(call, body));
  }

  #countRequest(call: ClientCall): void {
    this.#retries.countRequest(call);
    const { key } = call.metadata;
    const { stats } = this.#options;
    if (key !== undefined) stats.countKey(call.service, key);
    stats.countPriority(call.service, call.route.priority);
  }

  /** Removes the state of routes that are no longer configured. */
  retainRoutes(routes: readonly Route[]): void {
    this.#splits.retainRoutes(routes);
    const names = new Set(routes.map((r) => r.name));
    this.#options.metrics.retainRoutes((name) => names.has(name));
    this.#options.placer.retainRoutes((name) => names.has(name));
    this.#hedged.retainRoutes((name) => names.has(name));
  }
}

/** Times of a planned stop, monotonic, ms. */
export interface DrainTimes {
  /** Time from which clients should have been sent elsewhere. */
  readonly lateMs: number;
  /** Time at which the open requests are cut off. */
  readonly endMs: number;
}
