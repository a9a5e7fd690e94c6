/** The holder's side of a request: admission, the call, the outcome. @module */
import { DecisionKind, RetryBudget } from "@jaytiller/admission";
import { AdmissionKind } from "@jaytiller/identity";
import type { Service } from "@jaytiller/kernel";
import {
  type GroupId,
  Outcome,
  Reason,
  RequestClass,
  type ServiceName,
  type StoredResponse,
  type UnitId,
  type VmId,
} from "@jaytiller/model";
import {
  type InFlightRequests,
  type RoutingDecision,
  RoutingDecisionKind,
} from "@jaytiller/ownership";
import {
  BodyKind,
  type Call,
  isSpent,
  makeRefusal,
  makeUnknown,
  type Misdirected,
  replayAnswer,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import { computeFingerprint, type CrashWatch } from "./crash_watch.js";
import type { Groups } from "./groups.js";
import type { Identities } from "./identities.js";
import type { LogTail } from "./log_tail.js";
import {
  makeDone,
  type Serve,
  type ServerCaller,
  type Step,
  StepKind,
} from "./server_call.js";
import { RunResult, ServerSlots } from "./server_slots.js";
import { AdmissionPolicy } from "./settings.js";
import { ChangeSignal, waitMs } from "./signal.js";

/** A request waits this long for an owner before it is refused. */
const HOLD_LIMIT_MS = 1_500;
/** Pause after a server refused the token or the connection. */
const FENCED_PAUSE_MS = 20;
const RETRY_AFTER_MS = 500;
const WATCH_MS = 50;
/** Long uploads in flight may finish before the router stops. */
const STOP_LIMIT_MS = 120_000;
/** Retries per request. */
const RETRY_RATIO: Readonly<Record<AdmissionPolicy, number>> = {
  [AdmissionPolicy.Classes]: 0.1,
  [AdmissionPolicy.Plain]: 0,
};

/** Sends requests to the servers of the groups that this router holds. */
export class Dispatch implements Service, InFlightRequests {
  readonly #groups: Groups;
  readonly #tail: LogTail;
  readonly #clock: Clock;
  readonly #identities: Identities;
  readonly #servers = new Map<VmId, ServerSlots>();
  readonly #policy: AdmissionPolicy;
  readonly #budget: RetryBudget;
  readonly #crashes: CrashWatch;
  readonly #caller: ServerCaller;
  /** Wakes requests that wait for another attempt of their identity. */
  readonly #finished = new ChangeSignal();
  #timer: ReturnType<typeof setInterval> | undefined;
  #attempts = 0;

  constructor(options: {
    groups: Groups;
    tail: LogTail;
    clock: Clock;
    identities: Identities;
    crashes: CrashWatch;
    caller: ServerCaller;
    policy: AdmissionPolicy;
  }) {
    this.#groups = options.groups;
    this.#tail = options.tail;
    this.#clock = options.clock;
    this.#identities = options.identities;
    this.#crashes = options.crashes;
    this.#caller = options.caller;
    this.#policy = options.policy;
    this.#budget = RetryBudget.create({
      ratio: RETRY_RATIO[options.policy],
      burst: 20,
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#watch(), WATCH_MS);
  }

  /** Waits for requests that other routers sent here, then stops. */
  async stop(): Promise<void> {
    const end = this.#clock.now() + STOP_LIMIT_MS;
    while (this.active > 0 && this.#clock.now() < end) await waitMs(WATCH_MS);
    clearInterval(this.#timer);
    this.#caller.stop();
  }

  countInFlight(service: ServiceName, unit: UnitId): number {
    let count = 0;
    for (const s of this.#servers.values()) {
      if (s.service === service) count += s.countInFlight(unit);
    }
    return count;
  }

  countBulk(service: ServiceName, unit: UnitId): number {
    let count = 0;
    for (const s of this.#servers.values()) {
      if (s.service === service) count += s.countBulk(unit);
    }
    return count;
  }

  getLastDeadline(server: VmId): number {
    return this.#servers.get(server)?.lastDeadlineMs ?? 0;
  }

  getUnansweredDeadline(service: ServiceName, unit: UnitId): number {
    let last = 0;
    for (const s of this.#servers.values()) {
      if (s.service === service) last = Math.max(last, s.getLostDeadline(unit));
    }
    return last;
  }

  /** Requests that are queued or run at servers of this holder. */
  get active(): number {
    let count = 0;
    for (const s of this.#servers.values()) count += s.active;
    return count;
  }

  /** Carries a request out, if this router holds the key's group. */
  async run(call: Call): Promise<Result> {
    const group = this.#findGroup(call);
    if (group === undefined) {
      return makeRefusal(Reason.NoOwner, "The key has no owner yet", 200);
    }
    const direction = this.#groups.direct(group, call.key);
    if (direction.kind === RoutingDecisionKind.NotHolder) {
      return misdirect(direction.holder);
    }
    const { state } = this.#tail;
    const listed = state.listPoison().length > 0 &&
      state.getPoison(computeFingerprint(call));
    if (listed) {
      return makeRefusal(
        Reason.Poisoned,
        `The request crashed ${listed.crashes} servers; an operator can lift ` +
          `${listed.fingerprint}`,
      );
    }
    return call.rule.idempotent
      ? await this.#attempt(call, group)
      : await this.#runOnce(call, group);
  }

  #findGroup(call: Call): GroupId | undefined {
    const { state } = this.#tail;
    const unit = state.resolveUnit(call.service, call.key);
    return unit && state.getOwner(call.service, unit)?.group;
  }

  /** Runs a request that may not be repeated. */
  async #runOnce(call: Call, group: GroupId): Promise<Result> {
    const identity = call.identity!;
    for (;;) {
      const memory = this.#identities.get(group);
      if (!memory) return misdirect(undefined);
      const admission = memory.admit(identity, this.#clock.unixMs());
      switch (admission.kind) {
        case AdmissionKind.New: {
          memory.noteWaiting(identity);
          try {
            const result = await this.#attempt(call, group);
            this.#record(call, { group, result });
            return result;
          } catch (error) {
            // Where the fault lies is not known, so neither is the outcome.
            memory.markUnknown(identity, this.#clock.unixMs());
            this.#finished.notify();
            throw error;
          }
        }
        case AdmissionKind.Done:
          return replayAnswer(admission.answer);
        case AdmissionKind.Running: {
          const left = call.deadlineMs - this.#clock.unixMs();
          if (left > 0 && !call.signal.aborted) {
            await this.#finished.wait(left);
            continue;
          }
          return makeUnknown(
            Reason.AlreadyRunning,
            "An earlier attempt with this identity still runs",
          );
        }
        default:
          return REFUSED_ADMISSION[admission.kind];
      }
    }
  }

  /** Records what became of an identity. */
  #record(call: Call, end: { group: GroupId; result: Result }) {
    const memory = this.#identities.get(end.group);
    const identity = call.identity!;
    const unixMs = this.#clock.unixMs();
    const { result } = end;
    if (result.kind === ResultKind.Whole) {
      memory?.finish(identity, keepAnswer(result), unixMs);
    } else if (result.kind === ResultKind.Stream) {
      const { status, headers } = result;
      memory?.finish(identity, { status, headers }, unixMs);
    } else if (isNotRun(result)) memory?.release(identity);
    else memory?.markUnknown(identity, unixMs);
    this.#finished.notify();
  }

  /** Tries until the request was sent once, or again if it is idempotent. */
  async #attempt(call: Call, group: GroupId): Promise<Result> {
    const holdUntil = this.#clock.now() + HOLD_LIMIT_MS;
    let lost: Result | undefined;
    this.#budget.deposit();
    for (;;) {
      const left = call.deadlineMs - this.#clock.unixMs();
      if (left <= 0 || call.signal.aborted) {
        return lost ?? makeRefusal(
          Reason.DeadlinePassed,
          "The deadline passed before the request was sent",
        );
      }
      const direction = this.#groups.direct(group, call.key);
      if (direction.kind === RoutingDecisionKind.NotHolder) {
        const result = misdirect(direction.holder);
        // A repeatable request goes on at the new holder.
        if (lost && !call.rule.idempotent) return lost;
        return lost ? { ...result, mayHaveRun: true } : result;
      }
      const long = call.rule.class === RequestClass.Bulk;
      if (
        direction.kind === RoutingDecisionKind.Wait ||
        (long && direction.leaving)
      ) {
        const rest = Math.min(holdUntil - this.#clock.now(), left);
        if (rest <= 0) {
          const { reason, text } = describeWait(direction);
          return lost ?? makeRefusal(reason, text, RETRY_AFTER_MS);
        }
        await this.#groups.changed.wait(rest);
        continue;
      }
      if (this.#mayHaveRun(call, direction)) {
        return makeUnknown(
          Reason.IdentityTooOld,
          "An earlier holder may have run this identity",
        );
      }
      const step = await this.#enterAndSend(call, { group, direction });
      if (step.kind === StepKind.Again) continue;
      const again = step.kind === StepKind.Fenced && !isSpent(call.body);
      if (again && this.#clock.now() < holdUntil) {
        await this.#groups.changed.wait(FENCED_PAUSE_MS);
        continue;
      }
      if (step.kind === StepKind.Lost) {
        lost = makeUnknown(Reason.ConnectionLost, step.text);
        if (this.#mayRepeat(call)) continue;
        return lost;
      }
      if (step.kind === StepKind.Done || step.kind === StepKind.Shed) {
        return lost && isNotRun(step.result) ? lost : step.result;
      }
      return lost ?? makeRefusal(
        Reason.ServerRefused,
        "The server refuses this holder",
        RETRY_AFTER_MS,
      );
    }
  }

  #mayRepeat(call: Call): boolean {
    if (!call.rule.idempotent || call.body.kind !== BodyKind.Whole) {
      return false;
    }
    return this.#budget.withdraw();
  }

  /** Could another holder have run this identity before? */
  #mayHaveRun(call: Call, { knownSinceMs }: Serve): boolean {
    return !call.rule.idempotent &&
      this.#identities.mayPrecede(call.identity!, knownSinceMs);
  }

  async #enterAndSend(
    call: Call,
    { group, direction }: { group: GroupId; direction: Serve },
  ): Promise<Step> {
    const slots = this.#getSlots(call, direction);
    const fingerprint = computeFingerprint(call);
    // A router that lost its connection may send the request again while the
    // first attempt is still here, so the request's id is not unique.
    const id = `${call.requestId}/${this.#attempts += 1}`;
    const entry = await slots.enter({
      id,
      class: call.rule.class,
      unit: direction.unit,
      key: call.key,
      alone: this.#crashes.recordStart(fingerprint),
      deadlineAt: this.#clock.now() + call.deadlineMs - this.#clock.unixMs(),
      signal: call.signal,
    });
    if (entry.kind === DecisionKind.Refused) {
      const text = "The server's queue cannot meet the deadline";
      return makeDone(makeRefusal(entry.reason, text, entry.retryAfterMs));
    }
    if (entry.kind === DecisionKind.Queued) return { kind: StepKind.Again };
    const now = this.#groups.direct(group, call.key);
    const same = now.kind === RoutingDecisionKind.Forward &&
      now.server === direction.server && now.unit === direction.unit &&
      now.token.equals(direction.token);
    if (!same || call.signal.aborted) {
      slots.leave(id, RunResult.NotRun);
      return { kind: StepKind.Again };
    }
    const target = { id, group, direction, slots, fingerprint };
    return await this.#caller.send(call, target);
  }

  #getSlots(call: Call, direction: Serve): ServerSlots {
    let slots = this.#servers.get(direction.server);
    if (!slots) {
      slots = new ServerSlots({
        server: direction.server,
        service: call.service,
        slots: call.route.slots,
        policy: this.#policy,
        clock: this.#clock,
      });
      this.#servers.set(direction.server, slots);
    }
    return slots;
  }

  /** Looks for units that left their server and for crashes. */
  #watch() {
    const now = this.#clock.now();
    const servers = new Map(
      this.#groups.listHolders().flatMap((h) => h.describeServers(now))
        .map((s) => [s.id, s]),
    );
    for (const [id, slots] of this.#servers) {
      const { state } = this.#tail;
      slots.evictUnits((unit) =>
        state.getOwner(slots.service, unit)?.server !== id ||
        !servers.has(id)
      );
      const seen = servers.get(id);
      const restarted = slots.noteIncarnation(seen?.incarnation, now);
      if (restarted || seen?.suspected) this.#crashes.recordFailure(slots);
    }
  }
}

