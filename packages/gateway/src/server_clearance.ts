/** Applies to new requests what servers say about themselves. @module */
import type { Candidate } from "@jaytiller/placement";
import { type ServerEntry, ServerState } from "@jaytiller/routing";
import type { ColdClearance, ColdReading, ColdState } from "./cold_state.js";
import type { LeasedServer } from "./capacity_leases.js";
import type { ClusterState } from "./cluster_state.js";
import type { PermitClient, PermitState } from "./permit_client.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a clearance. */
export interface ServerClearanceOptions {
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly permits: PermitClient;
  readonly cold: ColdState;
  /** Returns how long a server that says that it leaves is still used, ms. */
  readonly getLeavingUseMs: () => number;
  /** Returns the time after which an evacuated zone gets no requests, ms. */
  readonly getEvacuateMs: () => number;
}

/** Which servers may get a request now, and when the others may. */
export class ServerClearance {
  readonly #options: ServerClearanceOptions;

  constructor(options: ServerClearanceOptions) {
    this.#options = options;
  }

  /** Returns whether a server may get requests that only it can run. */
  isUsable(server: ServerEntry, nowMs: number): boolean {
    const { cluster, stats, getLeavingUseMs, getEvacuateMs } = this.#options;
    const leavingMs = stats.notices.getLeavingMs(server, nowMs) ?? 0;
    return server.state === ServerState.Ready &&
      leavingMs <= getLeavingUseMs() &&
      cluster.evacuations.isUsable(server.zone, {
        nowMs,
        evacuateMs: getEvacuateMs(),
      });
  }

  /**
   * Lists the servers of a service for new requests, if possible none that
   * leaves or whose zone is evacuated.
   */
  listUsable(service: string, nowMs: number): readonly ServerEntry[] {
    const { cluster, stats: { notices } } = this.#options;
    const usable = cluster.servers.listReady(service)
      .filter((entry) => this.isUsable(entry, nowMs));
    const staying = usable.filter((entry) =>
      !notices.isLeaving(entry) && !cluster.evacuations.find(entry.zone)
    );
    return staying.length > 0 ? staying : usable;
  }

  /**
   * Lists the candidates for work that the service can do without: none that is
   * cold, names a limit, leaves or whose zone is evacuated.
   */
  listUnrestricted(candidates: readonly Candidate[]): readonly Candidate[] {
    const { cluster, stats: { notices } } = this.#options;
    return candidates.filter(({ entry, limit, isCold }) =>
      !limit && !isCold && !notices.isLeaving(entry) &&
      !cluster.evacuations.find(entry.zone)
    );
  }

  /** Returns how long a server still wants nothing from this router, ms. */
  getPauseMs(server: ServerEntry, nowMs: number): number {
    return this.#options.stats.notices.getPauseMs(server, nowMs);
  }

  /**
   * Returns how long all of the servers still take nothing, because they asked
   * for a pause or are cold, ms.
   */
  computePause(entries: readonly ServerEntry[], nowMs: number): number {
    const { cold, stats: { notices } } = this.#options;
    let leastMs = Infinity;
    for (const entry of entries) {
      const pauseMs = Math.max(
        notices.getPauseMs(entry, nowMs),
        cold.computeDelay(entry, nowMs),
      );
      if (pauseMs === 0) return 0;
      leastMs = Math.min(leastMs, pauseMs);
    }
    return leastMs;
  }

  /**
   * Moves the slots of cold servers on; to be called before decisions on them.
   * Does nothing for a service whose servers are never cold.
   */
  advanceCold(
    service: string,
    servers: readonly ServerEntry[],
    nowMs: number,
  ): void {
    const { cluster, cold } = this.#options;
    const spec = cluster.routes?.findService(service);
    if (spec?.coldPerSecond) cold.advance(servers, nowMs);
  }

  /**
   * Returns when a cold server may get a request of this router, ms. `waiting`
   * counts the requests that wait for it.
   */
  computeColdDelay(
    server: ServerEntry,
    { waiting, nowMs }: { waiting: number; nowMs: number },
  ): number {
    return this.#options.cold.computeDelay(server, nowMs, waiting);
  }

