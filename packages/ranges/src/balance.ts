/**
 * Plans which keys move to which server.
 *
 * Load pattern: few keys next to each other get most of the requests, others
 * become hot within seconds, and servers differ in speed. Moves go from the
 * busiest to the least busy server in proportion to what each can do, and
 * prefer few keys with many requests: a hot key ends up alone on its server.
 * @module
 */
import type { Assignment, OwnerChange, ServerLife } from "./assignment.js";
import type { KeyLoad } from "./key_load.js";

/** A server that can own keys. */
export interface OwnerCandidate extends ServerLife {
  /** Requests per second that it can run. */
  readonly capacity: number;
}

/** Bounds of one round of planning. */
export interface BalanceOptions {
  readonly nowMs: number;
  readonly maxMoves: number;
  /** Whether ranges may be cut; otherwise only whole ones move. */
  readonly mayCut: boolean;
}

/** Below this share of its capacity a server is left alone. */
const BUSY_UTILIZATION = 0.55;
/** A server moves keys away if it is busier than the mean by this factor. */
const BUSY_FACTOR = 1.15;
/** A range stays for this long, so that its move shows in the load, ms. */
const REST_MS = 1_200;
/** A move of less than this share of a server's load is not worth it. */
const MIN_SHARE = 0.08;

interface Seat {
  readonly candidate: OwnerCandidate;
  load: number;
  readonly ranges: Assignment[];
}

/** How evenly the load lies, for the log. */
export interface BalanceSummary {
  readonly servers: number;
  /** Requests per second of all keys. */
  readonly load: number;
  /** Requests per second that all servers can run. */
  readonly capacity: number;
  readonly busiest: string;
  /** Share of its capacity that the busiest server uses. */
  readonly busiestUse: number;
  readonly idlest: string;
  readonly idlestUse: number;
}

/** Sums up the load of the servers. */
export function summarizeBalance(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): BalanceSummary | undefined {
  const seats = makeSeats(assignments, candidates, load);
  const busiest = findExtreme(seats, 1);
  const idlest = findExtreme(seats, -1);
  if (!busiest || !idlest) return undefined;
  return {
    servers: seats.length,
    load: seats.reduce((sum, s) => sum + s.load, 0),
    capacity: seats.reduce((sum, s) => sum + s.candidate.capacity, 0),
    busiest: busiest.candidate.id,
    busiestUse: computeUse(busiest),
    idlest: idlest.candidate.id,
    idlestUse: computeUse(idlest),
  };
}

/** Plans moves between the owners of granted ranges. */
export function planBalance(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  options: BalanceOptions & { load: KeyLoad },
): readonly OwnerChange[] {
  const seats = makeSeats(assignments, candidates, options.load);
  const changes: OwnerChange[] = [];
  const settled = new Set<Seat>();
  while (changes.length < options.maxMoves) {
    const pair = choosePair(seats, settled);
    if (!pair) break;
    const change = planMove(pair, options);
    settled.add(pair.busy);
    if (!change) continue;
    changes.push(change);
    settled.add(pair.idle);
    const moved = options.load.sum(change.from, change.to);
    pair.busy.load -= moved;
    pair.idle.load += moved;
  }
  return changes;
}

function makeSeats(
  assignments: readonly Assignment[],
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): readonly Seat[] {
  const seats = new Map(
    candidates.map((
      c,
    ) => [c.id, { candidate: c, load: 0, ranges: [] } as Seat]),
  );
  for (const a of assignments) {
    const seat = a.owner ? seats.get(a.owner.id) : undefined;
    if (!seat) continue;
    seat.load += load.sum(a.from, a.to);
    seat.ranges.push(a);
  }
  return [...seats.values()];
}

interface Pair {
  readonly busy: Seat;
  readonly idle: Seat;
}

function choosePair(
  seats: readonly Seat[],
  settled: ReadonlySet<Seat>,
): Pair | undefined {
  const total = seats.reduce((sum, s) => sum + s.load, 0);
  const capacity = seats.reduce((sum, s) => sum + s.candidate.capacity, 0);
  const open = seats.filter((s) => !settled.has(s));
  const busy = findExtreme(open.filter((s) => s.ranges.length > 0), 1);
  const idle = findExtreme(open, -1);
  if (!busy || !idle || busy === idle) return undefined;
  // An empty server gets keys early, or it would never share the load.
  const isEmpty = idle.ranges.length === 0;
  const bound = Math.max(BUSY_UTILIZATION, BUSY_FACTOR * total / capacity);
  if (!isEmpty && computeUse(busy) < bound) return undefined;
  return { busy, idle };
}

function findExtreme(seats: readonly Seat[], sign: 1 | -1): Seat | undefined {
  let best: Seat | undefined;
  for (const seat of seats) {
    if (!best || sign * computeUse(seat) > sign * computeUse(best)) best = seat;
  }
  return best;
}

/** Share of its capacity that a server uses. */
function computeUse(seat: Seat): number {
  return seat.load / seat.candidate.capacity;
}

function planMove(
  { busy, idle }: Pair,
  options: BalanceOptions & { load: KeyLoad },
): OwnerChange | undefined {
  const [b, i] = [busy.candidate.capacity, idle.candidate.capacity];
  const wanted = (busy.load * i - idle.load * b) / (b + i);
  let best: OwnerChange | undefined;
  let bestLoad = Math.max(MIN_SHARE * busy.load, 1e-3);
  for (const range of busy.ranges) {
    if (!isMovable(range, options.nowMs)) continue;
    for (const [from, to] of listPieces(range, wanted, options)) {
      const load = options.load.sum(from, to);
      if (load <= bestLoad) continue;
      bestLoad = load;
      best = { from, to, owner: toLife(idle.candidate) };
    }
  }
  return best;
}

function toLife({ id, born }: ServerLife): ServerLife {
  return { id, born };
}

function isMovable(range: Assignment, nowMs: number): boolean {
  return range.granted && range.former.length === 0 &&
    nowMs - range.changedAtMs >= REST_MS;
}

/** Pieces of a range, from either end, with at most the wanted load. */
function listPieces(
  { from, to }: Assignment,
  wanted: number,
  { load, mayCut }: BalanceOptions & { load: KeyLoad },
): readonly (readonly [number, number])[] {
  if (load.sum(from, to) <= wanted) return [[from, to]];
  if (!mayCut) return [];
  const end = load.findEnd(from, to, wanted);
  const start = load.findStart(from, to, wanted);
  return ([[from, end], [start, to]] as const).filter(([a, z]) => a <= z);
}
