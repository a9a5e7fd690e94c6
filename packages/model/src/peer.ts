/** Messages between routers: JSON-RPC 2.0 on the peer port. @module */
import type { GroupId, VmId } from "./ids.js";
import type { LogEntry } from "./records.js";

/** Holder of a group, as known to the sender of a message. */
export interface GroupView {
  readonly group: GroupId;
  /** Highest token of the group that the sender knows, `term.ballot`. */
  readonly token: string;
  readonly holder: VmId;
}

/** Params of `heartbeat`, sent every `heartbeat_ms` within a zone. */
export interface Heartbeat {
  readonly from: VmId;
  readonly incarnation: string;
  readonly hlc: string;
  /** Increases with each heartbeat; receivers ignore an older one. */
  readonly seq: number;
  /** Next log offset that the sender will read. */
  readonly position: number;
  /** Whether the sender read the log to its end within `authority_ms`. */
  readonly logFresh: boolean;
  /** Groups of which the sender is the holder. */
  readonly holds: readonly GroupView[];
  /** Groups that the receiver may take over without the log. */
  readonly permits: readonly GroupView[];
  /** Whether the sender is shutting down. */
  readonly stopping: boolean;
}

/** Result of `heartbeat`. */
export interface HeartbeatReply {
  readonly from: VmId;
  readonly incarnation: string;
  readonly hlc: string;
  readonly position: number;
  readonly logFresh: boolean;
  /** Groups in `holds` for which the receiver knows a higher token. */
  readonly superseded: readonly GroupView[];
  /** Permits from the sender that the receiver has after this message. */
  readonly permits: readonly GroupView[];
  readonly stopping: boolean;
}

/** Params and result of `gossip`, sent to two random peers per second. */
export interface Gossip {
  readonly from: VmId;
  readonly hlc: string;
  readonly position: number;
  /** Highest known token and holder of each group. */
  readonly groups: readonly GroupView[];
  /** Log position of each entry VM and the time of the report, in Unix ms. */
  readonly positions: Readonly<
    Record<VmId, { readonly position: number; readonly atMs: number }>
  >;
}

/** Params of `records`, by which a peer that lags fetches log records. */
export interface RecordsRequest {
  /** Offset of the first record. */
  readonly from: number;
  /** Largest number of records. */
  readonly max: number;
}

/** Result of `records`. `snapshot` is set if records at `from` are gone. */
export interface RecordsReply {
  readonly entries: readonly LogEntry[];
  readonly next: number;
  readonly snapshot?: unknown;
}

/** State of an identity in the idempotency store of a holder. */
export enum IdentityState {
  /** No attempt is recorded. */
  NotSeen = "notSeen",
  /** An attempt is running. */
  Running = "running",
  /** An attempt got a response. */
  Done = "done",
  /** It was reported to a router as not run, so it must not run. */
  Barred = "barred",
  /** It may have run; its outcome is unknown. */
  Forgotten = "forgotten",
}

/** An identity and its state. */
export interface IdentityEntry {
  readonly identity: string;
  readonly state: IdentityState;
  /**
   * Unix ms of the last state change. Readings of the holder's monotonic clock
   * would have no meaning in another process.
   */
  readonly atMs: number;
  readonly answer?: StoredResponse;
}

/** A response that is kept for replay. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64; absent if the body was too large to keep. */
  readonly body?: string;
}

/** Params of `handover`: the sender stops being the holder of the group. */
export interface Handover {
  readonly from: VmId;
  readonly group: GroupId;
  /** Token of the sender; the receiver continues with ballot + 1. */
  readonly token: string;
  readonly position: number;
  readonly identities: readonly IdentityEntry[];
  /** Unix ms before which the sender knew no identities. */
  readonly knownSinceMs: number;
}

/**
 * Params of `outcome`, which asks for the state of an identity. An identity
 * that was not seen is barred.
 */
export interface OutcomeRequest {
  readonly service: string;
  readonly key: string;
  readonly identity: string;
}

/** Result of `outcome`. */
export interface OutcomeReply {
  readonly state: IdentityState;
  readonly answer?: StoredResponse;
}
