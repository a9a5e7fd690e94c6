/** Answers requests that are refused or that have failed. @module */
import { type EventLog, EventPriority } from "@jaytiller/kernel";
import { type RetryRange, spreadRetryAfter } from "@jaytiller/placement";
import {
  type ClientCall,
  endUnreadBody,
  type ReceivedRequest,
  RouterStatus,
  sendEmptyAnswer,
} from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import { ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { ClientLimit, type LimitLog } from "./limit_log.js";
import type { MemoryBudget } from "./memory_budget.js";
import { RefusalReason } from "./placement_decision.js";
import type { Refusal } from "./placer.js";
import type { RequestMetadata } from "./ports.js";
import type { RequestLog } from "./request_log.js";
import {
  type RejectionReason,
  REJECTIONS,
  STOPPING_RETRY_AFTER_MS,
} from "./route_decision.js";

/** Dependencies of a refusal responder. */
export interface RefusalResponderOptions {
  readonly cluster: ClusterState;
  readonly log: EventLog;
  readonly budget: MemoryBudget;
  readonly limits: LimitLog;
  readonly requestLog: RequestLog;
}

/** `Retry-After` of a request that crashes servers, ms. */
export const BARRED_RETRY_AFTER_MS = 5_000;
/** Largest `Retry-After` of a request that servers rejected, unspread, ms. */
const MAX_REJECTED_RETRY_AFTER_MS = 200;
/** The same as a share of the route's target. */
const REJECTED_TARGET_SHARE = 0.25;
/** Range from which the `Retry-After` of a body that has no room is drawn. */
export const NO_ROOM_RETRY_RANGE: RetryRange = { minMs: 500, maxMs: 1_000 };

/** Sends and logs the router's own responses to requests. */
export class RefusalResponder {
  readonly #options: RefusalResponderOptions;
  readonly #requestLog: RequestLog;

  constructor(options: RefusalResponderOptions) {
    this.#options = options;
    this.#requestLog = options.requestLog;
  }

  /** Answers a request that is refused before it is routed. */
  reject(
    { request, response, pipelined }: ReceivedRequest,
    metadata: RequestMetadata,
    reason: RejectionReason,
  ): void {
    const { cluster, log } = this.#options;
    log.write("refused", {
      request: metadata.attemptId,
      reason,
      version: cluster.routes?.version,
      configurationAgeMs: cluster.getRoutesAgeMs(performance.now()),
    }, EventPriority.Routine);
    const { status, retryAfterMs } = REJECTIONS[reason];
    const deadline = metadata.deadlineMs === undefined
      ? undefined
      : { deadlineMs: performance.now() + metadata.deadlineMs };
    sendEmptyAnswer(response, {
      status,
      retryAfterMs: retryAfterMs && computeRetryAfter(retryAfterMs, deadline),
      isClosing: endUnreadBody(request, pipelined) || pipelined.takeClose(),
    });
  }

  /** Refuses a request before its body of `bytes` is read: no memory. */
  refuseBody(call: ClientCall, bytes: number): void {
    const { budget, limits } = this.#options;
    limits.record(ClientLimit.BodyRefused, {
      client: call.clientAddress,
      bytes,
      usedBytes: budget.usedBytes,
    });
    call.answer(RouterStatus.Refused, computeNoRoomRetryAfter());
    this.#requestLog.write(call, "noMemory");
  }

  /** Refuses a request that was not sent, to make room for others. */
  giveUp(call: ClientCall): void {
    const isAnswered = call.isAnswered;
    call.giveUp(computeNoRoomRetryAfter());
    if (!isAnswered) this.#requestLog.write(call, "noMemory");
  }

  /** Refuses a request whose body is larger than allowed. */
  refuseTooLarge(call: ClientCall): void {
    call.answer(RouterStatus.TooLarge);
    this.#requestLog.write(call, "tooLarge");
  }

  /** Refuses a request because this process stops. */
  refuseStopping(call: ClientCall): void {
    this.refuse(call, {
      reason: RefusalReason.Stopping,
      retryAfterMs: computeRetryAfter(STOPPING_RETRY_AFTER_MS, call),
    });
  }

  /** Refuses a request because it crashes servers. */
  refuseBarred(call: ClientCall): void {
    call.answer(RouterStatus.Refused, computeRetryAfter(BARRED_RETRY_AFTER_MS));
    this.#requestLog.write(call, "crashesServers");
  }

  /** Answers a request for which no server was selected. */
  refuse(call: ClientCall, refusal: Refusal): void {
    if (call.isGivenUp) return;
    if (refusal.reason === RefusalReason.ClientLeft) {
      return this.#requestLog.write(call, "clientLeft");
    }
    const isUnknown = call.mayHaveRun;
    const status = refusal.reason === RefusalReason.NoKey
      ? RouterStatus.BadRequest
      : isUnknown
      ? RouterStatus.Unknown
      : RouterStatus.Refused;
    call.answer(status, isUnknown ? undefined : refusal.retryAfterMs);
    this.#requestLog.write(call, refusal.reason);
  }

  /** Answers a request whose last attempt failed. */
  fail(call: ClientCall, result: ExchangeResult): void {
    if (call.isGivenUp) return;
    if (call.hasClientLeft) {
      return this.#requestLog.write(call, "clientLeft", result);
    }
    if (call.mayHaveRun) {
      const isLate = result.end === ExchangeEnd.TimedOut;
      call.answer(isLate ? RouterStatus.TimedOut : RouterStatus.Unknown);
      return this.#requestLog.write(call, "unknown", result);
    }
    call.answer(RouterStatus.Refused, computeRejectedRetryAfter(call));
    this.#requestLog.write(call, "refused", result);
  }

  /** Answers a request whose deadline has passed. */
  timeOut(call: ClientCall): void {
    call.cancel();
    const wasSent = call.mayHaveRun || call.isSent;
    call.answer(wasSent ? RouterStatus.TimedOut : RouterStatus.Refused);
    this.#requestLog.write(call, "timedOut");
  }
}

/**
 * Returns a randomized `Retry-After`, ms. `roomMs` is the time until there is
 * expected to be room; without a deadline the result is not shortened to fit it.
 */
function computeRetryAfter(
  roomMs: number,
  deadline?: { deadlineMs: number },
): number {
  const leftMs = deadline ? deadline.deadlineMs - performance.now() : 0;
  const random = Math.random;
  return spreadRetryAfter({ roomMs, leftMs, serviceMs: 0, random });
}

/** Returns a randomized `Retry-After` of a body that has no room, ms. */
function computeNoRoomRetryAfter(): number {
  const { minMs, maxMs } = NO_ROOM_RETRY_RANGE;
  return minMs + (maxMs - minMs) * Math.random();
}

/** Returns the `Retry-After` of a request that servers rejected, ms. */
function computeRejectedRetryAfter(call: ClientCall): number {
  const { targetMs } = call.route;
  const roomMs = Math.min(
    REJECTED_TARGET_SHARE * targetMs,
    MAX_REJECTED_RETRY_AFTER_MS,
  );
  return computeRetryAfter(roomMs, call);
}
