/** Assembles a gateway process. @module */
import { randomUUID } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import { EventLog, LifeCycle } from "@jaytiller/kernel";
import type { LeaseTimes, RouterRef } from "@jaytiller/ranges";
import { BufferCollector } from "./buffer_collector.js";
import { CapacityLeases } from "./capacity_leases.js";
import { ConfigurationFollower } from "./configuration_follower.js";
import { Coordinator } from "./coordinator.js";
import { Dispatcher } from "./dispatcher.js";
import { formatEvacuations } from "./evacuation_updates.js";
import { ExplainPage } from "./explain_page.js";
import { FeedReader } from "./feed_reader.js";
import { Frontend } from "./frontend.js";
import { LimitLog } from "./limit_log.js";
import { LoopMonitor } from "./loop_monitor.js";
import { ColdPermitClient } from "./cold_permit_client.js";
import { ColdPermitService } from "./cold_permit_service.js";
import { ColdState } from "./cold_state.js";
import { ClusterState, ClusterStatePart } from "./cluster_state.js";
import { Member } from "./member.js";
import { MemoryBudget } from "./memory_budget.js";
import { PeerServer } from "./peer_link.js";
import { PermitClient } from "./permit_client.js";
import { PlacementExplainer } from "./placement_explainer.js";
import { Placer } from "./placer.js";
import type {
  LeaseTransport,
  PlatformStore,
  RequestProtocol,
} from "./ports.js";
import { RequestMetrics } from "./request_metrics.js";
import { ServerAgents } from "./server_agents.js";
import { ServerClearance } from "./server_clearance.js";
import type { GatewaySettings } from "./settings.js";
import { TrafficStats } from "./traffic_stats.js";
import { StatusServer } from "./status_server.js";

/** Dependencies of a gateway. */
export interface GatewayOptions {
  /** Returns the current settings, which may change at run time. */
  readonly settings: () => GatewaySettings;
  readonly store: PlatformStore;
  readonly leases: LeaseTransport;
  readonly protocol: RequestProtocol;
  readonly log: EventLog;
  /** Formats further lines for the metrics page. */
  readonly formatMetrics?: () => string;
}

/** Lease duration unless the servers' maximum is shorter, ms. */
const LEASE_DURATION_MS = 3_000;
const LEASE_RENEWAL_INTERVAL_MS = 900;
/** Largest share by which servers' clocks may run slower than ours. */
const MAX_CLOCK_SKEW = 0.02;
/** Time within which the platform's load balancer redirects clients, ms. */
const BALANCER_REDIRECT_MS = 2_600;
/** Part of the stop time that is reserved for the exit of the process, ms. */
const EXIT_RESERVE_MS = 500;
/** Longest delay of the first readiness while keys have no owners, ms. */
const MAX_OWNERS_WAIT_MS = 4_000;
const STOP_TIMEOUT_MS = 3_000;
/** Longest description of an error in the log, characters. */
const MAX_LOGGED_ERROR_LENGTH = 2_000;
/** Part of the drain time for which only a leaving server's keys use it. */
const LEAVING_USE_SHARE = 0.5;

