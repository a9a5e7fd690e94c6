/**
 * Injects faults into processes and links, and defines test services.
 * @module
 */
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

const EXIT_TIMEOUT_MS = 5_000;
/** Longer than a lease and than the time until a lost holder is replaced. */
const DOWNTIME_MS = 900;
/** Time for which a connection fault stays active. */
const CONNECTION_FAULT_MS = 60;
/**
 * Limits the connections that one fault affects, so that others keep working.
 */
const MAX_FAULTY_CONNECTIONS = 6;

/**
 * Creates the specification of a service with idempotent GET and non-idempotent
 * POST.
 */
export function createServiceSpec(
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

/** Stops processes with SIGSTOP and resumes them after `pauseMs`. */
export async function pauseProcesses(
  children: readonly Child[],
  pauseMs = DOWNTIME_MS,
): Promise<void> {
  for (const child of children) child.kill("SIGSTOP");
  await delay(pauseMs);
  for (const child of children) child.kill("SIGCONT");
}

/** Kills a process with SIGKILL and waits for its exit. */
export async function killProcess(child: Child): Promise<void> {
  child.kill("SIGKILL");
  await child.waitForExit(EXIT_TIMEOUT_MS);
}

/**
 * Kills an entry VM and, after a downtime, starts a new one with the same id.
 */
export async function restartEntry(
  fleet: Fleet,
  entry: EntryHandle,
): Promise<void> {
  await killProcess(entry.child);
  await delay(DOWNTIME_MS);
  await fleet.startEntry({ id: entry.id, zone: entry.zone });
}

/**
 * Kills a backend server and, after a downtime, starts a new one with the same
 * id.
 */
export async function restartServer(
  fleet: Fleet,
  server: BackendHandle,
): Promise<void> {
  await killProcess(server.child);
  await delay(DOWNTIME_MS);
  await fleet.startBackend(server);
}

/** Applies each fault in turn to a few connections of each link. */
export async function injectConnectionFaults(
  fleet: Fleet,
  faults: readonly Omit<LinkChange, "link">[],
  links: readonly string[],
): Promise<void> {
  for (const fault of faults) {
    for (const link of links) {
      await fleet.network.setLinks({
        times: MAX_FAULTY_CONNECTIONS,
        ...fault,
        link,
      });
      await delay(CONNECTION_FAULT_MS);
      await fleet.network.setLinks({ link, clear: true });
    }
  }
}

/** Moves three units of each service from server to server. */
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

/**
 * Returns the holders, by the log, of one group of the first and one of the
 * last service.
 */
export function findHolders(fleet: Fleet): Promise<EntryHandle[]> {
  const { services, zones } = fleet.options;
  // The groups are in different zones, so that each zone keeps an entry VM.
  return Promise.all([
    findHolder(fleet, `${services[0]!.name}/${zones[0]!}`),
    findHolder(fleet, `${services.at(-1)!.name}/${zones.at(-1)!}`),
  ]);
}
