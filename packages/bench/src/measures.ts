/** Computes the measures of a load run. @module */
import {
  computeShard,
  type ExecutionRecord,
  type LogEntry,
  type ServiceName,
} from "@jaytiller/model";
import type { ServiceSpec } from "@jaytiller/standins";
import { ClusterState } from "@jaytiller/state";
import { build } from "hdr-histogram-js";
import type { Phase } from "./arrivals.js";
import { ClientOutcome } from "./open_loop_client.js";

const MAX_LATENCY_US = 120_000_000;

/** A request of a run and its outcome; times in ms from the start. */
export interface Sample {
  readonly service: ServiceName;
  readonly phase: Phase;
  readonly key: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly latencyMs: number;
  readonly outcome: ClientOutcome;
  /** Reason of a refusal or an error code; empty if answered. */
  readonly cause: string;
}

/** Counts the unanswered requests by outcome and cause. */
export function countCauses(
  samples: readonly Sample[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const sample of samples) {
    if (isAnswered(sample)) continue;
    const name = `${sample.outcome} ${sample.cause}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Latency percentiles and maximum in ms; 0 if there are no values. */
export interface Latency {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Summary of the requests of one service in one phase. */
export interface PhaseRow extends Latency {
  readonly service: ServiceName;
  readonly phase: Phase;
  readonly offered: number;
  readonly endings: Readonly<Record<ClientOutcome, number>>;
}

/** Computes percentiles of latencies in ms with a histogram. */
export function computeLatency(values: readonly number[]): Latency {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  for (const ms of values) {
    const us = Math.round(ms * 1000);
    histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, us)));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
    maxMs: values.length === 0 ? 0 : histogram.maxValue / 1000,
  };
}

/** Returns whether the request was answered, in time or late. */
export function isAnswered(sample: Pick<Sample, "outcome">): boolean {
  return sample.outcome === ClientOutcome.InTime ||
    sample.outcome === ClientOutcome.Late;
}

/** Summarizes one service and phase. Latencies are of answered requests. */
export function makePhaseRow(
  samples: readonly Sample[],
  at: { service: ServiceName; phase: Phase },
): PhaseRow {
  const selected = samples.filter((s) =>
    s.service === at.service && s.phase === at.phase
  );
  const counts = Object.values(ClientOutcome).map((e) =>
    [e, selected.filter((s) => s.outcome === e).length] as const
  );
  return {
    ...at,
    offered: selected.length,
    endings: Object.fromEntries(counts) as Record<ClientOutcome, number>,
    ...computeLatency(selected.filter(isAnswered).map((s) => s.latencyMs)),
  };
}

/** A server and the time at which it leaves its group. */
export interface GroupMember {
  readonly server: string;
  readonly group: string;
  /** Unix time in ms; `Infinity` if the server stays. */
  readonly untilMs: number;
}

/** Imbalance between the servers of a group in one time window. */
export interface ImbalanceWindow {
  readonly group: string;
  readonly fromMs: number;
  /** Busy time of the busiest server divided by the mean busy time. */
  readonly ratio: number;
}

/**
 * Computes the imbalance of each group and window from execution records. A
 * server is counted in a window only if it is a member until the window ends.
 * Windows without work or with fewer than two members are omitted.
 */
export function computeImbalance(
  records: readonly ExecutionRecord[],
  span: {
    members: readonly GroupMember[];
    fromMs: number;
    toMs: number;
    windowMs: number;
  },
): ImbalanceWindow[] {
  const { members, windowMs } = span;
  const groups = [...new Set(members.map((m) => m.group))];
  const windows: ImbalanceWindow[] = [];
  for (let from = span.fromMs; from + windowMs <= span.toMs; from += windowMs) {
    const busyMs = new Map<string, number>();
    for (const { server, startMs, endMs } of records) {
      const end = Math.min(endMs ?? startMs, from + windowMs);
      const ms = end - Math.max(startMs, from);
      if (ms > 0) busyMs.set(server, (busyMs.get(server) ?? 0) + ms);
    }
    for (const group of groups) {
      const times = members
        .filter((m) => m.group === group && m.untilMs >= from + windowMs)
        .map((m) => busyMs.get(m.server) ?? 0);
      const total = times.reduce((a, b) => a + b, 0);
      if (times.length < 2 || total === 0) continue;
      const ratio = Math.max(...times) * times.length / total;
      windows.push({ group, fromMs: from - span.fromMs, ratio });
    }
  }
  return windows;
}

/** Number of units and keys of a service that moved to another owner. */
export interface MoveCount {
  readonly service: ServiceName;
  readonly units: number;
  /** Keys of the run in these units; each move of a key is counted. */
  readonly keys: number;
}

/** Counts the moves that took effect at or after log offset `run.from`. */
export function countMoves(
  entries: readonly LogEntry[],
  run: { from: number; services: readonly ServiceSpec[]; keys: number },
): MoveCount[] {
  const moved = new Map<string, string[]>();
  let state = ClusterState.empty;
  for (const entry of entries) {
    const applied = state.apply(entry);
    state = applied.state;
    if (entry.offset < run.from) continue;
    for (const { service, unit, from } of applied.effect.moves ?? []) {
      if (from === null) continue;
      moved.set(service, [...moved.get(service) ?? [], unit]);
    }
  }
  return run.services.map(({ name, shards }) => {
    const keysByUnit = new Map<string, number>();
    for (let i = 0; i < run.keys; i++) {
      const unit = computeShard(`key-${i}`, shards);
      keysByUnit.set(unit, (keysByUnit.get(unit) ?? 0) + 1);
    }
    const units = moved.get(name) ?? [];
    // A unit whose id starts with `k:` consists of a single key.
    const keys = units.map((u) =>
      u.startsWith("k:") ? 1 : keysByUnit.get(u) ?? 0
    )
      .reduce((a, b) => a + b, 0);
    return { service: name, units: units.length, keys };
  });
}
