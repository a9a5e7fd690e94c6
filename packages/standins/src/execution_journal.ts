/** Journal of a backend server's executions, for checkers. @module */
import type { ExecutionRecord } from "@jaytiller/model";
import {
  closeSync,
  existsSync,
  openSync,
  readFileSync,
  writeSync,
} from "node:fs";

/** Journal line. Lines of the same execution share its `execution` id. */
export type JournalLine =
  & { readonly execution: string }
  & (
    | { readonly at: "start"; readonly record: ExecutionRecord }
    | {
      readonly at: "effect";
      readonly effectMs: number;
      readonly bodyBytes: number;
      readonly bodyDigest: string;
    }
    | { readonly at: "end"; readonly endMs: number }
  );

/** Maximum number of lines in an in-memory journal. */
const MAX_MEMORY_LINES = 300_000;

/** Merges journal lines into one record per execution, ordered by start. */
export function mergeJournal(lines: readonly JournalLine[]): ExecutionRecord[] {
  const records = new Map<string, ExecutionRecord>();
  for (const line of lines) {
    if (line.at === "start") {
      records.set(line.execution, line.record);
      continue;
    }
    const { at: _, execution, ...change } = line;
    const record = records.get(execution);
    if (record) records.set(execution, { ...record, ...change });
  }
  return [...records.values()];
}

function parseLine(text: string): JournalLine | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Reads the execution records of a journal file; a missing file has none. Lines
 * that a killed process left incomplete are ignored.
 */
export function readExecutions(file: string): ExecutionRecord[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  return mergeJournal(
    lines.map(parseLine).filter((l): l is JournalLine => l !== undefined),
  );
}

/** Writes the execution journal of one process. */
export class ExecutionJournal {
  readonly #file: string;
  readonly #fd: number | undefined;
  #lines: JournalLine[] = [];

  /** Opens `file` for appending, or keeps lines in memory if it is empty. */
  constructor(file: string) {
    this.#file = file;
    this.#fd = file === "" ? undefined : openSync(file, "a");
    // Starts a new line, since SIGKILL may have truncated the last one.
    if (this.#fd !== undefined) writeSync(this.#fd, "\n");
  }

  /** Writes a line synchronously, so that it survives a crash of the process. */
  write(line: JournalLine): void {
    if (this.#fd !== undefined) {
      writeSync(this.#fd, `${JSON.stringify(line)}\n`);
      return;
    }
    this.#lines.push(line);
    if (this.#lines.length > MAX_MEMORY_LINES) {
      this.#lines = this.#lines.slice(MAX_MEMORY_LINES / 2);
    }
  }

  readAll(): ExecutionRecord[] {
    return this.#fd === undefined
      ? mergeJournal(this.#lines)
      : readExecutions(this.#file);
  }

  close(): void {
    if (this.#fd !== undefined) closeSync(this.#fd);
  }
}
