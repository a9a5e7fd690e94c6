/** Divides keys among servers: all of them at first, or those of a lost one. @module */
import { KEY_COUNT } from "@jaytiller/routing";
import type { Assignment, OwnerChange } from "./assignment.js";
import type { OwnerCandidate } from "./balance.js";
import type { KeyLoad } from "./key_load.js";

/** A lost server's range is spread over this many servers at the most. */
const MAX_SPREAD = 3;
/** Load that each key adds to a server that gets it, requests per second. */
const KEY_WEIGHT = 1e-3;

/** Divides all keys in proportion to what servers can do. */
export function divide(
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

/** Gives ranges that need an owner to the servers with the least use. */
export function planOwners(
  ranges: readonly Assignment[],
  options: {
    candidates: readonly OwnerCandidate[];
    /** Requests per second of each candidate's other ranges, by id. */
    loads: Map<string, number>;
    load: KeyLoad;
    mayCut: boolean;
  },
): readonly OwnerChange[] {
  const { candidates, loads, load, mayCut } = options;
  const changes: OwnerChange[] = [];
  for (const range of ranges) {
    const pieces = mayCut
      ? spread(range, load)
      : [[range.from, range.to] as const];
    for (const [from, to] of pieces) {
      const { id, born } = chooseIdle(candidates, loads);
      const added = load.sum(from, to) + KEY_WEIGHT * (to - from + 1);
      loads.set(id, (loads.get(id) ?? 0) + added);
      changes.push({ from, to, owner: { id, born } });
    }
  }
  return changes;
}

function chooseIdle(
  candidates: readonly OwnerCandidate[],
  loads: ReadonlyMap<string, number>,
): OwnerCandidate {
  const use = (c: OwnerCandidate) => (loads.get(c.id) ?? 0) / c.capacity;
  return candidates.reduce((best, c) => use(c) < use(best) ? c : best);
}

/** Cuts a range into pieces of about the same load. */
function spread(
  range: Assignment,
  load: KeyLoad,
): readonly (readonly [number, number])[] {
  const total = load.sum(range.from, range.to);
  const pieces: (readonly [number, number])[] = [];
  let from = range.from;
  for (let left = MAX_SPREAD; left > 1 && total > 0; left--) {
    const end = load.findEnd(from, range.to, load.sum(from, range.to) / left);
    if (end < from || end >= range.to) break;
    pieces.push([from, end]);
    from = end + 1;
  }
  return [...pieces, [from, range.to]];
}
