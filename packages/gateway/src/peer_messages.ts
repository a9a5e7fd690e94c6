/** Messages between the coordinator and the other routers. @module */
import type { OwnedRange, RouterRef } from "@jaytiller/ranges";
import type { Configuration, ServerChange } from "@jaytiller/routing";
import type {
  CrashReport,
  LeaseMessage,
  LeaseReply,
  NoticeReport,
  PermitGrant,
} from "@jaytiller/placement";
import type { AdmissionFields, DemandFields } from "./admission_messages.js";
import type { ColdBeatFields, ColdReplyFields } from "./cold_messages.js";
import type { KeyCount, ServiceTime } from "./traffic_stats.js";

/** RPC method names. */
export enum PeerMethod {
  Beat = "beat",
  Join = "join",
  Silence = "silence",
  Permit = "permit",
  ColdPermit = "coldPermit",
}

/**
 * Changes since the message with the number `base`, or the complete state if
 * `base` is 0.
 */
export interface Delta<T> {
  readonly base: number;
  readonly number: number;
  readonly items: readonly T[];
}

/** Key ranges of one service and their owners. */
export interface ServiceOwnerRanges {
  readonly service: string;
  readonly ranges: readonly OwnedRange[];
}

/** A zone that was evacuated or taken back. */
export interface ZoneChange {
  readonly zone: string;
  /** Time since the sender learned of it, ms. */
  readonly sinceMs: number;
}

/** An evacuated zone. */
export interface EvacuatedZone extends ZoneChange {
  /** Offset of the operator's record. */
  readonly offset: number;
}

/** State that the coordinator sends to each router several times a second. */
export interface Heartbeat
  extends AdmissionFields, ColdBeatFields, Partial<LeaseMessage> {
  /** Offset of the coordinator's claim; a higher term supersedes it. */
  readonly term: number;
  readonly coordinator: RouterRef;
  /** Number of routers. */
  readonly routers: number;
  readonly configuration?: Configuration;
  /** Version that was the newest that long ago; older builds omit it. */
  readonly configurationVersion?: number;
  readonly configurationAgeMs: number;
  readonly serversAgeMs: number;
  readonly serversPosition: number;
  readonly servers?: Delta<ServerChange>;
  readonly owners?: Delta<ServiceOwnerRanges>;
  /** Fingerprints of requests that crash servers; absent if there are none. */
  readonly barred?: readonly string[];
  /** What servers said about themselves; absent if none did. */
  readonly notices?: readonly NoticeReport[];
  /**
   * Offset up to which the sender knows the operator's records; absent before
   * its first read, and in messages of older builds.
   */
  readonly operatorPosition?: number;
  /** All evacuated zones; absent if there are none. */
  readonly evacuated?: readonly EvacuatedZone[];
  /** Zones that were taken back within the last minutes. */
  readonly returned?: readonly ZoneChange[];
  /** Optional fields that the receiver has dropped; never sent. */
  readonly malformedFields?: readonly string[];
}

/** Reply to a heartbeat: the acknowledged state and the router's statistics. */
export interface HeartbeatReply
  extends DemandFields, ColdReplyFields, Partial<LeaseReply> {
  /** Highest known term; if above the heartbeat's, it was ignored. */
  readonly term: number;
  readonly router: RouterRef;
  /** Version of the active configuration; 0 if there is none. */
  readonly version: number;
  /** Number of the last applied server changes; 0 if the view changed since. */
  readonly serversNumber: number;
  /** Number of the last applied owner changes. */
  readonly ownersNumber: number;
  readonly keys: readonly KeyCount[];
  readonly times: readonly ServiceTime[];
  readonly crashes: CrashReport;
  /** What servers said to this router since the last reply; absent if none. */
  readonly notices?: readonly NoticeReport[];
  /** Optional fields that the receiver has dropped; never sent. */
  readonly malformedFields?: readonly string[];
}

/** Reply to a join request. */
export interface JoinReply {
  /** Whether the replying router is the coordinator and added the sender. */
  readonly accepted: boolean;
}

/**
 * Asks the coordinator for permits for a server that names a limit, or for one
 * that is cold.
 */
export interface PermitRequest {
  readonly server: string;
  /** Limit or cold rate that the asking router knows, requests per second. */
  readonly requestsPerSecond: number;
  readonly count: number;
}

/** Reply to a request for permits. */
export interface PermitReply extends PermitGrant {
  /** Whether the replying router is the coordinator. */
  readonly accepted: boolean;
}

/** Tells how long a router has received no heartbeat, ms. */
export interface SilenceReply {
  readonly silentMs: number;
  readonly term: number;
}
