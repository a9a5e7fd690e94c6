/** Evacuations in reads, messages, the log and the metrics. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { EvacuationSet } from "@jaytiller/routing";
import type { ClusterState } from "./cluster_state.js";
import type { Heartbeat } from "./peer_messages.js";

type EvacuationFields = Pick<
  Heartbeat,
  "operatorPosition" | "evacuated" | "returned"
>;

/** Changes the evacuations, and logs the zones for which they differ. */
export function updateEvacuations(
  cluster: ClusterState,
  { log, source, nowMs, change }: {
    log: EventLog;
    source: "store" | "coordinator";
    nowMs: number;
    change: (set: EvacuationSet) => EvacuationSet;
  },
): void {
  const older = cluster.evacuations;
  const newer = change(older);
  if (newer === older) return;
  cluster.setEvacuations(newer);
  for (const { zone, offset, learnedMs } of newer.list()) {
    if (older.find(zone)) continue;
    log.record("evacuation", {
      zone,
      isEvacuated: true,
      offset,
      source,
      ageMs: Math.round(nowMs - learnedMs),
    });
  }
  for (const { zone, learnedMs } of older.list()) {
    if (newer.find(zone)) continue;
    log.record("evacuation", {
      zone,
      isEvacuated: false,
      position: newer.position,
      source,
      ageMs: Math.round(nowMs - learnedMs),
    });
  }
}

/** Applies the evacuations of a heartbeat, unless they are older. */
export function applyEvacuatedZones(
  { operatorPosition, evacuated = [], returned = [] }: EvacuationFields,
  { cluster, log, nowMs }: {
    cluster: ClusterState;
    log: EventLog;
    nowMs: number;
  },
): void {
  if (operatorPosition === undefined) return;
  const state = {
    evacuated: evacuated.map(({ zone, offset, sinceMs }) => ({
      zone,
      offset,
      learnedMs: nowMs - sinceMs,
    })),
    returned: returned.map(({ zone, sinceMs }) => ({
      zone,
      atMs: nowMs - sinceMs,
    })),
  };
  updateEvacuations(cluster, {
    log,
    source: "coordinator",
    nowMs,
    change: (set) =>
      set.replace(state, {
        position: operatorPosition,
        nowMs,
        earliestMs: cluster.routesConfirmedAt,
      }),
  });
}

/** Returns the evacuations as a heartbeat carries them. */
export function describeEvacuations(
  set: EvacuationSet,
  nowMs: number,
): EvacuationFields {
  if (!set.hasPosition) return {};
  const computeAge = (ms: number) => Math.max(0, Math.round(nowMs - ms));
  const evacuated = set.list().map(({ zone, offset, learnedMs }) => ({
    zone,
    offset,
    sinceMs: computeAge(learnedMs),
  }));
  const returned = set.listReturned(nowMs).map(({ zone, atMs }) => ({
    zone,
    sinceMs: computeAge(atMs),
  }));
  return {
    operatorPosition: set.position,
    ...(evacuated.length > 0 ? { evacuated } : {}),
    ...(returned.length > 0 ? { returned } : {}),
  };
}

/** Formats state, progress and age of the evacuations as metrics. */
export function formatEvacuations(
  cluster: ClusterState,
  nowMs: number,
): string {
  const { evacuations } = cluster;
  const lines = evacuations.list().flatMap(({ zone, learnedMs }) => {
    const label = `{zone=${JSON.stringify(zone)}}`;
    const ageS = (nowMs - learnedMs) / 1000;
    const owners = countOwners(cluster, zone);
    return [
      `jaytiller_evacuation_age_seconds${label} ${ageS}\n`,
      `jaytiller_evacuation_owners${label} ${owners}\n`,
    ];
  });
  const count = evacuations.list().length;
  return `jaytiller_evacuated_zones ${count}\n` + lines.join("");
}

/** Counts the servers of a zone that still own keys. */
function countOwners({ owners, servers }: ClusterState, zone: string): number {
  const ids = new Set(
    [...owners.values()].flatMap((t) => t.list()).map((r) => r.server),
  );
  return servers.list().filter((e) => e.zone === zone && ids.has(e.id)).length;
}
