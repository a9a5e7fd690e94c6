/** Idempotency store of a group's holder. @module */
import {
  type IdentityEntry,
  IdentityState,
  type OutcomeReply,
  parseUuid7Ms,
  type StoredResponse,
} from "@jaytiller/model";
import {
  type Admission,
  AdmissionKind,
  DEFAULT_KEPT_TOTAL_BYTES,
  type StoreLimits,
  type StoreOptions,
  type StoreSnapshot,
} from "./admission.js";
import { TimeHeap } from "./time_heap.js";

interface Entry {
  /** Timestamp of the identity, in Unix ms. */
  readonly timeMs: number;
  state: IdentityState;
  /** Unix ms of the last state change. */
  atMs: number;
  answer?: StoredResponse;
}

/**
 * Records which identities have run, so that each runs at most once. Identities
 * are compared case-insensitively, because both forms denote the same UUID.
 *
 * An identity that is not recorded may run only if its timestamp is above a
 * watermark. At or below it, identities may have run without a record here:
 * before the holder took over the group, or before their entries were evicted.
 */
export class IdempotencyStore {
  readonly #limits: StoreLimits;
  readonly #entries = new Map<string, Entry>();
  // The heaps may contain stale items, whose entries have been removed or
  // changed. `#entries` is authoritative.
  /** Identities by their timestamp. */
  readonly #byTime = new TimeHeap();
  /** Identities by the time of a state change. */
  readonly #byLastChange = new TimeHeap();
  /** Identities with a kept body, by the time of their response. */
  readonly #byAnswerTime = new TimeHeap();
  /** Total size of the kept bodies. */
  #keptBytes = 0;
  /** Running attempts of which nothing has been sent to a server. */
  readonly #unsent = new Set<string>();
  /** Value of `knownSinceMs` at creation. */
  readonly #sinceMs: number;
  /** Highest timestamp of an evicted identity, in Unix ms. */
  #maxEvictedMs = -Infinity;

  private constructor(sinceMs: number, limits: StoreLimits) {
    this.#sinceMs = sinceMs;
    this.#limits = limits;
  }

  /**
   * Creates an empty store. Throws a RangeError if an option is not a number or
   * `capacity` is below 1.
   */
  static create(options: StoreOptions): IdempotencyStore {
    const { knownSinceMs, ...limits } = options;
    checkOptions(options);
    return new IdempotencyStore(knownSinceMs, limits);
  }

  /**
   * Creates a store from the result of `encode`. Attempts that were running at
   * the sender and entries in a state that this version does not know get an
   * unknown outcome. Throws a RangeError if `knownSinceMs` is not a number.
   */
  static restore(saved: StoreSnapshot, limits: StoreLimits): IdempotencyStore {
    const store = IdempotencyStore.create({
      ...limits,
      knownSinceMs: saved.knownSinceMs,
    });
    for (const e of saved.entries) store.#restoreEntry(e);
    return store;
  }

