/**
 * Plans moves of keys between servers to balance their load.
 *
 * Load pattern: a few adjacent keys receive most of the requests, other keys
 * become hot within seconds, and servers differ in speed. Keys move from the
 * most to the least utilized server, in proportion to capacity. Moves prefer
 * few keys with many requests, so that a hot key ends up alone on its server.
 * @module
 */
import {
  type Assignment,
  isStable,
  type OwnerChange,
  type ServerIncarnation,
} from "./assignment.js";
import { planHotKeyMove } from "./hot_keys.js";
import type { KeyLoad } from "./key_load.js";
import {
  computeUtilization,
  listServerUsage,
  type OwnerCandidate,
  type ServerUsage,
} from "./server_usage.js";

/** Limits on one balancing plan. */
export interface BalanceOptions {
  readonly nowMs: number;
  readonly maxMoves: number;
  /** Whether ranges may be split; otherwise only whole ranges move. */
  readonly maySplit: boolean;
}

/** Keys do not move away from a server below this utilization. */
const MIN_SOURCE_UTILIZATION = 0.55;
/**
 * Keys move away from a server above the mean utilization times this factor.
 */
const SOURCE_TO_MEAN_UTILIZATION = 1.15;
/**
 * Time between moves of a range, so that load reports reflect the last one, ms.
 */
const MIN_MOVE_INTERVAL_MS = 1_200;
/** Minimum share of the source server's load that a move must carry. */
const MIN_MOVED_LOAD_SHARE = 0.08;

/** Load distribution across servers, for the log. */
export interface BalanceSummary {
  readonly servers: number;
  /** Requests per second of all keys. */
  readonly load: number;
  /** Requests per second that all servers together can process. */
  readonly capacity: number;
  readonly busiest: string;
  /** Utilization of the busiest server, as a share of its capacity. */
  readonly busiestUse: number;
  readonly idlest: string;
  readonly idlestUse: number;
}

/** Summarizes the load distribution; `undefined` if there are no servers. */
export function summarizeBalance(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): BalanceSummary | undefined {
  const usages = listServerUsage(assignments, candidates, load);
  const busiest = findExtremeUtilization(usages, 1);
  const idlest = findExtremeUtilization(usages, -1);
  if (!busiest || !idlest) return undefined;
  return {
    servers: usages.length,
    load: usages.reduce((sum, s) => sum + s.load, 0),
    capacity: usages.reduce((sum, s) => sum + s.candidate.capacity, 0),
    busiest: busiest.candidate.id,
    busiestUse: computeUtilization(busiest),
    idlest: idlest.candidate.id,
    idlestUse: computeUtilization(idlest),
  };
}

/** Plans moves of granted ranges between servers. */
export function planBalance(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  options: BalanceOptions & { load: KeyLoad },
): readonly OwnerChange[] {
  const usages = listServerUsage(assignments, candidates, options.load);
  const hotKeyMove = planFirstHotKeyMove(usages, options);
  if (hotKeyMove) return [hotKeyMove];
  const changes: OwnerChange[] = [];
  const excluded = new Set<ServerUsage>();
  while (changes.length < options.maxMoves) {
    const pair = chooseMovePair(usages, excluded);
    if (!pair) break;
    const change = planMove(pair, options);
    excluded.add(pair.source);
    if (!change) continue;
    changes.push(change);
    excluded.add(pair.target);
    const moved = options.load.sum(change.from, change.to);
    pair.source.load -= moved;
    pair.target.load += moved;
  }
  return changes;
}

/** Plans one move of a hot key; several would choose the same server. */
function planFirstHotKeyMove(
  usages: readonly ServerUsage[],
  options: BalanceOptions & { load: KeyLoad },
): OwnerChange | undefined {
  if (!options.maySplit) return undefined;
  for (const source of usages) {
    const move = planHotKeyMove(source, usages, options);
    if (move) return move;
  }
  return undefined;
}

interface MovePair {
  readonly source: ServerUsage;
  readonly target: ServerUsage;
}

function chooseMovePair(
  usages: readonly ServerUsage[],
  excluded: ReadonlySet<ServerUsage>,
): MovePair | undefined {
  const total = usages.reduce((sum, s) => sum + s.load, 0);
  const capacity = usages.reduce((sum, s) => sum + s.candidate.capacity, 0);
  const open = usages.filter((s) => !excluded.has(s));
  const source = findExtremeUtilization(
    open.filter((s) => s.ranges.length > 0),
    1,
  );
  const target = findExtremeUtilization(open, -1);
  if (!source || !target || source === target) return undefined;
  // A server without keys receives some below the thresholds as well; otherwise
  // it would not take its share of the load.
  const isEmpty = target.ranges.length === 0;
  const minUtilization = Math.max(
    MIN_SOURCE_UTILIZATION,
    SOURCE_TO_MEAN_UTILIZATION * total / capacity,
  );
  if (!isEmpty && computeUtilization(source) < minUtilization) return undefined;
  return { source, target };
}

function findExtremeUtilization(
  usages: readonly ServerUsage[],
  sign: 1 | -1,
): ServerUsage | undefined {
  let best: ServerUsage | undefined;
  for (const usage of usages) {
    if (
      !best ||
      sign * computeUtilization(usage) > sign * computeUtilization(best)
    ) best = usage;
  }
  return best;
}

function planMove(
  { source, target }: MovePair,
  options: BalanceOptions & { load: KeyLoad },
): OwnerChange | undefined {
  const [sourceCapacity, targetCapacity] = [
    source.candidate.capacity,
    target.candidate.capacity,
  ];
  const maxLoad =
    (source.load * targetCapacity - target.load * sourceCapacity) /
    (sourceCapacity + targetCapacity);
  const { nowMs } = options;
  let best: OwnerChange | undefined;
  let bestLoad = Math.max(MIN_MOVED_LOAD_SHARE * source.load, 1e-3);
  for (const range of source.ranges) {
    if (!isStable(range, { nowMs, minStableMs: MIN_MOVE_INTERVAL_MS })) {
      continue;
    }
    for (const [from, to] of listSubranges(range, maxLoad, options)) {
      const load = options.load.sum(from, to);
      if (load <= bestLoad) continue;
      bestLoad = load;
      best = { from, to, owner: toIncarnation(target.candidate) };
    }
  }
  return best;
}

function toIncarnation({ id, born }: ServerIncarnation): ServerIncarnation {
  return { id, born };
}

/** Lists subranges at either end of a range with at most `maxLoad`. */
function listSubranges(
  { from, to }: Assignment,
  maxLoad: number,
  { load, maySplit }: BalanceOptions & { load: KeyLoad },
): readonly (readonly [number, number])[] {
  if (load.sum(from, to) <= maxLoad) return [[from, to]];
  if (!maySplit) return [];
  const end = load.findEnd(from, to, maxLoad);
  const start = load.findStart(from, to, maxLoad);
  return ([[from, end], [start, to]] as const).filter(([a, z]) => a <= z);
}
