/** Holder side of a request: admission, call, outcome. @module */
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
  isConsumed,
  makeRefusal,
  makeReplayedResponse,
  makeUnknown,
  type Misdirected,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import { computeFingerprint, type PoisonDetector } from "./poison_detector.js";
import type { Groups } from "./groups.js";
import type { IdempotencyStores } from "./idempotency_stores.js";
import type { LogTail } from "./log_tail.js";
import {
  type Attempt,
  AttemptKind,
  makeDoneAttempt,
  type ServerClient,
  type ServerRoute,
} from "./server_client.js";
import { RunResult, ServerSlots } from "./server_slots.js";
import { AdmissionPolicy } from "./settings.js";
import { ChangeSignal, waitMs } from "./signal.js";

/** Longest time that a request waits for an owner before it is refused. */
const MAX_OWNER_WAIT_MS = 1_500;
/** Delay before a retry after a server refused the token or connection. */
const NOT_ACCEPTED_RETRY_MS = 20;
const RETRY_AFTER_MS = 500;
const POLL_MS = 50;
/** Allows long uploads in flight to finish before the router stops. */
const STOP_TIMEOUT_MS = 120_000;
/** Ratio of the retry budget: retries per request. */
const RETRIES_PER_REQUEST: Readonly<Record<AdmissionPolicy, number>> = {
  [AdmissionPolicy.Classes]: 0.1,
  [AdmissionPolicy.Fifo]: 0,
};

/** Sends requests to the servers of the groups that this router holds. */
export class Dispatcher implements Service, InFlightRequests {
  readonly #groups: Groups;
  readonly #tail: LogTail;
  readonly #clock: Clock;
  readonly #identities: IdempotencyStores;
  readonly #servers = new Map<VmId, ServerSlots>();
  readonly #policy: AdmissionPolicy;
  readonly #retryBudget: RetryBudget;
  readonly #crashes: PoisonDetector;
  readonly #serverClient: ServerClient;
  /** Notifies requests that wait for another attempt with their identity. */
  readonly #attemptFinished = new ChangeSignal();
  #timer: ReturnType<typeof setInterval> | undefined;
  #attemptCount = 0;

  constructor(options: {
    groups: Groups;
    tail: LogTail;
    clock: Clock;
    identities: IdempotencyStores;
    crashes: PoisonDetector;
    serverClient: ServerClient;
    policy: AdmissionPolicy;
  }) {
    this.#groups = options.groups;
    this.#tail = options.tail;
    this.#clock = options.clock;
    this.#identities = options.identities;
    this.#crashes = options.crashes;
    this.#serverClient = options.serverClient;
    this.#policy = options.policy;
    this.#retryBudget = RetryBudget.create({
      ratio: RETRIES_PER_REQUEST[options.policy],
      burst: 20,
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#checkServers(), POLL_MS);
  }

