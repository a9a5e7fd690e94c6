/** What all routers report of keys, servers and crashes. @module */
import {
  type AssignmentManager,
  KeyLoad,
  type PlanContext,
} from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import {
  AdmissionPlanner,
  type OwnerLoad,
  PoisonRequestTracker,
  type PublishedShare,
  type ServiceCapacity,
} from "@jaytiller/placement";
import {
  AdmissionSender,
  type DemandFields,
  listReceivedShares,
  type PublishedAdmission,
  URGENT_FALL,
} from "./admission_messages.js";
import { applyRestarts } from "./cold_messages.js";
import { findColdPeriod } from "./cold_state.js";
import { CapacityEstimator } from "./capacity_estimator.js";
import type { ClusterState } from "./cluster_state.js";
import type { HeartbeatReply } from "./peer_messages.js";
import type { KeyCount, TrafficStats } from "./traffic_stats.js";

const MAX_REPORTED_KEYS = 400;
/** Least capacity of a server, requests per second. */
const MIN_CAPACITY = 0.1;
/** Time constant of the key loads that follow a burst, ms. */
const RECENT_LOAD_CONSTANT_MS = 500;
/**
 * Measured requests from which the capacity of a service is known, for each
 * server and for all: until then it follows from an assumed service time, and
 * requests could be refused for which there is room.
 */
const MIN_SERVER_SAMPLES = 10;
const MIN_SERVICE_SAMPLES = 50;

