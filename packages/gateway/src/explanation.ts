/** Types of an explanation and its JSON form. Times are in ms. @module */
import type { AdmissionFacts, RetryRange } from "@jaytiller/placement";
import type { AdmissionReading } from "./placer.js";
import type { PermitState } from "./permit_client.js";
import type { ColdReading } from "./cold_state.js";
import type { ExplainQuery } from "./explain_query.js";

/** What would happen to a request. */
export enum ExplainedVerdict {
  Send = "send",
  Wait = "wait",
  Refuse = "refuse",
}

/** Why a server would not get the request now. */
export enum Obstacle {
  Draining = "draining",
  Leaving = "leaving",
  Evacuated = "evacuated",
  Paused = "paused",
  Cold = "cold",
  Unreachable = "unreachable",
  NotLeased = "notLeased",
  NoRoom = "noRoom",
  NoPermit = "noPermit",
}

/** What is known of a server, and how old it is. */
export interface ServerExplanation {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Its entry in the store; the age is absent if it is not known. */
  readonly entry: { readonly state: string; readonly ageMs?: number };
  /** Its last load report, without the request that brought it. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly pace?: number;
    readonly ageMs: number;
  };
  /** This gateway's limit, and its requests in flight. */
  readonly concurrency: {
    readonly limit: number;
    readonly inFlight: number;
    /** Time since the last evidence; absent without any. */
    readonly ageMs?: number;
    /** Time until the next request while the limit is below one. */
    readonly resumeMs: number;
  };
  /** Measured service time; absent until there are enough samples. */
  readonly serviceMs?: number;
  /** Recent failures, weighted by age; absent without any. */
  readonly failures?: { readonly weight: number; readonly ageMs: number };
  /** Time for which it is avoided after missing responses. */
  readonly unreachableMs?: number;
  /** Requests in flight that leases allow; absent if none limits them. */
  readonly lease?: { readonly units: number; readonly ageMs?: number };
  readonly cold?: ColdReading;
  /** Its zone is evacuated. */
  readonly evacuated?: { readonly ageMs: number };
  /** Time for which it wants nothing from this gateway. */
  readonly pausedMs?: number;
  /** Time since it first said that it leaves. */
  readonly leavingMs?: number;
  /** The limit that it names and this gateway's permits. */
  readonly permit?: PermitState & { readonly ageMs?: number };
  /** Why it does not get the request now; empty if it can. */
  readonly obstacles: readonly Obstacle[];
  /** Time until its response if the request is sent now. */
  readonly expectedMs: number;
  /** Cost with the least and the largest random increase; of candidates. */
  readonly cost?: { readonly min: number; readonly max: number };
}

/** An explanation of where a request would go. */
export interface Explanation {
  /** Name of the gateway. */
  readonly node: string;
  readonly request: ExplainQuery;
  /** What the gateway knows of the deployment, and its age. */
  readonly view: {
    readonly configurationVersion?: number;
    readonly configurationAgeMs?: number;
    readonly serversAgeMs?: number;
    /** Version of the owner tables. */
    readonly owners: string;
    readonly routers: number;
    /** Name of the coordinator; absent before the first heartbeat. */
    readonly coordinator?: string;
    /** Time since its last heartbeat; 0 at the coordinator. */
    readonly heartbeatAgeMs?: number;
  };
  readonly route?: {
    readonly name: string;
    readonly prefix: string;
    readonly kind: string;
    readonly timeoutMs: number;
    readonly targetMs: number;
    readonly maxAttempts: number;
    readonly priority: number;
  };
  /** The services of the route. */
  readonly split?: readonly {
    readonly service: string;
    readonly weight: number;
    /** Whether the next request of the route goes there. */
    readonly isNext: boolean;
  }[];
  readonly service?: {
    readonly name: string;
    readonly sharded: boolean;
    readonly servers: number;
    readonly readyServers: number;
  };
  /** Requests that wait for the same capacity and come first. */
  readonly queue?: { readonly resource: string; readonly ahead: number };
  /** Admission share of the owner or service. */
  readonly admission?: AdmissionReading;
  /** The server that owns the key; absent if none does. */
  readonly owner?: ServerExplanation;
  readonly candidates?: {
    /** Number of servers of the service, and of those that are not listed. */
    readonly total: number;
    readonly omitted: number;
    /** Why the gateway uses its own subset instead of leases. */
    readonly subset?: string;
    /** Those that can get the request first, by cost. */
    readonly servers: readonly ServerExplanation[];
  };
  /** Facts of the last step, if the request got that far. */
  readonly capacity?: AdmissionFacts;
  readonly verdict: VerdictExplanation;
}

/** What would happen to the request, and why. */
export interface VerdictExplanation {
  readonly verdict: ExplainedVerdict;
  /** Reason of a wait or a refusal. */
  readonly reason?: string;
  /** Servers that may get it; the random increase of the cost decides. */
  readonly servers?: readonly string[];
  /** Longest wait. */
  readonly waitMs?: number;
  /** Status of a refusal, also of one at the end of a wait. */
  readonly status?: number;
  /** `Retry-After` of that refusal. */
  readonly retryAfterMs?: RetryRange;
  /** What happens instead if the draw of the admission share fails. */
  readonly otherwise?: VerdictExplanation & { readonly probability: number };
}
