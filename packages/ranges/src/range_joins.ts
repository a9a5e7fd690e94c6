/**
 * Plans which neighbouring ranges of one server become one.
 *
 * Load pattern: hot keys come and go, and each of their moves cuts ranges.
 * Without joins the number of ranges, and of the calls that renew them, only
 * grows, until no hot key can be cut out any more.
 * @module
 */
import { type Assignment, isSameLife, type OwnerChange } from "./assignment.js";

/** Joins that are begun in one plan at the most. */
const MAX_JOINS = 4;
/** Ranges are left alone for this long after a change of their owner, ms. */
const REST_MS = 3_000;

/** What bounds the joins. */
export interface JoinOptions {
  readonly nowMs: number;
  /** Ranges beyond the number that is aimed at. */
  readonly excess: number;
  /** Changes of the same plan; their ranges are left alone. */
  readonly moves: readonly OwnerChange[];
}

/** Plans joins: the same owner gets both ranges under one new token. */
export function planJoins(
  assignments: readonly Assignment[],
  { nowMs, excess, moves }: JoinOptions,
): readonly OwnerChange[] {
  const joins: OwnerChange[] = [];
  const limit = Math.min(MAX_JOINS, excess);
  let i = 0;
  while (joins.length < limit && i + 1 < assignments.length) {
    const [a, b] = [assignments[i]!, assignments[i + 1]!];
    const isFree = !moves.some((m) => m.from <= b.to && a.from <= m.to);
    const fits = isAtRest(a, nowMs) && isAtRest(b, nowMs) &&
      isSameLife(a.owner, b.owner);
    if (isFree && fits) {
      const { id, born } = a.owner!;
      joins.push({ from: a.from, to: b.to, owner: { id, born } });
      i += 1;
    }
    i += 1;
  }
  return joins;
}

function isAtRest(a: Assignment, nowMs: number): boolean {
  return a.granted && a.former.length === 0 && nowMs - a.changedAtMs >= REST_MS;
}
