/**
 * Chooses a server for work that any server of a service can do.
 *
 * Load pattern: servers differ in speed, some are slow or fail for a while,
 * and bytes between zones are dear. Each router estimates what a server would
 * take for one more request from the server's own reports and its own work
 * under way, and leaves its zone only if that is worth the bytes.
 * @module
 */
import type { ServerEntry } from "@jaytiller/routing";
import type { ServerStats } from "./server_stats.js";

/** A server and what is known of it. */
export interface Candidate {
  readonly entry: ServerEntry;
  readonly stats: ServerStats;
}

/** The request and the place of the router. */
export interface ChoiceContext {
  readonly nowMs: number;
  readonly zone: string;
  /** Bytes that the request and its answer take, about. */
  readonly bytes: number;
  /** Servers that the request was sent to already. */
  readonly tried: ReadonlySet<string>;
  /** Time of a request at a server that has not been measured, ms. */
  readonly assumedMs: number;
  /** From 0 to below 1. */
  readonly random: () => number;
}

/** A server with all slots in use is slower by this share. */
const FULL_SLOWDOWN = 0.3;
/** Added to the estimate of a server in another zone, ms. */
const OTHER_ZONE_MS = 40;
/** The same for each KB that the request moves, ms. */
const OTHER_ZONE_MS_PER_KB = 12;
/** A failure within the last seconds weighs like this time, ms. */
const FAILURE_MS = 150;
/** Estimates differ by this share at random, against herds of routers. */
const NOISE = 0.2;

/** What a look at all servers of a service has shown. */
export interface ServerChoice {
  /** The best of the servers that can be sent to. */
  readonly best?: Candidate;
  /** Number of servers that are not silent. */
  readonly heard: number;
  /** Requests that the router may have under way at these. */
  readonly limit: number;
}

/** Chooses the server with the least cost among those with room. */
export function chooseServer(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): ServerChoice {
  let best: Candidate | undefined;
  let least = Infinity;
  let heard = 0;
  let limit = 0;
  for (const candidate of candidates) {
    if (candidate.stats.isSilent(context.nowMs)) continue;
    heard += 1;
    limit += candidate.stats.limit;
    if (!isOpen(candidate, context)) continue;
    const cost = estimateCost(candidate, context);
    if (cost < least) [best, least] = [candidate, cost];
  }
  return { ...(best ? { best } : {}), heard, limit };
}

function isOpen({ entry, stats }: Candidate, context: ChoiceContext): boolean {
  return stats.inFlight < stats.limit && !context.tried.has(entry.id);
}

/** Estimated time until an answer of the server, ms. */
export function estimateTime(
  { entry, stats }: Candidate,
  { nowMs, assumedMs }: { nowMs: number; assumedMs: number },
): number {
  const serviceMs = stats.getServiceMs(assumedMs);
  const occupancy = stats.estimateOccupancy(nowMs);
  const ahead = Math.max(0, occupancy + 1 - entry.slots);
  const use = Math.min(1, occupancy / entry.slots);
  return serviceMs * (1 + FULL_SLOWDOWN * use + ahead / entry.slots);
}

/** The same with what failures and bytes between zones weigh, ms. */
export function estimateCost(
  { entry, stats }: Candidate,
  context: ChoiceContext,
): number {
  const time = estimateTime({ entry, stats }, context);
  const failures = FAILURE_MS * stats.getFailures(context.nowMs);
  const distance = entry.zone === context.zone
    ? 0
    : OTHER_ZONE_MS + OTHER_ZONE_MS_PER_KB * context.bytes / 1024;
  return time * (1 + NOISE * context.random()) + failures + distance;
}
