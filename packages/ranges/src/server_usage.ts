/** Load of servers by the ranges that they own. @module */
import type { Assignment, ServerIncarnation } from "./assignment.js";
import type { KeyLoad } from "./key_load.js";

/** A server that is eligible to own keys. */
export interface OwnerCandidate extends ServerIncarnation {
  /** Requests per second that the server can process. */
  readonly capacity: number;
}

/** A server with its ranges and their total load, requests per second. */
export interface ServerUsage {
  readonly candidate: OwnerCandidate;
  load: number;
  readonly ranges: Assignment[];
}

/** The load of a server that owns keys. */
export interface ServerLoadRate {
  readonly id: string;
  /** Requests per second for its keys. */
  readonly load: number;
  /** Requests per second that it can process. */
  readonly capacity: number;
}

/** Lists the candidates with what they own. */
export function listServerUsage(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): readonly ServerUsage[] {
  const usages = new Map(
    candidates.map((candidate): [string, ServerUsage] => [
      candidate.id,
      { candidate, load: 0, ranges: [] },
    ]),
  );
  for (const assignment of assignments) {
    const { owner, from, to } = assignment;
    const usage = owner ? usages.get(owner.id) : undefined;
    if (!usage) continue;
    usage.load += load.sum(from, to);
    usage.ranges.push(assignment);
  }
  return [...usages.values()];
}

/** Returns the load of a server as a share of its capacity. */
export function computeUtilization(usage: ServerUsage): number {
  return usage.load / usage.candidate.capacity;
}

/** Lists the load of all servers that own keys. */
export function listServerLoads(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): readonly ServerLoadRate[] {
  return listServerUsage(assignments, candidates, load)
    .filter(({ ranges }) => ranges.length > 0)
    .map((usage) => ({
      id: usage.candidate.id,
      load: usage.load,
      capacity: usage.candidate.capacity,
    }));
}
