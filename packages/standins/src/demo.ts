/**
 * Demo: starts scaled-down fleets of the workloads, sends requests at a low rate
 * and prints outcome counts until SIGINT or SIGTERM.
 *
 * Usage: node dist/src/demo.js [--workload tabwright|lonestar] [--seed N]
 *   [--proxies true] [--requests-per-second N]
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type Fleet, startFleet } from "./fleet.js";
import { parseOptions } from "./main_support.js";
import { createRandom } from "./random.js";
import { createRoute } from "./route_command.js";
import { LoadGenerator, makeRequest, sendRequest } from "./load_generator.js";
import {
  DEMO_SCALE,
  readWorkload,
  scaleWorkload,
  type Workload,
  WorkloadName,
} from "./workload.js";

const REPORT_INTERVAL_MS = 3000;
const SERVED_TIMEOUT_MS = 10_000;
/** Number of keys probed per service; their groups cover all zones. */
const PROBED_KEY_COUNT = 8;
const STOP_GRACE_MS = 5000;
/** Exit status if the demo is interrupted during startup. */
const INTERRUPTED_EXIT_CODE = 130;

const DEFAULTS = {
  /** Name of a workload; all workloads if empty. */
  workload: "",
  seed: 1,
  proxies: false,
  requestsPerSecond: 20,
};

interface Demo {
  readonly name: string;
  readonly fleet: Fleet;
  readonly loadGenerator: LoadGenerator;
}

function selectWorkloads(name: string): WorkloadName[] {
  const all = Object.values(WorkloadName);
  if (name === "") return all;
  const found = all.filter((w) => w === name);
  if (found.length > 0) return found;
  throw new Error(
    `workload: Expected one of ${all.join(", ")} (found ${name})`,
  );
}

/** Waits until every entry VM serves requests for sample keys of each service. */
async function waitUntilServed(fleet: Fleet): Promise<void> {
  const end = performance.now() + SERVED_TIMEOUT_MS;
  for (const service of fleet.options.services) {
    for (const entry of fleet.entries) {
      for (let i = 0; i < PROBED_KEY_COUNT; i++) {
        const random = () => i / PROBED_KEY_COUNT;
        const request = makeRequest(entry.callerUrl, service, random);
        while (await sendRequest(request) !== "answered") {
          if (performance.now() > end) {
            throw new Error(
              `${request.url}: No successful response from ${entry.id}`,
            );
          }
          await delay(100);
        }
      }
    }
  }
}

function formatFleet(name: string, fleet: Fleet): string {
  const first = fleet.entries[0]!;
  const service = fleet.options.services[0]!;
  const at = first.operatorAddress;
  const jaytiller = "node packages/operator/dist/src/main.js";
  return [
    `${name}: log ${fleet.log.url}, VM list ${fleet.vmList.url}/vms`,
    ...fleet.entries.map((e) =>
      `  ${e.id} (pid ${e.child.pid}): callers ${e.callerUrl}, ` +
      `operators ${e.operatorAddress}`
    ),
    ...fleet.backends.map((b) => `  ${b.id} (pid ${b.child.pid}): ${b.url}`),
    "  Try:",
    `    curl -i ${first.callerUrl}${service.pathPrefix}/key-1`,
    `    ${jaytiller} state --at ${at}`,
    `    ${jaytiller} explain key ${service.name} key-1 --at ${at}`,
    `    kill -9 ${fleet.backends[0]!.child.pid}`,
  ].join("\n");
}

async function startDemo(
  workload: Workload,
  options: typeof DEFAULTS,
): Promise<Demo> {
  const { proxies, requestsPerSecond, seed } = options;
  const fleet = await startFleet({ ...workload, proxies });
  try {
    for (const service of workload.services) await createRoute(fleet, service);
    await waitUntilServed(fleet);
  } catch (e) {
    console.error(fleet.launcher.formatOutput());
    await fleet.stop();
    throw e;
  }
  const random = createRandom(seed);
  const loadGenerator = LoadGenerator.start({
    fleet,
    requestsPerSecond,
    random,
  });
  console.log(formatFleet(workload.name, fleet));
  return { name: workload.name, fleet, loadGenerator };
}

function formatCounts({ name, loadGenerator }: Demo): string {
  const counts = Object.entries(loadGenerator.counts);
  return `${name}: ${counts.map(([key, n]) => `${key} ${n}`).join(", ")}`;
}

async function stopDemo(demo: Demo): Promise<void> {
  await demo.loadGenerator.stop();
  console.log(`${formatCounts(demo)}. Stopping.`);
  await demo.fleet.stop(STOP_GRACE_MS);
}

async function runDemo(): Promise<void> {
  const options = parseOptions(process.argv.slice(2), DEFAULTS);
  let started = false;
  const stopped = new Promise<void>((resolve) => {
    // During startup, exiting is enough: the launcher kills its children.
    const stop = () =>
      started ? resolve() : process.exit(INTERRUPTED_EXIT_CODE);
    process.on("SIGINT", stop);
    process.on("SIGTERM", stop);
  });
  console.log(`seed ${options.seed}`);
  const demos: Demo[] = [];
  try {
    for (const name of selectWorkloads(options.workload)) {
      const workload = scaleWorkload(readWorkload(name), DEMO_SCALE);
      demos.push(await startDemo(workload, options));
    }
    started = true;
    const report = setInterval(() => {
      for (const demo of demos) console.log(formatCounts(demo));
    }, REPORT_INTERVAL_MS);
    await stopped;
    clearInterval(report);
  } finally {
    await Promise.all(demos.map(stopDemo));
  }
}

try {
  await runDemo();
} catch (e) {
  console.error(e instanceof Error ? e.message : String(e));
  process.exitCode = 1;
}
