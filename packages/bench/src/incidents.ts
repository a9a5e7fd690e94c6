/** Kills and drains backend servers during a run. @module */
import { computeShard, type UnitId } from "@jaytiller/model";
import type { BackendHandle, Fleet, ServiceSpec } from "@jaytiller/standins";
import { setTimeout as delay } from "node:timers/promises";
import { readState } from "./bench_fleet.js";
import {
  ClientOutcome,
  makeAgent,
  sendTimedRequest,
} from "./open_loop_client.js";
import { getRule } from "./plan.js";

const PROBE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 10_000;
/** Limits the probed units per kill, so that probes add little load. */
const MAX_PROBED_UNITS = 8;
const MAX_KEY_ATTEMPTS = 1_000_000;

/** Kinds of incidents. */
export enum IncidentKind {
  /** SIGKILL without a restart. */
  Kill = "kill",
  /** Marks the server as leaving in the VM list. */
  Drain = "drain",
}

/** A planned incident at `atMs`, in ms from the start of the run. */
export interface Incident {
  readonly kind: IncidentKind;
  readonly atMs: number;
}

/** An incident that has been executed. */
export interface IncidentRecord {
  readonly kind: IncidentKind;
  readonly server: string;
  readonly service: string;
  /** Time from the start of the run, in ms. */
  readonly atMs: number;
  /** Units that the server owned at that time. */
  readonly units: readonly UnitId[];
  /** Time from a kill to the end of the first answered probe in ms, by unit. */
  readonly probes: ReadonlyMap<UnitId, number>;
}

/** The fields of an answered request that unavailability is computed from. */
export interface AnsweredRequest {
  readonly unit: UnitId;
  /** Intended time and end of the response, in ms from the start of the run. */
  readonly sentMs: number;
  readonly endMs: number;
}

/** Statistics of the time for which units were not served after a kill. */
export interface Unavailability {
  readonly units: number;
  /** Number of units for which a later request or probe was answered. */
  readonly served: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Computes the nearest-rank percentile; NaN if there are no values. */
export function computePercentile(
  values: readonly number[],
  percent: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(sorted.length * percent / 100);
  return sorted[Math.max(0, rank - 1)] ?? NaN;
}

/**
 * Computes the time from a kill to the end of the next answered request of each
 * unit. Requests that were sent before the kill do not count, because the
 * killed server itself may have answered them.
 */
export function computeUnavailability(
  kill: Pick<IncidentRecord, "atMs" | "units" | "probes">,
  answered: readonly AnsweredRequest[],
): Unavailability {
  const recoveryTimes = new Map(kill.probes);
  const units = new Set(kill.units);
  for (const { unit, sentMs, endMs } of answered) {
    if (!units.has(unit) || sentMs < kill.atMs) continue;
    const ms = endMs - kill.atMs;
    if (ms < (recoveryTimes.get(unit) ?? Infinity)) recoveryTimes.set(unit, ms);
  }
  const times = [...recoveryTimes.values()];
  return {
    units: kill.units.length,
    served: times.length,
    p50Ms: computePercentile(times, 50),
    p99Ms: computePercentile(times, 99),
    maxMs: computePercentile(times, 100),
  };
}

function findKey(unit: UnitId, shards: number): string {
  for (let i = 0; i < MAX_KEY_ATTEMPTS; i++) {
    const key = `probe-${i}`;
    if (computeShard(key, shards) === unit) return key;
  }
  throw new Error(`Unit ${unit}: No key found among ${shards} shards.`);
}

async function measureRecovery(
  fleet: Fleet,
  at: { service: ServiceSpec; unit: UnitId; sinceMs: number },
): Promise<number | undefined> {
  const { service, unit, sinceMs } = at;
  const rule = getRule(service);
  const key = findKey(unit, service.shards);
  const agent = makeAgent(8);
  const stopProbing = new AbortController();
  let recoveryMs: number | undefined;
  const open: Promise<void>[] = [];
  const endMs = sinceMs + PROBE_TIMEOUT_MS;
  while (recoveryMs === undefined && performance.now() < endMs) {
    const entry = fleet.entries[open.length % fleet.entries.length]!;
    const url = `${entry.callerUrl}${service.pathPrefix}/${key}?ms=1`;
    const task = sendTimedRequest({
      dueMs: performance.now(),
      url,
      method: rule.methods[0] ?? "GET",
      deadlineMs: Math.min(rule.deadlineMs, 2000),
      needsIdempotencyKey: !rule.idempotent,
    }, agent).then(({ outcome, endMs: at }) => {
      if (outcome !== ClientOutcome.InTime || recoveryMs !== undefined) return;
      recoveryMs = at - sinceMs;
      stopProbing.abort();
    });
    open.push(task);
    await delay(PROBE_INTERVAL_MS, undefined, { signal: stopProbing.signal })
      .catch(() => {});
  }
  await Promise.all(open);
  agent.destroy();
  return recoveryMs;
}

/** Executes incidents and records their effects. */
export class IncidentRunner {
  readonly #fleet: Fleet;
  readonly #originMs: number;
  readonly #affected = new Set<string>();
  readonly records: IncidentRecord[] = [];
  #groups = 0;

