/** The coordinator's part in the permits for cold servers. @module */
import { ColdPermitIssuer, type PermitGrant } from "@jaytiller/placement";
import type { RouterRef } from "@jaytiller/ranges";
import type { ClusterState } from "./cluster_state.js";
import type { SentHeartbeat } from "./heartbeat_sender.js";
import type { HeartbeatReply, PermitRequest } from "./peer_messages.js";
import type { GatewaySettings } from "./settings.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of the permits of one term. */
export interface ColdPermitServiceOptions {
  readonly self: RouterRef;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly settings: () => Pick<GatewaySettings, "coldOverage" | "coldSlack">;
  /** Returns the number of routers, or `undefined` while it is not known. */
  readonly countRouters: (nowMs: number) => number | undefined;
}

/** Interval at which servers and routers that are gone are removed, ms. */
const RETAIN_INTERVAL_MS = 1_000;

/** Issues permits for cold servers, for one term of the coordinator. */
export class ColdPermitService {
  readonly #options: ColdPermitServiceOptions;
  readonly #issuer = new ColdPermitIssuer();
  #nextRetainMs = -Infinity;
  #isUseful = false;
  #issued = 0;

  constructor(options: ColdPermitServiceOptions) {
    this.#options = options;
  }

  /** Whether routers are to use permits; heartbeats tell them. */
  get isUseful(): boolean {
    return this.#isUseful;
  }

  /** Confirms this router's own use, as a reply to a heartbeat does. */
  tick(nowMs: number): void {
    const { self, stats, countRouters } = this.#options;
    const routers = countRouters(nowMs);
    this.#isUseful = routers !== undefined &&
      this.#issuer.isUseful(routers, nowMs);
    if (this.#isUseful) stats.permitMode.confirm(nowMs);
    this.#issuer.recordReply(self.incarnation, {
      sentMs: nowMs,
      nowMs,
      isConfirmed: this.#isUseful,
    });
    if (nowMs < this.#nextRetainMs) return;
    this.#nextRetainMs = nowMs + RETAIN_INTERVAL_MS;
    const { servers } = this.#options.cluster;
    this.#issuer.retain((id) => servers.find(id) !== undefined, nowMs);
  }

  /** Records the reply of another router to a heartbeat of this term. */
  recordReply(
    { router, coldPermits }: HeartbeatReply,
    { atMs }: SentHeartbeat,
  ): void {
    if (coldPermits === undefined) return;
    this.#issuer.recordReply(router.incarnation, {
      sentMs: atMs,
      nowMs: performance.now(),
      isConfirmed: coldPermits,
    });
  }

  /** Issues permits; the smaller of two rates counts after a change of it. */
  issue(request: PermitRequest, nowMs: number): PermitGrant {
    const { cluster, settings, countRouters } = this.#options;
    const { server, count } = request;
    const service = cluster.servers.find(server)?.service;
    const { coldPerSecond = Infinity } =
      (service ? cluster.routes?.findService(service) : undefined) ?? {};
    const { coldOverage: overage, coldSlack: slack } = settings();
    const grant = this.#issuer.issue(server, {
      count,
      bound: {
        requestsPerSecond: Math.min(request.requestsPerSecond, coldPerSecond),
        overage,
        slack,
      },
      routers: countRouters(nowMs) ?? Infinity,
      nowMs,
    });
    this.#issued += grant.granted;
    return grant;
  }

  /** Lists names and values for the metrics page. */
  listMetrics(): readonly (readonly [string, number])[] {
    return [
      ["jaytiller_cold_permits_useful", this.#isUseful ? 1 : 0],
      ["jaytiller_cold_permits_issued", this.#issued],
    ];
  }
}
