/** Failures of requests to the platform's services. @module */

/** Kinds of failed requests to the platform. */
export enum FailureKind {
  /** The connection failed or was lost, or the status was an error. */
  Unavailable = "unavailable",
  /** The response was not complete within the timeout. */
  Timeout = "timeout",
  /** The log no longer retains the requested offset. */
  Truncated = "truncated",
  /** The response is too large or does not have the documented format. */
  Malformed = "malformed",
}

/** Describes why a read failed. */
export interface PlatformFailure {
  readonly kind: FailureKind;
  /** Error message: one sentence with the location and the cause. */
  readonly text: string;
  /** Lowest offset that the log retains; set for `Truncated` only. */
  readonly oldest?: number;
}
