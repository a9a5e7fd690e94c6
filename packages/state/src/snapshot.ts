/** Encodes and decodes snapshots of the cluster state. @module */
import type {
  GroupId,
  LogEntry,
  Route,
  ServiceName,
  UnitId,
  VmId,
} from "@jaytiller/model";
import type { Change, ObjectName } from "./changes.js";
import { RecentIds } from "./recent_ids.js";
import type {
  Assignment,
  Claim,
  Owner,
  Poison,
  StateData,
} from "./state_data.js";

const SNAPSHOT_VERSION = 1;

/**
 * Returns all data as a JSON value. It includes the recent identifiers, because
 * a router that restores the snapshot must detect the same duplicate records as
 * the routers that folded the log.
 */
export function encodeSnapshot(state: StateData): unknown {
  return {
    version: SNAPSHOT_VERSION,
    position: state.position,
    routes: [...state.routes.values()],
    owners: [...state.owners].map(([s, units]) => [s, [...units]]),
    shards: [...state.shards],
    claims: [...state.claims],
    assignments: [...state.assignments],
    drained: [...state.drained],
    silent: [...state.silent],
    lost: [...state.lost],
    poison: [...state.poison],
    versions: [...state.versions],
    history: state.history,
    recent: state.recent.list(),
    unknown: state.unknown,
  };
}

/**
 * Decodes the result of `encodeSnapshot`. Throws an error if it is malformed.
 */
export function readSnapshot(value: unknown): StateData {
  const v = value as Record<string, unknown>;
  if (v?.version !== SNAPSHOT_VERSION) {
    throw new Error(
      `unsupported version ${JSON.stringify(v?.version)}, expected 1`,
    );
  }
  const entries = <T>(name: string) => {
    const list = v[name];
    if (!Array.isArray(list)) throw new Error(`${name} is not an array`);
    return list as T[];
  };
  if (!Number.isSafeInteger(v.position)) throw new Error("invalid position");
  const routes = entries<Route>("routes");
  const owners = entries<[ServiceName, [UnitId, Owner][]]>("owners");
  return {
    position: v.position as number,
    routes: new Map(routes.map((r) => [r.service, r])),
    owners: new Map(owners.map(([s, units]) => [s, new Map(units)])),
    shards: new Map(entries<[ServiceName, number]>("shards")),
    claims: new Map(entries<[GroupId, Claim]>("claims")),
    assignments: new Map(entries<[string, Assignment]>("assignments")),
    drained: new Set(entries<VmId>("drained")),
    silent: new Set(entries<VmId>("silent")),
    lost: new Set(entries<VmId>("lost")),
    poison: new Map(entries<[string, Poison]>("poison")),
    versions: new Map(entries<[ObjectName, Change]>("versions")),
    history: entries<Change>("history"),
    recent: RecentIds.from(entries<string>("recent")),
    unknown: entries<LogEntry>("unknown"),
  };
}
