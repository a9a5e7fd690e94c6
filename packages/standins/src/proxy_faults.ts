/** Faults of a proxy link. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** Direction of data on a link. */
export enum Direction {
  /** From the client to the target. */
  Up = "up",
  /** From the target to the client. */
  Down = "down",
}

/** What a link does with data. */
export enum LinkMode {
  Pass = "pass",
  /** Existing and new connections are reset, whatever the direction. */
  Cut = "cut",
  /** Existing connections go silent for good, also after a later `pass`. */
  Stall = "stall",
  /** Data is kept back and delivered after a later `pass`. */
  Hold = "hold",
}

/** Faults of one direction of a link. */
export interface LinkFaults {
  readonly mode: LinkMode;
  /** Does a stall or hold cover connections that are opened during it? */
  readonly newConnections: boolean;
  /** One-way latency in ms; whole milliseconds are kept best. */
  readonly delayMs: number;
  /** Upper bound of a further latency that each connection draws, in ms. */
  readonly jitterMs: number;
  /** Connections are ended after this number of bytes; -1 for never. */
  readonly truncateAfterBytes: number;
  /** Connections are reset after this number of bytes; -1 for never. */
  readonly resetAfterBytes: number;
  /** Number of connections that are truncated or reset; -1 for all. */
  readonly times: number;
}

/** A link without faults. */
export const NO_FAULTS: LinkFaults = {
  mode: LinkMode.Pass,
  newConnections: true,
  delayMs: 0,
  jitterMs: 0,
  truncateAfterBytes: -1,
  resetAfterBytes: -1,
  times: -1,
};

/** Change of the faults of links. Absent keys stay as they are. */
export interface LinkChange extends Partial<LinkFaults> {
  /** Name of a link; `*` stands for any text. */
  readonly link: string;
  /** Both directions if absent. */
  readonly direction?: Direction;
  /** Ends all faults but the latency before the other keys are applied. */
  readonly clear?: boolean;
}

/** A link to add; a link of the same name gets the new target instead. */
export interface LinkSpec {
  readonly name: string;
  /** `host:port`. */
  readonly target: string;
  /** Chosen by the kernel if absent or 0. */
  readonly listenPort?: number;
}

/** Body of `POST /control` of a proxy, applied in this order. */
export interface ProxyChange {
  readonly add?: readonly LinkSpec[];
  readonly remove?: readonly string[];
  readonly set?: LinkChange | readonly LinkChange[];
  /** Ignores names that no link has. */
  readonly optional?: boolean;
}

/** A link as `POST /control` and `GET /links` report it. */
export interface LinkStatus {
  readonly name: string;
  readonly target: string;
  readonly port: number;
  readonly connections: number;
  readonly faults: Readonly<Record<Direction, LinkFaults>>;
}

const FAULT_KEYS = Object.keys(NO_FAULTS) as (keyof LinkFaults)[];

/** Checks a change. Throws a `FindingsError` that names all wrong values. */
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

/** Does a change set how many bytes connections carry? */
export function hasLimitChange(change: LinkChange): boolean {
  const { truncateAfterBytes, resetAfterBytes, times, clear } = change;
  return clear === true || truncateAfterBytes !== undefined ||
    resetAfterBytes !== undefined || times !== undefined;
}

/** Returns `faults` with a change in place. */
export function applyFaults(
  faults: LinkFaults,
  change: LinkChange,
): LinkFaults {
  const { delayMs, jitterMs } = faults;
  const base = change.clear ? { ...NO_FAULTS, delayMs, jitterMs } : faults;
  const changed: Record<string, unknown> = { ...base };
  // A new limit must not start with the count that an earlier one used up.
  if (hasLimitChange(change)) changed.times = NO_FAULTS.times;
  for (const key of FAULT_KEYS) {
    if (change[key] !== undefined) changed[key] = change[key];
  }
  return changed as unknown as LinkFaults;
}
