/** Configuration of the faults that a proxy link injects. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** Direction of the data flow on a link. */
export enum Direction {
  /** From the client to the target. */
  Up = "up",
  /** From the target to the client. */
  Down = "down",
}

/** How a link treats the data of its connections. */
export enum LinkMode {
  Pass = "pass",
  /**
   * Existing and new connections are reset, even if only one direction is set
   * to this mode.
   */
  Cut = "cut",
  /**
   * All data of affected connections is discarded. They stay silent after a
   * later `pass`.
   */
  Stall = "stall",
  /** Data is buffered and delivered after a later `pass`. */
  Hold = "hold",
}

/** Faults of one direction of a link. */
export interface LinkFaults {
  readonly mode: LinkMode;
  /** Whether a stall or hold also affects connections opened while it lasts. */
  readonly newConnections: boolean;
  /** One-way latency in ms. Timers resolve 1 ms, so use whole numbers. */
  readonly delayMs: number;
  /** Upper bound of the random latency added per connection, in ms. */
  readonly jitterMs: number;
  /** Number of bytes after which a connection is closed; -1 for no limit. */
  readonly truncateAfterBytes: number;
  /** Number of bytes after which a connection is reset; -1 for no limit. */
  readonly resetAfterBytes: number;
  /** Number of connections to truncate or reset; -1 for all. */
  readonly times: number;
}

/** Settings of a link without faults. */
export const NO_FAULTS: LinkFaults = {
  mode: LinkMode.Pass,
  newConnections: true,
  delayMs: 0,
  jitterMs: 0,
  truncateAfterBytes: -1,
  resetAfterBytes: -1,
  times: -1,
};

/** Change to the faults of links. Absent keys keep their values. */
export interface LinkChange extends Partial<LinkFaults> {
  /** Name of a link; `*` matches any text. */
  readonly link: string;
  /** Applies to both directions if absent. */
  readonly direction?: Direction;
  /** Removes all faults except latency before the other keys are applied. */
  readonly clear?: boolean;
}

/** A link to add. An existing link of the same name gets the new target. */
export interface LinkSpec {
  readonly name: string;
  /** Address as `host:port`. */
  readonly target: string;
  /** The operating system chooses a port if absent or 0. */
  readonly listenPort?: number;
}

/** Body of a proxy's `POST /control`; its fields are applied in this order. */
export interface ProxyChange {
  readonly add?: readonly LinkSpec[];
  readonly remove?: readonly string[];
  readonly set?: LinkChange | readonly LinkChange[];
  /** Ignores names and patterns that match no link. */
  readonly optional?: boolean;
}

/** Link state as returned by `POST /control` and `GET /links`. */
export interface LinkStatus {
  readonly name: string;
  readonly target: string;
  readonly port: number;
  readonly connections: number;
  readonly faults: Readonly<Record<Direction, LinkFaults>>;
}

const FAULT_KEYS = Object.keys(NO_FAULTS) as (keyof LinkFaults)[];

/** Validates a change. Throws a `FindingsError` that lists all invalid values. */
export function checkLinkChange(change: LinkChange): void {
  const findings = new FindingList("control");
  const known = ["link", "direction", "clear", ...FAULT_KEYS];
  for (const [key, value] of Object.entries(change)) {
    if (!known.includes(key)) findings.add(key, value, "Unknown key.");
  }
  const { link, direction, mode } = change;
  if (typeof link !== "string") findings.add("link", link, "Expected a name.");
  const modes = Object.values(LinkMode);
  if (mode !== undefined && !modes.includes(mode)) {
    findings.add("mode", mode, `Expected one of ${modes.join(", ")}.`);
  }
  const directions = Object.values(Direction);
  if (direction !== undefined && !directions.includes(direction)) {
    const message = `Expected one of ${directions.join(", ")}, or nothing.`;
    findings.add("direction", direction, message);
  }
  for (const key of FAULT_KEYS) {
    const value = change[key];
    if (value !== undefined && typeof value !== typeof NO_FAULTS[key]) {
      findings.add(key, value, `Expected a ${typeof NO_FAULTS[key]}.`);
    }
  }
  if (!findings.isEmpty) throw new FindingsError(findings.items);
}

/** Returns whether a change affects the byte limits of connections. */
export function hasLimitChange(change: LinkChange): boolean {
  const { truncateAfterBytes, resetAfterBytes, times, clear } = change;
  return clear === true || truncateAfterBytes !== undefined ||
    resetAfterBytes !== undefined || times !== undefined;
}

/** Returns a copy of `faults` with the change applied. */
export function applyLinkChange(
  faults: LinkFaults,
  change: LinkChange,
): LinkFaults {
  const { delayMs, jitterMs } = faults;
  const base = change.clear ? { ...NO_FAULTS, delayMs, jitterMs } : faults;
  const changed: Record<string, unknown> = { ...base };
  // A new limit must not inherit the exhausted count of an earlier one.
  if (hasLimitChange(change)) changed.times = NO_FAULTS.times;
  for (const key of FAULT_KEYS) {
    if (change[key] !== undefined) changed[key] = change[key];
  }
  return changed as unknown as LinkFaults;
}
