/** Records that routers append to the platform's log. @module */
import type { GroupId, ServiceName, UnitId, VmId } from "./ids.js";

/** Priority class of a request in the holder's queues, most urgent first. */
export enum RequestClass {
  Urgent = "urgent",
  Normal = "normal",
  Bulk = "bulk",
}

/** How to handle requests under a path prefix. */
export interface CallRule {
  /** Path prefix below the route, such as `/orders`. The longest match wins. */
  readonly prefix: string;
  /** Methods that the rule applies to, in upper case; empty for all. */
  readonly methods: readonly string[];
  /** Whether a request may be run again if its outcome is unknown. */
  readonly idempotent: boolean;
  readonly class: RequestClass;
  /** Time from the arrival of a request to its complete response. */
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
}

/** Maps the keys of a service to its backend servers. */
export interface Route {
  readonly service: ServiceName;
  /** First path segment, which selects the route; the second is the key. */
  readonly pathPrefix: string;
  /** Number of shards of the service; fixed once the route exists. */
  readonly shards: number;
  /** Whether the backend servers verify the sender of a request. */
  readonly checksOwner: boolean;
  /** Number of requests that one backend server runs concurrently. */
  readonly slots: number;
  /** Number of connections that one backend server accepts. */
  readonly connections: number;
  readonly rules: readonly CallRule[];
}

/** Author, reason and base version of a configuration change. */
export interface ChangeInfo {
  readonly operator: string;
  readonly reason: string;
  /** Version of the object that the operator saw; 0 if it did not exist. */
  readonly expectVersion: number;
}

/** A change of a unit's owner. */
export interface UnitMove {
  readonly service: ServiceName;
  readonly unit: UnitId;
  /** Previous owner; `null` if the unit never had one. */
  readonly from: VmId | null;
  readonly to: VmId;
  /** Group of the new owner. */
  readonly toGroup: GroupId;
  /** Reason in words, for the timeline. */
  readonly reason: string;
}

/** Kinds of log records. */
export enum RecordKind {
  Claim = "claim",
  Move = "move",
  ServerHealth = "serverHealth",
  PutRoute = "putRoute",
  RemoveRoute = "removeRoute",
  Assign = "assign",
  Unassign = "unassign",
  Drain = "drain",
  Undrain = "undrain",
  ConfirmLost = "confirmLost",
  Poison = "poison",
  LiftPoison = "liftPoison",
  Snapshot = "snapshot",
}

interface RecordBase<K extends RecordKind> {
  readonly kind: K;
  /** UUID of the record. A second record with the same UUID has no effect. */
  readonly id: string;
  /** Hybrid logical timestamp of the writer. */
  readonly hlc: string;
  /** VM that appended the record. */
  readonly node: VmId;
}

/** Makes `node` the holder of `group` if `supersedes` is the current term. */
export interface ClaimRecord extends RecordBase<RecordKind.Claim> {
  readonly group: GroupId;
  /** Term of the superseded holder; -1 if there was none. */
  readonly supersedes: number;
}

/**
 * Moves units. Each move takes effect on its own, if the term of the token and
 * `from` are current.
 */
export interface MoveRecord extends RecordBase<RecordKind.Move> {
  readonly group: GroupId;
  /** Token of the holder, `term.ballot`. */
  readonly token: string;
  readonly moves: readonly UnitMove[];
}

/**
 * Reports that a server of the holder's group does not answer, or answers
 * again. Only this holder can tell, and the holders of other groups must not
 * move units to a server that does not answer.
 */
export interface ServerHealthRecord
  extends RecordBase<RecordKind.ServerHealth> {
  readonly group: GroupId;
  /** Token of the holder, `term.ballot`. */
  readonly token: string;
  readonly server: VmId;
  readonly answers: boolean;
}

/** Creates or replaces a route. */
export interface PutRouteRecord extends RecordBase<RecordKind.PutRoute> {
  readonly change: ChangeInfo;
  readonly route: Route;
}

/** Removes a route. */
export interface RemoveRouteRecord extends RecordBase<RecordKind.RemoveRoute> {
  readonly change: ChangeInfo;
  readonly service: ServiceName;
}

/** Assigns a unit to a server, to which the holder then moves it. */
export interface AssignRecord extends RecordBase<RecordKind.Assign> {
  readonly change: ChangeInfo;
  readonly service: ServiceName;
  readonly unit: UnitId;
  readonly server: VmId;
}

/** Removes the assignment of a unit. */
export interface UnassignRecord extends RecordBase<RecordKind.Unassign> {
  readonly change: ChangeInfo;
  readonly service: ServiceName;
  readonly unit: UnitId;
}

/** Marks a server as draining. */
export interface DrainRecord extends RecordBase<RecordKind.Drain> {
  readonly change: ChangeInfo;
  readonly server: VmId;
}

/** Ends the draining of a server. */
export interface UndrainRecord extends RecordBase<RecordKind.Undrain> {
  readonly change: ChangeInfo;
  readonly server: VmId;
}

/** Confirms, on behalf of an operator, that a VM no longer runs. */
export interface ConfirmLostRecord extends RecordBase<RecordKind.ConfirmLost> {
  readonly change: ChangeInfo;
  readonly vm: VmId;
}

/** Adds a request that crashes servers to the poison list. */
export interface PoisonRecord extends RecordBase<RecordKind.Poison> {
  readonly service: ServiceName;
  readonly fingerprint: string;
  /** Method, path and key, for the operator. */
  readonly summary: string;
  readonly crashes: number;
}

/** Removes a request from the poison list. */
export interface LiftPoisonRecord extends RecordBase<RecordKind.LiftPoison> {
  readonly change: ChangeInfo;
  readonly fingerprint: string;
}

/** State folded from all records below offset `upTo`, see `ClusterState`. */
export interface SnapshotRecord extends RecordBase<RecordKind.Snapshot> {
  readonly upTo: number;
  readonly state: unknown;
}

/** Any record of a kind that this version knows. */
export type LogRecord =
  | ClaimRecord
  | MoveRecord
  | ServerHealthRecord
  | PutRouteRecord
  | RemoveRouteRecord
  | AssignRecord
  | UnassignRecord
  | DrainRecord
  | UndrainRecord
  | ConfirmLostRecord
  | PoisonRecord
  | LiftPoisonRecord
  | SnapshotRecord;

/** Any record that changes the configuration. */
export type ChangeRecord = Extract<LogRecord, { change: ChangeInfo }>;

/** A record as read from the log. Unknown kinds are kept unchanged. */
export interface LogEntry {
  readonly offset: number;
  /** Time of the append by the clock of the log service, in Unix ms. */
  readonly atMs: number;
  readonly record: LogRecord;
}