  /** Unix ms up to which identities may have run without being recorded. */
  get knownSinceMs(): number {
    return Math.max(this.#sinceMs, this.#maxEvictedMs);
  }

  /** Number of recorded identities. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Decides whether an attempt may run. On `New`, the caller has to run it and
   * then call exactly one of `finish`, `release` and `markUnknown`, once.
   */
  admit(identity: string, unixMs: number): Admission {
    const id = identity.toLowerCase();
    const timeMs = parseUuid7Ms(id);
    if (timeMs === undefined) return { kind: AdmissionKind.Malformed };
    this.#evictExpired(unixMs);
    const entry = this.#entries.get(id);
    if (entry) return makeAdmission(entry);
    if (this.#mayHaveRun(timeMs, unixMs)) {
      return { kind: AdmissionKind.Forgotten };
    }
    if (timeMs > unixMs + this.#limits.toleranceMs) {
      return { kind: AdmissionKind.Ahead };
    }
    this.#record(id, { timeMs, state: IdentityState.Running, atMs: unixMs });
    return { kind: AdmissionKind.New };
  }

  /**
   * Records the response to an attempt. A late response may also be recorded
   * after `markUnknown`. Has no effect on an evicted identity.
   */
  finish(identity: string, answer: StoredResponse, unixMs: number): void {
    const id = identity.toLowerCase();
    this.#unsent.delete(id);
    const entry = this.#entries.get(id);
    if (!entry || !FINISHABLE_STATES.has(entry.state)) return;
    entry.state = IdentityState.Done;
    entry.atMs = unixMs;
    this.#keepAnswer(id, { entry, answer });
  }

  /**
   * Marks an admitted attempt as not sent to a server yet. `noteSent` must be
   * called before it is sent.
   */
  noteWaiting(identity: string): void {
    this.#unsent.add(identity.toLowerCase());
  }

  /** Records that an attempt is about to be sent, so it may run from now on. */
  noteSent(identity: string): void {
    this.#unsent.delete(identity.toLowerCase());
  }

  /** Removes an attempt that certainly did not run, so that a later one may. */
  release(identity: string): void {
    const id = identity.toLowerCase();
    this.#unsent.delete(id);
    if (this.#entries.get(id)?.state !== IdentityState.Running) return;
    this.#entries.delete(id);
  }

  /** Records that the outcome of a running attempt is unknown. */
  markUnknown(identity: string, unixMs: number): void {
    this.#unsent.delete(identity.toLowerCase());
    const entry = this.#entries.get(identity.toLowerCase());
    if (entry?.state !== IdentityState.Running) return;
    entry.state = IdentityState.Forgotten;
    entry.atMs = unixMs;
  }

  /**
   * Returns the outcome of an identity, for a router that lost its connection
   * to the holder. An identity that was not seen is barred first, so `NotSeen`
   * and `Barred` both mean that it did not run and will not run here.
   */
  resolve(identity: string, unixMs: number): OutcomeReply {
    const id = identity.toLowerCase();
    const timeMs = parseUuid7Ms(id);
    // Malformed identities are never recorded, so the outcome is unknown.
    if (timeMs === undefined) return { state: IdentityState.Forgotten };
    this.#evictExpired(unixMs);
    const entry = this.#entries.get(id);
    if (entry) return { state: entry.state, ...pickAnswer(entry) };
    // If an identity far ahead of the clock were recorded as barred, its
    // eviction would raise the watermark above the identities of all callers.
    const ahead = timeMs > unixMs + this.#limits.toleranceMs;
    if (ahead || this.#mayHaveRun(timeMs, unixMs)) {
      return { state: IdentityState.Forgotten };
    }
    this.#record(id, { timeMs, state: IdentityState.Barred, atMs: unixMs });
    return { state: IdentityState.NotSeen };
  }

  /** Returns the state of an identity without changing it. */
  getState(identity: string): IdentityState {
    return this.#entries.get(identity.toLowerCase())?.state ??
      IdentityState.NotSeen;
  }

  /**
   * Returns the content of the store for a handover, without the attempts that
   * have not been sent. The successor may run those, so the caller must not
   * admit or send any attempt afterwards.
   */
  encode(): StoreSnapshot {
    return {
      knownSinceMs: this.knownSinceMs,
      entries: [...this.#entries]
        .filter(([identity]) => !this.#unsent.has(identity))
        .map(([identity, e]) => ({
          identity,
          state: e.state,
          atMs: e.atMs,
          ...pickAnswer(e),
        })),
    };
  }

  /** Returns whether an identity that is not recorded may have run. */
  #mayHaveRun(timeMs: number, unixMs: number): boolean {
    const { toleranceMs, clockErrorMs, windowMs } = this.#limits;
    // The previous holder admitted identities up to `toleranceMs` ahead of its
    // clock, which may differ from this one by `clockErrorMs`.
    const watermarkMs = Math.max(
      this.#sinceMs + toleranceMs + clockErrorMs,
      this.#maxEvictedMs,
    );
    return timeMs <= watermarkMs || timeMs <= unixMs - windowMs;
  }

  #record(id: string, entry: Entry): void {
    while (this.#entries.size >= this.#limits.capacity) this.#evictOldest();
    this.#entries.set(id, entry);
    this.#byTime.push({ identity: id, timeMs: entry.timeMs });
    this.#byLastChange.push({ identity: id, timeMs: entry.atMs });
    this.#compactHeaps();
  }

  #restoreEntry(saved: IdentityEntry): void {
    const id = String(saved.identity).toLowerCase();
    const timeMs = parseUuid7Ms(id);
    if (timeMs === undefined || this.#entries.has(id)) return;
    const isFinal = FINAL_STATES.has(saved.state) &&
      (saved.state !== IdentityState.Done || saved.answer !== undefined);
    const state = isFinal ? saved.state : IdentityState.Forgotten;
    const atMs = Number.isFinite(saved.atMs) ? saved.atMs : timeMs;
    const entry: Entry = { timeMs, state, atMs };
    this.#record(id, entry);
    if (state !== IdentityState.Done) return;
    this.#keepAnswer(id, { entry, answer: saved.answer! });
  }

  /** Keeps a response and drops the oldest bodies above the total limit. */
  #keepAnswer(id: string, to: { entry: Entry; answer: StoredResponse }): void {
    const { entry, answer } = to;
    const bytes = countBodyBytes(answer);
    entry.answer = bytes > this.#limits.keptBytes ? dropBody(answer) : answer;
    if (entry.answer.body === undefined) return;
    this.#keptBytes += bytes;
    this.#byAnswerTime.push({ identity: id, timeMs: entry.atMs });
    const limit = this.#limits.keptTotalBytes ?? DEFAULT_KEPT_TOTAL_BYTES;
    while (this.#keptBytes > limit) {
      const oldest = this.#byAnswerTime.pop();
      if (!oldest) return;
      const other = this.#entries.get(oldest.identity);
      if (other) this.#dropBodyOf(other);
    }
  }

  #dropBodyOf(entry: Entry): void {
    if (!entry.answer) return;
    this.#keptBytes -= countBodyBytes(entry.answer);
    entry.answer = dropBody(entry.answer);
  }

  #evictExpired(unixMs: number): void {
    const cutoffMs = unixMs - this.#limits.windowMs;
    for (;;) {
      const item = this.#byLastChange.peek();
      if (!item || item.timeMs > cutoffMs) return;
      this.#byLastChange.pop();
      const entry = this.#entries.get(item.identity);
      if (!entry) continue;
      // Entries of running attempts are kept: the response is still to come.
      if (entry.state === IdentityState.Running) entry.atMs = unixMs;
      if (entry.atMs <= cutoffMs) this.#evict(item.identity, entry);
      else this.#byLastChange.push({ ...item, timeMs: entry.atMs });
    }
  }

