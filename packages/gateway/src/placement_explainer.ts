/**
 * Explains where a request would go now, without sending it.
 *
 * It runs the decisions that a request runs, on the same state. Nothing is
 * changed: no count, reservation, permit or credit of an admission share.
 * @module
 */
import {
  type AdmissionFacts,
  type ChoiceContext,
  computeRetryRange,
  estimateRoomByShare,
} from "@jaytiller/placement";
import type { Route, ServerEntry, ServiceSpec } from "@jaytiller/routing";
import { describeCandidates, listPossible } from "./candidate_explanation.js";
import { RouterStatus } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import type { Dispatcher } from "./dispatcher.js";
import type { ExplainQuery } from "./explain_query.js";
import {
  ExplainedVerdict,
  type Explanation,
  type ServerExplanation,
  type VerdictExplanation,
} from "./explanation.js";
import type { Member } from "./member.js";
import type { MemoryBudget } from "./memory_budget.js";
import { checkOwner, decideOwner, findOwner } from "./owner_decision.js";
import {
  ASSUMED_ANSWER_BYTES,
  collectRetryFacts,
  DecisionKind,
  type Outcome,
  type PlacementRequest,
  type PlacementView,
  RefusalReason,
  type RefuseDecision,
  refuseRequest,
} from "./placement_decision.js";
import type { Placer } from "./placer.js";
import {
  BARRED_RETRY_AFTER_MS,
  NO_ROOM_RETRY_RANGE,
} from "./refusal_responder.js";
import {
  type RejectionReason,
  REJECTIONS,
  STOPPING_RETRY_AFTER_MS,
} from "./route_decision.js";
import { computeFingerprint } from "./server_evidence.js";
import { describeServer } from "./server_explanation.js";
import {
  checkService,
  decideService,
  type EligibleService,
} from "./service_decision.js";

/** Dependencies of an explainer. */
export interface PlacementExplainerOptions {
  readonly node: string;
  readonly cluster: ClusterState;
  readonly placer: Pick<Placer, "view" | "readAdmission" | "hasPlace">;
  readonly dispatcher: Pick<
    Dispatcher,
    "decideRoute" | "peekService" | "isTooLate"
  >;
  readonly budget: Pick<MemoryBudget, "hasRoom">;
  readonly member: Pick<
    Member,
    "coordinator" | "heartbeatAgeMs" | "isCoordinator"
  >;
}

/** The request, its route and the state on which decisions are made. */
interface Subject {
  readonly query: ExplainQuery;
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly request: PlacementRequest;
  readonly view: PlacementView;
}

/** What the part of an explanation after the route consists of. */
type PlacementPart = Pick<
  Explanation,
  "queue" | "admission" | "owner" | "candidates" | "capacity" | "verdict"
>;

/** Explains placements from the state of this router. */
export class PlacementExplainer {
  readonly #options: PlacementExplainerOptions;

  constructor(options: PlacementExplainerOptions) {
    this.#options = options;
  }

  /** Explains where a request would go at `nowMs`. */
  explain(query: ExplainQuery, nowMs: number): Explanation {
    const { node, dispatcher } = this.#options;
    const head = { node, request: query, view: this.#describeView(nowMs) };
    const { host, path } = query;
    const found = dispatcher.decideRoute({ host, target: path, nowMs });
    if ("rejection" in found) {
      return { ...head, verdict: explainRejection(found.rejection) };
    }
    const { route, table } = found;
    const next = dispatcher.peekService(route);
    const service = table.findService(next);
    const described = {
      ...head,
      route: describeRoute(route),
      split: route.targets.map((target) => ({
        ...target,
        isNext: target.service === next,
      })),
      ...(service ? { service: this.#describeService(service) } : {}),
    };
    const { maxBodyBytes } = table.configuration.limits;
    const early = this.#explainEarlyRefusal({
      query,
      route,
      nowMs,
      maxBodyBytes,
    });
    if (early) return { ...described, verdict: early };
    const part = service
      ? this.#explainPlacement(service, { query, route, nowMs })
      : this.#explainUnknownService(next, route);
    return { ...described, ...part };
  }

  #explainPlacement(
    service: ServiceSpec,
    { query, route, nowMs }: {
      query: ExplainQuery;
      route: Route;
      nowMs: number;
    },
  ): PlacementPart {
    const view = this.#makeView(query);
    const request = makeRequest(query, route, nowMs);
    const subject = { query, route, service, request, view };
    return service.sharded
      ? this.#explainOwner(subject)
      : this.#explainService(subject);
  }

