/** Units of concurrency that are leased to gateways. @module */
import type { ServerEntry } from "@jaytiller/routing";
import { computeShare, REQUESTS_PER_SLOT_HELD } from "./concurrency_limit.js";

/** Concurrency at one process of a server that a gateway may use. */
export type CapacityLease = readonly [
  server: string,
  born: number,
  units: number,
];

/** Wanted concurrency for a service since the last report. */
export type ServiceDemand = readonly [
  service: string,
  /** Most requests in flight and waiting at one time. */
  peak: number,
  /** Their average over time. */
  mean: number,
];

/** Lease fields of one heartbeat. */
export interface LeaseMessage {
  /** Version that should be in force; 0 before there are leases. */
  readonly leasesVersion: number;
  /** Present until the recipient has acknowledged the version. */
  readonly leases?: {
    readonly version: number;
    readonly items: readonly CapacityLease[];
  };
  /**
   * The recipient's clock in the last reply that the coordinator received, ms.
   * The lease is valid for a fixed time from that moment, so neither a message
   * that is delivered late nor a paused process prolongs it.
   */
  readonly leasesEchoMs?: number;
}

/** Lease fields of the reply to a heartbeat. */
export interface LeaseReply {
  /** Version of the leases in force; 0 if there are none of this term. */
  readonly leasesVersion: number;
  /**
   * Newest version whose reductions have taken effect, if older than
   * `leasesVersion`: requests in flight still use the units.
   */
  readonly leasesReleased?: number;
  /** Clock of the replying process, ms; its zero point is arbitrary. */
  readonly leasesClockMs: number;
  readonly demand: readonly ServiceDemand[];
}

/**
 * Time for which a lease is valid, ms. It outlives a usual change of the
 * coordinator, and bounds how long the units of a lost gateway are unused.
 */
export const LEASE_LIFE_MS = 5_000;
/** Largest share by which the clock of a gateway may run slower than ours. */
const MAX_CLOCK_SKEW = 0.02;
const EXPIRY_MARGIN_MS = 500;
/**
 * Time after the last reply of a gateway until its leases have expired
 * everywhere, ms.
 */
export const LEASE_RECLAIM_MS = LEASE_LIFE_MS * (1 + MAX_CLOCK_SKEW) +
  EXPIRY_MARGIN_MS;

/** Returns the number of requests of all gateways that a server holds. */
export function computeHeldUnits({ slots }: { slots: number }): number {
  return Math.floor(REQUESTS_PER_SLOT_HELD * slots);
}

/**
 * Returns whether the capacity of a service is leased: one request of each
 * gateway would exceed what one of its servers holds.
 */
export function isLeased(
  servers: readonly ServerEntry[],
  gateways: number,
): boolean {
  return servers.some((server) => gateways > computeHeldUnits(server));
}

/** Returns the share of a server that corresponds to leased units. */
export function computeLeasedShare(units: number): number {
  return computeShare({ slots: units / REQUESTS_PER_SLOT_HELD, routers: 1 });
}

/** Share of a server's capacity that gateways without a lease may expect. */
const UNLEASED_SHARE = 0.5;

/**
 * Returns how many servers a gateway without a lease uses, at one request each.
 * On average over the hashes, the sum of all gateways is at most half of what a
 * server holds, unless there are fewer such places than gateways.
 */
export function computeSubsetSize(
  servers: readonly ServerEntry[],
  gateways: number,
): number {
  if (servers.length === 0) return 0;
  const units = Math.min(...servers.map(computeHeldUnits));
  const size = UNLEASED_SHARE * units * servers.length / Math.max(1, gateways);
  return Math.min(servers.length, Math.max(1, Math.floor(size)));
}
