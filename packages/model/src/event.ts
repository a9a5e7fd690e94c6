/** Timeline events. @module */
import type { HlcTimestamp } from "./hlc.js";
import type { GroupId, ServiceName, UnitId, VmId } from "./ids.js";

/** Kinds of timeline events. */
export enum EventKind {
  ProcessStarted = "processStarted",
  ProcessStopping = "processStopping",
  ClaimAppended = "claimAppended",
  ClaimEffective = "claimEffective",
  ClaimLost = "claimLost",
  Takeover = "takeover",
  Superseded = "superseded",
  PermitGiven = "permitGiven",
  PermitUsed = "permitUsed",
  PermitWithdrawn = "permitWithdrawn",
  GrantAccepted = "grantAccepted",
  GrantRefused = "grantRefused",
  LeaseLapsed = "leaseLapsed",
  MoveStarted = "moveStarted",
  MoveAppended = "moveAppended",
  MoveEffective = "moveEffective",
  ServerSuspected = "serverSuspected",
  /** A server that was silent answers its holder again. */
  ServerHeard = "serverHeard",
  ServerCrashed = "serverCrashed",
  ServerLeaving = "serverLeaving",
  RequestReceived = "requestReceived",
  RequestForwarded = "requestForwarded",
  RequestSent = "requestSent",
  RequestAnswered = "requestAnswered",
  RequestRefused = "requestRefused",
  RequestUnknown = "requestUnknown",
  PoisonSuspected = "poisonSuspected",
  PoisonListed = "poisonListed",
  PoisonLifted = "poisonLifted",
  ConfigurationAccepted = "configurationAccepted",
  ConfigurationApplied = "configurationApplied",
  PeerSuspected = "peerSuspected",
  /** An entry VM that was silent answers again. */
  PeerHeard = "peerHeard",
  /** The log service does not answer. */
  LogLost = "logLost",
  /** The log service answers again. */
  LogHeard = "logHeard",
}

/** An event that one process recorded. */
export interface TimelineEvent {
  readonly hlc: HlcTimestamp;
  readonly node: VmId;
  readonly kind: EventKind;
  readonly service?: ServiceName;
  readonly group?: GroupId;
  readonly unit?: UnitId;
  readonly key?: string;
  readonly requestId?: string;
  readonly identity?: string;
  readonly server?: VmId;
  readonly token?: string;
  /** Offset of the log record that the event is about. */
  readonly offset?: number;
  /** Description of the event in one sentence. */
  readonly text: string;
}
