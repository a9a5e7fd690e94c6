/** The cluster state, computed by folding the platform's log. @module */
import {
  computeShard,
  type GroupId,
  type LogEntry,
  type Route,
  type ServiceName,
  type UnitId,
  type VmId,
} from "@jaytiller/model";
import { Either } from "purify-ts";
import { type Change, type ObjectName, Rejection } from "./changes.js";
import { encodeSnapshot, readSnapshot } from "./snapshot.js";
import {
  type Assignment,
  type Claim,
  type Effect,
  EMPTY_STATE,
  type Owner,
  type Poison,
  type StateData,
} from "./state_data.js";
import { applyRecord, findOwner, reject } from "./transitions.js";

/** The route and the key that a request path refers to. */
export interface RouteMatch {
  readonly route: Route;
  readonly key: string;
  /**
   * The path after the key, including its leading slash, or an empty string.
   */
  readonly rest: string;
}

/** The immutable state of configuration and ownership at one log position. */
export class ClusterState {
  readonly #data: StateData;

  private constructor(fields: StateData) {
    this.#data = fields;
  }

  static readonly empty: ClusterState = new ClusterState(EMPTY_STATE);

  /** The next log offset to apply. */
  get position(): number {
    return this.#data.position;
  }

  /** The latest configuration changes that took effect, oldest first. */
  get history(): readonly Change[] {
    return this.#data.history;
  }

  /**
   * Returns the state after an entry, and the effect of its record. The offset
   * may be above `position`, because retention of the log leaves gaps. A
   * malformed record only advances the position. An entry without a valid
   * offset changes nothing.
   */
  apply(entry: LogEntry): { state: ClusterState; effect: Effect } {
    const { offset } = entry;
    if (!Number.isSafeInteger(offset)) {
      return { state: this, effect: reject(Rejection.Invalid) };
    }
    if (offset < this.position) {
      return { state: this, effect: reject(Rejection.Duplicate) };
    }
    const base: StateData = { ...this.#data, position: offset + 1 };
    const id: unknown = entry.record?.id;
    if (typeof id === "string" && base.recent.has(id)) {
      const state = new ClusterState(base);
      return { state, effect: reject(Rejection.Duplicate) };
    }
    const [next, effect] = applyRecord(base, entry);
    const recent = typeof id === "string" ? base.recent.add(id) : base.recent;
    return { state: new ClusterState({ ...next, recent }), effect };
  }

  /**
   * Returns the route and the decoded key of a path such as `/orders/key/rest`,
   * or `undefined` if no route matches or the key is not validly encoded.
   */
  matchPath(path: string): RouteMatch | undefined {
    const m = /^(\/[^/?]+)\/([^/?]+)(\/[^?]*)?/.exec(path);
    if (!m) return undefined;
    for (const route of this.#data.routes.values()) {
      if (route.pathPrefix !== m[1]) continue;
      const key = decodeKey(m[2]!);
      return key === undefined ? undefined : { route, key, rest: m[3] ?? "" };
    }
    return undefined;
  }

  getRoute(service: ServiceName): Route | undefined {
    return this.#data.routes.get(service);
  }

  listRoutes(): Route[] {
    return [...this.#data.routes.values()];
  }

  /**
   * Returns the unit that `key` belongs to: the key itself if it was split from
   * its shard, else the shard.
   */
  resolveUnit(service: ServiceName, key: string): UnitId | undefined {
    const route = this.#data.routes.get(service);
    if (!route) return undefined;
    const keyUnit: UnitId = `k:${key}`;
    if (this.#data.owners.get(service)?.has(keyUnit)) return keyUnit;
    return computeShard(key, route.shards);
  }

  /** Returns the owner of a unit; for a key, by default that of its shard. */
  getOwner(service: ServiceName, unit: UnitId): Owner | undefined {
    return findOwner(this.#data, service, unit);
  }

  /** Returns the units of `service` that have an owner of their own. */
  listOwners(service: ServiceName): ReadonlyMap<UnitId, Owner> {
    return this.#data.owners.get(service) ?? new Map();
  }

  getClaim(group: GroupId): Claim | undefined {
    return this.#data.claims.get(group);
  }

  listClaims(): ReadonlyMap<GroupId, Claim> {
    return this.#data.claims;
  }

  getAssignment(service: ServiceName, unit: UnitId): Assignment | undefined {
    return this.#data.assignments.get(`${service}/${unit}`);
  }

  listAssignments(): Assignment[] {
    return [...this.#data.assignments.values()];
  }

  /**
   * Returns whether the holder of its group reported the server unresponsive.
   */
  isUnresponsive(server: VmId): boolean {
    return this.#data.silent.has(server);
  }

  isDrained(server: VmId): boolean {
    return this.#data.drained.has(server);
  }

  listDrained(): VmId[] {
    return [...this.#data.drained];
  }

  /** Returns whether an operator confirmed that the VM no longer runs. */
  isLost(vm: VmId): boolean {
    return this.#data.lost.has(vm);
  }

  getPoison(fingerprint: string): Poison | undefined {
    return this.#data.poison.get(fingerprint);
  }

  listPoison(): Poison[] {
    return [...this.#data.poison.values()];
  }

  /** Returns the latest change of an object. */
  getLastChange(object: ObjectName): Change | undefined {
    return this.#data.versions.get(object);
  }

  /** Returns the version of an object; 0 if it was never changed. */
  getVersion(object: ObjectName): number {
    return this.#data.versions.get(object)?.version ?? 0;
  }

  /**
   * Returns whether a record with this UUID was recently applied or rejected.
   */
  hasSeen(recordId: string): boolean {
    return this.#data.recent.has(recordId);
  }

  /** Returns the state as a JSON value for `restore`. */
  encode(): unknown {
    return encodeSnapshot(this.#data);
  }

  /** Restores a state from the result of `encode`. */
  static restore(value: unknown): Either<string, ClusterState> {
    return Either.encase(() => new ClusterState(readSnapshot(value)))
      .mapLeft((e) => `Malformed snapshot: ${e.message}`);
  }
}

function decodeKey(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}

/** Returns the state after applying the entries in order. */
export function foldEntries(
  state: ClusterState,
  entries: readonly LogEntry[],
): ClusterState {
  return entries.reduce((s, e) => s.apply(e).state, state);
}