  /** Returns what is known of the permits that a server's limit needs. */
  readPermit({ id }: ServerEntry, nowMs: number): PermitState {
    return this.#options.permits.read(id, nowMs);
  }

  /** Returns what is known of a cold server; `undefined` if it is warm. */
  readCold(server: ServerEntry, nowMs: number): ColdReading | undefined {
    return this.#options.cold.read(server, nowMs);
  }

  /** Asks for permits for the `waiting` requests for a server. */
  requestPermit(
    { id }: ServerEntry,
    { waiting, nowMs }: { waiting: number; nowMs: number },
  ): void {
    this.#options.permits.request(id, { waiting, nowMs });
  }

  /**
   * Asks for permits for `waiting` requests for one cold server: one at random
   * of those that may have a permit soonest and have not asked for a pause.
   * Returns whether a permit is there now.
   */
  requestColdPermit(
    servers: readonly ServerEntry[],
    { waiting, nowMs }: { waiting: number; nowMs: number },
  ): boolean {
    const { cold, stats: { notices } } = this.#options;
    const delays = servers
      .filter((server) => notices.getPauseMs(server, nowMs) === 0)
      .map((server) => ({ server, ms: cold.computeDelay(server, nowMs) }))
      .filter(({ ms }) => ms > 0);
    const leastMs = Math.min(...delays.map(({ ms }) => ms));
    const first = delays.filter(({ ms }) => ms === leastMs);
    const chosen = first[Math.floor(Math.random() * first.length)];
    return chosen !== undefined &&
      cold.requestPermit(chosen.server, { waiting, nowMs });
  }

  /**
   * Lists the servers that want requests, with their limits. Cold servers are
   * among them if this router has a permit or may ask for one, or has a slot.
   */
  listCandidates(
    servers: readonly LeasedServer[],
    nowMs: number,
  ): readonly Candidate[] {
    const { cold, stats: { notices } } = this.#options;
    return servers.flatMap(({ entry, units }) => {
      if (notices.getPauseMs(entry, nowMs) > 0) return [];
      const clearance = cold.findClearance(entry, nowMs);
      if (clearance && !clearance.isByPermits && !clearance.isAllowed) {
        return [];
      }
      return [{
        ...this.#makeCandidate(entry, { clearance, nowMs }),
        ...(units === undefined ? {} : { units }),
      }];
    });
  }

  /**
   * Asks for permits for servers with a limit: all, or this router's share. For
   * a cold server permits are asked for only if no other has room. Returns
   * whether a permit for a cold server is there now.
   */
  requestPermits(
    candidates: readonly Candidate[],
    { isNeeded, nowMs }: { isNeeded: boolean; nowMs: number },
  ): boolean {
    const { permits } = this.#options;
    const withoutPermit = candidates.filter((c) =>
      c.limit?.hasPermit === false
    );
    for (const { entry: { id } } of withoutPermit) {
      if (permits.isAllowed(id, nowMs)) continue;
      if (isNeeded) permits.request(id, { waiting: 1, nowMs });
      else permits.requestShare(id, nowMs);
    }
    if (!isNeeded) return false;
    const cold = withoutPermit.filter((c) => c.isCold).map((c) => c.entry);
    return this.requestColdPermit(cold, { waiting: 1, nowMs });
  }

  /** Uses the permit and slot that a request needs that is sent. */
  use(server: ServerEntry, nowMs: number): void {
    this.#options.cold.use(server, nowMs);
    this.#options.permits.use(server.id, nowMs);
  }

  #makeCandidate(
    entry: ServerEntry,
    { clearance, nowMs }: {
      clearance: ColdClearance | undefined;
      nowMs: number;
    },
  ): Candidate {
    const { stats, permits } = this.#options;
    const candidate = {
      entry,
      stats: stats.get(entry.id),
      ...(clearance ? { isCold: true } : {}),
    };
    const coldRate = clearance?.isByPermits
      ? clearance.requestsPerSecond
      : undefined;
    const requestsPerSecond = stats.notices.getLimit(entry.id) ?? coldRate;
    if (requestsPerSecond === undefined) return candidate;
    const hasPermit = permits.isAllowed(entry.id, nowMs) &&
      clearance?.isAllowed !== false;
    return { ...candidate, limit: { requestsPerSecond, hasPermit } };
  }
}
