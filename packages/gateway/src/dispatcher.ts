/** The path of a request: route, server, exchange, answer. @module */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type EventLog, EventWeight } from "@jaytiller/kernel";
import { ExchangeSign, RetryBudget } from "@jaytiller/placement";
import {
  RequestKind,
  type Route,
  type ServerEntry,
  SplitChooser,
} from "@jaytiller/routing";
import { answerPlain, ClientCall, OwnStatus } from "./client_call.js";
import {
  copyHeaders,
  ExchangeEnd,
  type ExchangeResult,
  runExchange,
} from "./exchange.js";
import type { Knowledge } from "./knowledge.js";
import type { Placer, Refusal } from "./placer.js";
import { RefusalReason } from "./placer.js";
import type { RequestFacts, RequestProtocol } from "./ports.js";
import type { RequestMetrics } from "./request_metrics.js";
import { BodyEnd, readBody } from "./request_body.js";
import type { ServerAgents } from "./server_agents.js";
import type { GatewaySettings } from "./settings.js";
import type { StatsBook } from "./stats_book.js";

/** What the dispatcher works with. */
export interface DispatcherParts {
  readonly settings: () => GatewaySettings;
  readonly knowledge: Knowledge;
  readonly stats: StatsBook;
  readonly placer: Placer;
  readonly agents: ServerAgents;
  readonly protocol: RequestProtocol;
  readonly log: EventLog;
  readonly metrics: RequestMetrics;
  /** Number of routers that share the retry budget. */
  readonly countRouters: () => number;
}

/** A request that never reached a server is tried this often. */
const MAX_UNSENT = 3;
/** Pause before a full owner of a key is tried again, ms. */
const FULL_PAUSE_MS = 60;
/** A server may be this late with its answer, ms. */
const ANSWER_SLACK_MS = 100;
/** Time after which a client without a route table comes back, ms. */
const STARTING_RETRY_MS = 500;
/** Time after which a client may ask about a request that crashes servers, ms. */
const CRASHING_RETRY_MS = 5_000;
const FINGERPRINT_LENGTH = 16;
/** Time that a second send needs at least, ms. */
const MIN_LEFT_MS = 30;