  /** Explains the refusal of a request for a service that is not configured. */
  #explainUnknownService(
    service: string,
    { timeoutMs }: Route,
  ): PlacementPart {
    const refused = refuseRequest(RefusalReason.NoServer);
    const facts = { service, leftMs: timeoutMs };
    return { verdict: this.#explainRefusal(refused, facts) };
  }

  #makeView({ zone }: ExplainQuery): PlacementView {
    const { view } = this.#options.placer;
    // Without the random increase of costs; its range is reported.
    return { ...view, zone: zone ?? view.zone, random: () => 0 };
  }

  #describeView(nowMs: number): Explanation["view"] {
    const { cluster, member, node, placer } = this.#options;
    const { routes } = cluster;
    const { heartbeatAgeMs } = member;
    const coordinator = member.isCoordinator ? node : member.coordinator?.node;
    const configurationAgeMs = cluster.getRoutesAgeMs(nowMs);
    return {
      ...(routes ? { configurationVersion: routes.version } : {}),
      ...(configurationAgeMs === undefined ? {} : { configurationAgeMs }),
      ...(cluster.hasServers
        ? { serversAgeMs: nowMs - cluster.serversConfirmedAt }
        : {}),
      owners: cluster.ownersVersion,
      routers: placer.view.countRouters(),
      ...(coordinator === undefined ? {} : { coordinator }),
      ...(heartbeatAgeMs === undefined ? {} : { heartbeatAgeMs }),
    };
  }

  #describeService({ name, sharded }: ServiceSpec): Explanation["service"] {
    const { servers } = this.#options.cluster;
    return {
      name,
      sharded,
      servers: servers.listService(name).length,
      readyServers: servers.listReady(name).length,
    };
  }

  /** Explains a refusal that depends on no server. */
  #explainEarlyRefusal(
    { query, route, nowMs, maxBodyBytes }: {
      query: ExplainQuery;
      route: Route;
      nowMs: number;
      maxBodyBytes: number;
    },
  ): VerdictExplanation | undefined {
    const { budget, dispatcher } = this.#options;
    const { bodyBytes } = query;
    if (bodyBytes > maxBodyBytes) {
      return explainAnswer("tooLarge", RouterStatus.TooLarge);
    }
    if (!budget.hasRoom(bodyBytes)) {
      const range = NO_ROOM_RETRY_RANGE;
      return explainAnswer("noMemory", RouterStatus.Refused, range);
    }
    if (this.#isBarred(query)) {
      const roomMs = BARRED_RETRY_AFTER_MS;
      const range = computeRetryRange({ roomMs, leftMs: 0, serviceMs: 0 });
      return explainAnswer("crashesServers", RouterStatus.Refused, range);
    }
    if (!dispatcher.isTooLate(nowMs + route.timeoutMs)) return undefined;
    const roomMs = STOPPING_RETRY_AFTER_MS;
    const facts = { roomMs, leftMs: route.timeoutMs, serviceMs: 0 };
    const range = computeRetryRange(facts);
    return explainAnswer(RefusalReason.Stopping, RouterStatus.Refused, range);
  }

  /** Returns whether a request without a body is refused as a poison request. */
  #isBarred({ method, path, key, bodyBytes }: ExplainQuery): boolean {
    const { barred } = this.#options.cluster;
    if (barred.size === 0 || bodyBytes > 0) return false;
    return barred.has(computeFingerprint({
      request: { method, url: path },
      metadata: key === undefined ? {} : { key },
    }, { parts: [] }));
  }

  #explainOwner(subject: Subject): PlacementPart {
    const { view, service, request, query } = subject;
    const found = query.key === undefined
      ? undefined
      : findOwner(view, service, query.key);
    const owner = found
      ? { owner: describeOwner(view, found, this.#makeContext(subject)) }
      : {};
    const checked = checkOwner(view, service, request);
    if (checked.kind !== DecisionKind.Eligible) {
      return { ...owner, verdict: this.#explainOutcome(subject, checked) };
    }
    const { outcome, inputs } = decideOwner(view, checked, request);
    return {
      ...owner,
      ...this.#explainAdmitted(subject, { eligible: checked, outcome }),
      ...withCapacity(inputs.admission),
    };
  }

  #explainService(subject: Subject): PlacementPart {
    const { view, service, request } = subject;
    const context = this.#makeContext(subject);
    const checked = checkService(view, service, request);
    if (checked.kind !== DecisionKind.Eligible) {
      return {
        candidates: describeCandidates(view, { service, context }),
        verdict: this.#explainOutcome(subject, checked),
      };
    }
    const { outcome, inputs } = decideService(view, checked, request);
    const { selection } = inputs;
    return {
      candidates: describeCandidates(view, { service, context, selection }),
      ...this.#explainAdmitted(subject, {
        eligible: checked,
        outcome,
        servers: selection && listPossible(selection.candidates, context),
      }),
      ...withCapacity(inputs.admission),
    };
  }

  /** Makes the facts by which servers are compared. */
  #makeContext({ view, service, request }: Subject): ChoiceContext {
    const { nowMs, body } = request;
    const entries = view.clearance.listUsable(service.name, nowMs);
    return {
      nowMs,
      zone: view.zone,
      routers: view.countRouters(),
      bytes: body + ASSUMED_ANSWER_BYTES,
      tried: new Set(),
      assumedMs: view.stats.computeMeanServiceMs(entries),
      random: () => 0,
    };
  }

  /** Explains an outcome that depends on the draw of an admission share. */
  #explainAdmitted(
    subject: Subject,
    { eligible, outcome, servers }: {
      eligible: Pick<EligibleService, "resource"> & {
        readonly reason: RefusalReason;
      };
      outcome: Outcome;
      servers?: readonly string[] | undefined;
    },
  ): Pick<PlacementPart, "queue" | "admission" | "verdict"> {
    const { view, route: { priority }, request: { nowMs } } = subject;
    const { resource, reason } = eligible;
    const admission = this.#options.placer.readAdmission(resource, {
      priority,
      nowMs,
    });
    const admitted = this.#explainOutcome(subject, outcome, servers);
    const refused = this.#explainOutcome(
      subject,
      refuseRequest(reason, estimateRoomByShare(admission.share)),
    );
    const { probability } = admission;
    const verdict = probability === 0
      ? refused
      : probability === 1
      ? admitted
      : {
        ...admitted,
        otherwise: { ...refused, probability: 1 - probability },
      };
    const ahead = view.countAhead(resource, priority);
    return { queue: { resource, ahead }, admission, verdict };
  }

  #explainOutcome(
    subject: Subject,
    outcome: Outcome,
    servers?: readonly string[],
  ): VerdictExplanation {
    const { route, service, request: { nowMs, leftMs } } = subject;
    if (outcome.kind === DecisionKind.Send) {
      return {
        verdict: ExplainedVerdict.Send,
        servers: servers ?? [outcome.server.id],
      };
    }
    const name = service.name;
    if (outcome.kind === DecisionKind.Refuse) {
      return this.#explainRefusal(outcome, { service: name, leftMs });
    }
    const { priority } = route;
    const deadlineMs = nowMs + leftMs;
    const { reason, waitMs } = outcome;
    const expired = { reason, roomMs: waitMs };
    if (!this.#options.placer.hasPlace({ priority, deadlineMs })) {
      return this.#explainRefusal(
        { ...expired, reason: RefusalReason.RoomFull },
        { service: name, leftMs },
      );
    }
    const refusal = this.#explainRefusal(expired, {
      service: name,
      leftMs: leftMs - waitMs,
    });
    return { ...refusal, verdict: ExplainedVerdict.Wait, waitMs };
  }

  #explainRefusal(
    { reason, roomMs }: Omit<RefuseDecision, "kind">,
    { service, leftMs }: { service: string; leftMs: number },
  ): VerdictExplanation {
    const { view } = this.#options.placer;
    const status = reason === RefusalReason.NoKey
      ? RouterStatus.BadRequest
      : RouterStatus.Refused;
    const facts = collectRetryFacts(view, service, { roomMs, leftMs });
    return explainAnswer(reason, status, computeRetryRange(facts));
  }
}

