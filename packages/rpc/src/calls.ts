/** Types of the operator RPCs and of their messages. @module */
import type * as m from "./messages.js";

/**
 * Message types of one RPC. The `Input` types are messages to be sent, the
 * others are messages as received.
 */
interface Call<Request, RequestInput, Reply, ReplyInput> {
  readonly request: Request;
  readonly requestInput: RequestInput;
  readonly reply: Reply;
  readonly replyInput: ReplyInput;
}

type Change<Request, Input> = Call<
  Request,
  Input,
  m.ChangeResult,
  m.ChangeResultInput
>;

/** RPCs that change the cluster configuration. */
export interface ChangeCalls {
  readonly putRoute: Change<m.PutRouteRequest, m.PutRouteRequestInput>;
  readonly removeRoute: Change<m.RemoveRouteRequest, m.RemoveRouteRequestInput>;
  readonly assign: Change<m.AssignRequest, m.AssignRequestInput>;
  readonly unassign: Change<m.UnassignRequest, m.UnassignRequestInput>;
  readonly drain: Change<m.DrainRequest, m.DrainRequestInput>;
  readonly undrain: Change<m.UndrainRequest, m.UndrainRequestInput>;
  readonly confirmLost: Change<m.ConfirmLostRequest, m.ConfirmLostRequestInput>;
  readonly liftPoison: Change<m.LiftPoisonRequest, m.LiftPoisonRequestInput>;
}

/** Read-only RPCs. */
export interface ReadCalls {
  readonly getState: Call<
    m.GetStateRequest,
    m.GetStateRequestInput,
    m.State,
    m.StateInput
  >;
  readonly getHistory: Call<
    m.GetHistoryRequest,
    m.GetHistoryRequestInput,
    m.History,
    m.HistoryInput
  >;
  readonly explain: Call<
    m.ExplainRequest,
    m.ExplainRequestInput,
    m.Explanation,
    m.ExplanationInput
  >;
  readonly getTimeline: Call<
    m.GetTimelineRequest,
    m.GetTimelineRequestInput,
    m.Timeline,
    m.TimelineInput
  >;
  readonly getChange: Call<
    m.GetChangeRequest,
    m.GetChangeRequestInput,
    m.ChangeReport,
    m.ChangeReportInput
  >;
  readonly getMetrics: Call<
    m.GetMetricsRequest,
    m.GetMetricsRequestInput,
    m.Metrics,
    m.MetricsInput
  >;
}

/** All RPCs of the operator service. */
export type Calls = ChangeCalls & ReadCalls;

/** Name of an RPC that changes the cluster configuration. */
export type ChangeMethod = keyof ChangeCalls;

/** Name of an RPC. */
export type Method = keyof Calls;

/** Server-side handlers of the RPCs. A rejection becomes a gRPC status. */
export type OperatorHandlers = {
  readonly [M in Method]: (
    request: Calls[M]["request"],
  ) => Promise<Calls[M]["replyInput"]>;
};