  /** Evicts the lowest timestamp, because that raises the watermark least. */
  #evictOldest(): void {
    for (;;) {
      const item = this.#byTime.pop();
      if (!item) return;
      const entry = this.#entries.get(item.identity);
      if (entry) return this.#evict(item.identity, entry);
    }
  }

  /**
   * Removes an entry and raises the watermark to its timestamp, so that the
   * identity cannot run again even if the clock is set back.
   */
  #evict(id: string, entry: Entry): void {
    this.#entries.delete(id);
    this.#dropBodyOf(entry);
    this.#maxEvictedMs = Math.max(this.#maxEvictedMs, entry.timeMs);
  }

  /** Rebuilds heaps in which more than about half of the items are stale. */
  #compactHeaps(): void {
    const limit = 2 * this.#entries.size + HEAP_SLACK;
    if (this.#byTime.size > limit) this.#rebuild(this.#byTime, (e) => e.timeMs);
    if (this.#byLastChange.size > limit) {
      this.#rebuild(this.#byLastChange, (e) => e.atMs);
    }
    if (this.#byAnswerTime.size > limit) {
      this.#rebuild(this.#byAnswerTime, (e) => e.atMs);
    }
  }

  #rebuild(heap: TimeHeap, getTime: (e: Entry) => number): void {
    heap.reset(
      [...this.#entries].map(([identity, e]) => ({
        identity,
        timeMs: getTime(e),
      })),
    );
  }
}

/** Number of stale heap items that are always tolerated. */
const HEAP_SLACK = 64;

/** States in which a response may be recorded. */
const FINISHABLE_STATES: ReadonlySet<IdentityState> = new Set([
  IdentityState.Running,
  IdentityState.Forgotten,
]);

/** States that a handover preserves; all others become `Forgotten`. */
const FINAL_STATES: ReadonlySet<IdentityState> = new Set([
  IdentityState.Done,
  IdentityState.Barred,
]);

const ADMISSION_BY_STATE: Readonly<
  Record<IdentityState, Exclude<AdmissionKind, AdmissionKind.Done>>
> = {
  [IdentityState.Running]: AdmissionKind.Running,
  [IdentityState.Barred]: AdmissionKind.Barred,
  [IdentityState.Forgotten]: AdmissionKind.Forgotten,
  // Unreachable: no entry without a response is in one of these states. Such
  // an identity must not run.
  [IdentityState.NotSeen]: AdmissionKind.Forgotten,
  [IdentityState.Done]: AdmissionKind.Forgotten,
};

function makeAdmission(entry: Entry): Admission {
  return entry.state === IdentityState.Done && entry.answer
    ? { kind: AdmissionKind.Done, answer: entry.answer }
    : { kind: ADMISSION_BY_STATE[entry.state] };
}

function pickAnswer(entry: Entry): { answer?: StoredResponse } {
  return entry.answer ? { answer: entry.answer } : {};
}

/** Returns the size of the decoded body, in bytes. */
function countBodyBytes({ body }: StoredResponse): number {
  if (body === undefined) return 0;
  const padding = body.endsWith("==") ? 2 : body.endsWith("=") ? 1 : 0;
  return Math.floor(body.length * 3 / 4) - padding;
}

function dropBody({ body: _, ...rest }: StoredResponse): StoredResponse {
  return rest;
}

/**
 * Rejects values that are not numbers. A value such as NaN would make every
 * comparison with the watermark false.
 */
function checkOptions(options: StoreOptions): void {
  for (const [name, value] of Object.entries(options)) {
    if (value === undefined && name === "keptTotalBytes") continue;
    if (typeof value === "number" && !Number.isNaN(value)) continue;
    throw new RangeError(
      `Idempotency store: ${name} is ${
        JSON.stringify(value)
      }, expected a number`,
    );
  }
  if (options.capacity >= 1) return;
  throw new RangeError(
    `Idempotency store: capacity is ${options.capacity}, expected at least 1`,
  );
}
