/** Describes what is known of a server for an explanation. @module */
import {
  type Candidate,
  type ChoiceContext,
  computeCost,
  computeServerShare,
  estimateLatency,
} from "@jaytiller/placement";
import { type ServerEntry, ServerState } from "@jaytiller/routing";
import { Obstacle, type ServerExplanation } from "./explanation.js";
import type { PlacementView } from "./placement_decision.js";

/** A server to describe, and as what. */
export interface DescribedServer {
  readonly entry: ServerEntry;
  /** Absent if it is no candidate. */
  readonly candidate?: Candidate | undefined;
  /** Whether it may get requests now, as one that leaves still may. */
  readonly isUsable: boolean;
  /** Whether this router may use it by its leases. */
  readonly isLeased: boolean;
  /** Requests in flight that leases allow; absent if none limits them. */
  readonly units?: number | undefined;
}

/** The circumstances of a check for an obstacle. */
interface ObstacleFacts extends DescribedServer {
  readonly view: PlacementView;
  readonly context: ChoiceContext;
}

/** Returns whether a server is subject to each obstacle; in order of checks. */
const OBSTACLES: Readonly<Record<Obstacle, (facts: ObstacleFacts) => boolean>> =
  {
    [Obstacle.Draining]: ({ entry }) => entry.state !== ServerState.Ready,
    [Obstacle.Leaving]: ({ view, entry, isUsable }) =>
      !isUsable && view.stats.notices.isLeaving(entry),
    [Obstacle.Evacuated]: ({ view, entry, isUsable }) =>
      !isUsable && view.cluster.evacuations.find(entry.zone) !== undefined,
    [Obstacle.Paused]: ({ view, entry, context }) =>
      view.clearance.getPauseMs(entry, context.nowMs) > 0,
    [Obstacle.Unreachable]: ({ view, entry, context }) =>
      view.stats.get(entry.id).isUnreachable(context.nowMs),
    [Obstacle.NotLeased]: ({ isLeased }) => !isLeased,
    [Obstacle.Cold]: ({ view, entry, context }) =>
      view.clearance.computeColdDelay(entry, {
        waiting: 1,
        nowMs: context.nowMs,
      }) > 0,
    [Obstacle.NoPermit]: ({ view, entry, context }) =>
      !view.clearance.readPermit(entry, context.nowMs).isAllowed,
    [Obstacle.NoRoom]: ({ view, entry, units = Infinity, context }) => {
      const stats = view.stats.get(entry.id);
      const share = getShare(entry, units, context);
      return stats.inFlight >= units || !stats.hasRoom(context.nowMs, share);
    },
  };

/** Describes a server with all that a decision on it may depend on. */
export function describeServer(
  view: PlacementView,
  described: DescribedServer,
  context: ChoiceContext,
): ServerExplanation {
  const { entry, candidate } = described;
  const { nowMs } = context;
  const { id, zone, slots, state } = entry;
  const stats = view.stats.get(id);
  const load = stats.getLoadReport(nowMs);
  const { measuredServiceMs } = stats;
  return {
    id,
    zone,
    slots,
    entry: { state, ...withAge(view.cluster.getEntryAgeMs(entry, nowMs)) },
    ...(load ? { load } : {}),
    concurrency: describeConcurrency(view, described, context),
    ...(measuredServiceMs === undefined
      ? {}
      : { serviceMs: measuredServiceMs }),
    ...describeFailures(view, entry, nowMs),
    ...describeLease(view, described, nowMs),
    ...describeNotices(view, entry, nowMs),
    obstacles: listObstacles({ ...described, view, context }),
    expectedMs: estimateLatency({ entry, stats }, context),
    ...(candidate ? { cost: computeCostRange(candidate, context) } : {}),
  };
}

/** Computes the cost with the least and the largest random increase. */
export function computeCostRange(
  candidate: Candidate,
  context: ChoiceContext,
): { readonly min: number; readonly max: number } {
  return {
    min: computeCost(candidate, { ...context, random: () => 0 }),
    max: computeCost(candidate, { ...context, random: () => 1 }),
  };
}

function listObstacles(facts: ObstacleFacts): readonly Obstacle[] {
  return Object.entries(OBSTACLES)
    .filter(([, hasObstacle]) => hasObstacle(facts))
    .map(([name]) => name as Obstacle);
}

function describeConcurrency(
  view: PlacementView,
  { entry, units = Infinity }: DescribedServer,
  context: ChoiceContext,
): ServerExplanation["concurrency"] {
  const { nowMs } = context;
  const stats = view.stats.get(entry.id);
  const ageMs = stats.getLimitAgeMs(nowMs);
  return {
    limit: stats.getLimit(nowMs, getShare(entry, units, context)),
    inFlight: stats.inFlight,
    ...withAge(Number.isFinite(ageMs) ? ageMs : undefined),
    resumeMs: stats.getResumeDelayMs(nowMs),
  };
}

function describeFailures(
  view: PlacementView,
  { id }: ServerEntry,
  nowMs: number,
): Pick<ServerExplanation, "failures" | "unreachableMs"> {
  const stats = view.stats.get(id);
  const weight = stats.getFailures(nowMs);
  const ageMs = stats.getFailuresAgeMs(nowMs);
  return {
    ...(weight > 0 ? { failures: { weight, ageMs } } : {}),
    ...(stats.isUnreachable(nowMs)
      ? { unreachableMs: stats.getBackoffMs(nowMs) }
      : {}),
  };
}

function describeLease(
  { leases }: PlacementView,
  { units }: DescribedServer,
  nowMs: number,
): Pick<ServerExplanation, "lease"> {
  if (units === undefined) return {};
  return { lease: { units, ...withAge(leases.getAgeMs(nowMs)) } };
}

/** Describes what the server, its zone and its last starts say about it. */
function describeNotices(
  { cluster, stats: { notices }, clearance }: PlacementView,
  entry: ServerEntry,
  nowMs: number,
): Pick<
  ServerExplanation,
  "cold" | "evacuated" | "pausedMs" | "leavingMs" | "permit"
> {
  const cold = clearance.readCold(entry, nowMs);
  const evacuation = cluster.evacuations.find(entry.zone);
  const pausedMs = clearance.getPauseMs(entry, nowMs);
  const leavingMs = notices.getLeavingMs(entry, nowMs);
  const permit = clearance.readPermit(entry, nowMs);
  return {
    ...(cold ? { cold } : {}),
    ...(evacuation
      ? { evacuated: { ageMs: nowMs - evacuation.learnedMs } }
      : {}),
    ...(pausedMs > 0 ? { pausedMs } : {}),
    ...(leavingMs === undefined ? {} : { leavingMs }),
    ...(permit.requestsPerSecond === undefined ? {} : {
      permit: { ...permit, ...withAge(notices.getAgeMs(entry.id, nowMs)) },
    }),
  };
}

function getShare(
  entry: ServerEntry,
  units: number,
  { routers }: ChoiceContext,
): number {
  const isLimited = Number.isFinite(units);
  return computeServerShare(
    isLimited ? { entry, units } : { entry },
    { routers },
  );
}

function withAge(ageMs: number | undefined): { ageMs?: number } {
  return ageMs === undefined ? {} : { ageMs };
}