  constructor(fleet: Fleet, originMs: number) {
    this.#fleet = fleet;
    this.#originMs = originMs;
  }

  /**
   * Selects a server of the next group, round robin, that still has another
   * unaffected server.
   */
  #findTarget(): BackendHandle | undefined {
    const { services, zones } = this.#fleet.options;
    const count = services.length * zones.length;
    for (let i = 0; i < count; i++) {
      const service = services[this.#groups % services.length]!;
      const zone = zones[
        Math.floor(this.#groups / services.length) % zones.length
      ]!;
      this.#groups += 1;
      const live = this.#fleet.backends.filter((b) =>
        b.service.name === service.name && b.zone === zone &&
        !this.#affected.has(b.id)
      );
      if (live.length > 1) return live[live.length - 1];
    }
    return undefined;
  }

  async #run({ kind, atMs }: Incident): Promise<void> {
    await delay(Math.max(0, this.#originMs + atMs - performance.now()));
    const target = this.#findTarget();
    if (!target) {
      console.error(`${kind} at ${atMs} ms: No group has two live servers.`);
      return;
    }
    this.#affected.add(target.id);
    const { service } = target;
    const state = await readState(this.#fleet);
    const units = [...state.listOwners(service.name)]
      .filter(([, owner]) => owner.server === target.id).map(([u]) => u);
    const sinceMs = performance.now();
    const probes = kind === IncidentKind.Kill
      ? await this.#kill(target, units)
      : await this.#drain(target);
    this.records.push({
      kind,
      server: target.id,
      service: service.name,
      atMs: sinceMs - this.#originMs,
      units,
      probes,
    });
  }

  async #kill(target: BackendHandle, units: readonly UnitId[]) {
    const sinceMs = performance.now();
    target.child.kill("SIGKILL");
    const { service } = target;
    const probedUnits = units.slice(0, MAX_PROBED_UNITS);
    const times = await Promise.all(
      probedUnits.map((unit) =>
        measureRecovery(this.#fleet, { service, unit, sinceMs })
      ),
    );
    return new Map(
      probedUnits.flatMap((unit, i) => {
        const ms = times[i];
        return ms === undefined ? [] : [[unit, ms] as const];
      }),
    );
  }

  async #drain(target: BackendHandle) {
    await this.#fleet.changeVmList({ leaving: target.id });
    return new Map<UnitId, number>();
  }

  /** Executes all incidents at their times and waits for their probes. */
  async run(incidents: readonly Incident[]): Promise<void> {
    await Promise.all(incidents.map((i) => this.#run(i)));
  }
}
