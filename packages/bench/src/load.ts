/**
 * A load run with a load spike, changing hot keys, long requests, kills and
 * drains.
 * @module
 */
import type { GroupId, UnitId } from "@jaytiller/model";
import { computeShard, formatGroup } from "@jaytiller/model";
import type { Fleet, FleetOptions } from "@jaytiller/standins";
import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { Phase } from "./arrivals.js";
import { foldLog, readLog, withFleet } from "./bench_fleet.js";
import {
  makeAgent,
  runOpenLoop,
  sendTimedRequest,
} from "./open_loop_client.js";
import {
  computeUnavailability,
  type Incident,
  IncidentKind,
  type IncidentRecord,
  IncidentRunner,
  type Unavailability,
} from "./incidents.js";
import {
  computeImbalance,
  countCauses,
  countMoves,
  type ImbalanceWindow,
  isAnswered,
  makePhaseRow,
  type MoveCount,
  type PhaseRow,
  type Sample,
} from "./measures.js";
import { getRule, makePlan, type Plan, type PlanOptions } from "./plan.js";
import { type ProcessStats, readProcessStats } from "./process_stats.js";

/**
 * Connections per entry VM and service. With four services, the total stays
 * below the 2000 connections that a router accepts.
 */
const MAX_SOCKETS = 450;
const IMBALANCE_WINDOW_MS = 10_000;
/** Delay before the first request, in which the run is set up. */
const START_DELAY_MS = 200;
const NS_PER_MS = 1e6;

/** Options of a load run. */
export interface LoadOptions extends Omit<PlanOptions, "services" | "zones"> {
  readonly fleet: FleetOptions;
  readonly incidents: readonly Incident[];
}

/** Resource usage of one router during the run. */
export interface RouterUsage {
  readonly id: string;
  readonly holds: readonly GroupId[];
  /** Processor time as a share of one core; NaN if the router has exited. */
  readonly cores: number;
  readonly peakBytes: number;
}

/** An incident and the unavailability that it caused. */
export interface IncidentResult {
  readonly kind: IncidentKind;
  readonly server: string;
  readonly atMs: number;
  /** Set for kills only. */
  readonly unavailable?: Unavailability;
}

/** Result of a load run. */
export interface LoadResult {
  readonly seed: number;
  readonly stretch: number;
  readonly totalMs: number;
  readonly capacity: Readonly<Record<string, number>>;
  readonly rows: readonly PhaseRow[];
  /** Unanswered requests by outcome and cause, such as `refused noOwner`. */
  readonly causes: Readonly<Record<string, number>>;
  readonly imbalance: readonly ImbalanceWindow[];
  readonly moves: readonly MoveCount[];
  readonly incidents: readonly IncidentResult[];
  readonly routers: readonly RouterUsage[];
  /**
   * Processor time and event loop lag of this process. If the generator is
   * overloaded, the measured latencies are those of the generator.
   */
  readonly generator: { readonly cores: number; readonly lagP99Ms: number };
  /** Load average over one minute, read before the fleet started. */
  readonly machineLoad: number;
  readonly samples: readonly Sample[];
}

function createSender(fleet: Fleet, originMs: number, samples: Sample[]) {
  const agents = new Map<string, ReturnType<typeof makeAgent>>();
  const getAgent = (id: string) => {
    const agent = agents.get(id) ?? makeAgent(MAX_SOCKETS);
    agents.set(id, agent);
    return agent;
  };
  const send = async (r: Plan["requests"][number], dueMs: number) => {
    const { service, key } = r;
    const entry = fleet.entries[Math.floor(r.entry * fleet.entries.length)]!;
    const rule = getRule(service);
    const { outcome, latencyMs, endMs, cause } = await sendTimedRequest({
      dueMs,
      url: `${entry.callerUrl}${service.pathPrefix}/${key}?ms=${
        r.serviceMs.toFixed(2)
      }`,
      method: rule.methods[0] ?? "GET",
      deadlineMs: r.deadlineMs,
      needsIdempotencyKey: !rule.idempotent,
    }, getAgent(`${entry.id}/${service.name}`));
    samples.push({
      service: service.name,
      phase: r.phase,
      key,
      sentMs: dueMs - originMs,
      endMs: endMs - originMs,
      latencyMs,
      outcome,
      cause,
    });
  };
  const close = () => agents.forEach((agent) => agent.destroy());
  return { send, close };
}

