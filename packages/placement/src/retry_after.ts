/**
 * Computes when a refused client should come back.
 *
 * Load pattern: hundreds of clients are refused within a second. If all of them
 * came back at the same time, they would be refused again. Clients
 * wait for a third of their remaining time at most; told a later time, they come
 * back early or give up.
 * @module
 */

/** A refusal and the client's remaining time. */
export interface RetryFacts {
  /** Time until there is expected to be room, ms. */
  readonly roomMs: number;
  /** Time left until the client's deadline, ms. */
  readonly leftMs: number;
  /** Time that a server needs for the request, ms. */
  readonly serviceMs: number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** Part of its remaining time for which a client waits. */
const MAX_WAIT_PART = 1 / 3;
/** Part of the time over which clients are spread. */
const SPREAD = 0.5;
/** The same for clients that come back at the end of their longest wait. */
const EARLY_SPREAD = 0.3;
const MIN_ROOM_MS = 100;
const MAX_ROOM_MS = 10_000;
/** Interval after which an overloaded resource may admit a request, ms. */
const SHARE_INTERVAL_MS = 1_000;

/** Least and largest `Retry-After` of a refusal, ms. */
export interface RetryRange {
  readonly minMs: number;
  readonly maxMs: number;
}

/** Returns the range in which `spreadRetryAfter` draws a time. */
export function computeRetryRange(
  facts: Omit<RetryFacts, "random">,
): RetryRange {
  const { roomMs, leftMs, serviceMs } = facts;
  const room = limitRoom(roomMs);
  const maxMs = MAX_WAIT_PART * leftMs;
  const isShortened = room + serviceMs <= leftMs &&
    room * (1 + SPREAD) > maxMs;
  const least = spreadRetryAfter({ ...facts, random: () => 0 });
  if (!isShortened) {
    return { minMs: least, maxMs: Math.ceil(room * (1 + SPREAD)) };
  }
  const earliestMs = Math.max(1, Math.floor(maxMs * (1 - EARLY_SPREAD)));
  const latestMs = Math.max(1, Math.ceil(maxMs));
  return { minMs: Math.min(least, earliestMs), maxMs: latestMs };
}

/**
 * Returns the `Retry-After` of a refusal, ms; above 0. A request that can still
 * be served in its remaining time is told to come back while its client waits
 * for that; another one is told the time at which there is room.
 */
export function spreadRetryAfter(
  { roomMs, leftMs, serviceMs, random }: RetryFacts,
): number {
  const room = limitRoom(roomMs);
  const spread = room * (1 + SPREAD * random());
  const maxMs = MAX_WAIT_PART * leftMs;
  const isServable = room + serviceMs <= leftMs;
  if (!isServable || spread <= maxMs) return Math.ceil(spread);
  return Math.max(1, Math.floor(maxMs * (1 - EARLY_SPREAD * random())));
}

function limitRoom(roomMs: number): number {
  return Math.min(MAX_ROOM_MS, Math.max(MIN_ROOM_MS, roomMs));
}

/**
 * Returns the time after which a request is expected to be admitted by a share,
 * ms: of the clients that come back each second, the share is admitted.
 */
export function estimateRoomByShare(share: number): number {
  return SHARE_INTERVAL_MS * (1 / Math.max(1e-3, share) - 1);
}
