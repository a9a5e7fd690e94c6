/** Reads the platform's log and maintains the cluster state. @module */
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

/** Longest wait of one long poll. An idle log renews freshness this often. */
const LONG_POLL_WAIT_MS = 100;
/** A read without a response after this time is repeated concurrently. */
const HEDGE_DELAY_MS = 500;
const MAX_CONCURRENT_READS = 4;
const RETRY_PAUSE_MS = 100;
const MAX_READ_ENTRIES = 500;
/**
 * A read with more entries may have been truncated by its size, so it does not
 * show that the end of the log was reached.
 */
const MAX_ENTRIES_AT_LOG_END = 100;
/** Entries retained for peers that cannot reach the log. */
const RETAINED_ENTRIES = 5_000;
const RETAINED_EFFECTS = 5_000;
const SUBMIT_TIMEOUT_MS = 4_000;
const APPEND_RETRY_MS = 1_000;
const SNAPSHOT_CHECK_INTERVAL_MS = 1_000;

/** How the submission of a record ended. */
export enum SubmitKind {
  /** The record was read back, and the state applied or rejected it. */
  Decided = "decided",
  /** The record was certainly not appended. */
  Failed = "failed",
  /** The record may be appended; query it by its UUID. */
  Unknown = "unknown",
}

export type SubmitResult =
  | {
    readonly kind: SubmitKind.Decided;
    readonly effect: Effect;
    readonly offset: number;
  }
  | { readonly kind: SubmitKind.Failed; readonly text: string }
  | { readonly kind: SubmitKind.Unknown; readonly text: string };

/** A log entry that was applied to the state, and its effect. */
export interface AppliedRecord {
  readonly entry: LogEntry;
  readonly effect: Effect;
}

/** Applies and appends log records, and retains entries for peers. */
export class LogTail implements Service {
  /** Notified when the state has changed, and on stop. */
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
  #lastReadSentAt = -Infinity;
  #ready = false;
  #stopped = false;
  #wasFresh = false;
  #lastSnapshot = 0;
  #openReads = 0;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: {
    client: LogClient;
    clock: Clock;
    events: Events;
    /** Time for which a read to the end of the log counts as fresh. */
    freshMs: number;
    /** Number of records between two snapshots. */
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

  /** Whether a read to the end of the log was sent within `freshMs`. */
  get isFresh(): boolean {
    return this.#clock.now() - this.#lastReadSentAt < this.#freshMs;
  }

  /** Monotonic ms at which the last read to the end of the log was sent. */
  get lastReadSentAt(): number {
    return this.#lastReadSentAt;
  }

  /** Whether the state has been complete once, from the log or from peers. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Calls `listener` for each entry after it was applied. */
  subscribe(listener: (entry: LogEntry, effect: Effect) => void): void {
    this.#listeners.push(listener);
  }

