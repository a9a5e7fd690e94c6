/** Slots and queue of one backend server, as the dispatcher uses them. @module */
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

const QUEUE_LIMIT = 256;
/** Above any `clock_error_ms`. */
const KEPT_AFTER_DEADLINE_MS = 10_000;

/** Lost requests that are kept until a crash shows or not. */
const LOST_LIMIT = 1_000;

/** A request whose answer was lost. */
export interface LostRequest {
  readonly fingerprint: string;
  /** Method and path, for operators. */
  readonly summary: string;
}

/** A request that asks for a slot. */
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

/** `Start`: run now. `Queued`: the unit left the server, look again. */
export type Entry =
  | { readonly kind: DecisionKind.Start | DecisionKind.Queued }
  | ({ readonly kind: DecisionKind.Refused } & Refusal);

const QUEUES: Readonly<
  Record<AdmissionPolicy, (slots: number, now: number) => AdmissionQueue>
> = {
  [AdmissionPolicy.Classes]: (slots, now) =>
    ServerQueue.create({ slots, queueLimit: QUEUE_LIMIT, now }),
  [AdmissionPolicy.Plain]: (slots) => FifoQueue.create({ slots }),
};

interface Waiter {
  readonly request: SlotRequest;
  readonly resolve: (entry: Entry) => void;
}

