/** Parses options that several commands share. @module */
import {
  readWorkload,
  scaleWorkload,
  type Workload,
  WorkloadName,
  type WorkloadScale,
} from "@jaytiller/standins";

/** Fleet sizes by scale, as upper limits of the workload's sizes. */
const SCALES: Readonly<Record<string, WorkloadScale>> = {
  tiny: { zones: 1, entriesPerZone: 2, services: 2, serversPerZone: 2 },
  small: { zones: 1, entriesPerZone: 2, serversPerZone: 2 },
  zone: { zones: 1 },
  demo: { zones: 2, entriesPerZone: 2, serversPerZone: 2 },
  full: {},
};

/** Reads a workload at a scale. Throws if either name is unknown. */
export function readScaledWorkload(name: string, scale: string): Workload {
  const names = Object.values(WorkloadName);
  const known = names.find((w) => w === name);
  if (!known) {
    throw new Error(
      `workload: Expected one of ${names.join(", ")} (found ${name}).`,
    );
  }
  const bounds = SCALES[scale];
  if (!bounds) {
    const allowed = Object.keys(SCALES).join(", ");
    throw new Error(`scale: Expected one of ${allowed} (found ${scale}).`);
  }
  return scaleWorkload(readWorkload(known), bounds);
}

/** Parses a list of numbers such as `4,8`; an empty string is an empty list. */
export function parseNumbers(text: string, name: string): number[] {
  return text.split(",").filter((t) => t.trim() !== "").map((t) => {
    const value = Number(t);
    if (Number.isFinite(value) && value >= 0) return value;
    throw new Error(`${name}: Expected numbers from 0 (found ${text}).`);
  });
}
