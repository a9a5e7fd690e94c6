/** Implements the effect of each kind of record on the state. @module */
import {
  type AssignRecord,
  type ChangeRecord,
  type ClaimRecord,
  computeShard,
  type LogEntry,
  type LogRecord,
  type MoveRecord,
  type PoisonRecord,
  RecordKind,
  type Route,
  type ServerHealthRecord,
  type ServiceName,
  Token,
  type UnitId,
  type UnitMove,
} from "@jaytiller/model";
import {
  type Change,
  computeVersion,
  getObjectName,
  makeHistoryEntry,
  Rejection,
} from "./changes.js";
import { isKnownKind, isValid } from "./record_shapes.js";
import type { Claim, Effect, Owner, StateData } from "./state_data.js";

/** The state after a record, and the effect of the record. */
export type Transition = [StateData, Effect];

/** Returns the effect of a rejected record. */
export function reject(rejection: Rejection, winner?: Change): Effect {
  return winner
    ? { applied: false, rejection, winner }
    : { applied: false, rejection };
}

/** Returns the owner of a unit; for a key, by default that of its shard. */
export function findOwner(
  state: StateData,
  service: ServiceName,
  unit: UnitId,
): Owner | undefined {
  const units = state.owners.get(service);
  const unitOwner = units?.get(unit);
  if (unitOwner || unit.startsWith("s:")) return unitOwner;
  const route = state.routes.get(service);
  return route && units?.get(computeShard(unit.slice(2), route.shards));
}

/**
 * Applies an operator's change and adds it to the history, unless the object
 * has another version than the operator saw or `update` returns a rejection.
 */
function applyChange(
  state: StateData,
  entry: LogEntry,
  record: ChangeRecord,
  update: (state: StateData) => StateData | Rejection,
): Transition {
  const object = getObjectName(record);
  const last = state.versions.get(object);
  if ((last?.version ?? 0) !== record.change.expectVersion) {
    return [state, reject(Rejection.Conflict, last)];
  }
  const next = update(state);
  if (typeof next === "string") return [state, reject(next)];
  const change = makeHistoryEntry(entry, record);
  return [{
    ...next,
    versions: new Map(next.versions).set(object, change),
    history: [...next.history, change].slice(-MAX_HISTORY_CHANGES),
  }, { applied: true }];
}

function applyClaim(
  state: StateData,
  record: ClaimRecord,
  entry: LogEntry,
): Transition {
  const term = state.claims.get(record.group)?.term ?? -1;
  if (record.supersedes !== term) return [state, reject(Rejection.Superseded)];
  const claim: Claim = {
    node: record.node,
    term: entry.offset,
    atMs: entry.atMs,
    recordId: record.id,
  };
  const claims = new Map(state.claims).set(record.group, claim);
  return [{ ...state, claims }, { applied: true }];
}

function applyHealth(state: StateData, record: ServerHealthRecord): Transition {
  if (
    state.claims.get(record.group)?.term !== Token.parse(record.token)?.term
  ) {
    return [state, reject(Rejection.Superseded)];
  }
  const silent = setMember(state.silent, record.server, !record.answers);
  return [{ ...state, silent }, { applied: true }];
}

function applyMove(
  state: StateData,
  record: MoveRecord,
  entry: LogEntry,
): Transition {
  const term = Token.parse(record.token)?.term;
  if (term === undefined || state.claims.get(record.group)?.term !== term) {
    return [state, reject(Rejection.Superseded)];
  }
  let next = state;
  const moves: UnitMove[] = [];
  for (const m of record.moves) {
    const owner = findOwner(next, m.service, m.unit);
    const server = owner?.server ?? null;
    if (server !== m.from || (owner && owner.group !== record.group)) continue;
    if (!state.routes.has(m.service)) continue;
    next = setOwner(next, m, {
      server: m.to,
      group: m.toGroup,
      since: entry.offset,
      sinceMs: entry.atMs,
      reason: m.reason,
      previous: server,
    });
    moves.push(m);
  }
  if (moves.length === 0) return [state, reject(Rejection.OwnerChanged)];
  return [next, { applied: true, moves }];
}

function setOwner(state: StateData, move: UnitMove, owner: Owner): StateData {
  const units = new Map(state.owners.get(move.service)).set(move.unit, owner);
  return { ...state, owners: new Map(state.owners).set(move.service, units) };
}