/** Merges the reports of all routers; owned by the coordinator. */
export class LoadReports {
  readonly #cluster: ClusterState;
  readonly #stats: TrafficStats;
  readonly #estimator = new CapacityEstimator();
  readonly #crashes = new PoisonRequestTracker();
  readonly #planner = new AdmissionPlanner();
  readonly #recentLoads = new Map<string, KeyLoad>();
  /** Loads of owners since the last `advance`, and of which assignments. */
  readonly #ownerLoads = new Map<
    string,
    {
      assignments: AssignmentManager["assignments"];
      loads: ReadonlyMap<string, number>;
    }
  >();
  readonly #countRouters: () => number;
  #admission: PublishedAdmission = {
    owners: [],
    services: [],
    atMs: -Infinity,
  };
  /** Shares that routers have been told since the last urgent one. */
  #announced: ReadonlyMap<string, number> = new Map();
  /** The last view with leaving servers, and what it was made from. */
  #drained: { servers: ServerView; key: string; view: ServerView } | undefined;

  constructor(
    options: {
      cluster: ClusterState;
      stats: TrafficStats;
      countRouters: () => number;
    },
  ) {
    this.#countRouters = options.countRouters;
    this.#cluster = options.cluster;
    this.#stats = options.stats;
  }

  /** Owners and services that get only a share of their requests. */
  get admission(): PublishedAdmission {
    return this.#admission;
  }

  /** Adds what another router reports. */
  add(reply: HeartbeatReply): void {
    this.#estimator.addReport(reply.keys, reply.times);
    this.#addDemand(reply);
    this.#crashes.add(reply.crashes, performance.now());
    this.#stats.notices.merge(reply.notices ?? [], performance.now());
    const nowMs = performance.now();
    applyRestarts(reply.restarts, { stats: this.#stats, nowMs });
  }

  /** Adds this router's own report, and advances the estimates to `nowMs`. */
  advance(nowMs: number): void {
    const keys = this.#stats.takeKeyCounts(MAX_REPORTED_KEYS);
    this.#estimator.addReport(keys, this.#stats.takeServiceTimes());
    this.#addDemand({
      keys,
      priorities: this.#stats.takePriorityCounts(),
      occupancies: this.#stats.takeOccupancies(
        this.#admission.owners.map(({ id }) => id),
      ),
    });
    this.#crashes.add(this.#stats.crashes.takeReport(nowMs), nowMs);
    this.#cluster.setBarred(this.listPoisonRequests(nowMs));
    this.#estimator.advance(nowMs);
    this.#ownerLoads.clear();
    const { servers } = this.#cluster;
    this.#estimator.retain((id) => servers.find(id) !== undefined);
  }

  /** Lists the fingerprints of requests that crash servers. */
  listPoisonRequests(nowMs: number): readonly string[] {
    return this.#crashes.listPoisonRequests(nowMs);
  }

  /** Makes the facts on which the ownership of a service is planned. */
  makePlanContext(
    service: string,
    options: { nowMs: number; balance: boolean; isSettling: boolean },
  ): PlanContext {
    return {
      ...options,
      view: this.#getView(),
      load: this.#estimator.getLoad(service),
      getCapacity: this.#makeCapacityLookup(service, options.nowMs),
    };
  }

  /**
   * The view of servers, in which those are leaving that say so or whose zone is
   * evacuated.
   */
  #getView(): ServerView {
    const { servers, evacuations } = this.#cluster;
    const { notices } = this.#stats;
    const leaving: string[] = notices.listLeaving().filter((id) => {
      const entry = servers.find(id);
      return entry && notices.isLeaving(entry);
    });
    if (evacuations.list().length > 0) {
      const evacuated = servers.list().filter((e) => evacuations.find(e.zone));
      leaving.push(...evacuated.map((e) => e.id));
    }
    if (leaving.length === 0) return servers;
    const key = leaving.join();
    if (this.#drained?.servers !== servers || this.#drained.key !== key) {
      this.#drained = { servers, key, view: servers.markDraining(leaving) };
    }
    return this.#drained.view;
  }

  /**
   * A server's capacity is what it can run, the limit that it names, or what it
   * sustains while it is cold.
   */
  #makeCapacityLookup(
    service: string,
    nowMs: number,
  ): (id: string) => number {
    const view = this.#cluster.servers;
    const getCapacity = this.#makeLimitLookup(service);
    // Healthy servers beyond a cut link would lose their keys otherwise.
    const state = {
      cluster: this.#cluster,
      stats: this.#stats,
      ignoresReports: true,
    };
    return (id) => {
      const entry = view.find(id);
      const cold = entry ? findColdPeriod(state, entry, nowMs) : undefined;
      if (!cold) return getCapacity(id);
      const limit = Math.max(MIN_CAPACITY, cold.requestsPerSecond);
      return Math.min(getCapacity(id), limit);
    };
  }

  /**
   * Returns what a server can run, or the limit that it names. Admission shares
   * follow from it also while a server is cold: its time slots bound the requests
   * for it, and a share beside them would leave most slots unused.
   */
  #makeLimitLookup(service: string): (id: string) => number {
    const { notices } = this.#stats;
    const view = this.#cluster.servers;
    const estimate = this.#estimator.makeCapacityLookup(view, service);
    return (id) => {
      const limit = notices.getLimit(id);
      if (limit === undefined) return estimate(id);
      return Math.min(estimate(id), Math.max(MIN_CAPACITY, limit));
    };
  }

  /**
   * Determines again which owners and services get only a share of the requests.
   * Returns those that were not among them before.
   */
  updateAdmissionShares(
    keepers: ReadonlyMap<string, AssignmentManager>,
    nowMs: number,
  ): readonly PublishedShare[] {
    for (const load of this.#recentLoads.values()) load.advance(nowMs);
    const earlier = [...this.#admission.owners, ...this.#admission.services];
    const limited = new Set(
      earlier.filter(({ share }) => share < 1).map((s) => s.resource),
    );
    const plan = this.#planner.plan({
      owners: [...keepers].flatMap(([service, keeper]) =>
        this.#listOwnerLoads(service, keeper, nowMs)
      ),
      services: this.#listServiceCapacities(),
      routers: this.#countRouters(),
      nowMs,
    });
    this.#admission = { ...plan, atMs: nowMs };
    const fields = new AdmissionSender().makeFields(this.#admission, nowMs);
    this.#cluster.admission.replace(listReceivedShares(fields), nowMs);
    return [...plan.owners, ...plan.services]
      .filter(({ resource, share }) => share < 1 && !limited.has(resource));
  }

  /**
   * Returns whether a share has fallen so far since this was last true that
   * routers have to know at once.
   */
  takeUrgency(): boolean {
    const shares = [...this.#admission.owners, ...this.#admission.services];
    const isUrgent = shares.some(({ resource, share }) =>
      share < URGENT_FALL * (this.#announced.get(resource) ?? 1)
    );
    const announced = shares.map(({ resource, share }): [string, number] => [
      resource,
      isUrgent ? share : Math.max(share, this.#announced.get(resource) ?? 1),
    ]);
    this.#announced = new Map(announced);
    return isUrgent;
  }

  #listOwnerLoads(
    service: string,
    keeper: AssignmentManager,
    nowMs: number,
  ): readonly OwnerLoad[] {
    const { servers } = this.#cluster;
    const options = { nowMs, balance: false, isSettling: false };
    const context = {
      ...this.makePlanContext(service, options),
      getCapacity: this.#makeLimitLookup(service),
    };
    const loads = this.#listLoads(service, keeper, context);
    const recent = { ...context, load: this.#getRecentLoad(service) };
    return keeper.listLoads(recent).map(({ id, load, capacity }) => ({
      id,
      service,
      slots: servers.find(id)?.slots ?? 1,
      capacity,
      load: loads.get(id) ?? load,
      recentLoad: load,
    }));
  }

  /** Returns the loads of owners as of the last `advance`. */
  #listLoads(
    service: string,
    keeper: AssignmentManager,
    context: PlanContext,
  ): ReadonlyMap<string, number> {
    const { assignments } = keeper;
    const known = this.#ownerLoads.get(service);
    if (known?.assignments === assignments) return known.loads;
    const loads = new Map(
      keeper.listLoads(context).map(({ id, load }) => [id, load]),
    );
    this.#ownerLoads.set(service, { assignments, loads });
    return loads;
  }

  /** Lists the undivided services whose servers have been measured enough. */
  #listServiceCapacities(): readonly ServiceCapacity[] {
    const cluster = this.#cluster;
    return (cluster.routes?.listServices() ?? []).flatMap(
      ({ name, sharded }) => {
        const entries = sharded ? [] : cluster.servers.listReady(name);
        const ids = entries.map(({ id }) => id);
        const samples = this.#estimator.countSamples(ids);
        const needed = Math.min(
          MIN_SERVICE_SAMPLES,
          MIN_SERVER_SAMPLES * ids.length,
        );
        if (ids.length === 0 || samples < needed) return [];
        const getCapacity = this.#makeLimitLookup(name);
        const capacity = ids.reduce((sum, id) => sum + getCapacity(id), 0);
        return [{ name, capacity }];
      },
    );
  }

  #getRecentLoad(service: string): KeyLoad {
    const known = this.#recentLoads.get(service);
    if (known) return known;
    const load = KeyLoad.create({ timeConstantMs: RECENT_LOAD_CONSTANT_MS });
    this.#recentLoads.set(service, load);
    return load;
  }

  #addDemand(demand: DemandFields & { keys: readonly KeyCount[] }): void {
    const nowMs = performance.now();
    const { keys, priorities = [], occupancies = [] } = demand;
    for (const [service, key, count] of keys) {
      this.#getRecentLoad(service).add(key, count);
    }
    this.#planner.add({ priorities, occupancies }, nowMs);
  }
}
