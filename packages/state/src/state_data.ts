/** The data of the cluster state. @module */
import type {
  GroupId,
  LogEntry,
  Route,
  ServiceName,
  UnitId,
  UnitMove,
  VmId,
} from "@jaytiller/model";
import type { Change, ObjectName, Rejection } from "./changes.js";
import { RecentIds } from "./recent_ids.js";

/** The owner of a unit according to the log. */
export interface Owner {
  readonly server: VmId;
  readonly group: GroupId;
  /** The offset of the move record that made the server the owner. */
  readonly since: number;
  readonly sinceMs: number;
  readonly reason: string;
  /** The previous owner, if there was one. */
  readonly previous: VmId | null;
}

/** The claim of a group's holder according to the log. */
export interface Claim {
  readonly node: VmId;
  /** The offset of the claim record. */
  readonly term: number;
  readonly atMs: number;
  readonly recordId: string;
}

/** An operator's decision which server shall own a unit. */
export interface Assignment {
  readonly service: ServiceName;
  readonly unit: UnitId;
  readonly server: VmId;
  readonly reason: string;
  readonly version: number;
}

/** An entry of the poison list: a request that crashes servers. */
export interface Poison {
  readonly service: ServiceName;
  readonly fingerprint: string;
  readonly summary: string;
  readonly crashes: number;
  readonly version: number;
  readonly atMs: number;
}

/** The effect of a record on the state. */
export interface Effect {
  readonly applied: boolean;
  readonly rejection?: Rejection;
  /** On a conflict, the earlier change that took effect instead. */
  readonly winner?: Change;
  /** The moves of a move record that took effect. */
  readonly moves?: readonly UnitMove[];
}

/** The data of one immutable `ClusterState`. */
export interface StateData {
  readonly position: number;
  readonly routes: ReadonlyMap<ServiceName, Route>;
  readonly owners: ReadonlyMap<ServiceName, ReadonlyMap<UnitId, Owner>>;
  /** The number of shards of each service that ever had a route. */
  readonly shards: ReadonlyMap<ServiceName, number>;
  readonly claims: ReadonlyMap<GroupId, Claim>;
  readonly assignments: ReadonlyMap<string, Assignment>;
  readonly drained: ReadonlySet<VmId>;
  /** Servers that the holder of their group reported as unresponsive. */
  readonly silent: ReadonlySet<VmId>;
  readonly lost: ReadonlySet<VmId>;
  readonly poison: ReadonlyMap<string, Poison>;
  readonly versions: ReadonlyMap<ObjectName, Change>;
  readonly history: readonly Change[];
  /** The UUIDs of recent records. */
  readonly recent: RecentIds;
  /** Records of unknown kinds from newer versions, kept in snapshots. */
  readonly unknown: readonly LogEntry[];
}

/** The data of the state before the first record. */
export const EMPTY_STATE: StateData = {
  position: 0,
  routes: new Map(),
  owners: new Map(),
  shards: new Map(),
  claims: new Map(),
  assignments: new Map(),
  drained: new Set(),
  silent: new Set(),
  lost: new Set(),
  poison: new Map(),
  versions: new Map(),
  history: [],
  recent: RecentIds.create(),
  unknown: [],
};
