/**
 * Checks that routers, servers and the log agree on the owners of keys.
 * @module
 */
import type { Fleet, ServiceSpec } from "@jaytiller/standins";
import { sendRequest } from "./caller.js";
import { isAnswered } from "./checker.js";
import { listKeys, readState } from "./route_setup.js";
import { waitFor } from "./wait.js";

async function fetchServer(
  spec: ServiceSpec,
  at: { key: string; entryUrl: string },
): Promise<string> {
  const attempt = await sendRequest({
    ...at,
    service: spec.name,
    path: `/${spec.pathPrefix}/${at.key}`,
    method: "GET",
  });
  if (!isAnswered(attempt) || attempt.status !== 200) {
    throw new Error(`${at.key}: ${attempt.outcome} ${attempt.reason}`);
  }
  return (JSON.parse(attempt.body!) as { server: string }).server;
}

/** Returns the servers that answer requests for a key, over all entry VMs. */
async function listAnsweringServers(
  fleet: Fleet,
  spec: ServiceSpec,
  key: string,
): Promise<Set<string>> {
  const entries = fleet.entries.filter((e) => !e.child.exit);
  return new Set(
    await Promise.all(
      entries.map((e) => fetchServer(spec, { key, entryUrl: e.callerUrl })),
    ),
  );
}

/**
 * Waits until every entry VM routes each key to the owner that the log records.
 * Moves in progress may complete within the timeout.
 */
export async function waitForAgreement(
  fleet: Fleet,
  timeoutMs: number,
): Promise<void> {
  await waitFor("one owner through all entry VMs", timeoutMs, async () => {
    const state = await readState(fleet);
    for (const spec of fleet.options.services) {
      // Keys are checked one at a time, so that the checks themselves fill no
      // queue.
      for (const key of listKeys(spec, spec.shards)) {
        const unit = state.resolveUnit(spec.name, key)!;
        const owner = state.getOwner(spec.name, unit)?.server;
        const found = [...await listAnsweringServers(fleet, spec, key)];
        if (found.length !== 1 || found[0] !== owner) {
          throw new Error(`${key}: the log names ${owner}, found ${found}`);
        }
      }
    }
    return true;
  });
}