  start(): void {
    void this.#follow();
    this.#timer = setInterval(() => {
      this.#recordFreshnessChange();
      this.#writeSnapshotIfDue();
    }, SNAPSHOT_CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    this.changed.notify();
  }

  /** Returns a record that this process has applied, if still retained. */
  getAppliedRecord(recordId: string): AppliedRecord | undefined {
    return this.#applied.get(recordId);
  }

  /** Appends once. Resolves to false if the append certainly had no effect. */
  async append(record: LogRecord): Promise<boolean> {
    const result = await this.#client.append(record);
    return result.kind !== AppendKind.Failed;
  }

  /** Appends, retries with the same UUID, and waits until it is applied. */
  async submit(record: LogRecord): Promise<SubmitResult> {
    const end = this.#clock.now() + SUBMIT_TIMEOUT_MS;
    let mayBeAppended = false;
    while (!this.#stopped) {
      const done = this.#applied.get(record.id);
      if (done) {
        const { effect, entry } = done;
        return { kind: SubmitKind.Decided, effect, offset: entry.offset };
      }
      if (this.#clock.now() >= end) break;
      // The record may be read long before an unanswered append times out.
      const result = await Promise.race([
        this.#client.append(record),
        this.#waitForRecord(record.id, end),
      ]);
      if (result?.kind === AppendKind.Failed) {
        await waitMs(RETRY_PAUSE_MS);
        continue;
      }
      mayBeAppended = true;
      const repeatAt = this.#clock.now() + APPEND_RETRY_MS;
      await this.#waitForRecord(record.id, Math.min(end, repeatAt));
    }
    const text = "The log did not confirm the record in time";
    const kind = mayBeAppended ? SubmitKind.Unknown : SubmitKind.Failed;
    return { kind, text };
  }

  /** Returns entries for a peer, or a snapshot if they are not retained. */
  listRecords(from: number, max: number): RecordsReply {
    const next = this.#state.position;
    const oldest = this.#entries[0]?.offset ?? next;
    if (from < oldest && from < next) {
      return { entries: [], next, snapshot: this.#state.encode() };
    }
    const entries = this.#entries.filter((e) => e.offset >= from).slice(0, max);
    return { entries, next };
  }

  /** Applies entries or a snapshot from a peer; never moves backwards. */
  applyPeerRecords(reply: RecordsReply): void {
    if (reply.snapshot !== undefined) this.#restore(reply.snapshot);
    // Entries must be contiguous, because a gap would skip records.
    const first = reply.entries[0];
    if (!first || first.offset <= this.#state.position) {
      this.#applyAll(reply.entries);
    }
  }

  /** Marks the state as complete, from the log or from all reachable peers. */
  markReady(): void {
    if (this.#ready) return;
    this.#ready = true;
    log.info("The cluster state is complete.");
    this.changed.notify();
  }

  /** Resolves when the record is applied, at `until`, or on stop. */
  async #waitForRecord(id: string, until: number): Promise<undefined> {
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

  /** Reads entries; hedges a slow read with another on a new connection. */
  async #readHedged(from: number): Promise<boolean> {
    let settled = false;
    return await new Promise<boolean>((resolve) => {
      const launch = async () => {
        if (settled || this.#stopped) return resolve(false);
        if (this.#openReads >= MAX_CONCURRENT_READS) {
          setTimeout(launch, HEDGE_DELAY_MS);
          return;
        }
        const hedge = setTimeout(launch, HEDGE_DELAY_MS);
        this.#openReads += 1;
        const ok = await this.#readOnce(from);
        this.#openReads -= 1;
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
      max: MAX_READ_ENTRIES,
      waitMs: LONG_POLL_WAIT_MS,
    });
    if (this.#stopped) return false;
    const failure = reply.swap().toMaybe().extractNullable();
    if (failure) {
      if (failure.kind !== FailureKind.Truncated) return false;
      return await this.#restoreFromSnapshot(failure.oldest ?? 0);
    }
    const read = reply.extract() as ReadReply;
    this.#applyAll(read.entries);
    if (read.entries.length <= MAX_ENTRIES_AT_LOG_END) {
      this.#lastReadSentAt = Math.max(this.#lastReadSentAt, sentAt);
      this.#recordFreshnessChange();
      this.markReady();
    }
    return true;
  }

  /** Restores the first snapshot after which all records are retained. */
  async #restoreFromSnapshot(oldest: number): Promise<boolean> {
    log.info(
      `Records below ${oldest} are no longer retained; reading a snapshot.`,
    );
    let from = oldest;
    const kept: LogEntry[] = [];
    for (;;) {
      const reply = await this.#client.read({
        from,
        max: MAX_READ_ENTRIES,
        waitMs: 0,
      });
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
        log.error(
          "No snapshot in the log covers the records that are not retained.",
        );
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
      this.#retainEntry(entry, effect);
      for (const listener of this.#listeners) listener(entry, effect);
    }
    if (count > 0) this.changed.notify();
  }

  #retainEntry(entry: LogEntry, effect: Effect) {
    this.#entries.push(entry);
    if (this.#entries.length > 2 * RETAINED_ENTRIES) {
      this.#entries = this.#entries.slice(-RETAINED_ENTRIES);
    }
    const { record } = entry;
    this.#clock.observe(record.hlc);
    if (record.kind === RecordKind.Snapshot) this.#lastSnapshot = entry.offset;
    if (typeof record.id !== "string" || this.#applied.has(record.id)) return;
    this.#applied.set(record.id, { entry, effect });
    for (const old of this.#applied.keys()) {
      if (this.#applied.size <= RETAINED_EFFECTS) break;
      this.#applied.delete(old);
    }
  }

  #recordFreshnessChange() {
    const fresh = this.isFresh;
    if (fresh === this.#wasFresh) return;
    this.#wasFresh = fresh;
    this.#events.add(
      fresh
        ? { kind: EventKind.LogHeard, text: "The log responds" }
        : { kind: EventKind.LogLost, text: "The log does not respond" },
    );
  }

  /** Writes a snapshot if one is due; concurrent snapshots do no harm. */
  #writeSnapshotIfDue() {
    const behind = this.#state.position - this.#lastSnapshot;
    if (!this.isFresh || behind < this.#snapshotEvery) return;
    // A random delay, so that usually only one router writes the snapshot.
    if (Math.random() > 0.2) return;
    this.#lastSnapshot = this.#state.position;
    void this.append({
      kind: RecordKind.Snapshot,
      id: this.#clock.createUuid(),
      hlc: this.#clock.issueTimestamp(),
      node: this.#node,
      upTo: this.#state.position,
      state: this.#state.encode(),
    });
  }
}
