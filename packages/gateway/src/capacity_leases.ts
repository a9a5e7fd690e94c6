/** This router's capacity leases at servers of undivided services. @module */
import { randomInt } from "node:crypto";
import type { EventLog } from "@jaytiller/kernel";
import {
  computeSubsetSize,
  isLeased,
  LeaseHolder,
  type LeaseMessage,
  type LeaseReply,
  RendezvousOrder,
} from "@jaytiller/placement";
import type { ServerEntry } from "@jaytiller/routing";
import type { ClusterState } from "./cluster_state.js";
import { findColdPeriod } from "./cold_state.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of the leases. */
export interface CapacityLeasesOptions {
  readonly node: string;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly log: EventLog;
  /** Returns the number of routers that send requests to the servers. */
  readonly countRouters: () => number;
}

/** Why a router uses its own subset of the servers. */
export enum SubsetReason {
  NoLease = "noLease",
  /** All leased servers are unreachable or have asked for a pause. */
  Unreachable = "unreachable",
}

/** A server that may be used, with the requests that may be in flight. */
export interface LeasedServer {
  readonly entry: ServerEntry;
  /** Absent if the number is not limited by a lease. */
  readonly units?: number;
}

/** The servers of a service that this router may use. */
export interface LeasedServers {
  readonly servers: readonly LeasedServer[];
  /** Absent unless this router uses its own subset. */
  readonly subset?: SubsetReason;
  /** Whether leases limit the use of the service. */
  readonly isLeased: boolean;
}

/** What is derived from one list of servers, and what it was made from. */
interface ServiceServers {
  readonly servers: readonly ServerEntry[];
  readonly routers: number;
  readonly isLeased: boolean;
  /** Ids in the order in which this router prefers them; made when needed. */
  order: readonly string[] | undefined;
}

/** Range of the random zero point of the clock in messages, ms. */
const MAX_CLOCK_OFFSET_MS = 2 ** 40;

/** Decides at which servers this router may use how much concurrency. */
export class CapacityLeases {
  readonly #options: CapacityLeasesOptions;
  readonly #holder = new LeaseHolder();
  /** A clock value of another process is never mistaken for one of this. */
  readonly #clockOffsetMs = randomInt(MAX_CLOCK_OFFSET_MS);
  readonly #rendezvous = new RendezvousOrder();
  readonly #services = new Map<string, ServiceServers>();
  readonly #subsets = new Map<string, SubsetReason>();

  constructor(options: CapacityLeasesOptions) {
    this.#options = options;
  }

  /** Applies the lease fields of a heartbeat. */
  apply(term: number, message: LeaseMessage): void {
    this.#holder.apply(term, message, this.#readClock(performance.now()));
  }

