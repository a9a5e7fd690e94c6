/** Types of the idempotency store. @module */
import type { IdentityEntry, StoredResponse } from "@jaytiller/model";

/** What `IdempotencyStore.admit` decided about an attempt. */
export enum AdmissionKind {
  /** Not seen before. It is recorded as running; the caller must run it. */
  New = "new",
  /** An earlier attempt is running. */
  Running = "running",
  /** An earlier attempt got a response. */
  Done = "done",
  /** It was reported to a router as not run, so it must not run any more. */
  Barred = "barred",
  /** It may have run before; its outcome is unknown. */
  Forgotten = "forgotten",
  /** Its timestamp is too far ahead of the clock. */
  Ahead = "ahead",
  /** It is not a UUIDv7. */
  Malformed = "malformed",
}

/** Result of `IdempotencyStore.admit`. */
export type Admission =
  | { readonly kind: Exclude<AdmissionKind, AdmissionKind.Done> }
  | { readonly kind: AdmissionKind.Done; readonly answer: StoredResponse };

/**
 * Default of `keptTotalBytes`. Without this limit, 100,000 bodies of 16 KiB
 * would take 2 GB; a router that holds several groups must stay below 256 MB.
 */
export const DEFAULT_KEPT_TOTAL_BYTES = 32 * 1024 * 1024;

/** Limits of an idempotency store. */
export interface StoreLimits {
  /** How far the timestamp of an identity may be ahead of the clock, in ms. */
  readonly toleranceMs: number;
  /** Largest difference between the clocks of two entry VMs, in ms. */
  readonly clockErrorMs: number;
  /**
   * How long an identity is kept after its last state change, in ms. Also the
   * age from which an identity that is not recorded is not run.
   */
  readonly windowMs: number;
  /** Largest number of identities that are kept; at least 1. */
  readonly capacity: number;
  /** Largest response body that is kept for replay, in bytes. */
  readonly keptBytes: number;
  /**
   * Largest total size of the kept response bodies, in bytes. Defaults to
   * `DEFAULT_KEPT_TOTAL_BYTES`.
   */
  readonly keptTotalBytes?: number;
}

/** Options of `IdempotencyStore.create`. */
export interface StoreOptions extends StoreLimits {
  /**
   * Unix ms at which the holder took over the group. Identities up to then may
   * have run without being recorded.
   */
  readonly knownSinceMs: number;
}

/** Content of an idempotency store, as sent in a handover. */
export interface StoreSnapshot {
  /** Unix ms up to which identities may have run without being recorded. */
  readonly knownSinceMs: number;
  readonly entries: readonly IdentityEntry[];
}
