/** Follows the platform's log and owns the cluster state. @module */
import { getLogger, type Service } from "@jaytiller/kernel";
import {
  EventKind,
  type LogEntry,
  type LogRecord,
  RecordKind,
  type RecordsReply,
  type SnapshotRecord,
} from "@jaytiller/model";
import {
  AppendKind,
  FailureKind,
  type LogClient,
  type ReadReply,
} from "@jaytiller/platform";
import { ClusterState, type Effect } from "@jaytiller/state";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import { ChangeSignal, waitMs } from "./signal.js";

const log = getLogger("log-tail");

/** Wait of one long poll. Freshness is renewed this often. */
const POLL_WAIT_MS = 100;
/** A read without an answer by then is repeated on a second connection. */
const HEDGE_AFTER_MS = 500;
const MAX_READS = 4;
const RETRY_PAUSE_MS = 100;
const READ_MAX = 500;
/** A read that returns more than this may have been cut short by its size. */
const AT_END_MAX = 100;
/** Entries kept for peers that cannot reach the log. */
const KEPT_ENTRIES = 5_000;
const KEPT_EFFECTS = 5_000;
const SUBMIT_TIMEOUT_MS = 4_000;
const APPEND_REPEAT_MS = 1_000;
const SNAPSHOT_CHECK_MS = 1_000;

/** How the submission of a record ended. */
export enum SubmitKind {
  /** The fold has applied or rejected it. */
  Decided = "decided",
  /** Certainly not appended. */
  Failed = "failed",
  /** May be appended; ask again with the record's UUID. */
  Unknown = "unknown",
}

export type Submission =
  | {
    readonly kind: SubmitKind.Decided;
    readonly effect: Effect;
    readonly offset: number;
  }
  | { readonly kind: SubmitKind.Failed; readonly text: string }
  | { readonly kind: SubmitKind.Unknown; readonly text: string };

/** Effect of a record that was folded here. */
export interface AppliedRecord {
  readonly entry: LogEntry;
  readonly effect: Effect;
}

