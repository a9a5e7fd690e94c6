/**
 * Plans merges of adjacent ranges that have the same owner.
 *
 * Load pattern: hot keys come and go, and each move of a hot key splits ranges.
 * Without merges, the number of ranges and of the calls that renew them only
 * grows, until the limit on ranges prevents further splits for hot keys.
 * @module
 */
import {
  type Assignment,
  isSameIncarnation,
  isStable,
  type OwnerChange,
} from "./assignment.js";

/** Maximum number of merges started in one plan. */
const MAX_MERGES_PER_PLAN = 4;
/** A range is not merged for this long after its owner changed, ms. */
const MIN_STABLE_MS = 3_000;

/** Limits on the merges of one plan. */
export interface MergeOptions {
  readonly nowMs: number;
  /** Number of ranges above the target. */
  readonly excess: number;
  /** Moves in the same plan; ranges that they overlap are not merged. */
  readonly moves: readonly OwnerChange[];
}

/** Plans merges: the owner gets both ranges under one new fencing token. */
export function planMerges(
  assignments: readonly Assignment[],
  { nowMs, excess, moves }: MergeOptions,
): readonly OwnerChange[] {
  const merges: OwnerChange[] = [];
  const limit = Math.min(MAX_MERGES_PER_PLAN, excess);
  const stability = { nowMs, minStableMs: MIN_STABLE_MS };
  let i = 0;
  while (merges.length < limit && i + 1 < assignments.length) {
    const [a, b] = [assignments[i]!, assignments[i + 1]!];
    const isOutsideMoves = !moves.some((m) => m.from <= b.to && a.from <= m.to);
    const isMergeable = isStable(a, stability) && isStable(b, stability) &&
      isSameIncarnation(a.owner, b.owner);
    if (isOutsideMoves && isMergeable) {
      const { id, born } = a.owner!;
      merges.push({ from: a.from, to: b.to, owner: { id, born } });
      i += 1;
    }
    i += 1;
  }
  return merges;
}