function putRoute(state: StateData, route: Route): StateData | Rejection {
  // Owners are kept when a route is removed, because servers may still hold
  // leases. So a route that is added again must map keys to the same shards.
  const shards = state.shards.get(route.service) ?? route.shards;
  if (shards !== route.shards) return Rejection.Invalid;
  for (const other of state.routes.values()) {
    const conflicts = other.pathPrefix === route.pathPrefix &&
      other.service !== route.service;
    if (conflicts) return Rejection.Invalid;
  }
  return {
    ...state,
    routes: new Map(state.routes).set(route.service, route),
    shards: new Map(state.shards).set(route.service, route.shards),
  };
}

function removeRoute(
  state: StateData,
  service: ServiceName,
): StateData | Rejection {
  if (!state.routes.has(service)) return Rejection.Invalid;
  const routes = new Map(state.routes);
  routes.delete(service);
  return { ...state, routes };
}

function assignUnit(
  state: StateData,
  record: AssignRecord,
  version: number,
): StateData {
  const assignments = new Map(state.assignments).set(
    `${record.service}/${record.unit}`,
    {
      service: record.service,
      unit: record.unit,
      server: record.server,
      reason: record.change.reason,
      version,
    },
  );
  return { ...state, assignments };
}

function addPoison(
  state: StateData,
  record: PoisonRecord,
  entry: LogEntry,
): Transition {
  const poison = new Map(state.poison).set(record.fingerprint, {
    service: record.service,
    fingerprint: record.fingerprint,
    summary: record.summary,
    crashes: record.crashes,
    version: computeVersion(entry),
    atMs: entry.atMs,
  });
  return [{ ...state, poison }, { applied: true }];
}

function omit<K, V>(map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  const next = new Map(map);
  next.delete(key);
  return next;
}

function setMember<T>(set: ReadonlySet<T>, item: T, member: boolean): Set<T> {
  const next = new Set(set);
  if (member) next.add(item);
  else next.delete(item);
  return next;
}

const MAX_HISTORY_CHANGES = 2_000;

type Handler<R> = (state: StateData, record: R, entry: LogEntry) => Transition;

const HANDLERS: {
  readonly [K in RecordKind]: Handler<Extract<LogRecord, { kind: K }>>;
} = {
  [RecordKind.Claim]: applyClaim,
  [RecordKind.Move]: applyMove,
  [RecordKind.ServerHealth]: applyHealth,
  [RecordKind.PutRoute]: (state, record, entry) =>
    applyChange(
      state,
      entry,
      record,
      (current) => putRoute(current, record.route),
    ),
  [RecordKind.RemoveRoute]: (state, record, entry) =>
    applyChange(
      state,
      entry,
      record,
      (current) => removeRoute(current, record.service),
    ),
  [RecordKind.Assign]: (state, record, entry) =>
    applyChange(
      state,
      entry,
      record,
      (current) => assignUnit(current, record, computeVersion(entry)),
    ),
  [RecordKind.Unassign]: (state, record, entry) =>
    applyChange(state, entry, record, (current) => ({
      ...current,
      assignments: omit(
        current.assignments,
        `${record.service}/${record.unit}`,
      ),
    })),
  [RecordKind.Drain]: (state, record, entry) =>
    applyChange(state, entry, record, (current) => ({
      ...current,
      drained: setMember(current.drained, record.server, true),
    })),
  [RecordKind.Undrain]: (state, record, entry) =>
    applyChange(state, entry, record, (current) => ({
      ...current,
      drained: setMember(current.drained, record.server, false),
    })),
  [RecordKind.ConfirmLost]: (state, record, entry) =>
    applyChange(
      state,
      entry,
      record,
      (current) => ({
        ...current,
        lost: setMember(current.lost, record.vm, true),
      }),
    ),
  [RecordKind.Poison]: addPoison,
  [RecordKind.LiftPoison]: (state, record, entry) =>
    applyChange(state, entry, record, (current) => ({
      ...current,
      poison: omit(current.poison, record.fingerprint),
    })),
  [RecordKind.Snapshot]: (state) => [state, { applied: false }],
};

/** Applies a record of any kind. Records of unknown kinds are only kept. */
export function applyRecord(state: StateData, entry: LogEntry): Transition {
  const kind: unknown = entry.record?.kind;
  if (typeof kind !== "string") return [state, reject(Rejection.Invalid)];
  if (!isKnownKind(kind)) return keepUnknown(state, entry);
  if (!isValid(kind, entry.record)) return [state, reject(Rejection.Invalid)];
  const handler = HANDLERS[kind] as Handler<LogRecord>;
  return handler(state, entry.record, entry);
}

function keepUnknown(state: StateData, entry: LogEntry): Transition {
  return [{ ...state, unknown: [...state.unknown, entry] }, { applied: false }];
}
