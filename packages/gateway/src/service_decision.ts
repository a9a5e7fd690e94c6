/**
 * Decides which server of an undivided service gets a request now.
 *
 * Load pattern: up to hundreds of servers can run the request, and each request
 * looks at those that this router may use. The inputs of a decision are the
 * lists from which it was made; nothing is described for them.
 * @module
 */
import {
  type AdmissionFacts,
  type Candidate,
  chooseServer,
  decideAdmission,
  estimateLatency,
  type ServerChoice,
} from "@jaytiller/placement";
import type { ServerEntry, ServiceSpec } from "@jaytiller/routing";
import { nameServiceResource } from "./admission_messages.js";
import type { LeasedServers } from "./capacity_leases.js";
import {
  ASSUMED_ANSWER_BYTES,
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
} from "./placement_decision.js";

/** A service that gets the request if its admission share lets it. */
export interface EligibleService {
  readonly kind: DecisionKind.Eligible;
  readonly service: string;
  /** Servers that may get requests. */
  readonly entries: readonly ServerEntry[];
  /** Names the capacity of the service. */
  readonly resource: string;
  /** Reason of a refusal by the admission share. */
  readonly reason: RefusalReason.ServiceOverloaded;
}

/** Facts from which a decision on an undivided service follows. */
export interface ServiceInputs {
  /** Time for which no server of the service takes anything, ms. */
  readonly pauseMs: number;
  /** Absent if the pause decided. */
  readonly selection?: ServerSelection;
  readonly admission?: AdmissionFacts;
}

/** The servers among which one was chosen. */
export interface ServerSelection {
  /** Servers that this router may use by its leases. */
  readonly leased: LeasedServers;
  /** Those of them that take requests. */
  readonly candidates: readonly Candidate[];
  readonly choice: ServerChoice;
  /** Service time assumed for servers that have not been measured, ms. */
  readonly serviceMs: number;
}

/**
 * Lists the servers for a request. Returns an outcome instead if there is none
 * that may get requests.
 */
export function checkService(
  { clearance }: PlacementView,
  { name }: ServiceSpec,
  { nowMs }: PlacementRequest,
): EligibleService | Outcome {
  const entries = clearance.listUsable(name, nowMs);
  if (entries.length === 0) return refuseRequest(RefusalReason.NoServer);
  return {
    kind: DecisionKind.Eligible,
    service: name,
    entries,
    resource: nameServiceResource(name),
    reason: RefusalReason.ServiceOverloaded,
  };
}

/** Decides on a request that the admission share of its service has admitted. */
export function decideService(
  view: PlacementView,
  eligible: EligibleService,
  request: PlacementRequest,
): Decision<ServiceInputs> {
  const { entries, resource } = eligible;
  const { nowMs } = request;
  const pauseMs = view.clearance.computePause(entries, nowMs);
  const paused = decideDelay(request, {
    delayMs: pauseMs,
    resource,
    reason: RefusalReason.Paused,
  });
  if (paused) return { outcome: paused, inputs: { pauseMs } };
  const selection = selectServer(view, eligible, request);
  const { best, share, heard } = selection.choice;
  if (heard === 0) {
    return {
      outcome: refuseRequest(RefusalReason.OwnerSilent, UNREACHABLE_ROOM_MS),
      inputs: { pauseMs, selection },
    };
  }
  const admission = collectAdmissionFacts(
    view,
    { resource, selection },
    request,
  );
  const outcome = resolveAdmission(decideAdmission(admission), {
    server: best?.entry,
    share,
    resource,
  });
  return { outcome, inputs: { pauseMs, selection, admission } };
}

function selectServer(
  view: PlacementView,
  { service, entries }: EligibleService,
  { nowMs, body, tried }: PlacementRequest,
): ServerSelection {
  const serviceMs = view.stats.computeMeanServiceMs(entries);
  const leased = view.leases.chooseServers(service, entries, nowMs);
  const candidates = view.clearance.listCandidates(leased.servers, nowMs);
  const choice = chooseServer(candidates, {
    nowMs,
    zone: view.zone,
    routers: view.countRouters(),
    bytes: body + ASSUMED_ANSWER_BYTES,
    tried: new Set(tried),
    assumedMs: serviceMs,
    random: view.random,
  });
  return { leased, candidates, choice, serviceMs };
}

function collectAdmissionFacts(
  view: PlacementView,
  { resource, selection }: { resource: string; selection: ServerSelection },
  { route, nowMs, leftMs, ahead }: PlacementRequest,
): AdmissionFacts {
  const { choice: { best, limit }, serviceMs } = selection;
  return {
    hasCapacity: best !== undefined,
    ahead: ahead ?? view.countAhead(resource, route.priority),
    limit,
    serviceMs,
    expectedMs: best
      ? estimateLatency(best, { nowMs, assumedMs: serviceMs })
      : serviceMs,
    leftMs,
    targetMs: route.targetMs,
  };
}
