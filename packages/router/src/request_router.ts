/** Routes requests from the entry router to the holder. @module */
import { EventKind, IdentityState, Reason, type VmId } from "@jaytiller/model";
import {
  BodyKind,
  type Call,
  describeCallEvent,
  isConsumed,
  makeRefusal,
  makeReplayedResponse,
  makeUnknown,
  type Misdirected,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import type { Dispatcher } from "./dispatcher.js";
import type { Events } from "./events.js";
import { type Forwarder, ForwardResultKind } from "./forwarder.js";
import type { Groups } from "./groups.js";
import type { LogTail } from "./log_tail.js";
import type { Peers } from "./peers.js";
import type { VmListPoller } from "./vm_list_poller.js";

/** Longest wait for a reachable holder before a request is refused. */
const MAX_HOLDER_WAIT_MS = 1_500;
const HOLDER_POLL_MS = 25;
const RETRY_AFTER_MS = 500;
/** Time in which the outcome of a lost request is queried. */
const RESOLVE_TIMEOUT_MS = 2_000;
/**
 * Part of `RESOLVE_TIMEOUT_MS` that may follow the deadline: callers are told
 * the outcome within 1 s of the deadline, and a query may still be in flight.
 */
const RESOLVE_GRACE_MS = 500;
const RESOLVE_POLL_MS = 50;
/** A router that was heard of within this time may be used as a relay. */
const MAX_RELAY_AGE_MS = 5_000;

/** Finds the holder, forwards the request to it and determines the outcome. */
export class RequestRouter {
  readonly #node: VmId;
  readonly #tail: LogTail;
  readonly #groups: Groups;
  readonly #dispatcher: Dispatcher;
  readonly #forwarder: Forwarder;
  readonly #peers: Peers;
  readonly #vms: VmListPoller;
  readonly #clock: Clock;
  readonly #events: Events;

  constructor(options: {
    node: VmId;
    tail: LogTail;
    groups: Groups;
    dispatcher: Dispatcher;
    forwarder: Forwarder;
    peers: Peers;
    vms: VmListPoller;
    clock: Clock;
    events: Events;
  }) {
    this.#node = options.node;
    this.#tail = options.tail;
    this.#groups = options.groups;
    this.#dispatcher = options.dispatcher;
    this.#forwarder = options.forwarder;
    this.#peers = options.peers;
    this.#vms = options.vms;
    this.#clock = options.clock;
    this.#events = options.events;
  }

  /** Executes a request at its holder; queries the outcome if it is lost. */
  async route(call: Call): Promise<Result> {
    const holderWaitEnd = this.#clock.now() + MAX_HOLDER_WAIT_MS;
    let text = "The key has no owner yet";
    let reason = Reason.NoOwner;
    let suggestedHolder: VmId | undefined;
    let lost = false;
    for (;;) {
      const remainingMs = call.deadlineMs - this.#clock.unixMs();
      const maxWaitMs = Math.min(
        remainingMs,
        holderWaitEnd - this.#clock.now(),
      );
      if (maxWaitMs <= 0 || call.signal.aborted) {
        return makeFailure({ lost, reason, text });
      }
      const holder: VmId | undefined = suggestedHolder ??
        this.#findHolder(call);
      suggestedHolder = undefined;
      if (holder !== undefined) {
        const attempt: HolderAttempt = holder === this.#node
          ? await this.#runLocally(call)
          : await this.#forwardCall(call, holder);
        if (attempt.result) return attempt.result;
        ({ text, reason } = attempt);
        suggestedHolder = attempt.suggestedHolder;
        lost ||= attempt.mayHaveRun ?? false;
        if (isConsumed(call.body)) return makeFailure({ lost, reason, text });
      }
      await this.#groups.changed.wait(Math.min(maxWaitMs, HOLDER_POLL_MS));
    }
  }

  #findHolder(call: Call): VmId | undefined {
    const { state } = this.#tail;
    const unit = state.resolveUnit(call.service, call.key);
    const group = unit && state.getOwner(call.service, unit)?.group;
    return group && this.#groups.getView(group)?.holder;
  }

  async #runLocally(call: Call): Promise<HolderAttempt> {
    const result = await this.#dispatcher.run(call);
    if (result.kind !== ResultKind.Misdirected) return { result };
    return makeMisdirectedAttempt(result, this.#node);
  }

  async #forwardCall(call: Call, holder: VmId): Promise<HolderAttempt> {
    this.#recordForward(call, holder);
    let sent = await this.#forwarder.send(call, holder);
    if (sent.kind === ForwardResultKind.NotSent) {
      const relay = this.#chooseRelay(holder);
      if (relay !== undefined) {
        sent = await this.#forwarder.send(call, relay, { relay: true });
      }
    }
    if (sent.kind === ForwardResultKind.Result) {
      const { result } = sent;
      if (result.kind !== ResultKind.Misdirected) return { result };
      return makeMisdirectedAttempt(result, holder);
    }
    if (sent.kind === ForwardResultKind.NotSent) {
      return {
        reason: Reason.HolderUnreachable,
        text: `Entry VM ${holder} cannot be reached: ${sent.text}`,
      };
    }
    if (call.rule.idempotent && call.body.kind === BodyKind.Buffered) {
      const { text } = sent;
      return { reason: Reason.HolderUnreachable, text, mayHaveRun: true };
    }
    return { result: await this.#resolveOutcome(call, sent.text) };
  }

  /** Returns a random router of a third zone that was heard of recently. */
  #chooseRelay(holder: VmId): VmId | undefined {
    const zones = [
      this.#vms.get(holder)?.zone,
      this.#vms.get(this.#node)?.zone,
    ];
    const since = this.#clock.unixMs() - MAX_RELAY_AGE_MS;
    const positions = this.#peers.listPositions();
    const heard = this.#vms.listEntryVms().filter((v) =>
      !zones.includes(v.zone) && (positions.get(v.id)?.atMs ?? 0) >= since
    );
    return heard[Math.floor(Math.random() * heard.length)]?.id;
  }

  /** Asks the holder or its successor for the outcome of a lost request. */
  async #resolveOutcome(call: Call, cause: string): Promise<Result> {
    const lost = makeUnknown(
      Reason.ConnectionLost,
      `The connection to the holder was lost after the request was sent: ${cause}`,
    );
    if (call.rule.idempotent || call.identity === undefined) return lost;
    const { service, key, identity } = call;
    const remainingMs = call.deadlineMs - this.#clock.unixMs();
    const end = this.#clock.now() +
      Math.min(RESOLVE_TIMEOUT_MS, remainingMs + RESOLVE_GRACE_MS);
    while (this.#clock.now() < end) {
      const holder = this.#findHolder(call);
      const reply = holder === this.#node
        ? this.#groups.resolveIdentity({ service, key, identity })
        : holder !== undefined
        ? await this.#peers.requestOutcome(holder, { service, key, identity })
        : undefined;
      if (reply && reply.state !== IdentityState.Running) {
        return RESULT_MAKERS[reply.state](reply.answer) ?? lost;
      }
      await this.#groups.changed.wait(RESOLVE_POLL_MS);
    }
    return lost;
  }

  #recordForward(call: Call, holder: VmId) {
    if (call.rule.idempotent) return;
    this.#events.add(
      describeCallEvent(call, {
        kind: EventKind.RequestForwarded,
        text: `Forwarded to ${holder}`,
      }),
    );
  }
}