function summarizeIncident(
  record: IncidentRecord,
  run: { fleet: Fleet; samples: readonly Sample[] },
): IncidentResult {
  const { kind, server, atMs } = record;
  if (kind !== IncidentKind.Kill) return { kind, server, atMs };
  const service = run.fleet.options.services
    .find((s) => s.name === record.service)!;
  const answered = run.samples
    .filter((s) => s.service === record.service && isAnswered(s))
    .map(({ key, sentMs, endMs }) => ({
      unit: computeShard(key, service.shards) as UnitId,
      sentMs,
      endMs,
    }));
  const unavailable = computeUnavailability(record, answered);
  return { kind, server, atMs, unavailable };
}

function readRouterStats(fleet: Fleet): (ProcessStats | undefined)[] {
  return fleet.entries.map((e) => readProcessStats(e.child.pid));
}

async function runPlan(
  fleet: Fleet,
  plan: Plan,
  options: LoadOptions,
): Promise<Omit<LoadResult, "machineLoad">> {
  const firstOffset = (await readLog(fleet.log.url)).length;
  const samples: Sample[] = [];
  const lag = monitorEventLoopDelay({ resolution: 5 });
  const before = readRouterStats(fleet);
  const cpuBefore = process.cpuUsage();
  lag.enable();
  const originMs = performance.now() + START_DELAY_MS;
  const originUnixMs = performance.timeOrigin + originMs;
  const runner = new IncidentRunner(fleet, originMs);
  const { send, close } = createSender(fleet, originMs, samples);
  await Promise.all([
    runOpenLoop(plan.requests, originMs, send),
    runner.run(options.incidents),
  ]);
  const elapsedMs = performance.now() - originMs;
  lag.disable();
  close();
  const cpuUsed = process.cpuUsage(cpuBefore);
  const after = readRouterStats(fleet);
  const entries = await readLog(fleet.log.url);
  const from = entries[firstOffset]?.offset ?? Infinity;
  const { services } = fleet.options;
  const incidentMs = new Map(runner.records.map((r) => [r.server, r.atMs]));
  const members = fleet.backends.map((b) => ({
    server: b.id,
    group: formatGroup(b.service.name, b.zone),
    untilMs: originUnixMs + (incidentMs.get(b.id) ?? Infinity),
  }));
  const claims = [...foldLog(entries).listClaims()];
  return {
    seed: options.seed,
    stretch: plan.stretch,
    totalMs: plan.totalMs,
    capacity: Object.fromEntries(
      plan.loads.map((l) => [l.service.name, l.capacity]),
    ),
    rows: services.flatMap((s) =>
      Object.values(Phase).map((phase) =>
        makePhaseRow(samples, { service: s.name, phase })
      )
    ),
    causes: countCauses(samples),
    imbalance: computeImbalance(fleet.readAllExecutions(), {
      members,
      fromMs: originUnixMs,
      toMs: originUnixMs + plan.totalMs,
      windowMs: IMBALANCE_WINDOW_MS,
    }),
    moves: countMoves(entries, { from, services, keys: options.keys }),
    incidents: runner.records.map((r) =>
      summarizeIncident(r, { fleet, samples })
    ),
    routers: fleet.entries.map((e, i) => ({
      id: e.id,
      holds: claims.filter(([, c]) => c.node === e.id).map(([group]) => group),
      cores: ((after[i]?.cpuMs ?? NaN) - (before[i]?.cpuMs ?? NaN)) / elapsedMs,
      peakBytes: after[i]?.peakBytes ?? NaN,
    })),
    generator: {
      cores: (cpuUsed.user + cpuUsed.system) / 1000 / elapsedMs,
      lagP99Ms: lag.percentile(99) / NS_PER_MS,
    },
    samples,
  };
}

/** Starts a fleet, sends the planned requests and computes the measures. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { services, zones } = options.fleet;
  const plan = makePlan({ ...options, services, zones: zones.length });
  const machineLoad = loadavg()[0]!;
  const result = await withFleet(
    options.fleet,
    (fleet) => runPlan(fleet, plan, options),
  );
  return { ...result, machineLoad };
}
