/** Starts fleets and reads their state. @module */
import type { GroupId, LogEntry } from "@jaytiller/model";
import {
  createRoute,
  type EntryHandle,
  type Fleet,
  type FleetOptions,
  getJson,
  makeRequest,
  sendRequest,
  startFleet,
} from "@jaytiller/standins";
import { ClusterState, foldEntries } from "@jaytiller/state";
import { setTimeout as delay } from "node:timers/promises";

const SERVED_TIMEOUT_MS = 20_000;
const OWNED_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const MAX_PAGE_ENTRIES = 5000;
/** Keys per service that each entry VM must serve before a run starts. */
const KEYS_PER_ENTRY = 4;
const STOP_GRACE_MS = 2000;

/** Reads all entries of the log. */
export async function readLog(logUrl: string): Promise<LogEntry[]> {
  const entries: LogEntry[] = [];
  for (let from = 0;;) {
    const page = await getJson<{ records: LogEntry[]; next: number }>(
      `${logUrl}/read?from=${from}&max=${MAX_PAGE_ENTRIES}&waitMs=0`,
    );
    entries.push(...page.records);
    if (page.records.length === 0) return entries;
    from = page.records[page.records.length - 1]!.offset + 1;
  }
}

/** Computes the state after all entries of the log. */
export function foldLog(entries: readonly LogEntry[]): ClusterState {
  return foldEntries(ClusterState.empty, entries);
}

/** Reads the log and computes the state after its last entry. */
export async function readState(fleet: Fleet): Promise<ClusterState> {
  return foldLog(await readLog(fleet.log.url));
}

/**
 * Polls a condition until it holds. Throws an error that starts with
 * `description` after `timeoutMs`.
 */
export async function waitFor(
  isDone: () => Promise<boolean>,
  options: { timeoutMs: number; description: string },
): Promise<void> {
  const end = performance.now() + options.timeoutMs;
  while (!await isDone()) {
    if (performance.now() > end) {
      throw new Error(
        `${options.description}: not within ${options.timeoutMs} ms`,
      );
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function waitUntilOwned(fleet: Fleet): Promise<void> {
  const { services } = fleet.options;
  await waitFor(async () => {
    const state = await readState(fleet);
    return services.every((s) => state.listOwners(s.name).size >= s.shards);
  }, { timeoutMs: OWNED_TIMEOUT_MS, description: "Owners of all shards" });
}

async function waitUntilServed(fleet: Fleet): Promise<void> {
  for (const service of fleet.options.services) {
    for (const entry of fleet.entries) {
      for (let i = 0; i < KEYS_PER_ENTRY; i++) {
        const request = makeRequest(
          entry.callerUrl,
          service,
          () => i / KEYS_PER_ENTRY,
        );
        await waitFor(
          async () => await sendRequest(request) === "answered",
          { timeoutMs: SERVED_TIMEOUT_MS, description: request.url },
        );
      }
    }
  }
}

/**
 * Starts a fleet, waits until it serves all services, calls `run` and stops the
 * fleet. On an error, prints the output of processes that have exited.
 */
export async function withFleet<T>(
  options: FleetOptions,
  run: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await startFleet(options);
  try {
    for (const service of options.services) await createRoute(fleet, service);
    await waitUntilOwned(fleet);
    await waitUntilServed(fleet);
    return await run(fleet);
  } catch (e) {
    const exited = fleet.launcher.children.filter((c) => c.exit);
    for (const c of exited) console.error(`${c.name} exited:\n${c.output}`);
    throw e;
  } finally {
    await fleet.stop(STOP_GRACE_MS);
  }
}

/** Returns the entry VM that holds a group. Throws if it is not running. */
export function findHolder(
  fleet: Fleet,
  state: ClusterState,
  group: GroupId,
): EntryHandle {
  const node = state.getClaim(group)?.node;
  const entry = fleet.entries.find((e) => e.id === node);
  if (!entry) throw new Error(`Group ${group}: No holder is running.`);
  return entry;
}