type HolderAttempt =
  | {
    readonly result: Result;
    readonly reason?: never;
    readonly text?: never;
    readonly suggestedHolder?: never;
    readonly mayHaveRun?: never;
  }
  | {
    readonly result?: undefined;
    readonly reason: Reason;
    readonly text: string;
    readonly suggestedHolder?: VmId | undefined;
    /** The request may have been executed, although this attempt failed. */
    readonly mayHaveRun?: boolean;
  };

/** Makes a refusal, or an unknown outcome if the request may have run. */
function makeFailure(
  { lost, reason, text }: { lost: boolean; reason: Reason; text: string },
): Result {
  return lost
    ? makeUnknown(Reason.ConnectionLost, text)
    : makeRefusal(reason, text, RETRY_AFTER_MS);
}

function makeMisdirectedAttempt(
  { holder, mayHaveRun }: Misdirected,
  from: VmId,
): HolderAttempt {
  return {
    reason: Reason.HolderUnreachable,
    text: `Entry VM ${from} no longer holds the key's group`,
    suggestedHolder: holder === from ? undefined : holder,
    mayHaveRun: mayHaveRun ?? false,
  };
}

const RESULT_MAKERS: Readonly<
  Record<
    Exclude<IdentityState, IdentityState.Running>,
    (answer: Parameters<typeof makeReplayedResponse>[0]) => Result | undefined
  >
> = {
  [IdentityState.NotSeen]: () => makeBarredRefusal(),
  [IdentityState.Barred]: () => makeBarredRefusal(),
  [IdentityState.Done]: (answer) => makeReplayedResponse(answer),
  [IdentityState.Forgotten]: () => undefined,
};

function makeBarredRefusal(): Result {
  return makeRefusal(
    Reason.IdentityBarred,
    "The request did not reach its holder and will not run; use a new identity",
  );
}
