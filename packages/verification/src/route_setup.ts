/**
 * Sets up routes and assignments of a fleet under test and reads its state.
 * @module
 */
import {
  computeShard,
  type GroupId,
  HybridClock,
  type LogEntry,
  Outcome,
  RecordKind,
  type UnitId,
} from "@jaytiller/model";
import {
  type EntryHandle,
  Fleet,
  type FleetOptions,
  getJson,
  postJson,
  type ServiceSpec,
} from "@jaytiller/standins";
import { ClusterState } from "@jaytiller/state";
import { randomUUID } from "node:crypto";
import { sendRequest } from "./caller.js";
import { waitFor } from "./wait.js";

const NODE_ID = "verification";
const SERVED_TIMEOUT_MS = 10_000;
const hlc = HybridClock.create(NODE_ID);

/** Appends a record to the log and returns its offset. */
export async function appendRecord(
  fleet: Fleet,
  fields: { readonly kind: RecordKind; readonly [name: string]: unknown },
): Promise<number> {
  const { offset } = await postJson<{ offset: number }>(
    `${fleet.log.url}/append`,
    {
      record: {
        id: randomUUID(),
        hlc: hlc.issue(Date.now()),
        node: NODE_ID,
        ...fields,
      },
    },
  );
  return offset;
}

/** Reads the whole log and returns the resulting state. */
export async function readState(fleet: Fleet): Promise<ClusterState> {
  let state = ClusterState.empty;
  for (;;) {
    const { records } = await getJson<{ records: LogEntry[] }>(
      `${fleet.log.url}/read?from=${state.position}`,
    );
    if (records.length === 0) return state;
    for (const entry of records) state = state.apply(entry).state;
  }
}

/**
 * Creates or updates the route of a service and returns the record's offset.
 */
export async function putRoute(
  fleet: Fleet,
  spec: ServiceSpec,
  expectVersion = 0,
): Promise<number> {
  const { name, pathPrefix, shards, checksOwner, slots, connections } = spec;
  return await appendRecord(fleet, {
    kind: RecordKind.PutRoute,
    change: { operator: NODE_ID, reason: "test", expectVersion },
    route: {
      service: name,
      pathPrefix: `/${pathPrefix}`,
      shards,
      checksOwner,
      slots,
      connections,
      rules: spec.rules,
    },
  });
}

/**
 * Assigns a unit to a server, whatever its assignment was before. Returns the
 * record's offset.
 */
export async function assignUnit(
  fleet: Fleet,
  to: { service: string; unit: UnitId; server: string },
): Promise<number> {
  const state = await readState(fleet);
  const expectVersion = state.getVersion(`unit/${to.service}/${to.unit}`);
  return await appendRecord(fleet, {
    kind: RecordKind.Assign,
    change: { operator: NODE_ID, reason: "test", expectVersion },
    ...to,
  });
}

/**
 * Returns the entry VM that holds a group according to the last claim in the
 * log.
 */
export async function findHolder(
  fleet: Fleet,
  group: GroupId,
): Promise<EntryHandle> {
  const node = (await readState(fleet)).getClaim(group)?.node;
  const entry = fleet.entries.find((e) => e.id === node);
  if (!entry) throw new Error(`${group}: Expected a holder (found ${node}).`);
  return entry;
}

/** Returns one key for each of the first `count` shards that has one. */
export function listKeys(spec: ServiceSpec, count: number): string[] {
  const keys = new Map<UnitId, string>();
  for (let i = 0; keys.size < Math.min(count, spec.shards); i++) {
    const key = `${spec.name}-${i}`;
    const unit = computeShard(key, spec.shards);
    if (!keys.has(unit)) keys.set(unit, key);
  }
  return [...keys.values()];
}

/** Waits until every key is answered through every running entry VM. */
export async function waitUntilServed(
  fleet: Fleet,
  timeoutMs = SERVED_TIMEOUT_MS,
): Promise<void> {
  const entries = fleet.entries.filter((e) => !e.child.exit);
  const checks = fleet.options.services.flatMap((spec) =>
    entries.flatMap(({ callerUrl }) =>
      listKeys(spec, spec.shards).map((key) => ({ spec, key, callerUrl }))
    )
  );
  await Promise.all(
    checks.map(({ spec, key, callerUrl }) =>
      waitFor(`key ${key} through ${callerUrl}`, timeoutMs, async () => {
        const attempt = await sendRequest({
          entryUrl: callerUrl,
          service: spec.name,
          key,
          path: `/${spec.pathPrefix}/${key}`,
          method: "GET",
        });
        if (attempt.outcome === Outcome.Answered) return true;
        throw new Error(`${attempt.outcome} ${attempt.reason}`);
      })
    ),
  );
}

/** Starts a fleet, creates the routes and waits until all keys are served. */
export async function startServedFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = new Fleet(options);
  try {
    await fleet.start();
    for (const spec of options.services) await putRoute(fleet, spec);
    await waitUntilServed(fleet);
    return fleet;
  } catch (e) {
    process.stderr.write(`${fleet.launcher.formatOutput()}\n`);
    await fleet.stop();
    throw e;
  }
}
