/** Execution slots and queue of one backend server. @module */
import {
  type AdmissionQueue,
  DecisionKind,
  FifoQueue,
  type Refusal,
  RunResult,
  ServerQueue,
} from "@jaytiller/admission";
import {
  Reason,
  RequestClass,
  type ServiceName,
  type UnitId,
  type VmId,
} from "@jaytiller/model";
import type { Clock } from "./clock.js";
import { AdmissionPolicy } from "./settings.js";

export { RunResult };

const MAX_QUEUED_REQUESTS = 256;
/** Above any `clock_error_ms`. */
const UNANSWERED_RETENTION_MS = 10_000;

/** Largest number of lost requests kept as suspects of a later crash. */
const MAX_LOST_REQUESTS = 1_000;

/** A request whose response was lost. */
export interface LostRequest {
  readonly fingerprint: string;
  /** Method and path, shown to operators. */
  readonly summary: string;
}

/** A request for an execution slot. */
export interface SlotRequest {
  readonly id: string;
  readonly class: RequestClass;
  readonly unit: UnitId;
  readonly key: string;
  readonly alone: boolean;
  /** Monotonic ms. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/**
 * `Start`: the request has a slot. `Queued`: it left the queue without one,
 * because its unit moved or it was cancelled, and has to be routed again.
 */
export type SlotDecision =
  | { readonly kind: DecisionKind.Start | DecisionKind.Queued }
  | ({ readonly kind: DecisionKind.Refused } & Refusal);

const QUEUE_FACTORIES: Readonly<
  Record<AdmissionPolicy, (slots: number, now: number) => AdmissionQueue>
> = {
  [AdmissionPolicy.Classes]: (slots, now) =>
    ServerQueue.create({ slots, queueLimit: MAX_QUEUED_REQUESTS, now }),
  [AdmissionPolicy.Fifo]: (slots) => FifoQueue.create({ slots }),
};

interface Waiter {
  readonly request: SlotRequest;
  readonly resolve: (entry: SlotDecision) => void;
}

/** Admits requests to one server and tracks those that run there. */
export class ServerSlots {
  readonly server: VmId;
  readonly service: ServiceName;
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue;
  readonly #waiting = new Map<string, Waiter>();
  readonly #running = new Map<string, SlotRequest>();
  #lost: { request: LostRequest; at: number }[] = [];
  /** Requests without a response that may still run. */
  #unanswered: { request: SlotRequest; deadlineMs: number }[] = [];
  #incarnation: string | undefined;
  #timer: ReturnType<typeof setTimeout> | undefined;
  /** Latest deadline, in unix ms, of requests sent to the server. */
  lastDeadlineMs = 0;

  constructor(options: {
    server: VmId;
    service: ServiceName;
    slots: number;
    policy: AdmissionPolicy;
    clock: Clock;
  }) {
    this.server = options.server;
    this.service = options.service;
    this.#clock = options.clock;
    this.#queue = QUEUE_FACTORIES[options.policy](
      options.slots,
      options.clock.now(),
    );
  }

  /** Number of requests that are queued or running. */
  get active(): number {
    return this.#waiting.size + this.#running.size;
  }

