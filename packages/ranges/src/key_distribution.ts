/**
 * Distributes keys among servers: initially, and after a server is lost.
 * @module
 */
import { KEY_COUNT } from "@jaytiller/routing";
import type { Assignment, OwnerChange } from "./assignment.js";
import type { OwnerCandidate } from "./server_usage.js";
import type { KeyLoad } from "./key_load.js";

/** Maximum number of parts that a range in need of an owner is split into. */
const MAX_SUBRANGES = 3;
/** Load that each reassigned key adds to its new owner, requests per second. */
const BASE_RATE_PER_KEY = 1e-3;

/** Splits the whole key space among servers in proportion to their capacity. */
export function splitKeySpace(
  candidates: readonly OwnerCandidate[],
): readonly OwnerChange[] {
  const total = candidates.reduce((sum, c) => sum + c.capacity, 0);
  let from = 0;
  let share = 0;
  return candidates.map(({ id, born, capacity }, i) => {
    share += capacity / total;
    const isLast = i === candidates.length - 1;
    const to = isLast ? KEY_COUNT - 1 : Math.floor(share * KEY_COUNT) - 1;
    const change = { from, to, owner: { id, born } };
    from = to + 1;
    return change;
  });
}

/** Assigns ranges that need an owner to the least utilized servers. */
export function planReassignments(
  ranges: readonly Assignment[],
  options: {
    candidates: readonly OwnerCandidate[];
    /**
     * Requests per second of each candidate's ranges, by id; updated in place.
     */
    loads: Map<string, number>;
    load: KeyLoad;
    maySplit: boolean;
  },
): readonly OwnerChange[] {
  const { candidates, loads, load, maySplit } = options;
  const changes: OwnerChange[] = [];
  for (const range of ranges) {
    const subranges = maySplit
      ? splitByLoad(range, load)
      : [[range.from, range.to] as const];
    for (const [from, to] of subranges) {
      const { id, born } = chooseLeastUtilized(candidates, loads);
      const added = load.sum(from, to) + BASE_RATE_PER_KEY * (to - from + 1);
      loads.set(id, (loads.get(id) ?? 0) + added);
      changes.push({ from, to, owner: { id, born } });
    }
  }
  return changes;
}

function chooseLeastUtilized(
  candidates: readonly OwnerCandidate[],
  loads: ReadonlyMap<string, number>,
): OwnerCandidate {
  const computeUtilization = (c: OwnerCandidate) =>
    (loads.get(c.id) ?? 0) / c.capacity;
  return candidates.reduce((best, c) =>
    computeUtilization(c) < computeUtilization(best) ? c : best
  );
}

/** Splits a range into subranges of about equal load. */
function splitByLoad(
  range: Assignment,
  load: KeyLoad,
): readonly (readonly [number, number])[] {
  const total = load.sum(range.from, range.to);
  const subranges: (readonly [number, number])[] = [];
  let from = range.from;
  for (let remaining = MAX_SUBRANGES; remaining > 1 && total > 0; remaining--) {
    const end = load.findEnd(
      from,
      range.to,
      load.sum(from, range.to) / remaining,
    );
    if (end < from || end >= range.to) break;
    subranges.push([from, end]);
    from = end + 1;
  }
  return [...subranges, [from, range.to]];
}
