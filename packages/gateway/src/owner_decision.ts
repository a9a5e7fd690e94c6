/**
 * Decides whether the owner of a key gets a request now.
 *
 * Load pattern: only one server can run the request. It may be overloaded by a
 * hot key, cold after a restart or in need of a pause, and no other server can
 * take the request over.
 * @module
 */
import {
  type AdmissionFacts,
  computeShare,
  decideAdmission,
  estimateLatency,
  mayOverfill,
} from "@jaytiller/placement";
import type { ServerEntry, ServiceSpec } from "@jaytiller/routing";
import { nameServerResource } from "./admission_messages.js";
import type { PermitState } from "./permit_client.js";
import {
  decideDelay,
  type Decision,
  DecisionKind,
  type Outcome,
  type PlacementRequest,
  type PlacementView,
  RefusalReason,
  refuseRequest,
  resolveAdmission,
  UNREACHABLE_ROOM_MS,
  type WaitDecision,
} from "./placement_decision.js";

/** An owner that gets the request if its admission share lets it. */
export interface EligibleOwner {
  readonly kind: DecisionKind.Eligible;
  readonly server: ServerEntry;
  /** Names the owner's capacity. */
  readonly resource: string;
  /** Reason of a refusal by the admission share. */
  readonly reason: RefusalReason.OwnerOverloaded;
}

/** Facts from which a decision on an owner follows; in order of the checks. */
export interface OwnerInputs {
  /** Requests for the owner up to this one, which may be queued. */
  readonly waiting: number;
  readonly coldDelayMs: number;
  /** Absent if an earlier fact decided. */
  readonly permit?: PermitState;
  readonly admission?: AdmissionFacts;
}

/** Time within which a moving key is granted to its next owner, ms. */
export const MAX_MOVE_WAIT_MS = 700;
/** Largest share of a request's remaining time to wait for a moving key. */
const MOVE_WAIT_SHARE = 0.35;

/** Returns the server that owns a key, whether or not it may get requests. */
export function findOwner(
  { cluster }: PlacementView,
  service: ServiceSpec,
  key: number,
): ServerEntry | undefined {
  const id = cluster.owners.get(service.name)?.find(key);
  return id === undefined ? undefined : cluster.servers.find(id);
}

/**
 * Finds the owner of the request's key. Returns an outcome instead if there is
 * none that may get requests.
 */
export function checkOwner(
  view: PlacementView,
  service: ServiceSpec,
  request: PlacementRequest,
): EligibleOwner | Outcome {
  const { clearance, stats } = view;
  const { key, nowMs } = request;
  if (key === undefined) return refuseRequest(RefusalReason.NoKey);
  const server = findOwner(view, service, key);
  if (!server || !clearance.isUsable(server, nowMs)) {
    return waitForMove(service, key, request);
  }
  const resource = nameServerResource(server.id);
  const paused = decideDelay(request, {
    delayMs: clearance.getPauseMs(server, nowMs),
    resource,
    reason: RefusalReason.Paused,
  });
  if (paused) return paused;
  if (stats.get(server.id).isUnreachable(nowMs)) {
    return refuseRequest(RefusalReason.OwnerSilent, UNREACHABLE_ROOM_MS);
  }
  return {
    kind: DecisionKind.Eligible,
    server,
    resource,
    reason: RefusalReason.OwnerOverloaded,
  };
}

/** Decides on a request that the admission share of its owner has admitted. */
export function decideOwner(
  view: PlacementView,
  owner: EligibleOwner,
  request: PlacementRequest,
): Decision<OwnerInputs> {
  const { clearance } = view;
  const { server, resource } = owner;
  const { nowMs } = request;
  const waiting = countWaiting(view, resource, request);
  const coldDelayMs = clearance.computeColdDelay(server, { waiting, nowMs });
  const cold = decideDelay(request, {
    delayMs: coldDelayMs,
    resource,
    reason: RefusalReason.OwnerCold,
  });
  if (cold) return { outcome: cold, inputs: { waiting, coldDelayMs } };
  const permit = clearance.readPermit(server, nowMs);
  const limited = decideDelay(request, {
    delayMs: permit.delayMs,
    resource,
    reason: RefusalReason.OwnerLimited,
  });
  const inputs = { waiting, coldDelayMs, permit };
  if (limited) return { outcome: limited, inputs };
  const admission = collectAdmissionFacts(view, owner, request);
  const outcome = resolveAdmission(decideAdmission(admission), {
    server,
    resource,
  });
  return { outcome, inputs: { ...inputs, admission } };
}

function waitForMove(
  service: ServiceSpec,
  key: number,
  { leftMs }: PlacementRequest,
): WaitDecision {
  return {
    kind: DecisionKind.Wait,
    reason: RefusalReason.KeyMoving,
    resource: `moving/${service.name}/${key}`,
    waitMs: Math.min(MAX_MOVE_WAIT_MS, MOVE_WAIT_SHARE * leftMs),
  };
}

/** Counts the requests for a server up to this one, which may be queued. */
function countWaiting(
  view: PlacementView,
  resource: string,
  { route, ahead }: PlacementRequest,
): number {
  const queued = view.countAhead(resource, route.priority);
  return Math.max(1, ahead === undefined ? queued + 1 : queued);
}

function collectAdmissionFacts(
  view: PlacementView,
  { server, resource }: EligibleOwner,
  { route, nowMs, leftMs, ahead }: PlacementRequest,
): AdmissionFacts {
  const { cluster, countRouters } = view;
  const stats = view.stats.get(server.id);
  const assumedMs = stats.measuredServiceMs ??
    view.stats.computeMeanServiceMs(cluster.servers.listReady(server.service));
  const candidate = { entry: server, stats };
  const bounds = { slots: server.slots, routers: countRouters() };
  const share = computeShare(bounds);
  // The coordinator watches owners that many routers could overfill.
  const isRoomKnown = mayOverfill(bounds) &&
    cluster.admission.hasRoom(resource, nowMs);
  const leastLimit = isRoomKnown ? 1 : 0;
  return {
    hasCapacity: stats.hasRoom(nowMs, share, leastLimit),
    ahead: ahead ?? view.countAhead(resource, route.priority),
    limit: stats.getLimit(nowMs, share, leastLimit),
    isRoomKnown,
    serviceMs: stats.getServiceMs(assumedMs),
    expectedMs: estimateLatency(candidate, { nowMs, assumedMs }),
    leftMs,
    targetMs: route.targetMs,
  };
}
