/** Calls of backend servers. @module */
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
import type { CrashWatch } from "./crash_watch.js";
import type { Events } from "./events.js";
import type { Groups } from "./groups.js";
import { createAgent, HopKind, type HopResult, sendHop } from "./http_call.js";
import type { Identities } from "./identities.js";
import type { Metrics } from "./metrics.js";
import { RunResult, type ServerSlots } from "./server_slots.js";

const RETRY_AFTER_MS = 500;
const MIN_ATTEMPT_MS = 200;
/** Share of the time left that an attempt of a repeatable request may take. */
const ATTEMPT_SHARE = 0.65;
/** An attempt may take this many times the usual time of its class. */
const USUAL_RUNS = 3;

/** A direction under which a request may be sent. */
export type Serve = Extract<
  RoutingDecision,
  { kind: RoutingDecisionKind.Forward }
>;

/** Limits of calls to backend servers. */
export interface CallLimits {
  readonly bufferedAnswerBytes: number;
  readonly bodyIdleMs: number;
}

/** How one try at a server ended. */
export enum StepKind {
  Done = "done",
  /** Nothing was sent; look again where the key goes. */
  Again = "again",
  /** The server refused the token or the unit, or did not connect. */
  Fenced = "fenced",
  Shed = "shed",
  Lost = "lost",
}

export type Step =
  | { readonly kind: StepKind.Done; readonly result: Result }
  | { readonly kind: StepKind.Shed; readonly result: Result }
  | { readonly kind: StepKind.Again | StepKind.Fenced }
  | {
    readonly kind: StepKind.Lost;
    readonly text: string;
    readonly gaveUp: boolean;
  };

const RESULT_OF_STEP: Readonly<Record<StepKind, RunResult>> = {
  [StepKind.Done]: RunResult.Served,
  [StepKind.Again]: RunResult.NotRun,
  [StepKind.Fenced]: RunResult.NotRun,
  [StepKind.Shed]: RunResult.Shed,
  [StepKind.Lost]: RunResult.Failed,
};

/** Where a request goes, and under which slot. */
export interface SlotTarget {
  /** Identifier of the attempt. */
  readonly id: string;
  readonly group: GroupId;
  readonly direction: Serve;
  readonly slots: ServerSlots;
  readonly fingerprint: string;
}

/** Sends requests to backend servers and reads what became of them. */
export class ServerCaller {
  readonly #groups: Groups;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #metrics: Metrics;
  readonly #crashes: CrashWatch;
  readonly #identities: Identities;
  readonly #limits: CallLimits;
  readonly #pooled = createAgent({ maxSockets: 64 });
  // A connection that went silent would leave work that may not be repeated
  // with an unknown outcome, so such work opens a new one (about 1 ms).
  readonly #fresh = createAgent({ maxSockets: 64, keepAlive: false });