function makeRequest(
  { key, bodyBytes }: ExplainQuery,
  route: Route,
  nowMs: number,
): PlacementRequest {
  return {
    route,
    ...(key === undefined ? {} : { key }),
    body: bodyBytes,
    tried: [],
    nowMs,
    leftMs: route.timeoutMs,
  };
}

function describeRoute(route: Route): Explanation["route"] {
  const { name, prefix, kind, timeoutMs, targetMs, maxAttempts, priority } =
    route;
  return { name, prefix, kind, timeoutMs, targetMs, maxAttempts, priority };
}

function describeOwner(
  view: PlacementView,
  entry: ServerEntry,
  context: ChoiceContext,
): ServerExplanation {
  const isUsable = view.clearance.isUsable(entry, context.nowMs);
  return describeServer(view, { entry, isUsable, isLeased: true }, context);
}

function withCapacity(
  capacity: AdmissionFacts | undefined,
): Pick<PlacementPart, "capacity"> {
  return capacity ? { capacity } : {};
}

function explainRejection(reason: RejectionReason): VerdictExplanation {
  const { status, retryAfterMs: roomMs } = REJECTIONS[reason];
  if (roomMs === undefined) return explainAnswer(reason, status);
  // Without a route the deadline is that of the client, which is not known.
  const range = computeRetryRange({ roomMs, leftMs: 0, serviceMs: 0 });
  return explainAnswer(reason, status, range);
}

function explainAnswer(
  reason: string,
  status: RouterStatus,
  retryAfterMs?: VerdictExplanation["retryAfterMs"],
): VerdictExplanation {
  return {
    verdict: ExplainedVerdict.Refuse,
    reason,
    status,
    ...(retryAfterMs ? { retryAfterMs } : {}),
  };
}
