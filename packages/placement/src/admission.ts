/**
 * Decides whether a request is sent, waits or is refused.
 *
 * Load pattern: more requests for one owner, or one service, than it can run.
 * What can be run in time waits at the router in order of rank; what cannot is
 * refused at once, so that its client can come back while there is time.
 * @module
 */

/** What happens to a request next. */
export enum Verdict {
  Send = "send",
  Wait = "wait",
  Refuse = "refuse",
}

/** What is known of the server, or group of servers, that could run it. */
export interface AdmissionFacts {
  /** Whether a server has room now. */
  readonly hasRoom: boolean;
  /** Requests that wait at this router before this one for the same room. */
  readonly ahead: number;
  /** Requests that this router may have under way in this room. */
  readonly limit: number;
  /** Time of one request, ms. */
  readonly serviceMs: number;
  /** Time until the answer if the request is sent now, ms. */
  readonly expectedMs: number;
  /** Time until the client's deadline or the route's, ms. */
  readonly leftMs: number;
  /** Time within which an answer has its full worth, ms. */
  readonly targetMs: number;
}

/** A verdict and, for a refusal, when the client should come back. */
export interface Admission {
  readonly verdict: Verdict;
  readonly retryAfterMs: number;
}

/** A request waits for at most this share of the time it has left. */
const WAIT_SHARE = 0.4;
/** Work that takes this share of the expected time is not unusual. */
const HOPELESS_SHARE = 0.6;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;

/** Decides on one request. */
export function decideAdmission(facts: AdmissionFacts): Admission {
  // A server would work in vain for a request that it cannot end in time.
  if (facts.expectedMs * HOPELESS_SHARE > facts.leftMs) {
    const retryAfterMs = computeRetryAfter(facts.expectedMs - facts.serviceMs);
    return { verdict: Verdict.Refuse, retryAfterMs };
  }
  if (facts.hasRoom && facts.ahead === 0) return admit(Verdict.Send);
  const waitMs = (facts.ahead + 1) * facts.serviceMs / facts.limit;
  const bound = Math.min(WAIT_SHARE * facts.leftMs, facts.targetMs);
  const fits = waitMs <= bound && waitMs + facts.serviceMs < facts.leftMs;
  if (fits) return admit(Verdict.Wait);
  return { verdict: Verdict.Refuse, retryAfterMs: computeRetryAfter(waitMs) };
}

/** Time after which a client may find room again, ms. */
export function computeRetryAfter(waitMs: number): number {
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
}

function admit(verdict: Verdict): Admission {
  return { verdict, retryAfterMs: 0 };
}
