/** Calls to backend servers that grant, renew and release leases. @module */
import type { ServerIncarnation } from "./assignment.js";

/** The operation that a call requests from a server. */
export enum LeaseCallKind {
  /** Grants the keys, or renews their lease. */
  Grant = "grant",
  /** Asks the server to give up the keys once its work on them has finished. */
  Release = "release",
  /** Checks only whether the server is reachable. */
  Probe = "probe",
}

/** A call that is due to be sent immediately. */
export interface LeaseCall {
  readonly kind: LeaseCallKind;
  readonly server: ServerIncarnation;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  /** Duration of the lease, ms; 0 for calls other than a grant. */
  readonly holdMs: number;
  readonly handover?: string;
}

/** The outcome of a call. */
export enum LeaseCallOutcome {
  Done = "done",
  /** The server has seen a higher fencing token. */
  Fenced = "fenced",
  /** The server rejected the call as invalid. */
  Rejected = "rejected",
  /** No connection was made; the call did not reach the server. */
  NotSent = "notSent",
  /** No response; the call may have taken effect or may do so seconds later. */
  Unknown = "unknown",
}

/** Outcome and details of a call. */
export interface LeaseCallResult {
  readonly end: LeaseCallOutcome;
  /**
   * Token from a release response that transfers warm state to the next owner.
   */
  readonly handover?: string;
  /** Time for which the server says that it is still cold, ms. */
  readonly coldMs?: number;
  /** Error description for the log. */
  readonly problem?: string;
}
