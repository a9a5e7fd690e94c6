/** Runs fault schedules and reports the first violated invariant. @module */
import { Violation } from "./checker.js";
import { drawFaults, FaultMix } from "./fault_schedule.js";
import { type Fault, injectFault } from "./faults.js";
import { Random } from "./random.js";
import {
  SimulatedCluster,
  type SimulatedClusterOptions,
} from "./simulated_cluster.js";

/** All units must be served again within this time after the last fault. */
const SETTLE_LIMIT_MS = 10_000;
const CHECK_INTERVAL_MS = 50;
/** Time for which the cluster must stay recovered. */
const STABLE_MS = 400;
const TRACE_TAIL_LINES = 120;

/** Options of a cluster and the faults injected into it. */
export interface Schedule extends SimulatedClusterOptions {
  readonly mix: FaultMix;
  readonly faults: readonly Fault[];
}

/** Result of one schedule. */
export interface RunReport {
  readonly violation: Violation | undefined;
  /** Time from the end of the faults until all units were served. */
  readonly settledMs: number;
  readonly steps: number;
  readonly lines: readonly string[];
}

/** Generates the schedule that a seed determines. */
export function makeSchedule(
  seed: number,
  mix: FaultMix = FaultMix.Broad,
): Schedule {
  const random = Random.create(seed ^ 0x5eed);
  const routersPerZone = random.drawInteger(2, 3);
  const serversPerZone = random.drawInteger(2, 3);
  const checksOwner = random.decide(0.6);
  const options = { seed, checksOwner, routersPerZone, serversPerZone };
  const { routerIds: routers, serverIds: servers } = new SimulatedCluster(
    options,
  );
  const faults = drawFaults(random, { routers, servers, mix });
  return { ...options, mix, faults };
}

/**
 * Runs a schedule until the cluster has recovered or an invariant is violated.
 */
export function runSchedule(schedule: Schedule): RunReport {
  const cluster = new SimulatedCluster(schedule);
  const pendingEnds = new Set<() => void>();
  let faultsEndAt = 0;
  for (const fault of schedule.faults) {
    faultsEndAt = Math.max(faultsEndAt, fault.atMs + fault.forMs);
    cluster.scheduler.schedule(fault.atMs, () => {
      const finish = injectFault(cluster, fault);
      const end = () => {
        if (pendingEnds.delete(end)) finish();
      };
      pendingEnds.add(end);
      cluster.scheduler.schedule(fault.forMs, end);
    });
  }
  let steps = 0;
  let settledAt = -1;
  let violation: Violation | undefined;
  const runUntil = (end: number) => {
    while (cluster.scheduler.step(end)) steps += 1;
  };
  try {
    runUntil(faultsEndAt + 1);
    for (const end of [...pendingEnds]) end();
    cluster.restoreAll();
    cluster.trace("all faults have ended");
    settledAt = waitUntilSettled(cluster, runUntil);
  } catch (error) {
    if (!(error instanceof Violation)) throw error;
    violation = error;
  }
  const settledMs = settledAt - faultsEndAt;
  return { violation, settledMs, steps, lines: cluster.lines };
}

function waitUntilSettled(
  cluster: SimulatedCluster,
  runUntil: (end: number) => void,
): number {
  const start = cluster.scheduler.now;
  let since: number | undefined;
  let reason: string | undefined;
  while (cluster.scheduler.now - start < SETTLE_LIMIT_MS) {
    runUntil(cluster.scheduler.now + CHECK_INTERVAL_MS);
    reason = cluster.findUnsettledReason();
    if (reason !== undefined) since = undefined;
    else since ??= cluster.scheduler.now;
    if (since !== undefined && cluster.scheduler.now - since >= STABLE_MS) {
      return since;
    }
  }
  throw new Violation("served again in time", reason ?? "not for long enough");
}

/** Removes faults one at a time while the same invariant is still violated. */
export function shrinkSchedule(schedule: Schedule): Schedule {
  const invariant = runSchedule(schedule).violation?.invariant;
  let best = schedule;
  for (let i = 0; i < best.faults.length;) {
    const faults = best.faults.filter((_, at) => at !== i);
    const trial = { ...best, faults };
    if (runSchedule(trial).violation?.invariant === invariant) best = trial;
    else i += 1;
  }
  return best;
}

/**
 * Formats the failure of a schedule, shrunk, with the command that reproduces
 * it.
 */
export function describeFailure(schedule: Schedule): string {
  const minimal = shrinkSchedule(schedule);
  const { violation, lines } = runSchedule(minimal);
  const { seed, checksOwner, routersPerZone, serversPerZone } = schedule;
  return [
    `seed ${seed}: ${violation?.message}`,
    `checksOwner ${checksOwner}, ${routersPerZone} routers and ` +
    `${serversPerZone} servers per zone`,
    `${minimal.faults.length} of ${schedule.faults.length} faults remain:`,
    ...minimal.faults.map((f) => JSON.stringify(f)),
    ...lines.slice(-TRACE_TAIL_LINES),
    `reproduce with MODEL_MIX=${schedule.mix} MODEL_SEED=${seed} MODEL_RUNS=1`,
  ].join("\n");
}
