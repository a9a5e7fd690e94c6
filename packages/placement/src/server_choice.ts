/**
 * Chooses a server for a request that any server of a service can process.
 *
 * Load pattern: servers differ in speed, some are slow or fail for a while, and
 * traffic between zones is expensive. Each router estimates how long a server
 * would take for one more request, from the server's load reports and from its
 * own requests in flight. It chooses a server in another zone only if the gain
 * outweighs the cost of the traffic.
 * @module
 */
import type { ServerEntry } from "@jaytiller/routing";
import { computeLeasedShare } from "./capacity_units.js";
import { computeShare } from "./concurrency_limit.js";
import type { ServerStats } from "./server_stats.js";

/** A server and this router's statistics of it. */
export interface Candidate {
  readonly entry: ServerEntry;
  readonly stats: ServerStats;
  /** Present if the server names a limit. */
  readonly limit?: CandidateLimit;
  /** Whether it is cold, and used only if no other server has capacity. */
  readonly isCold?: boolean;
  /** Requests that may be in flight; absent if no lease limits them. */
  readonly units?: number;
}

/** The limit that a server names, and this router's part in it. */
export interface CandidateLimit {
  /** Requests per second from all routers together. */
  readonly requestsPerSecond: number;
  /** Whether this router has a permit for a request. */
  readonly hasPermit: boolean;
}

/** The request to place, and the location of the router. */
export interface ChoiceContext {
  readonly nowMs: number;
  readonly zone: string;
  /** Number of routers that send requests to the servers. */
  readonly routers: number;
  /** Approximate size of the request and its response, bytes. */
  readonly bytes: number;
  /** Servers that the request was already sent to. */
  readonly tried: ReadonlySet<string>;
  /** Service time assumed for a server that has not been measured, ms. */
  readonly assumedMs: number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** Relative slowdown of a server whose slots are all in use. */
const FULL_LOAD_SLOWDOWN = 0.3;
/** Cost added for a server in another zone, ms. */
const CROSS_ZONE_COST_MS = 40;
/** Cost added for each KB sent to or from another zone, ms. */
const CROSS_ZONE_COST_MS_PER_KB = 12;
/** Cost added for a cold server, ms; more than any other cost. */
const COLD_COST_MS = 1e9;
/** Cost of one recent failure of a server, ms. */
const FAILURE_COST_MS = 150;
/**
 * Maximum random increase of an estimate, as a share of it; keeps routers from
 * all choosing the same server.
 */
const MAX_JITTER = 0.2;

/** The chosen server, and totals over all servers of the service. */
export interface ServerChoice {
  /** The available server with the least cost. */
  readonly best?: Candidate;
  /** Share of its capacity that falls to this router. */
  readonly share?: number;
  /** Number of servers that are not considered unreachable. */
  readonly heard: number;
  /** Maximum number of this router's requests in flight at these servers. */
  readonly limit: number;
}

/** Chooses the server with the least cost among those with free capacity. */
export function chooseServer(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): ServerChoice {
  let best: Candidate | undefined;
  let leastCost = Infinity;
  let heard = 0;
  let limit = 0;
  for (const candidate of candidates) {
    if (candidate.stats.isUnreachable(context.nowMs)) continue;
    heard += 1;
    limit += computeLimit(candidate, context);
    if (!isAvailable(candidate, context)) continue;
    const cost = computeCost(candidate, context);
    if (cost < leastCost) [best, leastCost] = [candidate, cost];
  }
  const chosen = best ? { best, share: computeServerShare(best, context) } : {};
  return { ...chosen, heard, limit };
}

/** Returns the cost by which a candidate is compared with others, ms. */
export function computeCost(
  candidate: Candidate,
  context: ChoiceContext,
): number {
  // A permit lapses, and its request shows whether the limit has ended.
  return (candidate.limit ? 0 : estimateCost(candidate, context)) +
    (candidate.isCold ? COLD_COST_MS : 0);
}

/** Returns whether a candidate that is not unreachable can be chosen. */
export function isAvailable(
  candidate: Candidate,
  context: ChoiceContext,
): boolean {
  const { entry, stats, units = Infinity } = candidate;
  const share = computeServerShare(candidate, context);
  return stats.inFlight < units && stats.hasRoom(context.nowMs, share) &&
    !context.tried.has(entry.id) &&
    candidate.limit?.hasPermit !== false;
}

/** Computes the requests that this router may have in flight at a server. */
function computeLimit(candidate: Candidate, context: ChoiceContext): number {
  const { stats, limit, units = Infinity } = candidate;
  const { nowMs, assumedMs, routers } = context;
  const share = computeServerShare(candidate, context);
  const inFlight = Math.min(units, stats.getLimit(nowMs, share));
  if (!limit) return inFlight;
  // By Little's law, as many are in flight as begin in the time of one.
  const perSecond = limit.requestsPerSecond / Math.max(1, routers);
  return Math.min(inFlight, perSecond * assumedMs / 1000);
}

/** Returns the requests at a server that fall to this router. */
export function computeServerShare(
  { entry, units }: Pick<Candidate, "entry" | "units">,
  { routers }: Pick<ChoiceContext, "routers">,
): number {
  if (units !== undefined) return computeLeasedShare(units);
  return computeShare({ slots: entry.slots, routers });
}

/** Estimates the time until the server's response, ms. */
export function estimateLatency(
  { entry, stats }: Candidate,
  { nowMs, assumedMs }: { nowMs: number; assumedMs: number },
): number {
  const serviceMs = stats.getServiceMs(assumedMs) *
    stats.getRelativePace(nowMs);
  const occupancy = stats.estimateOccupancy(nowMs);
  const ahead = Math.max(0, occupancy + 1 - entry.slots);
  const utilization = Math.min(1, occupancy / entry.slots);
  return serviceMs *
    (1 + FULL_LOAD_SLOWDOWN * utilization + ahead / entry.slots);
}

/** Estimates the response time plus the costs of failures and traffic, ms. */
export function estimateCost(
  { entry, stats }: Candidate,
  context: ChoiceContext,
): number {
  const time = estimateLatency({ entry, stats }, context);
  const failureCost = FAILURE_COST_MS * stats.getFailures(context.nowMs);
  const crossZoneCost = entry.zone === context.zone
    ? 0
    : CROSS_ZONE_COST_MS + CROSS_ZONE_COST_MS_PER_KB * context.bytes / 1024;
  return time * (1 + MAX_JITTER * context.random()) + failureCost +
    crossZoneCost;
}
