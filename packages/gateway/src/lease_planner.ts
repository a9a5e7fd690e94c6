/** Leases capacity of undivided services while this is the coordinator. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type Borrower,
  CapacityLender,
  type LeaseMessage,
  type LeaseReply,
  type LendingSummary,
  type LentService,
} from "@jaytiller/placement";
import type { RouterRef } from "@jaytiller/ranges";
import type { CapacityLeases } from "./capacity_leases.js";
import { findColdPeriod } from "./cold_state.js";
import type { ClusterState } from "./cluster_state.js";
import type { HeartbeatReply } from "./peer_messages.js";
import { HEARTBEAT_INTERVAL_MS } from "./timing.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a planner. */
export interface LeasePlannerOptions {
  readonly self: RouterRef;
  readonly term: number;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly log: EventLog;
  /** The leases of this router itself. */
  readonly leases: CapacityLeases;
  /** Returns the time by which leases of predecessors have expired, ms. */
  readonly getStartMs: () => number;
}

/** State of the coordinator at one tick. */
export interface LeaseTick {
  readonly nowMs: number;
  readonly routers: readonly RouterRef[];
  /** Whether no successor is known or suspected. */
  readonly isAllowed: boolean;
}

const PLAN_INTERVAL_MS = 1_000;
/** Least interval between two log lines about a service, ms. */
const LOG_INTERVAL_MS = 5_000;

/** Plans leases once a second and makes the messages about them. */
export class LeasePlanner {
  readonly #options: LeasePlannerOptions;
  readonly #lender: CapacityLender;
  #isAllowed = false;
  #nextPlanMs = -Infinity;
  #nextSelfMs = -Infinity;
  #nextLogMs = -Infinity;
  #changed = 0;
  #summaries: readonly LendingSummary[] = [];

  constructor(options: LeasePlannerOptions) {
    this.#options = options;
    const { log, term, getStartMs } = options;
    this.#lender = new CapacityLender({ getStartMs });
    const waitMs = getStartMs() - performance.now();
    if (waitMs > 0) {
      log.record("leasesWait", { term, waitMs: Math.round(waitMs) });
    }
  }

  /** Plans if it is time. */
  tick({ nowMs, routers, isAllowed }: LeaseTick): void {
    this.#isAllowed = isAllowed;
    if (!isAllowed) return;
    if (nowMs >= this.#nextPlanMs) {
      this.#nextPlanMs = nowMs + PLAN_INTERVAL_MS;
      this.#plan(nowMs, routers);
    }
    if (nowMs < this.#nextSelfMs) return;
    this.#nextSelfMs = nowMs + HEARTBEAT_INTERVAL_MS;
    const { self, term, leases } = this.#options;
    leases.apply(term, this.#lender.makeMessage(self.incarnation));
    this.#recordReply(self, leases.makeReply());
  }

  /** Confirms no lease any more. */
  end(): void {
    this.#isAllowed = false;
  }

  /** Makes the lease fields of a heartbeat; absent while none are allowed. */
  makeMessage({ incarnation }: RouterRef): LeaseMessage | undefined {
    return this.#isAllowed ? this.#lender.makeMessage(incarnation) : undefined;
  }

  /** Records the reply of a router that follows this term. */
  recordReply(reply: HeartbeatReply): void {
    const { leasesVersion, leasesClockMs, demand, router } = reply;
    // Older builds hold no leases.
    if (leasesVersion === undefined || leasesClockMs === undefined) return;
    this.#recordReply(router, {
      ...reply,
      leasesVersion,
      leasesClockMs,
      demand: demand ?? [],
    });
  }

  /** Lists names and values for the metrics page. */
  listMetrics(): readonly (readonly [string, number])[] {
    const sum = (get: (summary: LendingSummary) => number) =>
      this.#summaries.reduce((total, summary) => total + get(summary), 0);
    return [
      ["jaytiller_leases_lent_units", sum((s) => s.lent)],
      ["jaytiller_leases_held_units", sum((s) => s.held)],
      ["jaytiller_leases_capacity_units", sum((s) => s.units)],
      ["jaytiller_leases_demand", sum((s) => s.demand)],
      ["jaytiller_leases_changed", this.#changed],
      [
        "jaytiller_leases_spilled_units",
        sum((s) => s.spills.reduce((units, spill) => units + spill.units, 0)),
      ],
    ];
  }

  #recordReply(router: RouterRef, reply: LeaseReply): void {
    this.#lender.recordReply(makeBorrower(router), reply, performance.now());
  }

  #plan(nowMs: number, routers: readonly RouterRef[]): void {
    this.#summaries = this.#lender.plan({
      nowMs,
      gateways: routers.length,
      borrowers: routers.map(makeBorrower),
      services: this.#listServices(nowMs),
    });
    const changed = this.#summaries.filter((s) => s.changed > 0);
    for (const summary of changed) this.#changed += summary.changed;
    if (changed.length === 0 || nowMs < this.#nextLogMs) return;
    this.#nextLogMs = nowMs + LOG_INTERVAL_MS;
    for (const { demand, spills, ...summary } of changed) {
      this.#options.log.record("leases", {
        term: this.#options.term,
        ...summary,
        demand: Math.round(demand),
        ...(spills.length > 0 ? { spills: formatSpills(spills) } : {}),
      });
    }
  }

  /** Lists the undivided services with the servers that may be leased. */
  #listServices(nowMs: number): readonly LentService[] {
    const { cluster, stats } = this.#options;
    const { notices } = stats;
    const services = cluster.routes?.listServices() ?? [];
    return services.filter((s) => !s.sharded).map(({ name }) => ({
      service: name,
      servers: cluster.servers.listReady(name).filter((entry) =>
        !notices.isLeaving(entry) &&
        !cluster.evacuations.find(entry.zone) &&
        !findColdPeriod({ cluster, stats, ignoresReports: true }, entry, nowMs)
      ),
    }));
  }
}

/** Formats units that are lent between zones, such as `z1>z2:40`. */
function formatSpills(spills: LendingSummary["spills"]): string {
  return spills.map((s) => `${s.from}>${s.to}:${s.units}`).join(",");
}

function makeBorrower({ incarnation, node, zone }: RouterRef): Borrower {
  return { key: incarnation, node, zone };
}