  /** Waits for requests forwarded by other routers, then stops. */
  async stop(): Promise<void> {
    const end = this.#clock.now() + STOP_TIMEOUT_MS;
    while (this.active > 0 && this.#clock.now() < end) await waitMs(POLL_MS);
    clearInterval(this.#timer);
    this.#serverClient.stop();
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

  /** Number of requests queued for or running at servers of this holder. */
  get active(): number {
    let count = 0;
    for (const s of this.#servers.values()) count += s.active;
    return count;
  }

  /** Executes a request if this router holds the key's group. */
  async run(call: Call): Promise<Result> {
    const group = this.#findGroup(call);
    if (group === undefined) {
      return makeRefusal(Reason.NoOwner, "The key has no owner yet", 200);
    }
    const direction = this.#groups.direct(group, call.key);
    if (direction.kind === RoutingDecisionKind.NotHolder) {
      return makeMisdirected(direction.holder);
    }
    const { state } = this.#tail;
    const poisonEntry = state.listPoison().length > 0 &&
      state.getPoison(computeFingerprint(call));
    if (poisonEntry) {
      return makeRefusal(
        Reason.Poisoned,
        `The request crashed ${poisonEntry.crashes} servers; an operator can lift ` +
          `poison entry ${poisonEntry.fingerprint}`,
      );
    }
    return call.rule.idempotent
      ? await this.#sendWithRetries(call, group)
      : await this.#runOnce(call, group);
  }

  #findGroup(call: Call): GroupId | undefined {
    const { state } = this.#tail;
    const unit = state.resolveUnit(call.service, call.key);
    return unit && state.getOwner(call.service, unit)?.group;
  }

  /** Executes a non-idempotent request at most once per identity. */
  async #runOnce(call: Call, group: GroupId): Promise<Result> {
    const identity = call.identity!;
    for (;;) {
      const store = this.#identities.get(group);
      if (!store) return makeMisdirected(undefined);
      const admission = store.admit(identity, this.#clock.unixMs());
      switch (admission.kind) {
        case AdmissionKind.New: {
          store.noteWaiting(identity);
          try {
            const result = await this.#sendWithRetries(call, group);
            this.#record(call, { group, result });
            return result;
          } catch (error) {
            // It may have been sent before the error, so it may have run.
            store.markUnknown(identity, this.#clock.unixMs());
            this.#attemptFinished.notify();
            throw error;
          }
        }
        case AdmissionKind.Done:
          return makeReplayedResponse(admission.answer);
        case AdmissionKind.Running: {
          const remainingMs = call.deadlineMs - this.#clock.unixMs();
          if (remainingMs > 0 && !call.signal.aborted) {
            await this.#attemptFinished.wait(remainingMs);
            continue;
          }
          return makeUnknown(
            Reason.AlreadyRunning,
            "An earlier attempt with this identity is still running",
          );
        }
        default:
          return ADMISSION_FAILURES[admission.kind];
      }
    }
  }

  /** Records the outcome of an identity. */
  #record(call: Call, end: { group: GroupId; result: Result }) {
    const store = this.#identities.get(end.group);
    const identity = call.identity!;
    const unixMs = this.#clock.unixMs();
    const { result } = end;
    if (result.kind === ResultKind.Buffered) {
      store?.finish(identity, makeStoredResponse(result), unixMs);
    } else if (result.kind === ResultKind.Stream) {
      const { status, headers } = result;
      store?.finish(identity, { status, headers }, unixMs);
    } else if (isNotExecuted(result)) store?.release(identity);
    else store?.markUnknown(identity, unixMs);
    this.#attemptFinished.notify();
  }

  /**
   * Sends the request to the key's server. Retries while nothing was executed;
   * after a lost response only if the request can be repeated.
   */
  async #sendWithRetries(call: Call, group: GroupId): Promise<Result> {
    const ownerWaitEnd = this.#clock.now() + MAX_OWNER_WAIT_MS;
    let lost: Result | undefined;
    this.#retryBudget.deposit();
    for (;;) {
      const remainingMs = call.deadlineMs - this.#clock.unixMs();
      if (remainingMs <= 0 || call.signal.aborted) {
        return lost ?? makeRefusal(
          Reason.DeadlinePassed,
          "The deadline passed before the request was sent",
        );
      }
      const direction = this.#groups.direct(group, call.key);
      if (direction.kind === RoutingDecisionKind.NotHolder) {
        const result = makeMisdirected(direction.holder);
        // The sender retries an idempotent request at the new holder.
        if (lost && !call.rule.idempotent) return lost;
        return lost ? { ...result, mayHaveRun: true } : result;
      }
      const isBulk = call.rule.class === RequestClass.Bulk;
      if (
        direction.kind === RoutingDecisionKind.Wait ||
        (isBulk && direction.leaving)
      ) {
        const maxWaitMs = Math.min(
          ownerWaitEnd - this.#clock.now(),
          remainingMs,
        );
        if (maxWaitMs <= 0) {
          const { reason, text } = describeWaitReason(direction);
          return lost ?? makeRefusal(reason, text, RETRY_AFTER_MS);
        }
        await this.#groups.changed.wait(maxWaitMs);
        continue;
      }
      if (this.#isPossiblyExecutedElsewhere(call, direction)) {
        return makeUnknown(
          Reason.IdentityTooOld,
          "An earlier holder may have executed this request",
        );
      }
      const attempt = await this.#acquireSlotAndSend(call, {
        group,
        direction,
      });
      if (attempt.kind === AttemptKind.Retry) continue;
      const isResendable = attempt.kind === AttemptKind.NotAccepted &&
        !isConsumed(call.body);
      if (isResendable && this.#clock.now() < ownerWaitEnd) {
        await this.#groups.changed.wait(NOT_ACCEPTED_RETRY_MS);
        continue;
      }
      if (attempt.kind === AttemptKind.Lost) {
        lost = makeUnknown(Reason.ConnectionLost, attempt.text);
        if (this.#isRetryAllowed(call)) continue;
        return lost;
      }
      if (
        attempt.kind === AttemptKind.Done || attempt.kind === AttemptKind.Shed
      ) {
        return lost && isNotExecuted(attempt.result) ? lost : attempt.result;
      }
      return lost ?? makeRefusal(
        Reason.ServerRefused,
        "The server refused the token or the connection",
        RETRY_AFTER_MS,
      );
    }
  }

  #isRetryAllowed(call: Call): boolean {
    if (!call.rule.idempotent || call.body.kind !== BodyKind.Buffered) {
      return false;
    }
    return this.#retryBudget.withdraw();
  }

