/** Describes the servers of an undivided service for an explanation. @module */
import {
  type Candidate,
  type ChoiceContext,
  isAvailable,
} from "@jaytiller/placement";
import type { ServerEntry, ServiceSpec } from "@jaytiller/routing";
import type { Explanation } from "./explanation.js";
import type { PlacementView } from "./placement_decision.js";
import { computeCostRange, describeServer } from "./server_explanation.js";
import type { ServerSelection } from "./service_decision.js";

/** Servers of an undivided service that are described at most. */
const MAX_DESCRIBED = 100;

/** Describes the servers of a service, those that can get the request first. */
export function describeCandidates(
  view: PlacementView,
  { service, context, selection }: {
    service: ServiceSpec;
    context: ChoiceContext;
    selection?: ServerSelection | undefined;
  },
): Explanation["candidates"] {
  const candidates = new Map(
    selection?.candidates.map((c) => [c.entry.id, c]),
  );
  const leased = new Map(
    selection?.leased.servers.map((s) => [s.entry.id, s]),
  );
  const servers = view.cluster.servers.listService(service.name);
  const usable = new Set(
    view.clearance.listUsable(service.name, context.nowMs),
  );
  const entries = sortByCost(servers, { candidates, context })
    .slice(0, MAX_DESCRIBED);
  const subset = selection?.leased.subset;
  return {
    total: servers.length,
    omitted: servers.length - entries.length,
    ...(subset ? { subset } : {}),
    servers: entries.map((entry) =>
      describeServer(view, {
        entry,
        isUsable: usable.has(entry),
        candidate: candidates.get(entry.id),
        isLeased: !selection || leased.has(entry.id),
        units: leased.get(entry.id)?.units,
      }, context)
    ),
  };
}

/** Sorts servers by their least cost, those that can get no request last. */
function sortByCost(
  servers: readonly ServerEntry[],
  { candidates, context }: {
    candidates: ReadonlyMap<string, Candidate>;
    context: ChoiceContext;
  },
): readonly ServerEntry[] {
  const getCost = (id: string) => {
    const candidate = candidates.get(id);
    if (!candidate || !canGetRequest(candidate, context)) return Infinity;
    return computeCostRange(candidate, context).min;
  };
  return servers
    .map((entry) => ({ entry, cost: getCost(entry.id) }))
    .sort((a, b) => a.cost === b.cost ? 0 : a.cost - b.cost)
    .map(({ entry }) => entry);
}

/** Lists the candidates that the random increase of the cost may select. */
export function listPossible(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): readonly string[] {
  const costs = candidates.filter((c) => canGetRequest(c, context))
    .map((c) => ({ id: c.entry.id, ...computeCostRange(c, context) }));
  const least = Math.min(...costs.map(({ max }) => max));
  return costs.filter(({ min }) => min <= least)
    .sort((a, b) => a.min - b.min)
    .map(({ id }) => id);
}

function canGetRequest(candidate: Candidate, context: ChoiceContext): boolean {
  return !candidate.stats.isUnreachable(context.nowMs) &&
    isAvailable(candidate, context);
}
