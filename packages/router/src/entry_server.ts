/** HTTP server for callers. @module */
import { createServer } from "node:http";
import Hapi, { type Request, type ResponseToolkit } from "@hapi/hapi";
import { getLogger, type Service } from "@jaytiller/kernel";
import {
  type CallRule,
  EventKind,
  HEADER,
  Outcome,
  parseUuid7Ms,
  Reason,
} from "@jaytiller/model";
import { readBody } from "./body.js";
import {
  type Call,
  describeCallEvent,
  filterHeaders,
  makeRefusal,
  makeUnknown,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import { makeCancelSignal } from "./forwarder.js";
import type { RequestRouter } from "./request_router.js";
import type { LogTail } from "./log_tail.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import type { OverloadDetector } from "./overload_detector.js";
import { makeResponse } from "./respond.js";
import { findRule } from "./rules.js";
import { waitMs } from "./signal.js";

const log = getLogger("entry");

const RETRY_AFTER_MS = 500;
/** Header with which callers request less time than the rule's deadline. */
const TIMEOUT_HEADER = "jaytiller-timeout-ms";

/** Limits of the caller port. */
export interface EntryLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly bodyIdleTimeoutMs: number;
  readonly identityToleranceMs: number;
}

/** Accepts callers' requests, validates them and responds with the outcome. */
export class EntryServer implements Service {
  readonly #server: Hapi.Server;
  readonly #tail: LogTail;
  readonly #path: RequestRouter;
  readonly #peers: Peers;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #metrics: Metrics;
  readonly #overload: OverloadDetector;
  readonly #limits: EntryLimits;

