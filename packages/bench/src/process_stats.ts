/** Reads the resource usage of processes from `/proc`. @module */
import { readFileSync } from "node:fs";

/** Linux reports processor times in units of 1/100 s on all platforms. */
const MS_PER_TICK = 10;
const BYTES_PER_KIB = 1024;

/** Resource usage of one process since its start. */
export interface ProcessStats {
  readonly cpuMs: number;
  /** Current and peak resident memory. */
  readonly rssBytes: number;
  readonly peakBytes: number;
  /**
   * Bytes transferred by read and write calls. For a router, nearly all of them
   * are socket traffic, because its only open file is its output.
   */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

function readField(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s*(\\d+)`, "m").exec(text)?.[1] ?? 0);
}

/** Reads the usage of a process; `undefined` if it is not running. */
export function readProcessStats(pid: number): ProcessStats | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    // The second field is the process name, which may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return {
      cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK,
      rssBytes: readField(status, "VmRSS") * BYTES_PER_KIB,
      peakBytes: readField(status, "VmHWM") * BYTES_PER_KIB,
      readBytes: readField(io, "rchar"),
      writtenBytes: readField(io, "wchar"),
    };
  } catch {
    return undefined;
  }
}
