/** Options of a backend server and their changes at run time. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** Behaviour that `POST /control` can change at run time. */
export interface BackendBehaviour {
  /** Whether the server checks the token, unit and lease of requests. */
  checks: boolean;
  slots: number;
  /** Maximum number of connections; excess connections are destroyed. */
  connections: number;
  /** Delay of the first request on each connection, in ms. */
  connectMs: number;
  /** Duration of work in ms, unless the request sets `?ms=`. */
  serviceMs: number;
  /** Reports that the server is draining; rejects new work after `drainMs`. */
  draining: boolean;
  drainMs: number;
  /** For `coldMs` after startup, work takes `coldFactor` times as long. */
  coldMs: number;
  coldFactor: number;
  /** Fraction of work that is rejected, from 0 to 1. */
  shed: number;
  /** Reported load; -1 to report the actual load. */
  reportLoad: number;
  /** Health status that `GET /health` reports. */
  reportHealthy: boolean;
  /** Pause after each chunk of a request body, in ms. */
  readPauseMs: number;
  /** The next n requests do not run and get no response. */
  hang: number;
  /** The next n requests run and get no response. */
  loseAnswers: number;
  /** The next n responses end halfway and their connections are closed. */
  truncate: number;
  /** The next n responses stop halfway; their connections stay open. */
  stall: number;
  /** The next n responses are sent twice on their connection. */
  duplicate: number;
  /** The next n responses are sent `lateMs` after the effect. */
  late: number;
  lateMs: number;
  /** The next n responses carry a different request id. */
  wrongRequestId: number;
}

/** Options of a backend server process. */
export interface BackendOptions extends BackendBehaviour {
  readonly host: string;
  readonly port: number;
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Path of the execution journal; kept in memory if empty. */
  readonly recordsFile: string;
  /** Seed for load shedding. */
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

/** Faults that apply to the next n requests or responses. */
export type CountedFault =
  | "hang"
  | "loseAnswers"
  | "truncate"
  | "stall"
  | "duplicate"
  | "late"
  | "wrongRequestId";

const FIXED_KEYS = [
  "host",
  "port",
  "id",
  "service",
  "zone",
  "recordsFile",
  "seed",
];

/**
 * Returns a copy of `behaviour` with the values of `body`. Throws a
 * `FindingsError` that lists all unknown keys and values of the wrong type.
 */
export function applyBehaviour(
  behaviour: BackendBehaviour,
  body: Record<string, unknown>,
): BackendBehaviour {
  const findings = new FindingList("control");
  const defaults = BACKEND_DEFAULTS as unknown as Record<string, unknown>;
  for (const [key, value] of Object.entries(body)) {
    if (!(key in defaults) || FIXED_KEYS.includes(key)) {
      findings.add(key, value, "Unknown key.");
    } else if (typeof value !== typeof defaults[key]) {
      findings.add(key, value, `Expected a ${typeof defaults[key]}.`);
    }
  }
  if (!findings.isEmpty) throw new FindingsError(findings.items);
  return { ...behaviour, ...body };
}