  constructor(options: {
    listen: { host: string; port: number };
    tail: LogTail;
    path: RequestRouter;
    peers: Peers;
    clock: Clock;
    events: Events;
    metrics: Metrics;
    pressure: OverloadDetector;
    limits: EntryLimits;
  }) {
    this.#tail = options.tail;
    this.#path = options.path;
    this.#peers = options.peers;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#metrics = options.metrics;
    this.#overload = options.pressure;
    this.#limits = options.limits;
    const listener = createServer({
      maxHeaderSize: options.limits.headerBytes,
      headersTimeout: options.limits.bodyIdleTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // Uploads are limited by their progress, not by their total time.
      requestTimeout: 0,
    });
    listener.maxConnections = options.limits.connections;
    this.#server = Hapi.server({
      host: options.listen.host,
      port: options.listen.port,
      listener,
      compression: false,
    });
    this.#server.route({
      method: "*",
      path: "/{path*}",
      options: {
        payload: { output: "stream", parse: false, maxBytes: 2 ** 40 },
        state: { parse: false, failAction: "ignore" },
      },
      handler: (request, h) => this.#handleRequest(request, h),
    });
  }

  get port(): number {
    return this.#server.info.port as number;
  }

  async start(): Promise<void> {
    await this.#server.start();
    log.info(`Listening for callers on port ${this.port}.`);
  }

  async stop(): Promise<void> {
    await waitMs(STOP_DELAY_MS);
    await this.#server.stop({ timeout: STOP_TIMEOUT_MS });
  }

  async #handleRequest(request: Request, h: ResponseToolkit) {
    const arrivedAt = this.#clock.now();
    const requestId = this.#clock.createRequestId();
    const result = await this.#routeRequest(request, requestId).catch(
      (error) => {
        // The request may have been sent before the error, so it may have run.
        log.error(`Request ${requestId} failed: ${(error as Error).stack}.`);
        return makeUnknown(
          Reason.ConnectionLost,
          "The router failed with an internal error",
        );
      },
    );
    const outcome = result.kind === ResultKind.Failure
      ? result.failure.outcome
      : Outcome.Answered;
    this.#metrics.recordRequest(this.#clock.now() - arrivedAt, outcome);
    const response = makeResponse(h, result, requestId);
    return this.#peers.stopping
      ? response.header("connection", "close")
      : response;
  }

  async #routeRequest(request: Request, requestId: string): Promise<Result> {
    const path = request.raw.req.url ?? "/";
    if (!this.#tail.ready) {
      const text = "The router has not read the configuration yet";
      return makeRefusal(Reason.NotReady, text, RETRY_AFTER_MS);
    }
    const match = this.#tail.state.matchPath(path);
    const rule = match && findRule(match.route, request.method, path);
    if (!match || !rule) {
      return makeRefusal(
        Reason.NoRoute,
        `No route matches ${request.method.toUpperCase()} ${
          path.slice(0, 200)
        }`,
      );
    }
    const identityRefusal = this.#checkIdentity(request, rule);
    if (identityRefusal) return identityRefusal;
    if (this.#overload.isOverloaded(rule.class)) {
      const text = "The router is overloaded";
      return makeRefusal(Reason.Overloaded, text, RETRY_AFTER_MS);
    }
    const read = await readBody(request.raw.req, {
      maxBytes: Math.min(rule.maxBodyBytes, this.#limits.bodyBytes),
      idleTimeoutMs: this.#limits.bodyIdleTimeoutMs,
    });
    if ("refusal" in read) return read.refusal;
    const { req } = request.raw;
    const call: Call = {
      requestId,
      service: match.route.service,
      key: match.key,
      route: match.route,
      rule,
      method: request.method.toUpperCase(),
      path,
      headers: filterHeaders(req.headers),
      identity: readIdentity(request),
      body: read.body,
      deadlineMs: this.#clock.unixMs() + computeTimeoutMs(request, rule),
      signal: makeCancelSignal(request, { rule, body: read.body }),
    };
    this.#overload.addRequest();
    try {
      const result = await this.#path.route(call);
      this.#recordResult(call, result);
      return result;
    } finally {
      this.#overload.removeRequest();
    }
  }

  /** Refuses a non-idempotent request without a usable identity. */
  #checkIdentity(request: Request, rule: CallRule): Result | undefined {
    if (rule.idempotent) return undefined;
    const identity = readIdentity(request);
    const timeMs = identity === undefined ? undefined : parseUuid7Ms(identity);
    if (timeMs === undefined) {
      return makeRefusal(
        Reason.IdentityRequired,
        "This request is not idempotent: header idempotency-key must contain " +
          `a UUIDv7 (found ${identity ?? "nothing"})`,
      );
    }
    const ahead = timeMs - this.#clock.unixMs();
    if (ahead <= this.#limits.identityToleranceMs) return undefined;
    return makeRefusal(
      Reason.IdentityAhead,
      `The identity's timestamp is ${ahead} ms ahead of this router's clock`,
    );
  }

  #recordResult(call: Call, result: Result) {
    if (result.kind === ResultKind.Failure) {
      const { outcome, reason, text } = result.failure;
      const kind = outcome === Outcome.Refused
        ? EventKind.RequestRefused
        : EventKind.RequestUnknown;
      this.#addEvent(kind, call, `${reason}: ${text}`);
    } else if (!call.rule.idempotent && "status" in result) {
      const replayed = result.kind === ResultKind.Buffered && result.replayed;
      const text = `Answered with ${result.status}${
        replayed ? ", replayed" : ""
      }`;
      this.#addEvent(EventKind.RequestAnswered, call, text);
    }
  }

  #addEvent(kind: EventKind, call: Call, text: string) {
    this.#events.add(describeCallEvent(call, { kind, text }));
  }
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/**
 * Delay before the port is closed. Closing it breaks connections whose request
 * has not been read yet; requests read within this time are still served.
 */
const STOP_DELAY_MS = 250;
/** Allows long uploads in flight to finish before the router stops. */
const STOP_TIMEOUT_MS = 120_000;

function readIdentity(request: Request): string | undefined {
  const value = request.raw.req.headers[HEADER.identity];
  return typeof value === "string" ? value : undefined;
}

function computeTimeoutMs(request: Request, rule: CallRule): number {
  const requestedMs = Number(request.raw.req.headers[TIMEOUT_HEADER] ?? NaN);
  return requestedMs > 0
    ? Math.min(requestedMs, rule.deadlineMs)
    : rule.deadlineMs;
}