/** A running gateway. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #lifeCycle = LifeCycle.create();
  readonly #cluster = new ClusterState();
  readonly #stats = new TrafficStats();
  readonly #agents = new ServerAgents();
  readonly #metrics = new RequestMetrics();
  readonly #limits: LimitLog;
  readonly #budget: MemoryBudget;
  readonly #collector: BufferCollector;
  readonly #loop: LoopMonitor;
  readonly #member: Member;
  readonly #follower: ConfigurationFollower;
  readonly #front: Frontend;
  readonly #cold: ColdState;
  readonly #permits: PermitClient;
  readonly #coldPermits: ColdPermitClient;
  readonly #leases: CapacityLeases;
  readonly #placer: Placer;
  readonly #dispatcher: Dispatcher;
  readonly #explainPage: ExplainPage;
  readonly #startedAt = performance.now();
  #stopping: Promise<void> | undefined;
  #wasReady = false;
  #faults = 0;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { store, log, protocol, leases } = options;
    const settings = options.settings();
    const cluster = this.#cluster;
    const stats = this.#stats;
    const self = makeRouterRef(settings);
    this.#limits = new LimitLog(log);
    this.#collector = new BufferCollector(settings.memoryBytes);
    this.#budget = new MemoryBudget(settings.memoryBytes, {
      limits: this.#limits,
      collector: this.#collector,
      heapLimitBytes: getHeapStatistics().heap_size_limit,
      getResidentBytes: () => process.memoryUsage.rss(),
    });
    this.#loop = new LoopMonitor(log);
    const reader = new FeedReader(store, cluster, {
      log,
      heartbeatMs: settings.serverHeartbeatMs,
    });
    const times = makeLeaseTimes(settings);
    const countRouters = () => this.#member.routerCount;
    this.#leases = new CapacityLeases({
      node: self.node,
      cluster,
      stats,
      log,
      countRouters,
    });
    this.#member = new Member({
      self,
      cluster,
      stats,
      reader,
      store,
      isFirstStart: settings.isFirstStart ?? false,
      log,
      leases: this.#leases,
      createCoordinator: (claim) =>
        new Coordinator({
          self,
          cluster,
          stats,
          reader,
          store,
          leases,
          log,
          times,
          capacityLeases: this.#leases,
          coldPermits: new ColdPermitService({
            self,
            cluster,
            stats,
            settings: options.settings,
            countRouters: (nowMs) => this.#member.getMostRouters(nowMs),
          }),
          onEnd: () => this.#member.endTerm(),
          onTermRenewed: (term) => this.#member.renewTerm(term),
        }, claim),
    });
    this.#follower = new ConfigurationFollower({
      cluster,
      reader,
      log,
      applyMs: settings.configurationApplyMs,
      isCoordinator: () => this.#member.isCoordinator,
    });
    this.#permits = new PermitClient({
      notices: stats.notices,
      log,
      getCoordinator: () => this.#member.coordinator,
      issuePermits: (request) => this.#member.issuePermits(request),
      countRouters,
      onPermits: () => this.#placer.advance(),
    });
    // Permits that were issued because of an earlier process may be in use.
    stats.permitMode.confirm(performance.now());
    this.#coldPermits = new ColdPermitClient({
      log,
      getCoordinator: () => this.#member.coordinator,
      issuePermits: (request) => this.#member.issueColdPermits(request),
      onPermits: () => this.#placer.advance(),
    });
    this.#cold = new ColdState({
      cluster,
      stats,
      log,
      settings: options.settings,
      countRouters: (nowMs) => this.#member.getMostRouters(nowMs),
      permits: this.#coldPermits,
    });
    this.#placer = new Placer(cluster, stats, {
      zone: settings.zone,
      countRouters,
      leases: this.#leases,
      clearance: new ServerClearance({
        cluster,
        stats,
        permits: this.#permits,
        cold: this.#cold,
        getLeavingUseMs: () => LEAVING_USE_SHARE * options.settings().drainMs,
        getEvacuateMs: () => options.settings().evacuateMs,
      }),
    });
    this.#dispatcher = new Dispatcher({
      settings: options.settings,
      cluster,
      stats,
      placer: this.#placer,
      agents: this.#agents,
      protocol,
      log,
      loop: this.#loop,
      metrics: this.#metrics,
      budget: this.#budget,
      limits: this.#limits,
      countRouters,
    });
    const explainer = new PlacementExplainer({
      node: self.node,
      cluster,
      placer: this.#placer,
      dispatcher: this.#dispatcher,
      budget: this.#budget,
      member: this.#member,
    });
    this.#explainPage = new ExplainPage({
      explain: (query, nowMs) => explainer.explain(query, nowMs),
      log,
    });
    this.#front = new Frontend({
      dispatcher: this.#dispatcher,
      cluster,
      settings: options.settings,
      limits: this.#limits,
      budget: this.#budget,
      log,
    });
    cluster.onChange((part) => {
      if (part === ClusterStatePart.Servers) this.#pruneServers();
      if (
        part === ClusterStatePart.Routes ||
        part === ClusterStatePart.Evacuations
      ) this.#member.announceChanges();
    });
    this.#addServices(settings);
  }

  async start(): Promise<void> {
    await this.#lifeCycle.startAll();
    this.#options.log.record("start", {
      ms: Math.round(performance.now() - this.#startedAt),
    });
  }

  /**
   * Stops without losing a request that has been read. Every call, including
   * one during the stop, resolves once the stop has ended.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    this.#options.log.record("stop", { open: this.#dispatcher.open });
    const maxMs = this.#options.settings().stopMs - EXIT_RESERVE_MS;
    const memberStopped = this.#member.stop(performance.now() + maxMs);
    await this.#front.drain({ redirectMs: BALANCER_REDIRECT_MS, maxMs });
    await memberStopped;
    await this.#lifeCycle.stopAll({ timeoutMs: STOP_TIMEOUT_MS });
  }

  /**
   * Handles an error that nothing has caught; `origin` says how it surfaced.
   * The process goes on, because its end would cut off all requests. State that
   * a failed step may have left wrong is the coordinator's: its term ends, and
   * the next one is made from the store's record.
   */
  handleFault(error: unknown, origin: string): void {
    this.#faults += 1;
    this.#options.log.record("fault", { origin, problem: formatError(error) });
    this.#member.endOwnTerm("a fault");
  }

  /** Whether this process is the coordinator. */
  get isCoordinator(): boolean {
    return this.#member.isCoordinator;
  }

  /** Returns whether the platform should route clients to this process. */
  isReady(): boolean {
    if (this.#stopping) return false;
    const { routes, hasServers } = this.#cluster;
    if (!routes || !hasServers) return false;
    const isReady = this.#wasReady || this.#hasOwners() ||
      performance.now() - this.#startedAt > MAX_OWNERS_WAIT_MS;
    if (isReady && !this.#wasReady) {
      this.#wasReady = true;
      this.#options.log.record("ready", {
        ms: Math.round(performance.now() - this.#startedAt),
        version: routes.version,
      });
    }
    return isReady;
  }

  /** Returns whether each sharded service has key owners. */
  #hasOwners(): boolean {
    const { routes, owners } = this.#cluster;
    return routes!.listServices().every((s) =>
      !s.sharded || owners.get(s.name)?.hasOwner
    );
  }

  #addServices(settings: GatewaySettings): void {
    const { listen } = settings;
    const pages = {
      [this.#options.protocol.readyPath]: () => {
        const isReady = this.isReady();
        return {
          status: isReady ? 200 : 503,
          text: isReady ? "ready\n" : "not ready\n",
        };
      },
    };
    const metrics = {
      "/metrics": () => ({ status: 200, text: this.#formatMetrics() }),
      "/explain": (query: string) =>
        this.#explainPage.answer(query, performance.now()),
    };
    const add = this.#lifeCycle;
    add.add("loop", this.#loop);
    add.add("permits", this.#permits);
    add.add("coldPermits", this.#coldPermits);
    add.add("placer", this.#placer);
    add.add(
      "peers",
      new PeerServer(listen.peers, {
        methods: this.#member.makeRpcMethods(),
        log: this.#options.log,
      }),
    );
    add.add("front", this.#front);
    add.add("ready", new StatusServer(listen.ready, pages));
    add.add("metrics", new StatusServer(listen.metrics, metrics));
    add.add("follower", this.#follower);
    add.add("member", this.#member);
  }

  #pruneServers(): void {
    const isKnown = (id: string) =>
      this.#cluster.servers.find(id) !== undefined;
    const nowMs = performance.now();
    this.#stats.crashes.markRestarted(
      (id) => this.#cluster.servers.find(id)?.born,
      nowMs,
    );
    this.#agents.retain(isKnown);
    this.#stats.retain(isKnown);
    this.#permits.retain(isKnown);
    this.#cold.retain(isKnown);
    this.#stats.notices.retain(
      (id) => this.#cluster.servers.find(id)?.born,
      nowMs,
    );
  }

  #formatMetrics(): string {
    const nowMs = performance.now();
    const values: readonly (readonly [string, number])[] = [
      ["jaytiller_requests_open", this.#dispatcher.open],
      ["jaytiller_requests_waiting", this.#placer.waiting],
      ["jaytiller_requests_evicted", this.#placer.evicted],
      ["jaytiller_requests_deferred", this.#placer.deferred],
      ["jaytiller_counted_clients", this.#placer.countedClients],
      [
        "jaytiller_admission_shares",
        this.#cluster.admission.list(nowMs).length,
      ],
      ["jaytiller_client_connections", this.#front.connections],
      ["jaytiller_memory_held_bytes", this.#budget.usedBytes],
      ["jaytiller_memory_held_limit_bytes", this.#budget.limitBytes],
      ["jaytiller_heap_held_bytes", this.#budget.heapBytes],
      ["jaytiller_heap_held_limit_bytes", this.#budget.heapLimitBytes],
      ["jaytiller_inputs_deferred", this.#front.deferredInputs],
      ...listMemoryMetrics(),
      ["jaytiller_buffer_collections", this.#collector.collections],
      ["jaytiller_configuration_version", this.#cluster.routes?.version ?? 0],
      [
        "jaytiller_configuration_age_seconds",
        (nowMs - this.#cluster.routesConfirmedAt) / 1000,
      ],
      [
        "jaytiller_servers_age_seconds",
        (nowMs - this.#cluster.serversConfirmedAt) / 1000,
      ],
      ["jaytiller_servers_known", this.#cluster.servers.list().length],
      ["jaytiller_coordinator", this.#member.isCoordinator ? 1 : 0],
      ["jaytiller_term", this.#member.term],
      ["jaytiller_store_era", this.#options.store.era],
      ["jaytiller_routers", this.#member.routerCount],
      ["jaytiller_faults", this.#faults],
      ["jaytiller_loop_stalls", this.#loop.stalls],
      ["jaytiller_loop_stalled_seconds", this.#loop.stalledMs / 1000],
      ...this.#dispatcher.listMetrics(),
      ...this.#leases.listMetrics(),
      ...this.#explainPage.listMetrics(),
      ...this.#member.listMetrics(),
    ];
    const gauges = values.map(([name, value]) => `${name} ${value}\n`);
    return gauges.join("") + formatEvacuations(this.#cluster, nowMs) +
      this.#cold.formatMetrics(nowMs) + this.#limits.format() +
      this.#metrics.format() + (this.#options.formatMetrics?.() ?? "");
  }
}

/** Lists what the process takes of its machine's memory, bytes. */
function listMemoryMetrics(): readonly (readonly [string, number])[] {
  const { rss, heapUsed, heapTotal, arrayBuffers } = process.memoryUsage();
  return [
    ["jaytiller_memory_resident_bytes", rss],
    ["jaytiller_memory_heap_used_bytes", heapUsed],
    ["jaytiller_memory_heap_total_bytes", heapTotal],
    ["jaytiller_memory_buffers_bytes", arrayBuffers],
  ];
}

/** Formats an error with its stack, within the length of a log line. */
function formatError(error: unknown): string {
  const text = error instanceof Error ? error.stack : undefined;
  return (text ?? String(error)).slice(0, MAX_LOGGED_ERROR_LENGTH);
}

function makeRouterRef(settings: GatewaySettings): RouterRef {
  const { host, port } = settings.listen.peers;
  return {
    node: settings.node,
    incarnation: randomUUID(),
    address: `${host}:${port}`,
    zone: settings.zone,
    cores: settings.cores,
  };
}

function makeLeaseTimes(settings: GatewaySettings): LeaseTimes {
  const holdMs = Math.min(LEASE_DURATION_MS, settings.maxHoldMs);
  const renewMs = Math.min(LEASE_RENEWAL_INTERVAL_MS, holdMs / 3);
  return { holdMs, renewMs, clockSkew: MAX_CLOCK_SKEW };
}
