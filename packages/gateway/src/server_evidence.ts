/** Records what finished exchanges tell about servers and requests. @module */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { EventLog } from "@jaytiller/kernel";
import { ExchangeOutcome, type ServerNotice } from "@jaytiller/placement";
import type { ServerEntry } from "@jaytiller/routing";
import type { Body } from "./body_chunks.js";
import { type ClientCall, RouterStatus } from "./client_call.js";
import { ExchangeEnd, type ExchangeResult } from "./exchange.js";
import type { TrafficStats } from "./traffic_stats.js";

/** A finished exchange with a server. */
export interface CompletedExchange {
  readonly server: ServerEntry;
  readonly body: Body;
  readonly result: ExchangeResult;
  /** Whether it was cancelled because another server was answered first. */
  readonly isAnsweredElsewhere: boolean;
}

const FINGERPRINT_LENGTH = 16;
const MISDIRECTED_STATUS = 421;

/** Adds the evidence of exchanges to this router's statistics. */
export class ServerEvidence {
  readonly #stats: TrafficStats;
  readonly #log: EventLog;

  constructor({ stats, log }: { stats: TrafficStats; log: EventLog }) {
    this.#stats = stats;
    this.#log = log;
  }

  /** Records an exchange. It ends the reservation of its server. */
  record(call: ClientCall, exchange: CompletedExchange): void {
    const { server, result, isAnsweredElsewhere } = exchange;
    const nowMs = performance.now();
    this.#stats.demand.end(server.service, nowMs);
    const outcome = isAnsweredElsewhere && result.end === ExchangeEnd.Cancelled
      ? ExchangeOutcome.AnsweredElsewhere
      : EXCHANGE_SIGNS[result.end](result);
    this.#stats.get(server.id).end(outcome, {
      nowMs,
      latencyMs: result.latencyMs,
      targetMs: call.route.targetMs,
      ...(result.metadata?.load ? { load: result.metadata.load } : {}),
    });
    this.#recordNotice(server, result, nowMs);
    this.#recordRestart(server, result, nowMs);
    this.#recordCrashEvidence(call, exchange, nowMs);
  }

  /** Ends the reservation of a server to which nothing was sent. */
  release(server: ServerEntry): void {
    const nowMs = performance.now();
    this.#stats.demand.end(server.service, nowMs);
    this.#stats.get(server.id).end(ExchangeOutcome.None, { nowMs });
  }

  /** Records what a server says about itself with a response of its own. */
  #recordNotice(
    server: ServerEntry,
    { metadata, answer }: ExchangeResult,
    nowMs: number,
  ): void {
    // A 421 may come from another server at the same address.
    if (!metadata || answer?.status === MISDIRECTED_STATUS) return;
    const { notice } = metadata;
    const { coldMs = 0 } = notice;
    this.#stats.cold.recordResponse(server, { coldMs, nowMs });
    const { isLimitChanged, isLeavingNew } = this.#stats.notices.record(
      server,
      notice,
      nowMs,
    );
    const { requestsPerSecond } = notice;
    if (isLimitChanged) {
      this.#log.record("serverLimit", { server: server.id, requestsPerSecond });
    }
    if (isLeavingNew) this.#log.record("serverLeaving", { server: server.id });
    if (answer?.status === RouterStatus.Refused) {
      this.#recordPause(server, notice, nowMs);
    }
  }

  /** Records what may be the restart of a server under its id. */
  #recordRestart(
    server: ServerEntry,
    { end, problem }: ExchangeResult,
    nowMs: number,
  ): void {
    const { cold } = this.#stats;
    if (end === ExchangeEnd.NotSent && problem === "ECONNREFUSED") {
      cold.recordRefusal(server, nowMs);
    }
    if (end === ExchangeEnd.Broken && problem === "ECONNRESET") {
      cold.recordReset(server, nowMs);
    }
  }

  #recordPause(
    server: ServerEntry,
    { pauseMs = 0 }: ServerNotice,
    nowMs: number,
  ): void {
    if (pauseMs === 0) return;
    const { notices } = this.#stats;
    const isPaused = notices.getPauseMs(server, nowMs) > 0;
    notices.recordPause(server, { pauseMs, nowMs });
    if (!isPaused) {
      this.#log.record("serverPause", { server: server.id, pauseMs });
    }
  }

  /** Records evidence on whether the request crashes servers. */
  #recordCrashEvidence(
    call: ClientCall,
    { server, body, result }: CompletedExchange,
    nowMs: number,
  ): void {
    const { crashes } = this.#stats;
    if (result.end === ExchangeEnd.NotSent) crashes.markDown(server.id, nowMs);
    if (result.end === ExchangeEnd.Broken && !result.isEndless) {
      crashes.recordBroken({
        fingerprint: computeFingerprint(call, body),
        server: server.id,
        life: `${server.id}/${server.born}`,
        atMs: nowMs,
      });
    }
    if (result.end === ExchangeEnd.Answered && crashes.hasSuspects) {
      crashes.markAnswered(computeFingerprint(call, body));
    }
  }
}

/**
 * Hashes method, target, key and body, so that requests with the same effect
 * have the same fingerprint, whichever client sends them.
 */
export function computeFingerprint(
  call: {
    readonly request: Pick<IncomingMessage, "method" | "url">;
    readonly metadata: { readonly key?: number };
  },
  body: Pick<Body, "parts">,
): string {
  const { method, url } = call.request;
  const hash = createHash("sha256")
    .update(`${method} ${url} ${call.metadata.key ?? ""}\n`);
  for (const part of body.parts) hash.update(part);
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}

/** What the result of an exchange says about the server. */
const EXCHANGE_SIGNS: Record<
  ExchangeEnd,
  (result: ExchangeResult) => ExchangeOutcome
> = {
  [ExchangeEnd.Answered]: (r) =>
    r.isEndless
      ? ExchangeOutcome.Endless
      : (r.answer?.status ?? 0) >= 500
      ? ExchangeOutcome.Failure
      : ExchangeOutcome.Answer,
  [ExchangeEnd.NotRun]: (r) =>
    r.answer?.status === RouterStatus.Refused
      ? ExchangeOutcome.Full
      : ExchangeOutcome.None,
  [ExchangeEnd.NotSent]: () => ExchangeOutcome.Unreachable,
  [ExchangeEnd.Unsent]: () => ExchangeOutcome.None,
  [ExchangeEnd.Broken]: (r) =>
    r.isEndless ? ExchangeOutcome.Endless : ExchangeOutcome.Failure,
  [ExchangeEnd.TimedOut]: () => ExchangeOutcome.Missing,
  [ExchangeEnd.Cancelled]: () => ExchangeOutcome.None,
};
