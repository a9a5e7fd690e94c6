/** Calls to backend servers about the keys that they own. @module */
import type { ServerLife } from "./assignment.js";

/** What a call asks of a server. */
export enum LeaseCallKind {
  /** Gives keys, or renews their lease. */
  Grant = "grant",
  /** Takes keys back once the work on them has ended. */
  Release = "release",
  /** Only finds out whether the server can be reached. */
  Probe = "probe",
}

/** One call, to be sent at once. */
export interface LeaseCall {
  readonly kind: LeaseCallKind;
  readonly server: ServerLife;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  /** Duration of the lease, ms; 0 for calls other than a grant. */
  readonly holdMs: number;
  readonly handover?: string;
}

/** How a call ended. */
export enum LeaseCallEnd {
  Done = "done",
  /** The server has seen a higher fencing token. */
  Fenced = "fenced",
  /** The server does not accept the call as it is. */
  Rejected = "rejected",
  /** No connection: the call has not reached the server. */
  NotSent = "notSent",
  /** No answer: the call may take effect, now or seconds later. */
  Unknown = "unknown",
}

/** Result of a call. */
export interface LeaseCallResult {
  readonly end: LeaseCallEnd;
  /** Token that passes warm state on, in the answer to a release. */
  readonly handover?: string;
  /** What went wrong, for the log. */
  readonly problem?: string;
}