  /** Returns whether an earlier holder may have executed the request. */
  #isPossiblyExecutedElsewhere(
    call: Call,
    { knownSinceMs }: ServerRoute,
  ): boolean {
    return !call.rule.idempotent &&
      this.#identities.isPossiblyExecutedElsewhere(
        call.identity!,
        knownSinceMs,
      );
  }

  async #acquireSlotAndSend(
    call: Call,
    { group, direction }: { group: GroupId; direction: ServerRoute },
  ): Promise<Attempt> {
    const slots = this.#getSlots(call, direction);
    const fingerprint = computeFingerprint(call);
    // A router whose connection broke may send the request again while the
    // first attempt is still queued or running, so the request ID alone is not
    // unique.
    const id = `${call.requestId}/${this.#attemptCount += 1}`;
    const entry = await slots.acquireSlot({
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
      return makeDoneAttempt(
        makeRefusal(entry.reason, text, entry.retryAfterMs),
      );
    }
    if (entry.kind === DecisionKind.Queued) return { kind: AttemptKind.Retry };
    const now = this.#groups.direct(group, call.key);
    const isUnchanged = now.kind === RoutingDecisionKind.Forward &&
      now.server === direction.server && now.unit === direction.unit &&
      now.token.equals(direction.token);
    if (!isUnchanged || call.signal.aborted) {
      slots.releaseSlot(id, RunResult.NotRun);
      return { kind: AttemptKind.Retry };
    }
    const target = { id, group, direction, slots, fingerprint };
    return await this.#serverClient.send(call, target);
  }

  #getSlots(call: Call, direction: ServerRoute): ServerSlots {
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

  /** Evicts queued requests of moved units, and detects server crashes. */
  #checkServers() {
    const now = this.#clock.now();
    const servers = new Map(
      this.#groups.listHolders().flatMap((h) => h.describeServers(now))
        .map((s) => [s.id, s]),
    );
    for (const [id, slots] of this.#servers) {
      const { state } = this.#tail;
      slots.evictMovedUnits((unit) =>
        state.getOwner(slots.service, unit)?.server !== id ||
        !servers.has(id)
      );
      const seen = servers.get(id);
      const restarted = slots.updateIncarnation(seen?.incarnation, now);
      if (restarted || seen?.suspected) this.#crashes.recordFailure(slots);
    }
  }
}

const ADMISSION_FAILURES: Readonly<
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
    "A router was told that this request did not run; use a new identity",
  ),
  [AdmissionKind.Forgotten]: makeUnknown(
    Reason.IdentityTooOld,
    "The request may have run: its identity predates this holder's records",
  ),
  [AdmissionKind.Ahead]: makeRefusal(
    Reason.IdentityAhead,
    "The identity's timestamp is ahead of the holder's clock",
  ),
  [AdmissionKind.Malformed]: makeRefusal(
    Reason.IdentityRequired,
    "The idempotency-key is not a UUIDv7",
  ),
};

function describeWaitReason(
  direction: Exclude<RoutingDecision, { kind: RoutingDecisionKind.NotHolder }>,
): { reason: Reason; text: string } {
  if (direction.kind === RoutingDecisionKind.Wait) return direction;
  const text = `Server ${direction.server} is leaving`;
  return { reason: Reason.Draining, text };
}

function makeMisdirected(holder: VmId | undefined): Misdirected {
  return holder === undefined
    ? { kind: ResultKind.Misdirected }
    : { kind: ResultKind.Misdirected, holder };
}

/** Returns whether the request was certainly not executed. */
function isNotExecuted(result: Result): boolean {
  if (result.kind === ResultKind.Misdirected) return true;
  return result.kind === ResultKind.Failure &&
    result.failure.outcome === Outcome.Refused;
}

function makeStoredResponse(
  result: Extract<Result, { kind: ResultKind.Buffered }>,
): StoredResponse {
  return {
    status: result.status,
    headers: result.headers,
    body: result.body.toString("base64"),
  };
}
