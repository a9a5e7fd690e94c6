/** Start, ready line and stop of a stand-in process. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** Ready line of a stand-in process, written to stdout as one JSON line. */
export interface ReadyLine {
  readonly ready: true;
  readonly port: number;
  /** Backend servers only: port that the connection cap does not cover. */
  readonly controlPort?: number;
}

/** Options of a process: flat values with a default for each key. */
export type FlatOptions = Record<string, string | number | boolean>;

function formatKey(flag: string): string {
  return flag.slice(2).replace(/-([a-z0-9])/g, (_, c) => c.toUpperCase());
}

function parseFlags(args: readonly string[]): Record<string, unknown> {
  const values: Record<string, unknown> = {};
  for (let i = 0; i < args.length; i++) {
    const flag = args[i]!;
    if (!flag.startsWith("--")) {
      throw new Error(`Argument ${flag}: expected a flag such as --port 0.`);
    }
    const next = args[i + 1];
    if (next === undefined || next.startsWith("--")) {
      values[formatKey(flag)] = true;
      continue;
    }
    values[formatKey(flag)] = next;
    i += 1;
  }
  return values;
}

function parseValue(value: unknown, like: string | number | boolean) {
  if (typeof value !== "string" || typeof like === "string") return value;
  if (typeof like === "number") return value === "" ? NaN : Number(value);
  return value === "true" ? true : value === "false" ? false : value;
}

/**
 * Reads the options of a process from `args`: either flags in kebab case or
 * one JSON object. Throws a `FindingsError` that names all wrong values.
 */
export function parseOptions<T extends object>(
  args: readonly string[],
  defaults: T,
): T {
  const given: Record<string, unknown> = args[0]?.startsWith("{")
    ? JSON.parse(args[0])
    : parseFlags(args);
  const known = defaults as FlatOptions;
  const findings = new FindingList("arguments");
  const result: Record<string, unknown> = { ...known };
  for (const [key, raw] of Object.entries(given)) {
    const like = known[key];
    if (like === undefined) {
      const allowed = Object.keys(known).join(", ");
      findings.add(key, raw, `Unknown option; expected one of ${allowed}.`);
      continue;
    }
    const value = parseValue(raw, like);
    if (typeof value !== typeof like || Number.isNaN(value)) {
      findings.add(key, raw, `Expected a ${typeof like}.`);
      continue;
    }
    result[key] = value;
  }
  if (!findings.isEmpty) throw new FindingsError(findings.items);
  return result as T;
}

/** A running server of a stand-in process. */
export interface RunningServer {
  readonly port: number;
  readonly controlPort?: number;
  /** Stops the server; SIGTERM calls it once. */
  stop(): Promise<void>;
}

/**
 * Runs a stand-in process: starts the server, writes the ready line and stops
 * the server on SIGTERM or SIGINT. Exits with status 2 if the start fails.
 */
export async function runMain(
  start: (args: readonly string[]) => Promise<RunningServer>,
): Promise<void> {
  try {
    const server = await start(process.argv.slice(2));
    let stopping = false;
    const stop = async () => {
      if (stopping) return;
      stopping = true;
      await server.stop();
      process.exit(0);
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    const { port, controlPort } = server;
    const line: ReadyLine = { ready: true, port, controlPort };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  } catch (e) {
    process.stderr.write(`${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(2);
  }
}
