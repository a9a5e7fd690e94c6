/** Options, ready line and shutdown of a stand-in process. @module */
import { FindingList, FindingsError } from "@jaytiller/model";

/** JSON line that a stand-in process writes to stdout when it is ready. */
export interface ReadyLine {
  readonly ready: true;
  readonly port: number;
  /** Backend servers only: port without the connection limit. */
  readonly controlPort?: number;
}

/** Options of a process, without nested values. */
export type FlatOptions = Record<string, string | number | boolean>;

function parseFlagName(flag: string): string {
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
      values[parseFlagName(flag)] = true;
      continue;
    }
    values[parseFlagName(flag)] = next;
    i += 1;
  }
  return values;
}

function parseValue(value: unknown, fallback: string | number | boolean) {
  if (typeof value !== "string" || typeof fallback === "string") return value;
  if (typeof fallback === "number") return value === "" ? NaN : Number(value);
  return value === "true" ? true : value === "false" ? false : value;
}

/**
 * Parses the options of a process from `args`, which are either kebab-case flags
 * or one JSON object. Throws a `FindingsError` that lists all invalid values.
 */
export function parseOptions<T extends object>(
  args: readonly string[],
  defaults: T,
): T {
  const input: Record<string, unknown> = args[0]?.startsWith("{")
    ? JSON.parse(args[0])
    : parseFlags(args);
  const known = defaults as FlatOptions;
  const findings = new FindingList("arguments");
  const result: Record<string, unknown> = { ...known };
  for (const [key, raw] of Object.entries(input)) {
    const fallback = known[key];
    if (fallback === undefined) {
      const allowed = Object.keys(known).join(", ");
      findings.add(key, raw, `Unknown option; expected one of ${allowed}.`);
      continue;
    }
    const value = parseValue(raw, fallback);
    if (typeof value !== typeof fallback || Number.isNaN(value)) {
      findings.add(key, raw, `Expected a ${typeof fallback}.`);
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
  /** Stops the server. The first SIGTERM or SIGINT calls it. */
  stop(): Promise<void>;
}

/**
 * Runs a stand-in process: starts the server, writes the ready line and stops
 * the server on SIGTERM or SIGINT. Exits with status 2 if startup fails.
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