  constructor(options: {
    groups: Groups;
    clock: Clock;
    events: Events;
    metrics: Metrics;
    crashes: CrashWatch;
    identities: Identities;
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
    this.#pooled.destroy();
    this.#fresh.destroy();
  }

  /** Sends a request that has a slot, and frees the slot at its end. */
  async send(
    call: Call,
    to: SlotTarget,
  ): Promise<Step> {
    const { direction, slots, fingerprint } = to;
    slots.noteDeadline(call.deadlineMs);
    const noteSent = () => {
      if (call.rule.idempotent) return;
      this.#identities.get(to.group)?.noteSent(call.identity!);
    };
    // Nothing stops a request to a server that checks once it connects.
    if (call.route.checksOwner) noteSent();
    const sentAt = this.#clock.now();
    const hop = await sendHop({
      method: call.method,
      url: `${direction.url}${call.path}`,
      headers: makeServerHeaders(call, direction),
      body: call.body,
      agent: call.rule.idempotent ? this.#pooled : this.#fresh,
      timeoutMs: this.#getAttemptTime(call, slots),
      bufferedBytes: this.#limits.bufferedAnswerBytes,
      bodyIdleMs: this.#limits.bodyIdleMs,
      signal: call.signal,
      onConnected: () => {
        const permitted = call.route.checksOwner ||
          this.#groups.hasAuthority(to.group);
        if (permitted) noteSent();
        if (permitted && !call.rule.idempotent) {
          this.#note(EventKind.RequestSent, call, {
            text: `Sent to ${direction.server}`,
            direction,
          });
        }
        return permitted;
      },
      verify: (headers) =>
        headers[SERVER_HEADER.requestId] === call.requestId
          ? undefined
          : "The answer belongs to another request",
    });
    const step = this.#readHop(hop);
    if (step.kind === StepKind.Lost) {
      slots.noteUnanswered(to.id, call.deadlineMs);
    }
    if (hop.kind === HopKind.Stream && step.kind === StepKind.Done) {
      // The slot is free only when the server has sent the whole answer.
      hop.stream.once("close", () => {
        slots.leave(to.id, RunResult.Served);
      });
    } else slots.leave(to.id, RESULT_OF_STEP[step.kind]);
    if (step.kind === StepKind.Lost) {
      // A slow or frozen server has not crashed; a crash breaks connections.
      if (!step.gaveUp) this.#crashes.noteLost(call, { slots, fingerprint });
    } else if (step.kind === StepKind.Done) {
      this.#crashes.clear(fingerprint);
      this.#metrics.recordServer(this.#clock.now() - sentAt);
    }
    return step;
  }

  #readHop(hop: HopResult): Step {
    switch (hop.kind) {
      case HopKind.NotSent:
        // Pauses, because the connection may be refused at once.
        return { kind: StepKind.Fenced };
      case HopKind.Lost:
        return { kind: StepKind.Lost, text: hop.text, gaveUp: hop.gaveUp };
      case HopKind.Stream:
        return makeDone({ ...hop, kind: ResultKind.Stream });
      case HopKind.Whole:
        if (hop.headers[SERVER_HEADER.notRun] !== "1") {
          return makeDone({ ...hop, kind: ResultKind.Whole });
        }
        if (hop.status === 409) return { kind: StepKind.Fenced };
        return {
          kind: StepKind.Shed,
          result: makeRefusal(
            Reason.ServerRefused,
            readServerError(hop.body),
            RETRY_AFTER_MS,
          ),
        };
    }
  }

  /** Not all of the time left, so that a silent connection can be replaced. */
  #getAttemptTime(call: Call, slots: ServerSlots): number {
    const left = call.deadlineMs - this.#clock.unixMs();
    const retried = call.rule.idempotent &&
      call.rule.class !== RequestClass.Bulk &&
      call.body.kind === BodyKind.Whole;
    const usual = USUAL_RUNS * slots.estimateRun(call.rule.class);
    return retried
      ? Math.min(left, Math.max(MIN_ATTEMPT_MS, left * ATTEMPT_SHARE, usual))
      : left;
  }

  #note(
    kind: EventKind,
    call: Call,
    { text, direction }: { text: string; direction: Serve },
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

/** The request was carried to its end. */
export function makeDone(result: Result): Step {
  return { kind: StepKind.Done, result };
}

function makeServerHeaders(
  call: Call,
  direction: Serve,
): Record<string, string> {
  return {
    ...call.headers,
    [SERVER_HEADER.requestId]: call.requestId,
    [SERVER_HEADER.token]: direction.token.toString(),
    [SERVER_HEADER.unit]: encodeURI(direction.unit),
    [SERVER_HEADER.deadline]: String(Math.floor(call.deadlineMs)),
  };
}

function readServerError(body: Buffer): string {
  try {
    const { error } = JSON.parse(body.toString()) as { error?: string };
    return `The server refused: ${error ?? "no reason given"}`;
  } catch {
    return "The server refused without a reason";
  }
}
