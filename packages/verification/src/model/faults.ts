/** Kinds of faults, and how each one is injected and reverted. @module */
import {
  hashString,
  RecordKind,
  type UnitId,
  VmKind,
  VmState,
} from "@jaytiller/model";
import { KEYS, SERVICE, SHARDS } from "./environment.js";
import { LOG } from "./log_service.js";
import { describeVm, type SimulatedCluster } from "./simulated_cluster.js";

/** Kinds of injected faults and operator changes. */
export enum FaultKind {
  CutPair = "cutPair",
  CutOneWay = "cutOneWay",
  Isolate = "isolate",
  SlowPair = "slowPair",
  SlowNode = "slowNode",
  LogCut = "logCut",
  LogSlow = "logSlow",
  LogDown = "logDown",
  AppendFaults = "appendFaults",
  Pause = "pause",
  Kill = "kill",
  ListLag = "listLag",
  ListDown = "listDown",
  StopRouter = "stopRouter",
  Drain = "drain",
  Leave = "leave",
  Assign = "assign",
  /**
   * Partitions the nodes and the log in two; a hash with `n` assigns the sides.
   */
  Split = "split",
}

/**
 * A scheduled fault. `a` and `b` name nodes, or roles such as `holder:za` that
 * are resolved when the fault is injected.
 */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  readonly a: string;
  readonly b: string;
  /** Parameter whose meaning depends on the kind, 0 to 999. */
  readonly n: number;
}

/** Injects a fault and returns a function that reverts it. */
type FaultHandler = (cluster: SimulatedCluster, fault: Fault) => () => void;

const noop = () => {};

/**
 * Resolves `holder:<zone>` and `owner:<shard>` to the node in that role now.
 */
function resolveNode(cluster: SimulatedCluster, name: string): string {
  const [role, argument] = name.split(":");
  if (role === "holder") {
    return cluster.findHolder(argument!) ?? `${argument}-r0`;
  }
  if (role === "owner") {
    const unit: UnitId = `s:${Number(argument)}`;
    const owner = cluster.checker.state.getOwner(SERVICE, unit);
    return owner?.server ?? cluster.serverIds[0]!;
  }
  return name;
}

function cut(
  cluster: SimulatedCluster,
  pairs: readonly [string, string][],
): () => void {
  for (const [a, b] of pairs) cluster.network.changeCut(a, b, 1);
  return () => {
    for (const [a, b] of pairs) cluster.network.changeCut(a, b, -1);
  };
}

function delayLinks(
  cluster: SimulatedCluster,
  pairs: readonly [string, string][],
  ms: number,
): () => void {
  for (const [a, b] of pairs) cluster.network.changeDelay(a, b, ms);
  return () => {
    for (const [a, b] of pairs) cluster.network.changeDelay(a, b, -ms);
  };
}

function listLinksOf(
  cluster: SimulatedCluster,
  id: string,
): [string, string][] {
  return [...cluster.routerIds, ...cluster.serverIds, LOG]
    .filter((other) => other !== id)
    .flatMap((other): [string, string][] => [[id, other], [other, id]]);
}

function resolveBoth(
  cluster: SimulatedCluster,
  { a, b }: Fault,
): [string, string] {
  return [resolveNode(cluster, a), resolveNode(cluster, b)];
}

function chooseRouterId(cluster: SimulatedCluster, fault: Fault): string {
  const id = resolveNode(cluster, fault.a);
  return cluster.routerIds.includes(id)
    ? id
    : cluster.routerIds[fault.n % cluster.routerIds.length]!;
}

function chooseServerId(cluster: SimulatedCluster, fault: Fault): string {
  const id = resolveNode(cluster, fault.b);
  return cluster.serverIds.includes(id)
    ? id
    : cluster.serverIds[fault.n % cluster.serverIds.length]!;
}

/**
 * Restarts a killed VM, which may have been dropped from the VM list meanwhile.
 */
function restartVm(cluster: SimulatedCluster, id: string) {
  if (cluster.getProcess(id).alive) return;
  if (cluster.routerIds.includes(id)) cluster.startRouter(id);
  else cluster.startServer(id);
}

function setDrained(
  cluster: SimulatedCluster,
  server: string,
  drained: boolean,
) {
  const expectVersion = cluster.checker.state.getVersion(`server/${server}`);
  cluster.append({
    kind: drained ? RecordKind.Drain : RecordKind.Undrain,
    change: { operator: "op", reason: "test", expectVersion },
    server,
  });
}

function assign(cluster: SimulatedCluster, fault: Fault): () => void {
  const unit: UnitId = fault.n % 2 === 0
    ? `k:${KEYS[fault.n % KEYS.length]}`
    : `s:${fault.n % SHARDS}`;
  const change = () => ({
    operator: "op",
    reason: "test",
    expectVersion: cluster.checker.state.getVersion(`unit/${SERVICE}/${unit}`),
  });
  cluster.append({
    kind: RecordKind.Assign,
    change: change(),
    service: SERVICE,
    unit,
    server: chooseServerId(cluster, fault),
  });
  return () =>
    cluster.append({
      kind: RecordKind.Unassign,
      change: change(),
      service: SERVICE,
      unit,
    });
}

const HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  [FaultKind.CutPair]: (cluster, fault) => {
    const [a, b] = resolveBoth(cluster, fault);
    return cut(cluster, [[a, b], [b, a]]);
  },
  [FaultKind.CutOneWay]: (cluster, fault) =>
    cut(cluster, [resolveBoth(cluster, fault)]),
  [FaultKind.Isolate]: (cluster, fault) =>
    cut(cluster, listLinksOf(cluster, resolveNode(cluster, fault.a))),
  [FaultKind.SlowPair]: (cluster, fault) => {
    const [a, b] = resolveBoth(cluster, fault);
    return delayLinks(cluster, [[a, b], [b, a]], fault.n);
  },
  [FaultKind.SlowNode]: (cluster, fault) =>
    delayLinks(
      cluster,
      listLinksOf(cluster, resolveNode(cluster, fault.a)),
      fault.n,
    ),
  [FaultKind.LogCut]: (cluster, fault) => {
    const id = chooseRouterId(cluster, fault);
    return cut(cluster, [[id, LOG], [LOG, id]]);
  },
  [FaultKind.LogSlow]: (cluster, fault) => {
    const id = chooseRouterId(cluster, fault);
    return delayLinks(cluster, [[id, LOG], [LOG, id]], 2 * fault.n);
  },
  [FaultKind.LogDown]: (cluster) => {
    cluster.log.outages += 1;
    return () => cluster.log.outages -= 1;
  },
  [FaultKind.AppendFaults]: (cluster, fault) => {
    cluster.log.appendFaultProbability = 0.3 + fault.n / 2_000;
    return () => cluster.log.appendFaultProbability = 0;
  },
  [FaultKind.Pause]: (cluster, fault) => {
    const process = cluster.getProcess(resolveNode(cluster, fault.a));
    process.pause();
    return () => process.resume();
  },
  [FaultKind.Kill]: (cluster, fault) => {
    const id = resolveNode(cluster, fault.a);
    cluster.getProcess(id).kill();
    const dropAfter = fault.n * 3;
    if (dropAfter < fault.forMs) {
      cluster.scheduler.schedule(dropAfter, () => {
        if (!cluster.getProcess(id).alive) cluster.vms.delete(id);
      });
    }
    return () => restartVm(cluster, id);
  },
  [FaultKind.ListLag]: (cluster, fault) => {
    cluster.vms.lagMs = 3 * fault.n;
    return () => cluster.vms.lagMs = 0;
  },
  [FaultKind.ListDown]: (cluster) => {
    cluster.vms.outages += 1;
    return () => cluster.vms.outages -= 1;
  },
  [FaultKind.StopRouter]: (cluster, fault) => {
    const id = chooseRouterId(cluster, fault);
    const router = cluster.getRouter(id);
    if (!router.process.alive) return noop;
    router.stop(() => router.process.kill());
    return () => {
      router.process.kill();
      restartVm(cluster, id);
    };
  },
  [FaultKind.Drain]: (cluster, fault) => {
    const id = chooseServerId(cluster, fault);
    setDrained(cluster, id, true);
    return () => setDrained(cluster, id, false);
  },
  [FaultKind.Leave]: (cluster, fault) => {
    const id = chooseServerId(cluster, fault);
    if (!cluster.getProcess(id).alive) return noop;
    cluster.vms.put(describeVm(id, VmKind.Backend, VmState.Leaving));
    return () => {
      if (cluster.getProcess(id).alive) {
        cluster.vms.put(describeVm(id, VmKind.Backend));
      }
    };
  },
  [FaultKind.Assign]: assign,
  [FaultKind.Split]: (cluster, { n }) => {
    const nodes = [...cluster.routerIds, ...cluster.serverIds, LOG];
    const isLeft = (id: string) => hashString(`${n}/${id}`) % 2 === 0;
    const pairs = nodes.filter(isLeft).flatMap((a) =>
      nodes.filter((b) => !isLeft(b))
        .flatMap((b): [string, string][] => [[a, b], [b, a]])
    );
    return cut(cluster, pairs);
  },
};

/** Injects a fault and returns a function that reverts it. */
export function injectFault(
  cluster: SimulatedCluster,
  fault: Fault,
): () => void {
  const a = resolveNode(cluster, fault.a);
  const b = resolveNode(cluster, fault.b);
  cluster.trace(
    `fault ${fault.kind} a=${a} b=${b} n=${fault.n} for ${fault.forMs} ms`,
  );
  const end = HANDLERS[fault.kind](cluster, fault);
  return () => {
    cluster.trace(`end of ${fault.kind} a=${a} b=${b}`);
    end();
  };
}