/** Admits requests to one server and counts what runs there. */
export class ServerSlots {
  readonly server: VmId;
  readonly service: ServiceName;
  readonly #clock: Clock;
  readonly #queue: AdmissionQueue;
  readonly #waiting = new Map<string, Waiter>();
  readonly #running = new Map<string, SlotRequest>();
  #lost: { request: LostRequest; at: number }[] = [];
  /** Requests without an answer that may still run. */
  #unanswered: { request: SlotRequest; deadlineMs: number }[] = [];
  #incarnation: string | undefined;
  #timer: ReturnType<typeof setTimeout> | undefined;
  /** Latest deadline, unix ms, of requests sent to the server. */
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
    this.#queue = QUEUES[options.policy](options.slots, options.clock.now());
  }

  /** Requests that are queued or run. */
  get active(): number {
    return this.#waiting.size + this.#running.size;
  }

  countInFlight(unit: UnitId): number {
    let count = 0;
    for (const r of this.#running.values()) if (covers(unit, r)) count += 1;
    return count;
  }

  countBulk(unit: UnitId): number {
    let count = 0;
    for (const r of this.#running.values()) {
      if (covers(unit, r) && r.class === RequestClass.Bulk) count += 1;
    }
    return count;
  }

  /** Latest deadline, unix ms, of requests for the unit without an answer. */
  getLostDeadline(unit: UnitId): number {
    const deadlines = this.#unanswered
      .filter((u) => covers(unit, u.request)).map((u) => u.deadlineMs);
    return Math.max(0, ...deadlines);
  }

  /** Records that a running request may go on although no answer came. */
  noteUnanswered(id: string, deadlineMs: number): void {
    const request = this.#running.get(id);
    const unixMs = this.#clock.unixMs();
    // A passed deadline is kept for the error of the server's clock.
    this.#unanswered = this.#unanswered
      .filter((u) => u.deadlineMs > unixMs - KEPT_AFTER_DEADLINE_MS);
    if (request) this.#unanswered.push({ request, deadlineMs });
  }

  noteDeadline(deadlineMs: number): void {
    this.lastDeadlineMs = Math.max(this.lastDeadlineMs, deadlineMs);
  }

  /** Waits for a slot. Each start has to be followed by `leave`. */
  enter(request: SlotRequest): Promise<Entry> {
    return new Promise((resolve) => {
      const now = this.#clock.now();
      this.#waiting.set(request.id, { request, resolve });
      const deadlineAt = this.#getLatestStart(request, now);
      const decision = this.#queue.offer({ ...request, deadlineAt }, now);
      for (const refusal of decision.evicted) this.#refuse(refusal);
      if (decision.kind === DecisionKind.Refused) this.#refuse(decision);
      if (decision.kind === DecisionKind.Start) this.#begin([request.id]);
      this.#begin(decision.started);
      if (decision.kind === DecisionKind.Queued) {
        request.signal.addEventListener(
          "abort",
          () => this.#cancel(request.id),
          {
            once: true,
          },
        );
      }
      this.#arm();
    });
  }

  /** Estimate of the time that a request of a class runs, in ms. */
  estimateRun(cls: RequestClass): number {
    return this.#queue.estimateServiceMs(cls);
  }

  /** Ends a run. */
  leave(id: string, result: RunResult): void {
    if (!this.#running.delete(id)) return;
    const now = this.#clock.now();
    this.#begin(this.#queue.finish(id, { now, result }));
    this.#arm();
  }

  /** Sends queued requests away whose unit has left the server. */
  evictUnits(hasLeft: (unit: UnitId) => boolean): void {
    if (this.#waiting.size === 0) return;
    const units = new Set(
      [...this.#waiting.values()].map((w) => w.request.unit),
    );
    for (const unit of units) {
      if (!hasLeft(unit)) continue;
      for (const id of this.#queue.takeUnit(unit)) this.#sendAway(id);
    }
  }

  /** Records a request whose answer was lost, as a possible crash. */
  noteLost(request: LostRequest, at: number): void {
    this.#lost.push({ request, at });
    if (this.#lost.length > LOST_LIMIT) this.#lost.shift();
  }

  /** Returns and forgets the requests lost since a time. */
  takeLost(since: number): LostRequest[] {
    const lost = this.#lost.filter((l) => l.at >= since);
    this.#lost = [];
    return lost.map((l) => l.request);
  }

  /** Returns true once for each new process of the server. */
  noteIncarnation(incarnation: string | undefined, now: number): boolean {
    if (incarnation === undefined) return false;
    const before = this.#incarnation;
    this.#incarnation = incarnation;
    if (before === undefined || before === incarnation) return false;
    this.#queue.restartSlowStart(now);
    return true;
  }

  /**
   * Time by which a request has to start to be answered in time. Half of the
   * time left remains for the queue, because a few long requests may have
   * raised the estimate above any deadline.
   */
  #getLatestStart({ class: cls, deadlineAt }: SlotRequest, now: number) {
    const runMs = this.#queue.estimateServiceMs(cls);
    return deadlineAt - Math.min(runMs, Math.max(0, deadlineAt - now) / 2);
  }

  #begin(ids: readonly string[]) {
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

  #sendAway(id: string) {
    const waiter = this.#waiting.get(id);
    this.#waiting.delete(id);
    waiter?.resolve({ kind: DecisionKind.Queued });
  }

  #cancel(id: string) {
    if (!this.#waiting.has(id)) return;
    this.#begin(this.#queue.cancel(id, this.#clock.now()));
    this.#sendAway(id);
  }

  /** Sets the timer for the next deadline or growth of the slots. */
  #arm() {
    clearTimeout(this.#timer);
    const now = this.#clock.now();
    const at = this.#queue.getWakeTime(now);
    if (at === undefined) return;
    this.#timer = setTimeout(() => this.#wake(), Math.max(1, at - now));
  }

  #wake() {
    const now = this.#clock.now();
    for (const id of this.#queue.expire(now)) {
      this.#refuse({ id, reason: Reason.Overloaded, retryAfterMs: 0 });
    }
    this.#begin(this.#queue.startReady(now));
    this.#arm();
  }
}

/**
 * Does a request belong to the unit? One that was sent under its shard also
 * belongs to the unit of its key, which is about to be split out.
 */
function covers(unit: UnitId, request: SlotRequest): boolean {
  return request.unit === unit || unit === `k:${request.key}`;
}
