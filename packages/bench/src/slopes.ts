/**
 * Measures control traffic and processor time of idle routers by fleet size,
 * and processor time by request rate.
 * @module
 */
import { createRandom, type Fleet } from "@jaytiller/standins";
import { setTimeout as delay } from "node:timers/promises";
import { makeArrivals, Phase } from "./arrivals.js";
import { findHolder, readState, withFleet } from "./bench_fleet.js";
import {
  makeAgent,
  runOpenLoop,
  sendTimedRequest,
} from "./open_loop_client.js";
import { isAnswered } from "./measures.js";
import { makeSingleServiceFleet, SINGLE_SERVICE_GROUP } from "./overhead.js";
import { readProcessStats } from "./process_stats.js";

const SERVER_SLOTS = 3;
/** Short enough that the router, not the servers, limits the rate. */
const LOADED_SERVICE_MS = 2;
const DEADLINE_MS = 2000;
const MAX_SOCKETS = 256;
const KEYS = 500;

/** Dimensions of the fleet size, which are varied one at a time. */
export enum Dimension {
  Routers = "routers",
  Servers = "servers",
  Shards = "shards",
}

/** Size of a fleet of one zone and one service. */
export type FleetSize = Readonly<Record<Dimension, number>>;

/** Values of the dimensions that are not varied. */
export const BASE_SIZE: FleetSize = {
  [Dimension.Routers]: 2,
  [Dimension.Servers]: 4,
  [Dimension.Shards]: 64,
};

/** Resource usage of one router; bytes are per second except `rssBytes`. */
export interface RouterUsageRate {
  /** Whether the router holds the group. */
  readonly holder: boolean;
  /** Processor time as a share of one core. */
  readonly cores: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly rssBytes: number;
}

/** Usage of the routers of an idle fleet of one size. */
export interface IdlePoint {
  readonly size: FleetSize;
  readonly routers: readonly RouterUsageRate[];
}

/** Processor time of the routers at one request rate. */
export interface LoadPoint {
  readonly perSecond: number;
  readonly requests: number;
  readonly answered: number;
  /** Processor time of all routers, including their idle usage. */
  readonly cpuMsPerRequest: number;
  readonly cores: number;
}

/** Durations of a measurement. */
export interface SlopeTimes {
  /** Wait after the fleet has started to serve, before the measurement. */
  readonly settleMs: number;
  readonly measureMs: number;
}

function readRouterStats(fleet: Fleet) {
  return fleet.entries.map(({ id, child }) => {
    const stats = readProcessStats(child.pid);
    if (!stats) throw new Error(`Router ${id}: Expected a running process.`);
    return stats;
  });
}

function withSingleServiceFleet<T>(
  size: FleetSize,
  options: { serviceMs: number; run: (fleet: Fleet) => Promise<T> },
): Promise<T> {
  const fleet = makeSingleServiceFleet({
    checksOwner: true,
    slots: SERVER_SLOTS,
    serviceMs: options.serviceMs,
    shards: size.shards,
  }, { servers: size.servers, entries: size.routers });
  return withFleet(fleet, options.run);
}

/** Starts a fleet without load and measures the usage of its routers. */
export function measureIdle(size: FleetSize, times: SlopeTimes) {
  const run = async (fleet: Fleet): Promise<IdlePoint> => {
    await delay(times.settleMs);
    const before = readRouterStats(fleet);
    const startMs = performance.now();
    await delay(times.measureMs);
    const seconds = (performance.now() - startMs) / 1000;
    const after = readRouterStats(fleet);
    const holder = findHolder(
      fleet,
      await readState(fleet),
      SINGLE_SERVICE_GROUP,
    );
    const routers = fleet.entries.map(({ id }, i) => {
      const [b, a] = [before[i]!, after[i]!];
      return {
        holder: id === holder.id,
        cores: (a.cpuMs - b.cpuMs) / 1000 / seconds,
        sentBytes: (a.writtenBytes - b.writtenBytes) / seconds,
        receivedBytes: (a.readBytes - b.readBytes) / seconds,
        rssBytes: a.rssBytes,
      };
    });
    return { size, routers };
  };
  return withSingleServiceFleet(size, { serviceMs: LOADED_SERVICE_MS, run });
}

async function runRate(
  fleet: Fleet,
  perSecond: number,
  options: { seed: number; measureMs: number },
): Promise<LoadPoint> {
  const random = createRandom(options.seed);
  const toMs = options.measureMs;
  const items = makeArrivals(
    [{ phase: Phase.Before, fromMs: 0, toMs, perSecond }],
    random,
  ).map((atMs) => ({ atMs, key: Math.floor(random() * KEYS), at: random() }));
  const agents = fleet.entries.map(() => makeAgent(MAX_SOCKETS));
  let answered = 0;
  const before = readRouterStats(fleet);
  const startMs = performance.now();
  await runOpenLoop(items, startMs, async ({ key, at }, dueMs) => {
    const i = Math.floor(at * fleet.entries.length);
    const answer = await sendTimedRequest({
      dueMs,
      url: `${fleet.entries[i]!.callerUrl}/bench/key-${key}`,
      method: "GET",
      deadlineMs: DEADLINE_MS,
      needsIdempotencyKey: false,
    }, agents[i]!);
    if (isAnswered(answer)) answered += 1;
  });
  const elapsedMs = performance.now() - startMs;
  const after = readRouterStats(fleet);
  for (const agent of agents) agent.destroy();
  const cpuMs = after.reduce(
    (sum, a, i) => sum + a.cpuMs - before[i]!.cpuMs,
    0,
  );
  return {
    perSecond,
    requests: items.length,
    answered,
    cpuMsPerRequest: cpuMs / items.length,
    cores: cpuMs / elapsedMs,
  };
}

/** Measures a fleet of the base size at several rates, after a warm-up. */
export function measureRates(
  rates: readonly number[],
  options: { seed: number; measureMs: number },
): Promise<LoadPoint[]> {
  const run = async (fleet: Fleet) => {
    // Warms up: before JIT compilation, a request takes several times as much
    // processor time.
    await runRate(fleet, Math.max(...rates), options);
    const points: LoadPoint[] = [];
    for (const rate of rates) points.push(await runRate(fleet, rate, options));
    return points;
  };
  return withSingleServiceFleet(BASE_SIZE, {
    serviceMs: LOADED_SERVICE_MS,
    run,
  });
}
