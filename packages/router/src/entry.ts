/** The port for callers. @module */
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
  describeCall,
  filterHeaders,
  makeRefusal,
  makeUnknown,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import { chooseSignal } from "./forward.js";
import type { HolderPath } from "./holder_path.js";
import type { LogTail } from "./log_tail.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import type { Pressure } from "./pressure.js";
import { writeResult } from "./respond.js";
import { findRule } from "./rules.js";
import { waitMs } from "./signal.js";

const log = getLogger("entry");

const RETRY_AFTER_MS = 500;
/** Callers may ask for less time than the rule gives. */
const TIMEOUT_HEADER = "jaytiller-timeout-ms";

/** Limits of the caller port. */
export interface EntryLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly bodyIdleMs: number;
  readonly toleranceMs: number;
}

/** Takes callers' requests, checks them and returns the outcome. */
export class Entry implements Service {
  readonly #server: Hapi.Server;
  readonly #tail: LogTail;
  readonly #path: HolderPath;
  readonly #peers: Peers;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #metrics: Metrics;
  readonly #pressure: Pressure;
  readonly #limits: EntryLimits;

  constructor(options: {
    listen: { host: string; port: number };
    tail: LogTail;
    path: HolderPath;
    peers: Peers;
    clock: Clock;
    events: Events;
    metrics: Metrics;
    pressure: Pressure;
    limits: EntryLimits;
  }) {
    this.#tail = options.tail;
    this.#path = options.path;
    this.#peers = options.peers;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#metrics = options.metrics;
    this.#pressure = options.pressure;
    this.#limits = options.limits;
    const listener = createServer({
      maxHeaderSize: options.limits.headerBytes,
      headersTimeout: options.limits.bodyIdleMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // Slow uploads are watched by their progress, not by their total time.
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
      handler: (request, h) => this.#accept(request, h),
    });
  }

  get port(): number {
    return this.#server.info.port as number;
  }

  async start(): Promise<void> {
    await this.#server.start();
    log.info(`Listens for callers on port ${this.port}.`);
  }

  async stop(): Promise<void> {
    await waitMs(STOP_DELAY_MS);
    await this.#server.stop({ timeout: STOP_LIMIT_MS });
  }

  async #accept(request: Request, h: ResponseToolkit) {
    const arrivedAt = this.#clock.now();
    const requestId = this.#clock.newRequestId();
    const result = await this.#handle(request, requestId).catch((error) => {
      // Where the fault lies is not known, so neither is the outcome.
      log.error(`Request ${requestId} failed: ${(error as Error).stack}.`);
      return makeUnknown(Reason.ConnectionLost, "The router failed");
    });
    const outcome = result.kind === ResultKind.Verdict
      ? result.verdict.outcome
      : Outcome.Answered;
    this.#metrics.recordRequest(this.#clock.now() - arrivedAt, outcome);
    const response = writeResult(h, result, requestId);
    return this.#peers.stopping
      ? response.header("connection", "close")
      : response;
  }

  async #handle(request: Request, requestId: string): Promise<Result> {
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
        `No route covers ${request.method.toUpperCase()} ${path.slice(0, 200)}`,
      );
    }
    const wrong = this.#checkIdentity(request, rule);
    if (wrong) return wrong;
    if (this.#pressure.isExceeded(rule.class)) {
      const text = "The router has more requests than it can handle";
      return makeRefusal(Reason.Overloaded, text, RETRY_AFTER_MS);
    }
    const read = await readBody(request.raw.req, {
      maxBytes: Math.min(rule.maxBodyBytes, this.#limits.bodyBytes),
      idleMs: this.#limits.bodyIdleMs,
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
      deadlineMs: this.#clock.unixMs() + readTimeout(request, rule),
      signal: chooseSignal(request, { rule, body: read.body }),
    };
    this.#pressure.enter();
    try {
      const result = await this.#path.route(call);
      this.#noteResult(call, result);
      return result;
    } finally {
      this.#pressure.leave();
    }
  }

  /** Refuses a request that may not be repeated without a usable identity. */
  #checkIdentity(request: Request, rule: CallRule): Result | undefined {
    if (rule.idempotent) return undefined;
    const identity = readIdentity(request);
    const timeMs = identity === undefined ? undefined : parseUuid7Ms(identity);
    if (timeMs === undefined) {
      return makeRefusal(
        Reason.IdentityRequired,
        "This request may not be repeated: header idempotency-key must hold " +
          `a UUIDv7 (found ${identity ?? "nothing"})`,
      );
    }
    const ahead = timeMs - this.#clock.unixMs();
    if (ahead <= this.#limits.toleranceMs) return undefined;
    return makeRefusal(
      Reason.IdentityAhead,
      `The identity's time is ${ahead} ms ahead of this router's clock`,
    );
  }

  #noteResult(call: Call, result: Result) {
    if (result.kind === ResultKind.Verdict) {
      const { outcome, reason, text } = result.verdict;
      const kind = outcome === Outcome.Refused
        ? EventKind.RequestRefused
        : EventKind.RequestUnknown;
      this.#note(kind, call, `${reason}: ${text}`);
    } else if (!call.rule.idempotent && "status" in result) {
      const replayed = result.kind === ResultKind.Whole && result.replayed;
      const text = `Answered with ${result.status}${
        replayed ? ", replayed" : ""
      }`;
      this.#note(EventKind.RequestAnswered, call, text);
    }
  }

  #note(kind: EventKind, call: Call, text: string) {
    this.#events.add(describeCall(call, { kind, text }));
  }
}

const KEEP_ALIVE_MS = 30_000;
/**
 * Closing the port cuts connections whose request has not been read yet.
 * Requests that are read within this time are served first.
 */
const STOP_DELAY_MS = 250;
/** Long uploads in flight may finish before the router stops. */
const STOP_LIMIT_MS = 120_000;

function readIdentity(request: Request): string | undefined {
  const value = request.raw.req.headers[HEADER.identity];
  return typeof value === "string" ? value : undefined;
}

function readTimeout(request: Request, rule: CallRule): number {
  const asked = Number(request.raw.req.headers[TIMEOUT_HEADER] ?? NaN);
  return asked > 0 ? Math.min(asked, rule.deadlineMs) : rule.deadlineMs;
}
