/** Sends requests to backend servers. @module */
import {
  EventKind,
  type GroupId,
  Reason,
  RequestClass,
  SERVER_HEADER,
} from "@jaytiller/model";
import type {
  RoutingDecision,
  RoutingDecisionKind,
} from "@jaytiller/ownership";
import {
  BodyKind,
  type Call,
  makeRefusal,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import type { PoisonDetector } from "./poison_detector.js";
import type { Events } from "./events.js";
import type { Groups } from "./groups.js";
import { createAgent, HopKind, type HopResult, sendHop } from "./http_call.js";
import type { IdempotencyStores } from "./idempotency_stores.js";
import type { Metrics } from "./metrics.js";
import { RunResult, type ServerSlots } from "./server_slots.js";

const RETRY_AFTER_MS = 500;
const MIN_ATTEMPT_TIMEOUT_MS = 200;
/** Share of the remaining time that an attempt that can be retried may take. */
const MAX_ATTEMPT_SHARE = 0.65;
/** An attempt may take this multiple of its class's estimated service time. */
const SERVICE_TIME_FACTOR = 3;

/** A routing decision to send a request to a server. */
export type ServerRoute = Extract<
  RoutingDecision,
  { kind: RoutingDecisionKind.Forward }
>;

/** Limits of calls to backend servers. */
export interface CallLimits {
  readonly bufferedAnswerBytes: number;
  readonly bodyIdleTimeoutMs: number;
}

/** How an attempt to send a request to a server ended. */
export enum AttemptKind {
  Done = "done",
  /** Nothing was sent; the key has to be routed again for a retry. */
  Retry = "again",
  /** The server refused the token, the unit or the connection. */
  NotAccepted = "fenced",
  /** The server refused the request without executing it. */
  Shed = "shed",
  /** The request was sent and no complete response arrived. */
  Lost = "lost",
}

export type Attempt =
  | { readonly kind: AttemptKind.Done; readonly result: Result }
  | { readonly kind: AttemptKind.Shed; readonly result: Result }
  | { readonly kind: AttemptKind.Retry | AttemptKind.NotAccepted }
  | {
    readonly kind: AttemptKind.Lost;
    readonly text: string;
    readonly aborted: boolean;
  };

const RUN_RESULTS: Readonly<Record<AttemptKind, RunResult>> = {
  [AttemptKind.Done]: RunResult.Served,
  [AttemptKind.Retry]: RunResult.NotRun,
  [AttemptKind.NotAccepted]: RunResult.NotRun,
  [AttemptKind.Shed]: RunResult.Shed,
  [AttemptKind.Lost]: RunResult.Failed,
};

/** Server and slot that an attempt uses. */
export interface SlotTarget {
  /** Identifies the attempt. */
  readonly id: string;
  readonly group: GroupId;
  readonly direction: ServerRoute;
  readonly slots: ServerSlots;
  readonly fingerprint: string;
}

/** Sends requests to backend servers and determines how they ended. */
export class ServerClient {
  readonly #groups: Groups;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #metrics: Metrics;
  readonly #crashes: PoisonDetector;
  readonly #identities: IdempotencyStores;
  readonly #limits: CallLimits;
  readonly #pooledAgent = createAgent({ maxSockets: 64 });
  // Non-idempotent requests open a new connection (about 1 ms), because on a
  // pooled connection that has silently failed their outcome would be unknown.
  readonly #unpooledAgent = createAgent({ maxSockets: 64, keepAlive: false });

  constructor(options: {
    groups: Groups;
    clock: Clock;
    events: Events;
    metrics: Metrics;
    crashes: PoisonDetector;
    identities: IdempotencyStores;
    limits: CallLimits;
  }) {
    this.#groups = options.groups;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#metrics = options.metrics;
    this.#crashes = options.crashes;
    this.#identities = options.identities;
    this.#limits = options.limits;
  }

  stop(): void {
    this.#pooledAgent.destroy();
    this.#unpooledAgent.destroy();
  }

  /** Sends a request that has a slot, and releases the slot at its end. */
  async send(
    call: Call,
    to: SlotTarget,
  ): Promise<Attempt> {
    const { direction, slots, fingerprint } = to;
    slots.recordDeadline(call.deadlineMs);
    const markSent = () => {
      if (call.rule.idempotent) return;
      this.#identities.get(to.group)?.noteSent(call.identity!);
    };
    // If the server checks tokens, nothing stops the request once connected.
    if (call.route.checksOwner) markSent();
    const sentAt = this.#clock.now();
    const hop = await sendHop({
      method: call.method,
      url: `${direction.url}${call.path}`,
      headers: makeServerHeaders(call, direction),
      body: call.body,
      agent: call.rule.idempotent ? this.#pooledAgent : this.#unpooledAgent,
      timeoutMs: this.#computeAttemptTimeout(call, slots),
      maxBufferedBytes: this.#limits.bufferedAnswerBytes,
      bodyIdleTimeoutMs: this.#limits.bodyIdleTimeoutMs,
      signal: call.signal,
      onConnected: () => {
        const permitted = call.route.checksOwner ||
          this.#groups.hasAuthority(to.group);
        if (permitted) markSent();
        if (permitted && !call.rule.idempotent) {
          this.#addEvent(EventKind.RequestSent, call, {
            text: `Sent to ${direction.server}`,
            direction,
          });
        }
        return permitted;
      },
      findHeaderProblem: (headers) =>
        headers[SERVER_HEADER.requestId] === call.requestId
          ? undefined
          : "The response belongs to another request",
    });
    const attempt = this.#interpretHop(hop);
    if (attempt.kind === AttemptKind.Lost) {
      slots.recordUnanswered(to.id, call.deadlineMs);
    }
    if (hop.kind === HopKind.Stream && attempt.kind === AttemptKind.Done) {
      // The slot stays in use until the server has sent the whole response.
      hop.stream.once("close", () => {
        slots.releaseSlot(to.id, RunResult.Served);
      });
    } else slots.releaseSlot(to.id, RUN_RESULTS[attempt.kind]);
    if (attempt.kind === AttemptKind.Lost) {
      // A crash breaks connections; a timeout shows a slow or frozen server.
      if (!attempt.aborted) this.#crashes.addLost(call, { slots, fingerprint });
    } else if (attempt.kind === AttemptKind.Done) {
      this.#crashes.clear(fingerprint);
      this.#metrics.recordServerCall(this.#clock.now() - sentAt);
    }
    return attempt;
  }

  #interpretHop(hop: HopResult): Attempt {
    switch (hop.kind) {
      case HopKind.NotSent:
        // Retried after a delay, because connections can be refused at once.
        return { kind: AttemptKind.NotAccepted };
      case HopKind.Lost:
        return {
          kind: AttemptKind.Lost,
          text: hop.text,
          aborted: hop.aborted,
        };
      case HopKind.Stream:
        return makeDoneAttempt({ ...hop, kind: ResultKind.Stream });
      case HopKind.Buffered:
        if (hop.headers[SERVER_HEADER.notRun] !== "1") {
          return makeDoneAttempt({ ...hop, kind: ResultKind.Buffered });
        }
        if (hop.status === 409) return { kind: AttemptKind.NotAccepted };
        return {
          kind: AttemptKind.Shed,
          result: makeRefusal(
            Reason.ServerRefused,
            parseServerError(hop.body),
            RETRY_AFTER_MS,
          ),
        };
    }
  }

  /**
   * Returns the timeout of an attempt, in ms. If the attempt can be retried, it
   * is a share of the remaining time, so that a connection without a response
   * can be replaced.
   */
  #computeAttemptTimeout(call: Call, slots: ServerSlots): number {
    const remainingMs = call.deadlineMs - this.#clock.unixMs();
    const isRetryable = call.rule.idempotent &&
      call.rule.class !== RequestClass.Bulk &&
      call.body.kind === BodyKind.Buffered;
    const usualMs = SERVICE_TIME_FACTOR *
      slots.estimateServiceMs(call.rule.class);
    return isRetryable
      ? Math.min(
        remainingMs,
        Math.max(
          MIN_ATTEMPT_TIMEOUT_MS,
          remainingMs * MAX_ATTEMPT_SHARE,
          usualMs,
        ),
      )
      : remainingMs;
  }

  #addEvent(
    kind: EventKind,
    call: Call,
    { text, direction }: { text: string; direction: ServerRoute },
  ) {
    this.#events.add({
      kind,
      service: call.service,
      key: call.key,
      requestId: call.requestId,
      unit: direction.unit,
      server: direction.server,
      token: direction.token.toString(),
      ...(call.identity === undefined ? {} : { identity: call.identity }),
      text,
    });
  }
}

/** Makes an attempt that ended with a result. */
export function makeDoneAttempt(result: Result): Attempt {
  return { kind: AttemptKind.Done, result };
}

function makeServerHeaders(
  call: Call,
  direction: ServerRoute,
): Record<string, string> {
  return {
    ...call.headers,
    [SERVER_HEADER.requestId]: call.requestId,
    [SERVER_HEADER.token]: direction.token.toString(),
    [SERVER_HEADER.unit]: encodeURI(direction.unit),
    [SERVER_HEADER.deadline]: String(Math.floor(call.deadlineMs)),
  };
}

function parseServerError(body: Buffer): string {
  try {
    const { error } = JSON.parse(body.toString()) as { error?: string };
    return `The server refused the request: ${error ?? "no reason given"}`;
  } catch {
    return "The server refused the request without a reason";
  }
}