  countInFlight(unit: UnitId): number {
    let count = 0;
    for (const r of this.#running.values()) if (isOfUnit(unit, r)) count += 1;
    return count;
  }

  countBulk(unit: UnitId): number {
    let count = 0;
    for (const r of this.#running.values()) {
      if (isOfUnit(unit, r) && r.class === RequestClass.Bulk) count += 1;
    }
    return count;
  }

  /** Returns the latest deadline, in unix ms, of the unit's lost requests. */
  getLostDeadline(unit: UnitId): number {
    const deadlines = this.#unanswered
      .filter((u) => isOfUnit(unit, u.request)).map((u) => u.deadlineMs);
    return Math.max(0, ...deadlines);
  }

  /** Records that a request may still run although no response arrived. */
  recordUnanswered(id: string, deadlineMs: number): void {
    const request = this.#running.get(id);
    const unixMs = this.#clock.unixMs();
    // Kept for a time after the deadline, as the server's clock may differ.
    this.#unanswered = this.#unanswered
      .filter((u) => u.deadlineMs > unixMs - UNANSWERED_RETENTION_MS);
    if (request) this.#unanswered.push({ request, deadlineMs });
  }

  recordDeadline(deadlineMs: number): void {
    this.lastDeadlineMs = Math.max(this.lastDeadlineMs, deadlineMs);
  }

  /** Waits for a slot. Each `Start` must be followed by `releaseSlot`. */
  acquireSlot(request: SlotRequest): Promise<SlotDecision> {
    return new Promise((resolve) => {
      const now = this.#clock.now();
      this.#waiting.set(request.id, { request, resolve });
      const deadlineAt = this.#getLatestStart(request, now);
      const decision = this.#queue.offer({ ...request, deadlineAt }, now);
      for (const refusal of decision.evicted) this.#refuse(refusal);
      if (decision.kind === DecisionKind.Refused) this.#refuse(decision);
      if (decision.kind === DecisionKind.Start) this.#startRuns([request.id]);
      this.#startRuns(decision.started);
      if (decision.kind === DecisionKind.Queued) {
        request.signal.addEventListener(
          "abort",
          () => this.#cancelRequest(request.id),
          {
            once: true,
          },
        );
      }
      this.#scheduleWake();
    });
  }

  /** Estimates the service time of a request class, in ms. */
  estimateServiceMs(requestClass: RequestClass): number {
    return this.#queue.estimateServiceMs(requestClass);
  }

  /** Releases the slot of a request whose run has ended. */
  releaseSlot(id: string, result: RunResult): void {
    if (!this.#running.delete(id)) return;
    const now = this.#clock.now();
    this.#startRuns(this.#queue.finish(id, { now, result }));
    this.#scheduleWake();
  }

  /** Removes queued requests whose unit has left the server. */
  evictMovedUnits(hasLeft: (unit: UnitId) => boolean): void {
    if (this.#waiting.size === 0) return;
    const units = new Set(
      [...this.#waiting.values()].map((w) => w.request.unit),
    );
    for (const unit of units) {
      if (!hasLeft(unit)) continue;
      for (const id of this.#queue.takeUnit(unit)) this.#evictRequest(id);
    }
  }

  /** Records a request whose response was lost, perhaps by a crash. */
  addLost(request: LostRequest, at: number): void {
    this.#lost.push({ request, at });
    if (this.#lost.length > MAX_LOST_REQUESTS) this.#lost.shift();
  }

  /** Returns the requests lost since a time, and forgets all lost requests. */
  takeLost(since: number): LostRequest[] {
    const lost = this.#lost.filter((l) => l.at >= since);
    this.#lost = [];
    return lost.map((l) => l.request);
  }

  /** Returns true once for each restart, after which slow start begins again. */
  updateIncarnation(incarnation: string | undefined, now: number): boolean {
    if (incarnation === undefined) return false;
    const before = this.#incarnation;
    this.#incarnation = incarnation;
    if (before === undefined || before === incarnation) return false;
    this.#queue.restartSlowStart(now);
    return true;
  }

  /**
   * Returns the latest time to start a request so that it meets its deadline.
   * At least half of the remaining time is left for queueing, because a few
   * long requests may have raised the estimate above any deadline.
   */
  #getLatestStart(
    { class: requestClass, deadlineAt }: SlotRequest,
    now: number,
  ) {
    const runMs = this.#queue.estimateServiceMs(requestClass);
    return deadlineAt - Math.min(runMs, Math.max(0, deadlineAt - now) / 2);
  }

  #startRuns(ids: readonly string[]) {
    for (const id of ids) {
      const waiter = this.#waiting.get(id);
      if (!waiter) continue;
      this.#waiting.delete(id);
      this.#running.set(id, waiter.request);
      waiter.resolve({ kind: DecisionKind.Start });
    }
  }

  #refuse(refusal: Refusal) {
    const waiter = this.#waiting.get(refusal.id);
    this.#waiting.delete(refusal.id);
    const { id, reason, retryAfterMs } = refusal;
    waiter?.resolve({ kind: DecisionKind.Refused, id, reason, retryAfterMs });
  }

  #evictRequest(id: string) {
    const waiter = this.#waiting.get(id);
    this.#waiting.delete(id);
    waiter?.resolve({ kind: DecisionKind.Queued });
  }

  #cancelRequest(id: string) {
    if (!this.#waiting.has(id)) return;
    this.#startRuns(this.#queue.cancel(id, this.#clock.now()));
    this.#evictRequest(id);
  }

  /** Sets the timer for the next deadline or increase of the slots. */
  #scheduleWake() {
    clearTimeout(this.#timer);
    const now = this.#clock.now();
    const at = this.#queue.getWakeTime(now);
    if (at === undefined) return;
    this.#timer = setTimeout(
      () => this.#processDueRequests(),
      Math.max(1, at - now),
    );
  }

  #processDueRequests() {
    const now = this.#clock.now();
    for (const id of this.#queue.expire(now)) {
      this.#refuse({ id, reason: Reason.Overloaded, retryAfterMs: 0 });
    }
    this.#startRuns(this.#queue.startReady(now));
    this.#scheduleWake();
  }
}

/**
 * Returns whether a request belongs to the unit. One that was sent under its
 * shard also belongs to the unit of its key, which is about to be split out.
 */
function isOfUnit(unit: UnitId, request: SlotRequest): boolean {
  return request.unit === unit || unit === `k:${request.key}`;
}