/** Brings each request to a server and its answer back. */
export class Dispatcher {
  readonly #parts: DispatcherParts;
  readonly #splits = new SplitChooser();
  readonly #budgets = new Map<string, RetryBudget>();
  #open = 0;
  #isClosing = false;
  #isClosed = false;

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
  }

  /** Requests that have not been answered. */
  get open(): number {
    return this.#open;
  }

  /** From now on, answers close their connections. */
  closeConnections(): void {
    this.#isClosing = true;
  }

  /** From now on, requests are refused: the process is about to end. */
  refuseAll(): void {
    this.#isClosed = true;
  }

  /** Serves one request. */
  async serve(request: IncomingMessage, response: ServerResponse) {
    const nowMs = performance.now();
    response.sendDate = false;
    const facts = this.#parts.protocol.readRequest(request.headers);
    const table = this.#parts.knowledge.routes;
    if (this.#isClosed) return this.#answerEarly(response, facts, "stopping");
    if (!table || !this.#parts.knowledge.hasServers) {
      return this.#answerEarly(response, facts, "starting");
    }
    const host = request.headers.host ?? "";
    const route = table.match(host, request.url ?? "/");
    if (!route) return this.#answerEarly(response, facts, "noRoute");
    const service = this.#splits.choose(route);
    const call = new ClientCall(request, response, {
      facts,
      route,
      service,
      nowMs,
      isClosing: () => this.#isClosing,
    });
    this.#open += 1;
    try {
      await this.#run(call, table.configuration.limits.maxBodyBytes);
    } finally {
      this.#open -= 1;
    }
  }

  #answerEarly(
    response: ServerResponse,
    facts: RequestFacts,
    reason: EarlyReason,
  ): void {
    const early = EARLY_ANSWERS[reason];
    this.#parts.log.write("refused", {
      request: facts.attemptId,
      reason,
      version: this.#parts.knowledge.routes?.version,
    }, EventWeight.Routine);
    answerPlain(response, {
      ...early,
      isClosing: this.#isClosing,
      attemptId: facts.attemptId,
    });
  }

  async #run(call: ClientCall, maxBodyBytes: number): Promise<void> {
    call.onTimeout = () => this.#timeOut(call);
    const { end, body } = await readBody(call.request, maxBodyBytes);
    if (end === BodyEnd.TooLarge) {
      call.answer(OwnStatus.TooLarge);
      return this.#log(call, "tooLarge");
    }
    if (end === BodyEnd.CutShort || call.isAnswered) {
      return this.#log(call, "bodyCutShort");
    }
    this.#countRequest(call);
    if (this.#isBarred(call, body)) {
      call.answer(OwnStatus.Refused, CRASHING_RETRY_MS);
      return this.#log(call, "crashesServers");
    }
    await this.#send(call, body);
  }

  async #send(call: ClientCall, body: Buffer): Promise<void> {
    let unsent = 0;
    let notBeforeMs = 0;
    while (!call.isAnswered) {
      const size = body.length;
      const placed = await this.#parts.placer.find(call, {
        body: size,
        notBeforeMs,
      });
      if ("reason" in placed) return this.#refuse(call, placed);
      const result = await this.#exchange(call, placed.server, body);
      this.#noteCrash(call, { server: placed.server, body, result });
      if (result.end === ExchangeEnd.Answered) {
        call.deliver(result.answer!);
        return this.#log(call, "answered", result);
      }
      if (result.end === ExchangeEnd.NotSent) unsent += 1;
      if (!this.#maySendAgain(call, result.end, unsent)) {
        return this.#fail(call, result);
      }
      notBeforeMs = this.#computePause(call, result);
      this.#log(call, "sendAgain", result);
    }
  }

  async #exchange(
    call: ClientCall,
    server: ServerEntry,
    body: Buffer,
  ): Promise<ExchangeResult> {
    const { agents, protocol, stats, placer } = this.#parts;
    const leftMs = Math.max(1, Math.floor(call.deadlineMs - performance.now()));
    const isRepeatable = call.route.kind === RequestKind.Idempotent;
    // Work that may not be repeated runs to its end, also if nobody waits.
    call.onClientLeft = () => isRepeatable && call.cancel();
    if (call.hasClientLeft) call.cancel();
    call.isSending = true;
    const result = await runExchange({
      agent: agents.get(server.id),
      address: server.address,
      method: call.request.method ?? "GET",
      target: call.request.url ?? "/",
      headers: this.#makeHeaders(call, { server, body, leftMs }),
      body,
      attemptId: call.facts.attemptId,
      timeoutMs: leftMs + ANSWER_SLACK_MS,
      signal: call.signal,
    }, protocol);
    call.isSending = false;
    if (result.end !== ExchangeEnd.NotSent) call.tried.push(server.id);
    if (MAY_HAVE_RUN.has(result.end)) call.mayHaveRun = true;
    stats.get(server.id).end(SIGNS[result.end](result), {
      nowMs: performance.now(),
      latencyMs: result.latencyMs,
      ...(result.facts?.load ? { load: result.facts.load } : {}),
    });
    placer.advance();
    return result;
  }

  #makeHeaders(
    call: ClientCall,
    send: { server: ServerEntry; body: Buffer; leftMs: number },
  ): string[] {
    const { protocol } = this.#parts;
    const raw = call.request.rawHeaders;
    const headers = copyHeaders(
      raw,
      (name) => protocol.replaced.has(name) || name === "content-length",
    );
    const own = protocol.makeServerHeaders({
      deadlineMs: send.leftMs,
      serverId: send.server.id,
    });
    for (const [name, value] of own) headers.push(name, value);
    const { method } = call.request;
    const hasBody = send.body.length > 0 ||
      method !== "GET" && method !== "HEAD" && method !== "DELETE";
    if (hasBody) headers.push("Content-Length", String(send.body.length));
    headers.push("Connection", "keep-alive");
    return headers;
  }

  #isBarred(call: ClientCall, body: Buffer): boolean {
    const { barred } = this.#parts.knowledge;
    return barred.size > 0 && barred.has(computeFingerprint(call, body));
  }

  /** Takes note of what may show that the request crashes servers. */
  #noteCrash(call: ClientCall, sent: Sent): void {
    const { crashes } = this.#parts.stats;
    const { server, body, result } = sent;
    const nowMs = performance.now();
    if (result.end === ExchangeEnd.NotSent) crashes.noteDown(server.id, nowMs);
    if (result.end === ExchangeEnd.Broken) {
      crashes.noteBroken({
        fingerprint: computeFingerprint(call, body),
        server: server.id,
        life: `${server.id}/${server.born}`,
        atMs: nowMs,
      });
    }
    if (result.end === ExchangeEnd.Answered && crashes.hasSuspects) {
      crashes.noteAnswered(computeFingerprint(call, body));
    }
  }

  /** Whether the request may go to a server once more. */
  #maySendAgain(call: ClientCall, end: ExchangeEnd, unsent: number): boolean {
    if (call.isAnswered || call.hasClientLeft) return false;
    const nowMs = performance.now();
    if (call.deadlineMs - nowMs < MIN_LEFT_MS) return false;
    if (end === ExchangeEnd.NotSent) return unsent < MAX_UNSENT;
    if (MAY_HAVE_RUN.has(end) && call.route.kind !== RequestKind.Idempotent) {
      return false;
    }
    if (call.tried.length >= call.route.maxAttempts) return false;
    const routers = this.#parts.countRouters();
    return this.#getBudget(call.service).take(nowMs, routers);
  }

  /** The owner of a key is the only one that can be tried again. */
  #computePause(call: ClientCall, result: ExchangeResult): number {
    const service = this.#parts.knowledge.routes?.findService(call.service);
    const isOwner = service?.sharded ?? false;
    const pauses = result.end === ExchangeEnd.NotRun ||
      result.end === ExchangeEnd.NotSent;
    return isOwner && pauses ? performance.now() + FULL_PAUSE_MS : 0;
  }

  #fail(call: ClientCall, result: ExchangeResult): void {
    if (call.mayHaveRun) {
      const isLate = result.end === ExchangeEnd.TimedOut;
      call.answer(isLate ? OwnStatus.TimedOut : OwnStatus.Unknown);
      return this.#log(call, "unknown", result);
    }
    call.answer(OwnStatus.Refused, this.#computeReturn(call));
    this.#log(call, "refused", result);
  }

  /** A client that is turned away by a full server comes back a little later. */
  #computeReturn(call: ClientCall): number {
    return Math.min(0.3 * call.route.targetMs, 250) * (0.7 + Math.random());
  }

  #refuse(call: ClientCall, refusal: Refusal): void {
    if (refusal.reason === RefusalReason.ClientLeft) {
      return this.#log(call, "clientLeft");
    }
    const isUnknown = call.mayHaveRun;
    const status = refusal.reason === RefusalReason.NoKey
      ? OwnStatus.BadRequest
      : isUnknown
      ? OwnStatus.Unknown
      : OwnStatus.Refused;
    call.answer(status, isUnknown ? undefined : refusal.retryAfterMs);
    this.#log(call, refusal.reason);
  }

  /** The time of the request is up. */
  #timeOut(call: ClientCall): void {
    const wasSent = call.mayHaveRun || call.isSending;
    call.answer(wasSent ? OwnStatus.TimedOut : OwnStatus.Refused);
    if (call.route.kind === RequestKind.Idempotent) call.cancel();
    this.#log(call, "timedOut");
  }

  #countRequest(call: ClientCall): void {
    this.#getBudget(call.service).countRequest(call.arrivedMs);
    const { key } = call.facts;
    if (key !== undefined) this.#parts.stats.countKey(call.service, key);
  }

  #getBudget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const { retryRatio, retryBurst, retryWindowMs } = this.#parts.settings();
    const budget = RetryBudget.create({
      ratio: retryRatio,
      burst: retryBurst,
      windowMs: retryWindowMs,
    });
    this.#budgets.set(service, budget);
    return budget;
  }

  /** Forgets routes that are gone. */
  keepRoutes(routes: readonly Route[]): void {
    this.#splits.keep(routes);
    const names = new Set(routes.map((r) => r.name));
    this.#parts.metrics.keepRoutes((name) => names.has(name));
  }

  #log(call: ClientCall, outcome: string, result?: ExchangeResult): void {
    const { knowledge, log, metrics } = this.#parts;
    const nowMs = performance.now();
    const labels = { route: call.route.name, service: call.service, outcome };
    metrics.count(labels, nowMs - call.arrivedMs);
    const isGood = outcome === "answered" && (call.status ?? 500) < 400;
    log.write("request", {
      request: call.facts.attemptId,
      outcome,
      status: call.status,
      route: call.route.name,
      service: call.service,
      key: call.facts.key,
      servers: call.tried.join(","),
      end: result?.end,
      problem: result?.problem,
      unframed: result?.answer?.isUnframed || undefined,
      ms: Math.round(nowMs - call.arrivedMs),
      leftMs: Math.round(call.deadlineMs - nowMs),
      version: knowledge.routes?.version,
      owners: knowledge.ownersName,
      serversAgeMs: Math.round(nowMs - knowledge.serversAt),
    }, isGood ? EventWeight.Routine : EventWeight.Notable);
  }
}

