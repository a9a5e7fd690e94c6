/** What heartbeats and their replies carry about cold servers. @module */
import {
  readArray,
  readBoolean,
  readInteger,
  readNumber,
  readString,
} from "@jaytiller/kernel";
import type { RestartReport } from "@jaytiller/placement";
import type { ClusterState } from "./cluster_state.js";
import type { ColdPermitService } from "./cold_permit_service.js";
import { readOptional } from "./optional_fields.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Most reports in one message; the newest come first. */
const MAX_REPORTS = 64;

/** A connection that a run of a server refused or reset `ageMs` ago, ms. */
export type RestartItem = readonly [
  server: string,
  born: number,
  ageMs: number,
];

interface RestartFields {
  /** Servers that may have restarted; absent if there are none. */
  readonly restarts?: readonly RestartItem[];
}

/** Fields of a heartbeat; older builds omit them. */
export interface ColdBeatFields extends RestartFields {
  /** Whether to use permits for cold servers instead of time slots. */
  readonly coldPermits?: boolean;
}

/** Fields of a reply; older builds omit them. */
export interface ColdReplyFields extends RestartFields {
  /** Whether this heartbeat made the router use permits. */
  readonly coldPermits?: boolean;
}

/** This router's view of cold servers. */
interface ColdView {
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
}

/** Makes the fields of heartbeats. */
export function makeColdBeat(
  { coldPermits, ...view }: ColdView & { coldPermits: ColdPermitService },
  nowMs: number,
): ColdBeatFields {
  return {
    ...(coldPermits.isUseful ? { coldPermits: true } : {}),
    ...makeRestarts(view, view.stats.cold.listReports(nowMs)),
  };
}

/** Makes the fields of a reply. */
export function makeColdReply(
  view: ColdView,
  { coldPermits, nowMs }: { coldPermits: boolean; nowMs: number },
): ColdReplyFields {
  const reports = view.stats.cold.takeReports(nowMs);
  return { coldPermits, ...makeRestarts(view, reports) };
}

/** Applies the fields of a heartbeat that is followed. */
export function applyColdBeat(
  { coldPermits, restarts }: ColdBeatFields,
  { stats, nowMs }: { stats: TrafficStats; nowMs: number },
): void {
  if (coldPermits) stats.permitMode.confirm(nowMs);
  applyRestarts(restarts, { stats, nowMs });
}

/** Applies reports of restarts. */
export function applyRestarts(
  restarts: readonly RestartItem[] = [],
  { stats, nowMs }: { stats: TrafficStats; nowMs: number },
): void {
  const reports = restarts.map(([id, born, ageMs]) => ({ id, born, ageMs }));
  stats.cold.recordReports(reports, nowMs);
}

/** Makes the field of reports on services whose servers start cold. */
function makeRestarts(
  { cluster }: ColdView,
  reports: readonly RestartReport[],
): RestartFields {
  const restarts = reports.filter(({ id }) => {
    const service = cluster.servers.find(id)?.service;
    return service !== undefined &&
      cluster.routes?.findService(service)?.coldStartMs !== undefined;
  }).slice(0, MAX_REPORTS).map((
    { id, born, ageMs },
  ): RestartItem => [id, born, Math.max(0, Math.round(ageMs))]);
  return restarts.length > 0 ? { restarts } : {};
}

/** Names of the fields; malformed ones count as absent. */
export const COLD_FIELDS: readonly string[] = ["coldPermits", "restarts"];

/** Returns a value, or throws a `FieldError` that names its path. */
type FieldReader<T> = (value: unknown, path: string) => T;

/** Checks the fields of a heartbeat or a reply. Adds problems to `malformed`. */
export function decodeColdFields(
  message: Readonly<Record<string, unknown>>,
  malformed: string[],
): ColdBeatFields & ColdReplyFields {
  const read = <T>(name: string, readValue: FieldReader<T>) =>
    message[name] === undefined
      ? undefined
      : readOptional(() => readValue(message[name], name), malformed);
  const coldPermits = read("coldPermits", readBoolean);
  const restarts = read("restarts", readRestarts);
  return {
    ...(coldPermits === undefined ? {} : { coldPermits }),
    ...(restarts === undefined ? {} : { restarts }),
  };
}

function readRestarts(value: unknown, path: string): readonly RestartItem[] {
  return readArray(value, path).slice(0, MAX_REPORTS).map((item) => {
    const [server, born, ageMs] = readArray(item, path);
    return [
      readString(server, `${path}.server`),
      readInteger(born, `${path}.born`),
      readNumber(ageMs, `${path}.ageMs`),
    ] as const;
  });
}
