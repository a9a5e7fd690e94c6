/** Faults of processes and links, and the services that they are tried on. @module */
import { RequestClass } from "@jaytiller/model";
import type {
  BackendHandle,
  Child,
  EntryHandle,
  Fleet,
  LinkChange,
  ServiceSpec,
} from "@jaytiller/standins";
import { setTimeout as delay } from "node:timers/promises";
import { assignUnit, findHolder, listKeys, readState } from "./route_setup.js";

const EXIT_WITHIN_MS = 5_000;
/** Longer than a lease and the time after which a holder is replaced. */
const AWAY_MS = 900;
/** Time for which a fault of connections is in force, in ms. */
const BREAK_MS = 60;
/** Connections that one fault breaks at most, so that others go on. */
const BREAK_COUNT = 6;

/** A service whose GET may be repeated and whose POST may not. */
export function createSpec(
  fields: Pick<ServiceSpec, "name" | "pathPrefix"> & Partial<ServiceSpec>,
  { deadlineMs = 1_000, maxBodyBytes = 1_000_000 } = {},
): ServiceSpec {
  const rule = {
    prefix: "/",
    class: RequestClass.Normal,
    deadlineMs,
    maxBodyBytes,
  };
  return {
    shards: 8,
    checksOwner: true,
    serversPerZone: 2,
    slots: 3,
    connections: 130,
    serviceMs: 2,
    rules: [
      { ...rule, methods: ["GET"], idempotent: true },
      { ...rule, methods: ["POST"], idempotent: false },
    ],
    ...fields,
  };
}

/** Freezes processes for a time. */
export async function pauseChildren(
  children: readonly Child[],
  pauseMs = AWAY_MS,
): Promise<void> {
  for (const child of children) child.kill("SIGSTOP");
  await delay(pauseMs);
  for (const child of children) child.kill("SIGCONT");
}

/** Ends a process without notice. */
export async function killChild(child: Child): Promise<void> {
  child.kill("SIGKILL");
  await child.waitForExit(EXIT_WITHIN_MS);
}

/** Kills an entry VM and starts a new one under its id later. */
export async function restartEntry(
  fleet: Fleet,
  entry: EntryHandle,
): Promise<void> {
  await killChild(entry.child);
  await delay(AWAY_MS);
  await fleet.startEntry({ id: entry.id, zone: entry.zone });
}

/** Kills a backend server and starts a new one under its id later. */
export async function restartServer(
  fleet: Fleet,
  server: BackendHandle,
): Promise<void> {
  await killChild(server.child);
  await delay(AWAY_MS);
  await fleet.startBackend(server);
}

/** Applies each fault to a few connections of each of the links, in turn. */
export async function breakLinks(
  fleet: Fleet,
  faults: readonly Omit<LinkChange, "link">[],
  links: readonly string[],
): Promise<void> {
  for (const fault of faults) {
    for (const link of links) {
      await fleet.network.setLinks({ times: BREAK_COUNT, ...fault, link });
      await delay(BREAK_MS);
      await fleet.network.setLinks({ link, clear: true });
    }
  }
}

/** Assigns some units of all services to one server after the other. */
export async function moveUnits(fleet: Fleet, rounds = 4): Promise<void> {
  const state = await readState(fleet);
  for (let round = 0; round < rounds; round++) {
    for (const spec of fleet.options.services) {
      const servers = fleet.backends.filter((b) => b.service === spec);
      const units = listKeys(spec, 3)
        .map((key) => state.resolveUnit(spec.name, key)!);
      for (const [i, unit] of units.entries()) {
        const server = servers[(round + i) % servers.length]!.id;
        await assignUnit(fleet, { service: spec.name, unit, server });
      }
    }
    await delay(250);
  }
}

/** Holders of a group of the first service and one of the last, by the log. */
export function findHolders(fleet: Fleet): Promise<EntryHandle[]> {
  const { services, zones } = fleet.options;
  // Different zones, so that each keeps an entry VM.
  return Promise.all([
    findHolder(fleet, `${services[0]!.name}/${zones[0]!}`),
    findHolder(fleet, `${services.at(-1)!.name}/${zones.at(-1)!}`),
  ]);
}