/** One send and its end. */
interface Sent {
  readonly server: ServerEntry;
  readonly body: Buffer;
  readonly result: ExchangeResult;
}

/** Equal for requests that do the same, whoever sends them. */
function computeFingerprint(call: ClientCall, body: Buffer): string {
  const { method, url } = call.request;
  return createHash("sha256")
    .update(`${method} ${url} ${call.facts.key ?? ""}\n`)
    .update(body).digest("base64url").slice(0, FINGERPRINT_LENGTH);
}

/** Why a request is answered before it has a route. */
type EarlyReason = "starting" | "stopping" | "noRoute";

const EARLY_ANSWERS: Readonly<
  Record<EarlyReason, { status: OwnStatus; retryAfterMs?: number }>
> = {
  starting: { status: OwnStatus.Refused, retryAfterMs: STARTING_RETRY_MS },
  // Other routers serve on.
  stopping: { status: OwnStatus.Refused, retryAfterMs: 0 },
  noRoute: { status: OwnStatus.NotFound },
};

/** Ends after which a server may have run the request. */
const MAY_HAVE_RUN: ReadonlySet<ExchangeEnd> = new Set([
  ExchangeEnd.Broken,
  ExchangeEnd.TimedOut,
  ExchangeEnd.Cancelled,
]);

/** What an end says about the server. */
const SIGNS: Record<ExchangeEnd, (result: ExchangeResult) => ExchangeSign> = {
  [ExchangeEnd.Answered]: (r) =>
    (r.answer?.status ?? 0) >= 500 ? ExchangeSign.Failure : ExchangeSign.Answer,
  [ExchangeEnd.NotRun]: (r) =>
    r.answer?.status === 503 ? ExchangeSign.Full : ExchangeSign.None,
  [ExchangeEnd.NotSent]: () => ExchangeSign.Silence,
  [ExchangeEnd.Broken]: () => ExchangeSign.Failure,
  [ExchangeEnd.TimedOut]: () => ExchangeSign.Failure,
  [ExchangeEnd.Cancelled]: () => ExchangeSign.None,
};
