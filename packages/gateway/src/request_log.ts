/** Writes one line for each request that has ended, and counts it. @module */
import { type EventLog, EventPriority } from "@jaytiller/kernel";
import type { ClientCall } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import type { ExchangeResult } from "./exchange.js";
import type { RequestMetrics } from "./request_metrics.js";

/** Dependencies of a request log. */
export interface RequestLogOptions {
  readonly cluster: ClusterState;
  readonly log: EventLog;
  readonly metrics: RequestMetrics;
  /** Returns this router's availability zone. */
  readonly getZone: () => string;
}

/** Log lines and metrics of requests. */
export class RequestLog {
  readonly #options: RequestLogOptions;

  constructor(options: RequestLogOptions) {
    this.#options = options;
  }

  /** Writes how a request, or one of its exchanges, has ended. */
  write(call: ClientCall, outcome: string, result?: ExchangeResult): void {
    const { cluster, log, metrics } = this.#options;
    const nowMs = performance.now();
    const labels = { route: call.route.name, service: call.service, outcome };
    metrics.count(labels, nowMs - call.arrivedMs);
    const isSuccess = outcome === "answered" && (call.status ?? 500) < 400;
    const notice = result?.metadata?.notice;
    log.write("request", {
      request: call.metadata.attemptId,
      outcome,
      status: call.status,
      route: call.route.name,
      service: call.service,
      key: call.metadata.key,
      admissionShare: call.admissionShare,
      servers: call.triedServers.join(","),
      hedged: call.hedge ? true : undefined,
      hedgeWinner: call.hedge?.winner,
      end: result?.end,
      problem: result?.problem,
      unframed: result?.answer?.isUnframed || undefined,
      serverLimit: notice?.requestsPerSecond,
      serverLeaving: notice?.isLeaving || undefined,
      serverPauseMs: notice?.pauseMs,
      serverZone: this.#findOtherZone(call),
      ms: Math.round(nowMs - call.arrivedMs),
      leftMs: Math.round(call.deadlineMs - nowMs),
      sentMs: computeOffset(call, call.sentAtMs),
      clientLeftMs: computeOffset(call, call.clientLeftAtMs),
      version: cluster.routes?.version,
      configurationAgeMs: cluster.getRoutesAgeMs(nowMs),
      owners: cluster.ownersVersion,
      serversAgeMs: Math.round(nowMs - cluster.serversConfirmedAt),
    }, isSuccess ? EventPriority.Routine : EventPriority.Notable);
  }

  /** Returns the zone of the last server if it is not this router's. */
  #findOtherZone(call: ClientCall): string | undefined {
    const id = call.hedge?.winner ?? call.triedServers.at(-1);
    const zone = id && this.#options.cluster.servers.find(id)?.zone;
    return zone === this.#options.getZone() ? undefined : zone;
  }
}

/** Returns the time since the request's arrival at `atMs`, ms. */
function computeOffset(
  call: ClientCall,
  atMs: number | undefined,
): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - call.arrivedMs);
}
