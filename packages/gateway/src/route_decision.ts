/** Decides on the route of a request, before its body is read. @module */
import type { Route, RouteTable } from "@jaytiller/routing";
import { RouterStatus } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";

/** Why a request is refused before it is routed. */
export enum RejectionReason {
  /** There is no configuration, or no view of the servers, yet. */
  Starting = "starting",
  Stopping = "stopping",
  NoRoute = "noRoute",
  /** The configuration is too old to say that there is no route. */
  RoutesOld = "routesOld",
}

/** Answer to a request that is not routed. */
export interface Rejection {
  readonly status: RouterStatus;
  /** `Retry-After` before it is spread, ms. */
  readonly retryAfterMs?: number;
}

/** The route of a request, or why it has none. */
export type RouteDecision =
  | { readonly table: RouteTable; readonly route: Route }
  | { readonly rejection: RejectionReason };

/** `Retry-After` while this router has no routes or servers yet, ms. */
const STARTING_RETRY_AFTER_MS = 500;
/** `Retry-After` while this process stops: other routers have room now, ms. */
export const STOPPING_RETRY_AFTER_MS = 100;

/** Answers by reason. */
export const REJECTIONS: Readonly<Record<RejectionReason, Rejection>> = {
  [RejectionReason.Starting]: {
    status: RouterStatus.Refused,
    retryAfterMs: STARTING_RETRY_AFTER_MS,
  },
  [RejectionReason.Stopping]: {
    status: RouterStatus.Refused,
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  },
  [RejectionReason.NoRoute]: { status: RouterStatus.NotFound },
  [RejectionReason.RoutesOld]: {
    status: RouterStatus.Refused,
    retryAfterMs: STARTING_RETRY_AFTER_MS,
  },
};

/** Finds the route of a request. `target` may include a query. */
export function decideRoute(
  cluster: ClusterState,
  request: { host: string; target: string; nowMs: number },
  { isRefusing, maxAgeMs }: {
    /** Whether the process is about to exit. */
    isRefusing: boolean;
    /** Age of the configuration up to which a missing route is final, ms. */
    maxAgeMs: number;
  },
): RouteDecision {
  if (isRefusing) return { rejection: RejectionReason.Stopping };
  const table = cluster.routes;
  if (!table || !cluster.hasServers) {
    return { rejection: RejectionReason.Starting };
  }
  const route = table.match(request.host, request.target);
  if (route) return { table, route };
  const isOld = request.nowMs - cluster.routesConfirmedAt > maxAgeMs;
  const { NoRoute, RoutesOld } = RejectionReason;
  return { rejection: isOld ? RoutesOld : NoRoute };
}
