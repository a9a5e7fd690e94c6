/** Command `load`. @module */
import { parseOptions } from "@jaytiller/standins";
import { type Incident, IncidentKind } from "./incidents.js";
import { type LoadOptions, runLoad } from "./load.js";
import { formatLoad, writeLoad } from "./load_report.js";
import { parseNumbers, readScaledWorkload } from "./settings.js";

/** Flags of `load` and their defaults; times in seconds. */
export const LOAD_DEFAULTS = {
  workload: "tabwright",
  scale: "zone",
  seed: 1,
  beforeSeconds: 10,
  crestSeconds: 5,
  afterSeconds: 15,
  base: 0.5,
  crest: 4,
  maxRate: 1500,
  /** One of this many requests is long; 0 for none. */
  long: 50,
  longFactor: 50,
  keys: 2000,
  zipf: 1,
  /** The hottest keys change after this time; 0 for never. */
  skewSeconds: 5,
  /** Number of ranks by which the keys shift each time. */
  skewKeys: 19,
  deadlineCapMs: 10_000,
  /** Times of kills in seconds, such as `4,8`. */
  killAt: "",
  drainAt: "",
  out: "bench-out",
};

/** Flags of `load`. */
export type LoadFlags = typeof LOAD_DEFAULTS;

function makeIncidents(flags: LoadFlags): Incident[] {
  const make = (kind: IncidentKind, text: string, name: string) =>
    parseNumbers(text, name).map((s) => ({ kind, atMs: s * 1000 }));
  return [
    ...make(IncidentKind.Kill, flags.killAt, "kill-at"),
    ...make(IncidentKind.Drain, flags.drainAt, "drain-at"),
  ];
}

/** Converts the flags to the options of a run. */
export function makeLoadOptions(flags: LoadFlags): LoadOptions {
  return {
    fleet: readScaledWorkload(flags.workload, flags.scale),
    incidents: makeIncidents(flags),
    seed: flags.seed,
    beforeMs: flags.beforeSeconds * 1000,
    crestMs: flags.crestSeconds * 1000,
    afterMs: flags.afterSeconds * 1000,
    base: flags.base,
    crest: flags.crest,
    maxRate: flags.maxRate,
    longEvery: flags.long,
    longFactor: flags.longFactor,
    keys: flags.keys,
    zipf: flags.zipf,
    moveEveryMs: flags.skewSeconds * 1000,
    moveBy: flags.skewKeys,
    deadlineCapMs: flags.deadlineCapMs,
  };
}

/** Runs `load` with the arguments of the command line. */
export async function runLoadCommand(args: readonly string[]): Promise<void> {
  const flags = parseOptions(args, LOAD_DEFAULTS);
  const options = makeLoadOptions(flags);
  const result = await runLoad(options);
  console.log(formatLoad(result));
  const crestEndMs = options.beforeMs + options.crestMs;
  writeLoad(result, {
    folder: flags.out,
    name: `load-${flags.workload}-${flags.seed}`,
    crestMs: [options.beforeMs, crestEndMs],
  });
  console.log(`\nWritten to ${flags.out}.`);
}
