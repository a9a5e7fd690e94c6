/**
 * Which servers are cold, and what this router may send them: by permits of the
 * coordinator, or by time slots while it hears from none.
 * @module
 */
import type { EventLog } from "@jaytiller/kernel";
import {
  type ColdCause,
  ColdSlots,
  computeColdRate,
} from "@jaytiller/placement";
import type { ServerEntry } from "@jaytiller/routing";
import type { ColdPermitClient } from "./cold_permit_client.js";
import { type ClusterState, ClusterStatePart } from "./cluster_state.js";
import type { GatewaySettings } from "./settings.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of the state of cold servers. */
export interface ColdStateOptions {
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly log: EventLog;
  readonly settings: () => Pick<GatewaySettings, "coldOverage" | "coldSlack">;
  /** Returns the number of routers, or `undefined` while it is not known. */
  readonly countRouters: (nowMs: number) => number | undefined;
  readonly permits: ColdPermitClient;
}

/** What this router may send to a cold server now. */
export interface ColdClearance {
  readonly requestsPerSecond: number;
  /** Whether requests need permits; time slots otherwise. */
  readonly isByPermits: boolean;
  /** Whether there is a permit, or a slot has begun. */
  readonly isAllowed: boolean;
}

/** The remaining time for which a server is cold. */
export interface ColdPeriod {
  readonly coldMs: number;
  /** Requests per second that it sustains from all routers together. */
  readonly requestsPerSecond: number;
}

/** What a router knows of a cold server. */
export interface ColdReading {
  /** Time for which it is still cold, ms. */
  readonly leftMs: number;
  /** Requests per second that it sustains from all routers together. */
  readonly requestsPerSecond: number;
  /** Whether requests need permits of the coordinator; time slots otherwise. */
  readonly isByPermits: boolean;
  /** Time between two slots of this router, ms; absent if not known or used. */
  readonly slotPeriodMs?: number;
  /**
   * Time until a permit is expected or a slot of this router begins, ms. Absent
   * before a request has drawn the slot from 0 to `slotPeriodMs`.
   */
  readonly delayMs?: number;
}

/** Delay of a request while the number of routers is not known, ms. */
const UNKNOWN_COUNT_DELAY_MS = 1_000;

/**
 * Returns how long a server is still cold, or `undefined` if it is warm or its
 * service has no bound. A zone that was taken back counts as just started.
 */
export function findColdPeriod(
  { cluster, stats, ignoresReports = false }: {
    cluster: ClusterState;
    stats: TrafficStats;
    /** Whether connections that failed at other routers don't count. */
    ignoresReports?: boolean;
  },
  server: ServerEntry,
  nowMs: number,
): ColdPeriod | undefined {
  const service = cluster.routes?.findService(server.service);
  const { coldPerSecond = 0, coldStartMs: startMs = 0 } = service ?? {};
  if (coldPerSecond === 0) return undefined;
  const returnedMs = cluster.evacuations.getReturnedMs(server.zone);
  const coldMs = Math.max(
    stats.cold.computeColdMs(server, { nowMs, startMs, ignoresReports }),
    (returnedMs ?? -Infinity) + startMs - nowMs,
  );
  return coldMs > 0 ? { coldMs, requestsPerSecond: coldPerSecond } : undefined;
}

/** This router's view and slots of cold servers. */
export class ColdState {
  readonly #options: ColdStateOptions;
  readonly #slots = new Map<string, ColdSlots>();
  /** Cold servers that the log names. */
  readonly #logged = new Set<string>();
  /** Rates of slots by what a cold server sustains. */
  readonly #rates = new Map<string, number>();
  /** Requests to cold servers, by whether they had permits. */
  readonly #sent = { permits: 0, slots: 0 };