  /** Makes the lease fields of the reply to a heartbeat. */
  makeReply(): LeaseReply {
    const { stats } = this.#options;
    const nowMs = performance.now();
    return {
      ...this.#holder.makeReply(
        this.#readClock(nowMs),
        (id) => stats.get(id).inFlight,
      ),
      demand: stats.demand.take(nowMs),
    };
  }

  /**
   * Lists which of the servers of a service this router may use, and logs a
   * change between its leases and its own subset; see `chooseServers`.
   */
  listServers(
    service: string,
    entries: readonly ServerEntry[],
    nowMs: number,
  ): readonly LeasedServer[] {
    const chosen = this.chooseServers(service, entries, nowMs);
    this.recordUse(service, chosen);
    return chosen.servers;
  }

  /**
   * Returns which of the servers of a service this router may use: all if there
   * are few routers, otherwise the leased ones or its own subset. Servers that
   * name a limit are always listed, as they need a permit for each request.
   */
  chooseServers(
    service: string,
    entries: readonly ServerEntry[],
    nowMs: number,
  ): LeasedServers {
    const known = this.#getService(service);
    if (!known.isLeased) {
      return { servers: entries.map((entry) => ({ entry })), isLeased: false };
    }
    const { stats } = this.#options;
    const clockMs = this.#readClock(nowMs);
    const listed: LeasedServer[] = [];
    let hasLease = false;
    let isUsable = false;
    for (const entry of entries) {
      if (stats.notices.getLimit(entry.id) !== undefined) {
        listed.push({ entry });
        continue;
      }
      const units = this.#holder.getUnits(entry, clockMs);
      if (units === 0) continue;
      hasLease = true;
      isUsable ||= this.#isUsable(entry, nowMs);
      listed.push({ entry, units });
    }
    if (isUsable) return { servers: listed, isLeased: true };
    const subset = hasLease ? SubsetReason.Unreachable : SubsetReason.NoLease;
    const own = this.#listSubset(known, entries, nowMs);
    // No server is better than those with a lease.
    if (own.length === 0) return { servers: listed, subset, isLeased: true };
    const limited = listed.filter((s) => s.units === undefined);
    return { servers: [...limited, ...own], subset, isLeased: true };
  }

  /** Logs and counts whether a service is used by leases or its own subset. */
  recordUse(service: string, { subset, isLeased }: LeasedServers): void {
    if (isLeased) this.#setSubset(service, subset);
  }

  /** Time since the leases were confirmed, ms; absent if they never were. */
  getAgeMs(nowMs: number): number | undefined {
    const ageMs = this.#holder.getAgeMs(this.#readClock(nowMs));
    return Number.isFinite(ageMs) ? ageMs : undefined;
  }

  /** Lists names and values for the metrics page. */
  listMetrics(): readonly (readonly [string, number])[] {
    const clockMs = this.#readClock(performance.now());
    const ageMs = this.#holder.getAgeMs(clockMs);
    return [
      ["jaytiller_leases_version", this.#holder.version],
      ["jaytiller_leases_units", this.#holder.countUnits(clockMs)],
      [
        "jaytiller_leases_age_seconds",
        Number.isFinite(ageMs) ? ageMs / 1000 : -1,
      ],
      ["jaytiller_leases_own_subset_services", this.#subsets.size],
    ];
  }

  #readClock(nowMs: number): number {
    return Math.floor(nowMs) + this.#clockOffsetMs;
  }

  #getService(service: string): ServiceServers {
    const { cluster, countRouters } = this.#options;
    const servers = cluster.servers.listReady(service);
    const routers = countRouters();
    const known = this.#services.get(service);
    if (known?.servers === servers && known.routers === routers) return known;
    const made = {
      servers,
      routers,
      isLeased: isLeased(servers, routers),
      order: undefined,
    };
    this.#services.set(service, made);
    return made;
  }

  /**
   * A cold server takes so little that others are needed beside it. A report of
   * a restart is only a suspicion, and leaves the server usable.
   */
  #isUsable(entry: ServerEntry, nowMs: number): boolean {
    const { cluster, stats } = this.#options;
    const coldOptions = { cluster, stats, ignoresReports: true };
    return !stats.get(entry.id).isUnreachable(nowMs) &&
      stats.notices.getPauseMs(entry, nowMs) === 0 &&
      findColdPeriod(coldOptions, entry, nowMs) === undefined;
  }

  /**
   * Lists the preferred servers that can be reached and name no limit, at one
   * request each.
   */
  #listSubset(
    service: ServiceServers,
    entries: readonly ServerEntry[],
    nowMs: number,
  ): readonly LeasedServer[] {
    const { servers, routers } = service;
    service.order ??= this.#rendezvous.order(
      this.#options.node,
      servers.map((s) => s.id),
    );
    const byId = new Map(entries.map((entry) => [entry.id, entry]));
    const size = computeSubsetSize(servers, routers);
    const subset: LeasedServer[] = [];
    for (const id of service.order) {
      if (subset.length === size) break;
      const entry = byId.get(id);
      const isLimited = this.#options.stats.notices.getLimit(id) !== undefined;
      if (entry && !isLimited && this.#isUsable(entry, nowMs)) {
        subset.push({ entry, units: 1 });
      }
    }
    return subset;
  }

  #setSubset(service: string, reason: SubsetReason | undefined): void {
    if (this.#subsets.get(service) === reason) return;
    if (reason) this.#subsets.set(service, reason);
    else this.#subsets.delete(service);
    const ageMs = this.#holder.getAgeMs(this.#readClock(performance.now()));
    this.#options.log.record(reason ? "ownSubset" : "leasesUsed", {
      service,
      reason,
      version: this.#holder.version,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      routers: this.#options.countRouters(),
    });
  }
}
