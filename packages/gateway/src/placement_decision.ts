/**
 * Decisions on where a request goes: what is asked, what is read for them and
 * what results. A decision changes nothing; `Placer` acts on it.
 * @module
 */
import {
  type Admission,
  decideDelayed,
  type RetryFacts,
  Verdict,
} from "@jaytiller/placement";
import type { Route, ServerEntry } from "@jaytiller/routing";
import type { CapacityLeases } from "./capacity_leases.js";
import type { ClusterState } from "./cluster_state.js";
import type { ServerClearance } from "./server_clearance.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Why no server was selected. */
export enum RefusalReason {
  NoServer = "noServer",
  Overloaded = "overloaded",
  /** The owner gets only a share of the requests for its keys. */
  OwnerOverloaded = "ownerOverloaded",
  /** The service gets only a share of the requests of this priority. */
  ServiceOverloaded = "serviceOverloaded",
  /** The owner, or every server, has asked this router for a pause. */
  Paused = "paused",
  /** The owner names a limit that is used up. */
  OwnerLimited = "ownerLimited",
  /** The owner is cold, and this router has no permit or slot now. */
  OwnerCold = "ownerCold",
  /** No ready server owns the key, for example while the key moves. */
  KeyMoving = "keyMoving",
  /** The owner, or every server of the service, does not accept connections. */
  OwnerSilent = "ownerSilent",
  NoKey = "noKey",
  RoomFull = "roomFull",
  /** The process stops before the request would have to end. */
  Stopping = "stopping",
  ClientLeft = "clientLeft",
}

/** A request as far as the choice of its server depends on it. */
export interface PlacementRequest {
  readonly route: Pick<Route, "priority" | "targetMs">;
  readonly key?: number;
  /** Size of the request body, bytes. */
  readonly body: number;
  /** Ids of the servers that may have received it. */
  readonly tried: readonly string[];
  readonly nowMs: number;
  /** Time left until the client's or the route's deadline, ms. */
  readonly leftMs: number;
  /** Requests ahead in the queue; counted in the wait queue if absent. */
  readonly ahead?: number;
}

/** The state that decisions read, as far as they read it. */
export interface PlacementView {
  readonly cluster: ClusterState;
  readonly stats: Pick<
    TrafficStats,
    "get" | "computeMeanServiceMs" | "notices"
  >;
  /** Zone from which the request is sent. */
  readonly zone: string;
  /** Returns the number of routers that share the servers. */
  readonly countRouters: () => number;
  readonly clearance: Pick<
    ServerClearance,
    | "isUsable"
    | "listUsable"
    | "listCandidates"
    | "getPauseMs"
    | "computePause"
    | "computeColdDelay"
    | "readPermit"
    | "readCold"
  >;
  readonly leases: Pick<CapacityLeases, "chooseServers" | "getAgeMs">;
  /** Counts the queued requests that are tried before one of a priority. */
  readonly countAhead: (resource: string, priority: number) => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** What happens to a request. */
export enum DecisionKind {
  /** It is sent to a server now. */
  Send = "send",
  /** It waits in the queue. */
  Wait = "wait",
  Refuse = "refuse",
  /** It goes on if the admission share of a resource lets it. */
  Eligible = "eligible",
}

/** The request is sent to a server. */
export interface SendDecision {
  readonly kind: DecisionKind.Send;
  readonly server: ServerEntry;
  /** Share of its capacity that falls to this router, if leased. */
  readonly share?: number;
}

/** The request waits until there is room, or is refused after `waitMs`. */
export interface WaitDecision {
  readonly kind: DecisionKind.Wait;
  readonly reason: RefusalReason;
  /** Names what the request would wait for, such as a server or a service. */
  readonly resource: string;
  readonly waitMs: number;
}

/** The request is refused. */
export interface RefuseDecision {
  readonly kind: DecisionKind.Refuse;
  readonly reason: RefusalReason;
  /** Time until there is expected to be room, ms. */
  readonly roomMs: number;
}

/** Outcome of a decision. */
export type Outcome = SendDecision | WaitDecision | RefuseDecision;

/** An outcome and the facts from which it follows. */
export interface Decision<Inputs> {
  readonly outcome: Outcome;
  readonly inputs: Inputs;
}

/** Assumed size of a response, bytes. */
export const ASSUMED_ANSWER_BYTES = 2_048;
/** Time after which a server may be reachable again, ms. */
export const UNREACHABLE_ROOM_MS = 400;
/** Time until there is room if nothing is known of it, ms. */
const DEFAULT_ROOM_MS = 300;

/** Collects what the `Retry-After` of a refusal depends on. */
export function collectRetryFacts(
  { cluster, stats }: Pick<PlacementView, "cluster" | "stats">,
  service: string,
  { roomMs, leftMs }: { roomMs: number; leftMs: number },
): Omit<RetryFacts, "random"> {
  const serviceMs = stats.computeMeanServiceMs(
    cluster.servers.listReady(service),
  );
  return { roomMs, leftMs, serviceMs };
}

/** Makes the outcome of a request that is refused. */
export function refuseRequest(
  reason: RefusalReason,
  roomMs = DEFAULT_ROOM_MS,
): RefuseDecision {
  return { kind: DecisionKind.Refuse, reason, roomMs };
}

/**
 * Decides on a request that a server takes only later. Returns `undefined` if
 * it takes it now.
 */
export function decideDelay(
  { route: { targetMs }, leftMs }: PlacementRequest,
  { delayMs, resource, reason }: {
    delayMs: number;
    resource: string;
    reason: RefusalReason;
  },
): Outcome | undefined {
  const { verdict, roomMs, maxWaitMs } = decideDelayed({
    delayMs,
    leftMs,
    targetMs,
  });
  const outcomes: Record<Verdict, () => Outcome | undefined> = {
    [Verdict.Send]: () => undefined,
    [Verdict.Wait]: () => makeWait(resource, maxWaitMs, reason),
    [Verdict.Refuse]: () => refuseRequest(reason, roomMs),
  };
  return outcomes[verdict]();
}

/** Makes the outcome that follows from the admission to a server's capacity. */
export function resolveAdmission(
  admission: Admission,
  { server, share, resource }: {
    server: ServerEntry | undefined;
    share?: number | undefined;
    resource: string;
  },
): Outcome {
  if (admission.verdict === Verdict.Send && server) {
    return {
      kind: DecisionKind.Send,
      server,
      ...(share === undefined ? {} : { share }),
    };
  }
  const reason = RefusalReason.Overloaded;
  if (admission.verdict === Verdict.Refuse) {
    return refuseRequest(reason, admission.roomMs);
  }
  return makeWait(resource, admission.maxWaitMs, reason);
}

function makeWait(
  resource: string,
  waitMs: number,
  reason: RefusalReason,
): WaitDecision {
  return { kind: DecisionKind.Wait, resource, waitMs, reason };
}
