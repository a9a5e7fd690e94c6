/** Options and run-time control of a backend server. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** Behaviour that `POST /control` can change at run time. */
export interface BackendBehaviour {
  /** Does the server check token, unit and lease of requests? */
  checks: boolean;
  slots: number;
  /** Connections above this number are destroyed. */
  connections: number;
  /** Delay of the first request of a connection, in ms. */
  connectMs: number;
  /** Time of work without `?ms=`, in ms. */
  serviceMs: number;
  /** Reports that it is draining; refuses new work after `drainMs`. */
  draining: boolean;
  drainMs: number;
  /** After the start, work takes `coldFactor` times as long for `coldMs`. */
  coldMs: number;
  coldFactor: number;
  /** Share of work that is refused, 0 to 1. */
  shed: number;
  /** Load that is reported in place of the true one; -1 for the true one. */
  reportLoad: number;
  /** Health that `GET /health` reports. */
  reportHealthy: boolean;
  /** Pause after each chunk of an uploaded body, in ms. */
  readPauseMs: number;
  /** The next n requests do not run and are never answered. */
  hang: number;
  /** The next n requests run and are never answered. */
  loseAnswers: number;
  /** The next n answers are cut off in the middle. */
  truncate: number;
  /** The next n answers stop in the middle; the connection stays open. */
  stall: number;
  /** The next n answers are sent twice on their connection. */
  duplicate: number;
  /** The next n answers are sent `lateMs` after the effect. */
  late: number;
  lateMs: number;
  /** The next n answers carry the identifier of another request. */
  wrongRequestId: number;
}

/** Options of a backend server process. */
export interface BackendOptions extends BackendBehaviour {
  readonly host: string;
  readonly port: number;
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Journal file of the executions; in memory if empty. */
  readonly recordsFile: string;
  /** Seed of the shedding choice. */
  readonly seed: number;
}

/** Defaults of a backend server. */
export const BACKEND_DEFAULTS: BackendOptions = {
  host: "127.0.0.1",
  port: 0,
  id: "backend",
  service: "service",
  zone: "zone",
  recordsFile: "",
  seed: 1,
  checks: true,
  slots: 3,
  connections: 130,
  connectMs: 0,
  serviceMs: 2,
  draining: false,
  drainMs: 3000,
  coldMs: 0,
  coldFactor: 5,
  shed: 0,
  reportLoad: -1,
  reportHealthy: true,
  readPauseMs: 0,
  hang: 0,
  loseAnswers: 0,
  truncate: 0,
  stall: 0,
  duplicate: 0,
  late: 0,
  lateMs: 1000,
  wrongRequestId: 0,
};

/** Faults that apply to the next n requests or answers. */
export type CountedFault =
  | "hang"
  | "loseAnswers"
  | "truncate"
  | "stall"
  | "duplicate"
  | "late"
  | "wrongRequestId";

const FIXED = ["host", "port", "id", "service", "zone", "recordsFile", "seed"];

/**
 * Returns `behaviour` with the values of `body` in place. Throws a
 * `FindingsError` that names all keys and values that are not allowed.
 */
export function applyBehaviour(
  behaviour: BackendBehaviour,
  body: Record<string, unknown>,
): BackendBehaviour {
  const findings = new FindingList("control");
  const defaults = BACKEND_DEFAULTS as unknown as Record<string, unknown>;
  for (const [key, value] of Object.entries(body)) {
    if (!(key in defaults) || FIXED.includes(key)) {
      findings.add(key, value, "Unknown key.");
    } else if (typeof value !== typeof defaults[key]) {
      findings.add(key, value, `Expected a ${typeof defaults[key]}.`);
    }
  }
  if (!findings.isEmpty) throw new FindingsError(findings.items);
  return { ...behaviour, ...body };
}