/** Tails the log: reads, appends, and keeps entries for peers. */
export class LogTail implements Service {
  /** Wakes waiters when the state has changed. */
  readonly changed = new ChangeSignal();
  readonly #client: LogClient;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #freshMs: number;
  readonly #snapshotEvery: number;
  readonly #node: string;
  readonly #applied = new Map<string, AppliedRecord>();
  readonly #listeners: ((entry: LogEntry, effect: Effect) => void)[] = [];
  #state = ClusterState.empty;
  #entries: LogEntry[] = [];
  #freshAt = -Infinity;
  #ready = false;
  #stopped = false;
  #wasFresh = false;
  #lastSnapshot = 0;
  #reads = 0;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: {
    client: LogClient;
    clock: Clock;
    events: Events;
    /** A read to the end within this time counts as fresh. */
    freshMs: number;
    /** Records between two snapshots. */
    snapshotEvery: number;
    node: string;
  }) {
    this.#client = options.client;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#freshMs = options.freshMs;
    this.#snapshotEvery = options.snapshotEvery;
    this.#node = options.node;
  }

  get state(): ClusterState {
    return this.#state;
  }

  /** Was the log read to its end within the freshness time? */
  get fresh(): boolean {
    return this.#clock.now() - this.#freshAt < this.#freshMs;
  }

  /** Monotonic ms at which the last read to the end was sent. */
  get readAt(): number {
    return this.#freshAt;
  }

  /** Has the state been complete once: from the log or from peers? */
  get ready(): boolean {
    return this.#ready;
  }

  /** Calls `listener` for each entry after it was folded. */
  subscribe(listener: (entry: LogEntry, effect: Effect) => void): void {
    this.#listeners.push(listener);
  }

  start(): void {
    void this.#follow();
    this.#timer = setInterval(() => {
      this.#noteFreshness();
      this.#considerSnapshot();
    }, SNAPSHOT_CHECK_MS);
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    this.changed.notify();
  }

  /** What became of a record that this process has folded. */
  getApplied(recordId: string): AppliedRecord | undefined {
    return this.#applied.get(recordId);
  }

  /** Appends once. Resolves to false if the append certainly had no effect. */
  async append(record: LogRecord): Promise<boolean> {
    const result = await this.#client.append(record);
    return result.kind !== AppendKind.Failed;
  }

  /** Appends, repeats under the same UUID, and waits for the fold. */
  async submit(record: LogRecord): Promise<Submission> {
    const end = this.#clock.now() + SUBMIT_TIMEOUT_MS;
    let mayBeAppended = false;
    while (!this.#stopped) {
      const done = this.#applied.get(record.id);
      if (done) {
        const { effect, entry } = done;
        return { kind: SubmitKind.Decided, effect, offset: entry.offset };
      }
      if (this.#clock.now() >= end) break;
      // The record may be read long before an append without answer times out.
      const result = await Promise.race([
        this.#client.append(record),
        this.#awaitRecord(record.id, end),
      ]);
      if (result?.kind === AppendKind.Failed) {
        await waitMs(RETRY_PAUSE_MS);
        continue;
      }
      mayBeAppended = true;
      const repeatAt = this.#clock.now() + APPEND_REPEAT_MS;
      await this.#awaitRecord(record.id, Math.min(end, repeatAt));
    }
    const text = "The log did not confirm the record in time";
    const kind = mayBeAppended ? SubmitKind.Unknown : SubmitKind.Failed;
    return { kind, text };
  }

  /** Entries for a peer, or a snapshot if they are no longer kept. */
  listRecords(from: number, max: number): RecordsReply {
    const next = this.#state.position;
    const oldest = this.#entries[0]?.offset ?? next;
    if (from < oldest && from < next) {
      return { entries: [], next, snapshot: this.#state.encode() };
    }
    const entries = this.#entries.filter((e) => e.offset >= from).slice(0, max);
    return { entries, next };
  }

  /** Takes entries or a snapshot from a peer. Never goes back. */
  readRecords(reply: RecordsReply): void {
    if (reply.snapshot !== undefined) this.#restore(reply.snapshot);
    // Entries must join on, because a gap would hide records.
    const first = reply.entries[0];
    if (!first || first.offset <= this.#state.position) {
      this.#applyAll(reply.entries);
    }
  }

  /** Declares the state complete after all reachable peers were asked. */
  markReady(): void {
    if (this.#ready) return;
    this.#ready = true;
    log.info("State is complete.");
    this.changed.notify();
  }

  /** Returns when the fold has the record, at `until`, or on the stop. */
  async #awaitRecord(id: string, until: number): Promise<undefined> {
    while (!this.#applied.has(id) && this.#clock.now() < until) {
      await this.changed.wait(until - this.#clock.now());
      if (this.#stopped) return;
    }
  }

  async #follow() {
    while (!this.#stopped) {
      const from = this.#state.position;
      const ok = await this.#readHedged(from);
      if (!ok && !this.#stopped) await waitMs(RETRY_PAUSE_MS);
    }
  }

  /** Reads; a read that hangs is joined by another on a new connection. */
  async #readHedged(from: number): Promise<boolean> {
    let settled = false;
    return await new Promise<boolean>((resolve) => {
      const launch = async () => {
        if (settled || this.#stopped) return resolve(false);
        if (this.#reads >= MAX_READS) {
          setTimeout(launch, HEDGE_AFTER_MS);
          return;
        }
        const hedge = setTimeout(launch, HEDGE_AFTER_MS);
        this.#reads += 1;
        const ok = await this.#readOnce(from);
        this.#reads -= 1;
        clearTimeout(hedge);
        settled = true;
        resolve(ok);
      };
      void launch();
    });
  }

  async #readOnce(from: number): Promise<boolean> {
    const sentAt = this.#clock.now();
    const reply = await this.#client.read({
      from,
      max: READ_MAX,
      waitMs: POLL_WAIT_MS,
    });
    if (this.#stopped) return false;
    const failure = reply.swap().toMaybe().extractNullable();
    if (failure) {
      if (failure.kind !== FailureKind.Truncated) return false;
      return await this.#recover(failure.oldest ?? 0);
    }
    const read = reply.extract() as ReadReply;
    this.#applyAll(read.entries);
    if (read.entries.length <= AT_END_MAX) {
      this.#freshAt = Math.max(this.#freshAt, sentAt);
      this.#noteFreshness();
      this.markReady();
    }
    return true;
  }

  /** Restores the first snapshot after which all records are kept. */
  async #recover(oldest: number): Promise<boolean> {
    log.info(`Records below ${oldest} are no longer kept, reads a snapshot.`);
    let from = oldest;
    const kept: LogEntry[] = [];
    for (;;) {
      const reply = await this.#client.read({ from, max: READ_MAX, waitMs: 0 });
      const read = reply.toMaybe().extractNullable();
      if (!read || this.#stopped) return false;
      kept.push(...read.entries);
      const snapshot = read.entries.map((e) => e.record).find((r) =>
        r.kind === RecordKind.Snapshot && r.upTo >= oldest
      ) as SnapshotRecord | undefined;
      if (snapshot && this.#restore(snapshot.state)) {
        this.#applyAll(kept);
        return true;
      }
      if (read.entries.length === 0) {
        log.error("The log holds no snapshot that joins on to its records.");
        return false;
      }
      from = read.entries.at(-1)!.offset + 1;
    }
  }

  #restore(value: unknown): boolean {
    const state = ClusterState.restore(value);
    const next = state.toMaybe().extractNullable();
    if (!next) {
      log.error(`${state.swap().extract()}.`);
      return false;
    }
    if (next.position <= this.#state.position) return false;
    this.#state = next;
    this.#entries = [];
    this.changed.notify();
    return true;
  }

  #applyAll(entries: readonly LogEntry[]) {
    let count = 0;
    for (const entry of entries) {
      if (entry.offset < this.#state.position) continue;
      const { state, effect } = this.#state.apply(entry);
      this.#state = state;
      count += 1;
      this.#keep(entry, effect);
      for (const listener of this.#listeners) listener(entry, effect);
    }
    if (count > 0) this.changed.notify();
  }

  #keep(entry: LogEntry, effect: Effect) {
    this.#entries.push(entry);
    if (this.#entries.length > 2 * KEPT_ENTRIES) {
      this.#entries = this.#entries.slice(-KEPT_ENTRIES);
    }
    const { record } = entry;
    this.#clock.observe(record.hlc);
    if (record.kind === RecordKind.Snapshot) this.#lastSnapshot = entry.offset;
    if (typeof record.id !== "string" || this.#applied.has(record.id)) return;
    this.#applied.set(record.id, { entry, effect });
    for (const old of this.#applied.keys()) {
      if (this.#applied.size <= KEPT_EFFECTS) break;
      this.#applied.delete(old);
    }
  }

  #noteFreshness() {
    const fresh = this.fresh;
    if (fresh === this.#wasFresh) return;
    this.#wasFresh = fresh;
    this.#events.add(
      fresh
        ? { kind: EventKind.LogHeard, text: "The log answers" }
        : { kind: EventKind.LogLost, text: "The log does not answer" },
    );
  }

  /** One of the routers writes a snapshot; two at a time do no harm. */
  #considerSnapshot() {
    const behind = this.#state.position - this.#lastSnapshot;
    if (!this.fresh || behind < this.#snapshotEvery) return;
    // The delay grows at random, so that usually one router is first.
    if (Math.random() > 0.2) return;
    this.#lastSnapshot = this.#state.position;
    void this.append({
      kind: RecordKind.Snapshot,
      id: this.#clock.newUuid(),
      hlc: this.#clock.stamp(),
      node: this.#node,
      upTo: this.#state.position,
      state: this.#state.encode(),
    });
  }
}
