/**
 * Decides whether a router may replace the coordinator named by the newest
 * record.
 *
 * The coordinator may have stopped or be paused, or a link or an availability
 * zone may be partitioned, with or without connection resets. Routers of a
 * partitioned zone reach no router elsewhere. If they claimed the coordinator
 * role, the other zones would claim it back, over and over.
 * @module
 */
import type { RouterRef } from "@jaytiller/ranges";
import {
  COORDINATOR_TIMEOUT_MS,
  RECORD_REFRESH_INTERVAL_MS,
} from "./timing.js";

/** Status of the coordinator that the newest record names. */
export enum CoordinatorStatus {
  /** It sends heartbeats to this router. */
  Heard = "heard",
  /** It accepted this router's request to join. */
  Joined = "joined",
  /** Its term has ended, according to the record or to its own reply. */
  Ended = "ended",
  /** The connection is refused: no listener, or a partition with resets. */
  Refused = "refused",
  /** The call got no reply. */
  Silent = "silent",
}

/** A peer's report of how long it has received no heartbeat. */
export interface PeerReport {
  readonly router: RouterRef;
  /** Absent if the peer did not reply. */
  readonly silentMs?: number;
  /** Term that it follows; absent if the peer did not reply. */
  readonly term?: number;
}

/** What is known of the coordinator that the newest record names. */
export interface NewCoordinatorFacts {
  readonly status: CoordinatorStatus;
  /** Whether it is the one that this router has followed so far. */
  readonly isFollowed: boolean;
  /** Time since this router first read a record of it, ms. */
  readonly knownMs: number;
}

/** Input of the decision. */
export interface ClaimInput {
  readonly self: RouterRef;
  readonly coordinator: RouterRef;
  readonly status: CoordinatorStatus.Refused | CoordinatorStatus.Silent;
  readonly peerReports: readonly PeerReport[];
  /** Time since this router first read the newest record, ms. */
  readonly recordUnchangedMs: number;
  /**
   * Term of an earlier coordinator; absent if this router has followed the one
   * that the record names.
   */
  readonly earlierTerm?: number;
}

/**
 * Share of the coordinator timeout for which all replying peers must have
 * received no heartbeat. Peers start to miss heartbeats at different times.
 */
const MIN_SILENCE_SHARE = 0.8;
/** A running coordinator rewrites its record more often than this. */
const STALE_RECORD_MS = 1.5 * RECORD_REFRESH_INTERVAL_MS;
/**
 * Time that a new coordinator gets to reach this router, ms. Its first
 * heartbeats carry the whole state: 88 of them took 0.7 s to be answered by a
 * majority, and longer while the routers read the store themselves.
 */
export const FIRST_HEARTBEAT_GRACE_MS = 2_000;
/** Largest number of peers asked before a claim. */
const MAX_PEERS_ASKED = 4;

/**
 * Chooses at random which peers to ask about the coordinator, those of other
 * zones first. `random` returns a number from 0 to below 1.
 */
export function choosePeersToAsk(
  routers: readonly RouterRef[],
  options: {
    self: RouterRef;
    coordinator: RouterRef | undefined;
    random: () => number;
  },
): readonly RouterRef[] {
  const { self, coordinator, random } = options;
  const others = routers
    .filter((r) => r.node !== self.node && r.node !== coordinator?.node)
    .map((router) => ({ router, at: random() }))
    .sort((a, b) => a.at - b.at)
    .map(({ router }) => router);
  const otherZones = others.filter((r) => r.zone !== self.zone);
  const sameZone = others.filter((r) => r.zone === self.zone);
  return [...otherZones.slice(0, MAX_PEERS_ASKED - 1), ...sameZone].slice(
    0,
    MAX_PEERS_ASKED,
  );
}

/**
 * Returns whether the record names a new coordinator that has yet to reach this
 * router.
 *
 * Load pattern: the coordinator loses the store, and hundreds of routers notice
 * at once. The first to claim takes a while to reach the others. If these went
 * by what the earlier coordinator said, they would claim the role from it, and
 * then from each other.
 */
export function isNewCoordinator(
  { status, isFollowed, knownMs }: NewCoordinatorFacts,
): boolean {
  if (isFollowed || knownMs >= FIRST_HEARTBEAT_GRACE_MS) return false;
  return status === CoordinatorStatus.Heard ||
    status === CoordinatorStatus.Silent;
}

/** Returns whether the router may claim the coordinator role. */
export function isClaimAllowed(input: ClaimInput): boolean {
  if (isZoneIsolated(input)) return input.recordUnchangedMs > STALE_RECORD_MS;
  if (input.status === CoordinatorStatus.Refused) return true;
  const silencesMs = listSilences(input);
  if (silencesMs.length === 0) return input.recordUnchangedMs > STALE_RECORD_MS;
  return silencesMs.every((ms) =>
    ms > MIN_SILENCE_SHARE * COORDINATOR_TIMEOUT_MS
  );
}

/**
 * Lists for how long peers have not heard the coordinator, ms. An earlier one
 * that has lost the store may still send heartbeats, with an earlier term.
 */
function listSilences(
  { peerReports, earlierTerm = -Infinity }: ClaimInput,
): readonly number[] {
  return peerReports.flatMap(({ silentMs, term = Infinity }) => {
    if (silentMs === undefined) return [];
    return [term <= earlierTerm ? Infinity : silentMs];
  });
}

/**
 * Returns whether the coordinator is in another zone and no peer asked in
 * another zone replied.
 */
function isZoneIsolated(
  { self, coordinator, peerReports }: ClaimInput,
): boolean {
  const otherZones = peerReports.filter((r) => r.router.zone !== self.zone);
  return coordinator.zone !== self.zone && otherZones.length > 0 &&
    otherZones.every((r) => r.silentMs === undefined);
}
