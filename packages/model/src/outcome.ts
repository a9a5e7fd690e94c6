/** Outcome of a request as reported to the caller. @module */

/** Value of the `jaytiller-outcome` header. */
export enum Outcome {
  /** The owner's complete response was returned. */
  Answered = "answered",
  /** The request did not run and will not run under this attempt. */
  Refused = "refused",
  /** The request may have run. Retry it with the same identity. */
  Unknown = "unknown",
}

/** Value of the `jaytiller-reason` header. */
export enum Reason {
  NoRoute = "noRoute",
  BadRequest = "badRequest",
  IdentityRequired = "identityRequired",
  IdentityAhead = "identityAhead",
  IdentityTooOld = "identityTooOld",
  IdentityBarred = "identityBarred",
  AlreadyRunning = "alreadyRunning",
  AnswerNotKept = "answerNotKept",
  BodyTooLarge = "bodyTooLarge",
  BodyStalled = "bodyStalled",
  NotReady = "notReady",
  NoOwner = "noOwner",
  OwnerUnreachable = "ownerUnreachable",
  HolderUnreachable = "holderUnreachable",
  NoAuthority = "noAuthority",
  Moving = "moving",
  Overloaded = "overloaded",
  DeadlinePassed = "deadlinePassed",
  Poisoned = "poisoned",
  Draining = "draining",
  ServerRefused = "serverRefused",
  ConnectionLost = "connectionLost",
  AnswerMismatch = "answerMismatch",
  Stopping = "stopping",
}

/** HTTP status of each reason. Outcome `Unknown` always has 502 or 504. */
export const REASON_STATUS: Readonly<Record<Reason, number>> = {
  [Reason.NoRoute]: 404,
  [Reason.BadRequest]: 400,
  [Reason.IdentityRequired]: 400,
  [Reason.IdentityAhead]: 400,
  [Reason.IdentityTooOld]: 502,
  [Reason.IdentityBarred]: 409,
  [Reason.AlreadyRunning]: 504,
  [Reason.AnswerNotKept]: 409,
  [Reason.BodyTooLarge]: 413,
  [Reason.BodyStalled]: 408,
  [Reason.NotReady]: 503,
  [Reason.NoOwner]: 503,
  [Reason.OwnerUnreachable]: 503,
  [Reason.HolderUnreachable]: 503,
  [Reason.NoAuthority]: 503,
  [Reason.Moving]: 503,
  [Reason.Overloaded]: 429,
  [Reason.DeadlinePassed]: 503,
  [Reason.Poisoned]: 503,
  [Reason.Draining]: 503,
  [Reason.ServerRefused]: 503,
  [Reason.ConnectionLost]: 502,
  [Reason.AnswerMismatch]: 502,
  [Reason.Stopping]: 503,
};

/**
 * Tells the caller why there is no response from the owner. It must never report
 * `Refused` for a request that may have run.
 */
export interface FailureOutcome {
  readonly outcome: Outcome.Refused | Outcome.Unknown;
  readonly reason: Reason;
  /** Explanation for the caller, in one sentence. */
  readonly text: string;
  readonly retryAfterMs?: number;
}

/** Lower-case names of the headers that routers read and write. */
export const HEADER = {
  outcome: "jaytiller-outcome",
  reason: "jaytiller-reason",
  requestId: "jaytiller-request-id",
  replayed: "jaytiller-replayed",
  service: "jaytiller-service",
  key: "jaytiller-key",
  deadline: "jaytiller-deadline-unix-ms",
  hlc: "jaytiller-hlc",
  relay: "jaytiller-relay",
  holder: "jaytiller-holder",
  mayHaveRun: "jaytiller-may-have-run",
  identity: "idempotency-key",
  retryAfter: "retry-after",
} as const;

/** Lower-case names of the headers between a holder and a backend server. */
export const SERVER_HEADER = {
  requestId: "x-request-id",
  token: "x-owner-token",
  unit: "x-owner-unit",
  deadline: "x-deadline-unix-ms",
  notRun: "x-not-run",
  identity: "idempotency-key",
} as const;
