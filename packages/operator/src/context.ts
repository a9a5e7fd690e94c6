/** Input and output of a command. @module */
import { type Finding, formatFinding } from "@jaytiller/model";
import type { OptionReader } from "./options.js";

/** Output streams, environment and interruption of a command. */
export interface Io {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Writes a line to standard output. */
  readonly writeLine: (line: string) => void;
  /** Writes a line to standard error. */
  readonly writeNote: (line: string) => void;
  /** Aborted when the user interrupts the command. */
  readonly signal: AbortSignal;
}

/** Arguments, options and I/O of one run of a command. */
export interface Context {
  readonly io: Io;
  /** Positional arguments; an omitted optional one is `undefined`. */
  readonly args: readonly (string | undefined)[];
  readonly options: OptionReader;
  readonly json: boolean;
  /** Addresses of routers, in the order in which to try them. */
  readonly addresses: readonly string[];
  /** Timeout of each call, in ms. */
  readonly timeoutMs: number;
}

/** In a key or a reason, these could be terminal escape sequences. */
// deno-lint-ignore no-control-regex
const CONTROL_CHARS = /[\u0000-\u001f\u007f-\u009f]/g;

/** Writes `value` as JSON with `--json`, otherwise `options.lines`. */
export function writeResult(
  { io, json }: Context,
  value: unknown,
  options: { lines: readonly string[] },
): void {
  if (json) io.writeLine(JSON.stringify(value));
  else writeLines(io, options.lines);
}

/** Writes lines to standard output, with control characters replaced. */
export function writeLines(io: Io, lines: readonly string[]): void {
  for (const line of lines) io.writeLine(line.replace(CONTROL_CHARS, "?"));
}

/** Writes lines to standard error, with control characters replaced. */
export function writeNotes(io: Io, lines: readonly string[]): void {
  for (const line of lines) io.writeNote(line.replace(CONTROL_CHARS, "?"));
}

/** Writes findings to standard error, one per line. */
export function writeFindings(io: Io, findings: readonly Finding[]): void {
  writeNotes(io, findings.map(formatFinding));
}
