/** Durations used by the ownership protocol. @module */

/** Configurable durations, all in ms, named like their settings. */
export interface Timing {
  /** Interval between heartbeats to a peer. */
  readonly heartbeatMs: number;
  /** Interval between renewals of a server's grants. */
  readonly renewMs: number;
  readonly leaseMs: number;
  /** Added by the holder to `leaseMs` before it treats a lease as expired. */
  readonly leaseMarginMs: number;
  /** Peers and servers that have been silent for longer are suspected. */
  readonly suspectAfterMs: number;
  /** Maximum age of the evidence that a router is still the holder. */
  readonly authorityMs: number;
  /** Assumed maximum error between the wall clocks of two VMs. */
  readonly clockErrorMs: number;
}

/** The durations that apply where the settings give no value. */
export const DEFAULT_TIMING: Timing = {
  heartbeatMs: 100,
  renewMs: 100,
  leaseMs: 450,
  leaseMarginMs: 30,
  suspectAfterMs: 250,
  authorityMs: 400,
  clockErrorMs: 50,
};

/** Delay per rank between the candidates for a claim. */
export const CLAIM_RANK_DELAY_MS = 150;
/** Claims that supersede each other within this window cause a backoff. */
export const CLAIM_BACKOFF_WINDOW_MS = 10_000;
/**
 * Backoff after the second claim in the window; doubled by each further one.
 */
export const CLAIM_BACKOFF_MS = 250;
export const MAX_CLAIM_BACKOFF_MS = 4_000;
/**
 * Time that a stopping holder has to hand its groups over. A claim within this
 * time would supersede the handover, and the idempotency keys that the handover
 * transfers would be lost.
 */
export const HANDOVER_GRACE_MS = 400;
/** A new server, or one that responds again, gets units after this delay. */
export const JOIN_DAMPING_MS = 2_000;
/** Other groups move no units to a server for this long after it lost some. */
export const RETURN_DAMPING_MS = 10_000;
/** A leaving server gets no new requests after this time; the limit is 3 s. */
export const MAX_LEAVING_SERVE_MS = 2_400;
/** Maximum number of concurrent moves in one group. */
export const MAX_GROUP_MOVES = 16;
/**
 * A record that has not shown up in the log after this time is appended again.
 */
export const APPEND_RETRY_MS = 1_000;
