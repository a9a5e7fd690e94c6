/**
 * Plans moves of keys that no server can process completely.
 *
 * Load pattern: one key is requested more often than any server can bear. It
 * cannot be divided, so the server that processes it fastest should own it.
 * @module
 */
import { type Assignment, isStable, type OwnerChange } from "./assignment.js";
import type { KeyLoad } from "./key_load.js";
import { computeUtilization, type ServerUsage } from "./server_usage.js";

/**
 * Factor by which another server must be faster: estimates of equal servers
 * differ by less.
 */
const MIN_SPEEDUP = 1.5;
/**
 * Time between moves of a key, ms. Each move interrupts its service, and keys of
 * its new owner move away after it.
 */
const MIN_MOVE_INTERVAL_MS = 5_000;

/** Facts on which the move of a hot key is planned. */
export interface HotKeyOptions {
  readonly nowMs: number;
  readonly load: KeyLoad;
}

/** Plans the move of the hottest key of an overloaded server. */
export function planHotKeyMove(
  source: ServerUsage,
  usages: readonly ServerUsage[],
  options: HotKeyOptions,
): OwnerChange | undefined {
  if (computeUtilization(source) <= 1) return undefined;
  const target = chooseFastestServer(usages);
  const { capacity } = source.candidate;
  if (!target || target.candidate.capacity < MIN_SPEEDUP * capacity) {
    return undefined;
  }
  const { nowMs } = options;
  const ranges = source.ranges.filter((range) =>
    isStable(range, { nowMs, minStableMs: MIN_MOVE_INTERVAL_MS })
  );
  for (const range of ranges) {
    const key = findHotKey(range, { capacity, load: options.load });
    if (key === undefined) continue;
    const { id, born } = target.candidate;
    return { from: key, to: key, owner: { id, born } };
  }
  return undefined;
}

/** Chooses the server with the most capacity beside its present load. */
function chooseFastestServer(
  usages: readonly ServerUsage[],
): ServerUsage | undefined {
  const computeRest = (u: ServerUsage) => u.candidate.capacity - u.load;
  return [...usages].sort((a, b) => computeRest(b) - computeRest(a))[0];
}

/** Finds a key in a range that alone exceeds the capacity. */
function findHotKey(
  { from, to }: Assignment,
  { capacity, load }: { capacity: number; load: KeyLoad },
): number | undefined {
  let start = from;
  while (start <= to) {
    const key = load.findEnd(start, to, capacity) + 1;
    if (key > to) return undefined;
    if (load.sum(key, key) > capacity) return key;
    start = key;
  }
  return undefined;
}
