/** Cluster state and metrics for the operator interface. @module */
import type { VmId } from "@jaytiller/model";
import { VmKind } from "@jaytiller/model";
import { formatRoute, type MetricInput, type StateInput } from "@jaytiller/rpc";
import type { Groups } from "./groups.js";
import type { LogTail } from "./log_tail.js";
import type { LatencySummary, MetricsSummary } from "./metrics.js";
import type { Peers } from "./peers.js";
import type { VmListPoller } from "./vm_list_poller.js";

/** Sources of the state description. */
export interface StateSources {
  readonly node: { id: VmId; zone: string };
  readonly tail: LogTail;
  readonly vms: VmListPoller;
  readonly peers: Peers;
  readonly groups: Groups;
  /** Monotonic ms. */
  readonly now: number;
}

/** Returns the cluster state as this router sees it. */
export function describeState(from: StateSources): StateInput {
  const { state } = from.tail;
  return {
    node: from.node.id,
    zone: from.node.zone,
    position: state.position,
    logFresh: from.tail.isFresh,
    routes: state.listRoutes().map((route) => ({
      route: formatRoute(route),
      version: state.getVersion(`route/${route.service}`),
    })),
    groups: from.groups.listViews().map((v) => ({
      ...v,
      term: state.getClaim(v.group)?.term ?? -1,
    })),
    servers: listServers(from),
    assignments: state.listAssignments(),
    poison: state.listPoison(),
    routers: listRouters(from),
    drained: state.listDrained(),
    confirmedLost: from.vms.vms.map((v) => v.id).filter((v) => state.isLost(v)),
  };
}

function listServers(from: StateSources): StateInput["servers"] {
  const { state } = from.tail;
  const units = new Map<VmId, number>();
  for (const { service } of state.listRoutes()) {
    for (const owner of state.listOwners(service).values()) {
      units.set(owner.server, (units.get(owner.server) ?? 0) + 1);
    }
  }
  const suspected = new Set(
    from.groups.listHolders().flatMap((h) => h.describeServers(from.now))
      .filter((s) => s.suspected).map((s) => s.id),
  );
  return from.vms.vms.filter((v) => v.kind === VmKind.Backend).map((v) => ({
    id: v.id,
    service: v.service ?? "",
    zone: v.zone,
    url: v.url,
    state: v.state,
    units: units.get(v.id) ?? 0,
    drained: state.isDrained(v.id),
    suspected: suspected.has(v.id),
  }));
}

function listRouters(from: StateSources): StateInput["routers"] {
  const positions = from.peers.listPositions();
  return from.vms.listEntryVms().map((v) => {
    const own = v.id === from.node.id;
    const heard = positions.get(v.id);
    return {
      id: v.id,
      zone: v.zone,
      position: own ? from.tail.state.position : heard?.position ?? 0,
      lastHeardMs: own ? Date.now() : heard?.atMs ?? 0,
      operatorAddress: v.operatorAddress ?? "",
    };
  });
}

/** Returns the metrics as named values. */
export function listMetrics(summary: MetricsSummary): MetricInput[] {
  return [
    ...Object.entries(summary.outcomes).map(([outcome, value]) => ({
      name: "requests_total",
      labels: { outcome },
      value,
    })),
    ...listLatency("request_latency_ms", summary.requests),
    ...listLatency("server_latency_ms", summary.server),
    { name: "process_cpu_ms", value: summary.cpuMs },
    { name: "process_rss_bytes", value: summary.rssBytes },
    { name: "process_uptime_ms", value: summary.uptimeMs },
  ];
}

function listLatency(name: string, latency: LatencySummary): MetricInput[] {
  return [
    { name, labels: { quantile: "0.5" }, value: latency.p50Ms },
    { name, labels: { quantile: "0.99" }, value: latency.p99Ms },
    { name, labels: { quantile: "1" }, value: latency.maxMs },
  ];
}