  /** Begins to follow the entries; listeners that place requests come later. */
  constructor(options: ColdStateOptions) {
    this.#options = options;
    const { cluster, stats } = options;
    cluster.onChange((part) => {
      const isZone = part === ClusterStatePart.Evacuations;
      if (part !== ClusterStatePart.Servers && !isZone) return;
      const nowMs = performance.now();
      if (!isZone) stats.cold.recordEntries(cluster.servers.list(), nowMs);
      this.listCold(nowMs);
    });
  }

  /** Returns how long a server is still cold, if it is. */
  find(server: ServerEntry, nowMs: number): ColdPeriod | undefined {
    const period = findColdPeriod(this.#options, server, nowMs);
    if (!period) this.#logged.delete(server.id);
    else if (!this.#logged.has(server.id)) this.#logStart(server, period);
    return period;
  }

  /**
   * Moves this router's slots of the servers that are cold on to `nowMs`, unless
   * it uses permits.
   */
  advance(servers: readonly ServerEntry[], nowMs: number): void {
    for (const server of servers) {
      const period = this.find(server, nowMs);
      if (!period || this.#isByPermits(nowMs)) continue;
      const periodMs = this.#computePeriod(period, nowMs);
      if (periodMs === undefined) continue;
      const slots = this.#slots.get(server.id) ?? new ColdSlots();
      this.#slots.set(server.id, slots);
      slots.computeDelay({ nowMs, periodMs, random: Math.random });
    }
  }

  /**
   * Returns the time until this router may send a request to a server, ms; 0 if
   * it is warm, or a permit is there or a slot has begun. `waiting` counts the
   * requests for the server. Changes nothing and asks for no permit. Before the
   * first `advance` for the server the time of a slot is the mean of a random
   * one.
   */
  computeDelay(server: ServerEntry, nowMs: number, waiting = 1): number {
    const period = findColdPeriod(this.#options, server, nowMs);
    if (!period) return 0;
    const delayMs = this.#isByPermits(nowMs)
      ? this.#options.permits.computeDelay(server.id, nowMs)
      : this.#computeSlotDelay(server, { period, nowMs, waiting });
    return Math.min(period.coldMs, delayMs);
  }

  /**
   * Asks for permits for the `waiting` requests for a cold server, if permits
   * are used. Returns whether one is there now.
   */
  requestPermit(
    server: ServerEntry,
    { waiting, nowMs }: { waiting: number; nowMs: number },
  ): boolean {
    if (!this.#isByPermits(nowMs)) return false;
    const period = findColdPeriod(this.#options, server, nowMs);
    if (!period) return false;
    const { requestsPerSecond } = period;
    const request = { waiting, requestsPerSecond, nowMs };
    return this.#options.permits.request(server.id, request) === 0;
  }

  /** Returns what may be sent to a server, or `undefined` if it is warm. */
  findClearance(server: ServerEntry, nowMs: number): ColdClearance | undefined {
    const period = findColdPeriod(this.#options, server, nowMs);
    if (!period) return undefined;
    return {
      requestsPerSecond: period.requestsPerSecond,
      isByPermits: this.#isByPermits(nowMs),
      isAllowed: this.computeDelay(server, nowMs) === 0,
    };
  }

  /** Returns what is known of a cold server; `undefined` if it is warm. */
  read(server: ServerEntry, nowMs: number): ColdReading | undefined {
    const period = findColdPeriod(this.#options, server, nowMs);
    if (!period) return undefined;
    const { coldMs: leftMs, requestsPerSecond } = period;
    const delayMs = this.computeDelay(server, nowMs);
    const isByPermits = this.#isByPermits(nowMs);
    const reading = { leftMs, requestsPerSecond, isByPermits };
    if (isByPermits) return { ...reading, delayMs };
    const slotPeriodMs = this.#computePeriod(period, nowMs);
    if (slotPeriodMs === undefined) return { ...reading, delayMs };
    const isDrawn = this.#slots.has(server.id);
    return { ...reading, slotPeriodMs, ...(isDrawn ? { delayMs } : {}) };
  }

  /** Uses a permit or slot for a request that is sent, if the server is cold. */
  use(server: ServerEntry, nowMs: number): void {
    if (!this.find(server, nowMs)) return;
    if (this.#isByPermits(nowMs)) {
      this.#options.permits.use(server.id, nowMs);
      this.#sent.permits += 1;
    } else {
      this.#slots.get(server.id)?.use();
      this.#sent.slots += 1;
    }
  }

  #isByPermits(nowMs: number): boolean {
    return this.#options.stats.permitMode.isActive(nowMs);
  }

  #computeSlotDelay(
    server: ServerEntry,
    { period, nowMs, waiting }: {
      period: ColdPeriod;
      nowMs: number;
      waiting: number;
    },
  ): number {
    const periodMs = this.#computePeriod(period, nowMs);
    if (periodMs === undefined) return UNKNOWN_COUNT_DELAY_MS;
    const delayMs =
      this.#slots.get(server.id)?.peekDelay({ nowMs, periodMs }) ??
        periodMs / 2;
    return delayMs === 0 ? 0 : delayMs + (waiting - 1) * periodMs;
  }

  /** Lists the servers that are cold. */
  listCold(nowMs: number): readonly ServerEntry[] {
    return this.#options.cluster.servers.list()
      .filter((server) => this.find(server, nowMs));
  }

  /** Forgets servers that are gone. */
  retain(isKnown: (id: string) => boolean): void {
    this.#options.stats.cold.retain(isKnown);
    this.#options.permits.retain(isKnown);
    for (const id of this.#slots.keys()) {
      if (!isKnown(id)) this.#slots.delete(id);
    }
    for (const id of this.#logged) {
      if (!isKnown(id)) this.#logged.delete(id);
    }
  }

  /** Formats the number of cold servers and of requests to them as metrics. */
  formatMetrics(nowMs: number): string {
    const { reported, suspected, refuted } = this.#options.stats.cold.counts;
    return `jaytiller_cold_servers ${this.listCold(nowMs).length}\n` +
      `jaytiller_restarts_reported ${reported}\n` +
      `jaytiller_restarts_suspected ${suspected}\n` +
      `jaytiller_restarts_refuted ${refuted}\n` +
      `jaytiller_cold_requests{by="permit"} ${this.#sent.permits}\n` +
      `jaytiller_cold_requests{by="slot"} ${this.#sent.slots}\n`;
  }

  /** Returns the time between two slots of this router for a server, ms. */
  #computePeriod(
    { requestsPerSecond }: ColdPeriod,
    nowMs: number,
  ): number | undefined {
    const routers = this.#options.countRouters(nowMs);
    return routers === undefined
      ? undefined
      : 1000 * Math.max(1, routers) / this.#getRate(requestsPerSecond);
  }

  #getRate(requestsPerSecond: number): number {
    const { coldOverage: overage, coldSlack: slack } = this.#options.settings();
    const key = `${requestsPerSecond}/${overage}/${slack}`;
    const rate = this.#rates.get(key) ??
      computeColdRate({ requestsPerSecond, overage, slack });
    this.#rates.set(key, rate);
    return rate;
  }

  /** Returns why a server is cold; its zone was taken back without a cause. */
  #findCause(server: ServerEntry): ColdCause | "returnedZone" {
    const { cluster, stats } = this.#options;
    const service = cluster.routes?.findService(server.service);
    const options = {
      nowMs: performance.now(),
      startMs: service?.coldStartMs ?? 0,
    };
    return stats.cold.findCause(server, options) ?? "returnedZone";
  }

  #logStart(server: ServerEntry, period: ColdPeriod): void {
    this.#logged.add(server.id);
    this.#options.log.record("coldServer", {
      server: server.id,
      zone: server.zone,
      coldMs: Math.round(period.coldMs),
      requestsPerSecond: period.requestsPerSecond,
      cause: this.#findCause(server),
      entryColdMs: server.coldMs ?? 0,
      isByPermits: this.#isByPermits(performance.now()),
      routers: this.#options.countRouters(performance.now()),
    });
  }
}
