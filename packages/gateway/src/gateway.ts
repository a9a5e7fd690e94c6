/** Puts a gateway process together. @module */
import { randomUUID } from "node:crypto";
import { EventLog, LifeCycle } from "@jaytiller/kernel";
import type { LeaseTimes, RouterRef } from "@jaytiller/ranges";
import { Coordinator } from "./coordinator.js";
import { Dispatcher } from "./dispatcher.js";
import { FeedReader } from "./feed_reader.js";
import { Front } from "./front.js";
import { Knowledge, KnowledgePart } from "./knowledge.js";
import { Member } from "./member.js";
import { PeerServer } from "./peer_link.js";
import { Placer } from "./placer.js";
import type {
  LeaseTransport,
  PlatformStore,
  RequestProtocol,
} from "./ports.js";
import { RequestMetrics } from "./request_metrics.js";
import { ServerAgents } from "./server_agents.js";
import type { GatewaySettings } from "./settings.js";
import { StatsBook } from "./stats_book.js";
import { StatusServer } from "./status_server.js";

/** What a gateway is made from. */
export interface GatewayOptions {
  /** Read anew at each use, as settings may change. */
  readonly settings: () => GatewaySettings;
  readonly store: PlatformStore;
  readonly leases: LeaseTransport;
  readonly protocol: RequestProtocol;
  readonly log: EventLog;
}

/** Duration of a lease, ms, if servers accept one as long. */
const HOLD_MS = 3_000;
const RENEW_MS = 900;
/** Servers' clocks may run this much slower than ours. */
const CLOCK_SKEW = 0.02;
/** The platform's balancer leads clients elsewhere within this time, ms. */
const LEAD_MS = 2_600;
/** Time kept for the end of the process itself, ms. */
const STOP_RESERVE_MS = 500;
/** Waiting for owners of keys holds the first readiness up at most, ms. */
const OWNERS_WAIT_MS = 4_000;
const STOP_TIMEOUT_MS = 3_000;

/** A running gateway. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #lifeCycle = LifeCycle.create();
  readonly #knowledge = new Knowledge();
  readonly #stats = new StatsBook();
  readonly #agents = new ServerAgents();
  readonly #metrics = new RequestMetrics();
  readonly #member: Member;
  readonly #front: Front;
  readonly #placer: Placer;
  readonly #dispatcher: Dispatcher;
  readonly #startedAt = performance.now();
  #stopped: Promise<void> | undefined;
  #wasReady = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { store, log, protocol, leases } = options;
    const settings = options.settings();
    const knowledge = this.#knowledge;
    const stats = this.#stats;
    const self = makeSelf(settings);
    const reader = new FeedReader(store, knowledge, {
      log,
      heartbeatMs: settings.serverHeartbeatMs,
    });
    const times = makeTimes(settings);
    this.#member = new Member({
      self,
      knowledge,
      stats,
      reader,
      store,
      log,
      lead: (claim) =>
        new Coordinator({
          self,
          knowledge,
          stats,
          reader,
          store,
          leases,
          log,
          times,
          onEnd: () => this.#member.endTerm(),
        }, claim),
    });
    this.#placer = new Placer(knowledge, stats, { zone: settings.zone });
    this.#dispatcher = new Dispatcher({
      settings: options.settings,
      knowledge,
      stats,
      placer: this.#placer,
      agents: this.#agents,
      protocol,
      log,
      metrics: this.#metrics,
      countRouters: () => this.#member.routerCount,
    });
    this.#front = new Front({
      dispatcher: this.#dispatcher,
      knowledge,
      listen: settings.listen.front,
      log,
    });
    knowledge.onChange((part) => {
      if (part === KnowledgePart.Servers) this.#forgetServers();
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
   * Planned stop: no request that has been read is lost. Each call resolves
   * once the stop has ended, also one that comes while it is under way.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    this.#options.log.record("stop", { open: this.#dispatcher.open });
    const maxMs = this.#options.settings().stopMs - STOP_RESERVE_MS;
    const handedOver = this.#member.stop(performance.now() + maxMs);
    await this.#front.drain({ leadMs: LEAD_MS, maxMs });
    await handedOver;
    await this.#lifeCycle.stopAll({ timeoutMs: STOP_TIMEOUT_MS });
  }

  /** Whether this process is the coordinator. */
  get isLeading(): boolean {
    return this.#member.isLeading;
  }

  /** Whether the platform should send clients here. */
  isReady(): boolean {
    if (this.#stopped) return false;
    const { routes, hasServers } = this.#knowledge;
    if (!routes || !hasServers) return false;
    const isReady = this.#wasReady || this.#hasOwners() ||
      performance.now() - this.#startedAt > OWNERS_WAIT_MS;
    if (isReady && !this.#wasReady) {
      this.#wasReady = true;
      this.#options.log.record("ready", {
        ms: Math.round(performance.now() - this.#startedAt),
        version: routes.version,
      });
    }
    return isReady;
  }

  /** Whether the keys of each sharded service have been divided. */
  #hasOwners(): boolean {
    const { routes, owners } = this.#knowledge;
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
    };
    const add = this.#lifeCycle;
    add.add("placer", this.#placer);
    add.add("peers", new PeerServer(listen.peers, this.#member.makeMethods()));
    add.add("front", this.#front);
    add.add("ready", new StatusServer(listen.ready, pages));
    add.add("metrics", new StatusServer(listen.metrics, metrics));
    add.add("member", this.#member);
  }

  #forgetServers(): void {
    const isKnown = (id: string) =>
      this.#knowledge.servers.find(id) !== undefined;
    const nowMs = performance.now();
    this.#stats.crashes.noteViewed(
      (id) => this.#knowledge.servers.find(id)?.born,
      nowMs,
    );
    this.#agents.keep(isKnown);
    this.#stats.keep(isKnown);
  }

  #formatMetrics(): string {
    const nowMs = performance.now();
    const values: readonly (readonly [string, number])[] = [
      ["jaytiller_requests_open", this.#dispatcher.open],
      ["jaytiller_requests_waiting", this.#placer.waiting],
      ["jaytiller_client_connections", this.#front.connections],
      ["jaytiller_configuration_version", this.#knowledge.routes?.version ?? 0],
      [
        "jaytiller_servers_age_seconds",
        (nowMs - this.#knowledge.serversAt) / 1000,
      ],
      ["jaytiller_servers_known", this.#knowledge.servers.list().length],
      ["jaytiller_coordinator", this.#member.isLeading ? 1 : 0],
      ["jaytiller_term", this.#member.term],
      ["jaytiller_routers", this.#member.routerCount],
    ];
    const gauges = values.map(([name, value]) => `${name} ${value}\n`);
    return gauges.join("") + this.#metrics.format();
  }
}

function makeSelf(settings: GatewaySettings): RouterRef {
  const { host, port } = settings.listen.peers;
  return {
    node: settings.node,
    incarnation: randomUUID(),
    address: `${host}:${port}`,
    zone: settings.zone,
    cores: settings.cores,
  };
}

function makeTimes(settings: GatewaySettings): LeaseTimes {
  const holdMs = Math.min(HOLD_MS, settings.maxHoldMs);
  const renewMs = Math.min(RENEW_MS, holdMs / 3);
  return { holdMs, renewMs, clockSkew: CLOCK_SKEW };
}