const REFUSED_ADMISSION: Readonly<
  Record<
    Exclude<
      AdmissionKind,
      AdmissionKind.New | AdmissionKind.Done | AdmissionKind.Running
    >,
    Result
  >
> = {
  [AdmissionKind.Barred]: makeRefusal(
    Reason.IdentityBarred,
    "A router was told that this identity did not run; use a new identity",
  ),
  [AdmissionKind.Forgotten]: makeUnknown(
    Reason.IdentityTooOld,
    "The identity may have run before this holder knew of it",
  ),
  [AdmissionKind.Ahead]: makeRefusal(
    Reason.IdentityAhead,
    "The identity's time is ahead of the clock",
  ),
  [AdmissionKind.Malformed]: makeRefusal(
    Reason.IdentityRequired,
    "The idempotency-key is not a UUIDv7",
  ),
};

function describeWait(
  direction: Exclude<RoutingDecision, { kind: RoutingDecisionKind.NotHolder }>,
): { reason: Reason; text: string } {
  if (direction.kind === RoutingDecisionKind.Wait) return direction;
  const text = `Server ${direction.server} is leaving`;
  return { reason: Reason.Draining, text };
}

function misdirect(holder: VmId | undefined): Misdirected {
  return holder === undefined
    ? { kind: ResultKind.Misdirected }
    : { kind: ResultKind.Misdirected, holder };
}

/** Did the request certainly not run? */
function isNotRun(result: Result): boolean {
  if (result.kind === ResultKind.Misdirected) return true;
  return result.kind === ResultKind.Verdict &&
    result.verdict.outcome === Outcome.Refused;
}

function keepAnswer(
  result: Extract<Result, { kind: ResultKind.Whole }>,
): StoredResponse {
  return {
    status: result.status,
    headers: result.headers,
    body: result.body.toString("base64"),
  };
}
