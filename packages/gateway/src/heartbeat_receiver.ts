/** Applies the coordinator's heartbeats and makes the replies. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type OwnershipRecord,
  OwnerTable,
  type RouterRef,
} from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import { type DemandFields, listReceivedShares } from "./admission_messages.js";
import type { CapacityLeases } from "./capacity_leases.js";
import type { ClusterState } from "./cluster_state.js";
import { applyColdBeat, makeColdReply } from "./cold_messages.js";
import { applyEvacuatedZones } from "./evacuation_updates.js";
import { MalformedFieldLog } from "./malformed_field_log.js";
import type { Heartbeat, HeartbeatReply } from "./peer_messages.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a heartbeat receiver. */
export interface HeartbeatReceiverOptions {
  readonly self: RouterRef;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly log: EventLog;
  readonly leases: CapacityLeases;
}

/** Largest number of key counts in one heartbeat reply. */
const MAX_REPORTED_KEYS = 200;

/** Keeps this router's state up to date with the coordinator's. */
export class HeartbeatReceiver {
  readonly #options: HeartbeatReceiverOptions;
  #serversNumber = 0;
  /** Server view after the coordinator's last changes were applied. */
  #coordinatorServers: ServerView | undefined;
  #ownersNumber = 0;
  readonly #malformedFields: MalformedFieldLog;

  constructor(options: HeartbeatReceiverOptions) {
    this.#options = options;
    this.#malformedFields = new MalformedFieldLog(options.log);
  }

  /** Makes the next coordinator send its whole state. */
  reset(): void {
    this.#options.stats.notices.reportAgain();
    this.#serversNumber = 0;
    this.#ownersNumber = 0;
  }

  /** Applies a heartbeat of the coordinator that is followed. */
  apply(beat: Heartbeat, nowMs: number): void {
    const { cluster, log, stats, leases } = this.#options;
    stats.notices.merge(beat.notices ?? [], nowMs);
    this.#applyConfiguration(beat, nowMs);
    applyColdBeat(beat, { stats, nowMs });
    applyEvacuatedZones(beat, { cluster, log, nowMs });
    this.#confirmRoutes(beat, nowMs);
    cluster.setBarred(beat.barred ?? []);
    cluster.admission.merge(listReceivedShares(beat), nowMs);
    this.#malformedFields.record(beat.coordinator, beat.malformedFields);
    this.#applyServers(beat, nowMs);
    this.#applyOwners(beat);
    const { leasesVersion } = beat;
    if (leasesVersion === undefined) return;
    leases.apply(beat.term, { ...beat, leasesVersion });
  }

  /** Takes the owners from the record at `offset`: no coordinator sends them. */
  applyRecordOwners(offset: number, record: OwnershipRecord): void {
    const tables = new Map(
      Object.entries(record.services).map(([service, list]) => [
        service,
        OwnerTable.create(list.map((a) => ({
          from: a.from,
          to: a.to,
          ...(a.granted && a.owner ? { server: a.owner.id } : {}),
        }))),
      ]),
    );
    this.#options.cluster.setOwners(tables, `record/${offset}`);
    this.#ownersNumber = 0;
  }

  /**
   * Makes the reply to a heartbeat, for a router that has accepted `term`.
   * `coldPermits` tells whether the heartbeat was followed and made this router
   * use permits for cold servers.
   */
  makeReply(
    term: number,
    { coldPermits }: { coldPermits: boolean },
  ): HeartbeatReply {
    const { self, cluster, stats, leases } = this.#options;
    const notices = stats.notices.takeReports(performance.now());
    return {
      term,
      router: self,
      ...(notices.length > 0 ? { notices } : {}),
      version: cluster.routes?.version ?? 0,
      serversNumber: this.#getServersNumber(),
      ownersNumber: this.#ownersNumber,
      keys: stats.takeKeyCounts(MAX_REPORTED_KEYS),
      times: stats.takeServiceTimes(),
      ...this.#makeDemand(),
      ...makeColdReply(this.#options, {
        coldPermits,
        nowMs: performance.now(),
      }),
      crashes: stats.crashes.takeReport(performance.now()),
      ...leases.makeReply(),
    };
  }

  #makeDemand(): DemandFields {
    const { cluster, stats } = this.#options;
    const priorities = stats.takePriorityCounts();
    const owners = cluster.admission.list(performance.now());
    const ids = owners.map((resource) => resource.replace(/^server\//, ""));
    const occupancies = stats.takeOccupancies(ids);
    return {
      ...(priorities.length > 0 ? { priorities } : {}),
      ...(occupancies.length > 0 ? { occupancies } : {}),
    };
  }

  #applyConfiguration({ configuration }: Heartbeat, nowMs: number): void {
    const { cluster, log } = this.#options;
    if (!configuration || !cluster.applyConfiguration(configuration)) return;
    log.record("configuration", {
      version: configuration.version,
      source: "coordinator",
      ageMs: cluster.getRoutesAgeMs(nowMs),
    });
  }

  /** Confirms the routes if the newest ones that are known are here. */
  #confirmRoutes(beat: Heartbeat, nowMs: number): void {
    // A coordinator of an older build does not report evacuations.
    if (beat.operatorPosition === undefined) return;
    const { cluster } = this.#options;
    const version = cluster.routes?.version ?? 0;
    if (version < (beat.configurationVersion ?? 0)) return;
    cluster.confirmRoutes(nowMs - beat.configurationAgeMs);
  }

  #applyServers({ servers, ...beat }: Heartbeat, nowMs: number): void {
    const { cluster } = this.#options;
    const atMs = nowMs - beat.serversAgeMs;
    if (!servers) return cluster.confirmServers(atMs);
    // This router's own reads may be newer.
    if (beat.serversPosition < cluster.servers.position) return;
    const isBaseCurrent = servers.base === this.#getServersNumber();
    if (servers.base !== 0 && !isBaseCurrent) return;
    const listed = new Set(servers.items.map((c) => c.id));
    const missing = servers.base === 0
      ? cluster.servers.list().filter((e) => !listed.has(e.id))
      : [];
    cluster.applyServers(
      [...servers.items, ...missing.map(({ id }) => ({ id }))],
      { position: beat.serversPosition, atMs },
    );
    this.#serversNumber = servers.number;
    this.#coordinatorServers = cluster.servers;
  }

  /**
   * Returns the number of the last applied server changes, or 0 if the router
   * has changed the view by its own reads since. Changes apply only to the view
   * for which they were sent.
   */
  #getServersNumber(): number {
    const isSame = this.#options.cluster.servers === this.#coordinatorServers;
    return isSame ? this.#serversNumber : 0;
  }

  #applyOwners({ owners, term }: Heartbeat): void {
    if (!owners) return;
    if (owners.base !== 0 && owners.base !== this.#ownersNumber) return;
    const { cluster } = this.#options;
    const tables = new Map(cluster.owners);
    for (const { service, ranges } of owners.items) {
      const known = tables.get(service);
      const isSnapshot = owners.base === 0 || !known;
      tables.set(
        service,
        isSnapshot ? OwnerTable.create(ranges) : known.apply(ranges),
      );
    }
    cluster.setOwners(tables, `${term}/${owners.number}`);
    this.#ownersNumber = owners.number;
  }
}
