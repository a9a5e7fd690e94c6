/**
 * Decides whether a request is sent, queued or refused.
 *
 * Load pattern: more requests for one owner or service than it can process.
 * Requests that can be completed in time wait at the router in order of
 * priority. The others are refused immediately, so that their clients can retry
 * before their deadlines.
 * @module
 */

/** The admission decision for a request. */
export enum Verdict {
  Send = "send",
  Wait = "wait",
  Refuse = "refuse",
}

/** State of the server, or group of servers, that could process a request. */
export interface AdmissionFacts {
  /** Whether a server has free capacity now. */
  readonly hasCapacity: boolean;
  /** Requests queued at this router ahead of this one for the same capacity. */
  readonly ahead: number;
  /** Maximum number of this router's requests in flight there. */
  readonly limit: number;
  /** Whether the server is known not to be near overload; false if absent. */
  readonly isRoomKnown?: boolean;
  /** Service time of one request, ms. */
  readonly serviceMs: number;
  /** Expected time until the response if the request is sent now, ms. */
  readonly expectedMs: number;
  /** Time left until the client's or the route's deadline, ms. */
  readonly leftMs: number;
  /** Latency within which a response has its full value, ms. */
  readonly targetMs: number;
}

/** A verdict and, for a refusal, the time until there is room. */
export interface Admission {
  readonly verdict: Verdict;
  /** Work ahead divided by its rate, ms; see `spreadRetryAfter`. */
  readonly roomMs: number;
  /** Longest time that a request waits, ms; 0 unless the verdict is to wait. */
  readonly maxWaitMs: number;
}

/** Maximum share of its remaining time that a request spends waiting. */
const MAX_WAIT_SHARE = 0.4;
/** Share of the target that wait and response are expected to take at most. */
const MAX_TARGET_SHARE = 0.8;
/** Share of their time that requests in flight still take on average. */
const MEAN_REMAINING_SHARE = 0.5;
/** Share of the expected time after which a response may already arrive. */
const FAST_ANSWER_SHARE = 0.6;

/** Decides on the admission of one request. */
export function decideAdmission(facts: AdmissionFacts): Admission {
  // A server would waste work on a request that it cannot complete in time.
  if (facts.expectedMs * FAST_ANSWER_SHARE > facts.leftMs) {
    return refuse(Math.max(0, facts.expectedMs - facts.serviceMs));
  }
  if (facts.hasCapacity && facts.ahead === 0) return admit(Verdict.Send);
  // By Little's law, `limit` requests end in the time that each of them takes.
  // Those at a server near overload have yet to be started there.
  const first = facts.isRoomKnown ? MEAN_REMAINING_SHARE : 1;
  const waitMs = (facts.ahead + first) * facts.expectedMs / facts.limit;
  const maxWaitMs = Math.min(
    MAX_WAIT_SHARE * facts.leftMs,
    MAX_TARGET_SHARE * facts.targetMs - facts.expectedMs,
  );
  const isInTime = waitMs <= maxWaitMs;
  if (isInTime) return { verdict: Verdict.Wait, roomMs: 0, maxWaitMs };
  return refuse(waitMs);
}

/** A server that takes a request only later, because it has said so. */
export interface DelayFacts {
  /** Time until it takes the request, ms. */
  readonly delayMs: number;
  /** Time left until the client's or the route's deadline, ms. */
  readonly leftMs: number;
  /** Latency within which a response has its full value, ms. */
  readonly targetMs: number;
}

/** Decides on a request for a server that has asked for a pause or a limit. */
export function decideDelayed(facts: DelayFacts): Admission {
  const { delayMs } = facts;
  if (delayMs === 0) return admit(Verdict.Send);
  const maxWaitMs = computeMaxDelay(facts);
  if (delayMs > maxWaitMs) return refuse(delayMs);
  return { verdict: Verdict.Wait, roomMs: 0, maxWaitMs };
}

/** Returns the longest time that a request waits for such a server, ms. */
export function computeMaxDelay(
  { leftMs, targetMs }: Omit<DelayFacts, "delayMs">,
): number {
  return MAX_WAIT_SHARE * Math.min(leftMs, targetMs);
}

function admit(verdict: Verdict.Send): Admission {
  return { verdict, roomMs: 0, maxWaitMs: 0 };
}

function refuse(roomMs: number): Admission {
  return { verdict: Verdict.Refuse, roomMs, maxWaitMs: 0 };
}
