/** Simulated platform services: the log and the VM list. @module */
import type { LogEntry, LogRecord, VmEntry } from "@jaytiller/model";
import type { Checker } from "./checker.js";
import type { Random } from "./random.js";
import type { Scheduler } from "./scheduler.js";

/** Node name of the log in network faults. */
export const LOG = "log";
/** Time for which a read at the end of the log waits for a new record. */
const LONG_POLL_MS = 100;
const MAX_APPEND_DELAY_MS = 3_000;

/** Result of an append as its caller sees it. */
export enum AppendResult {
  Appended = "appended",
  /** The record is not in the log and will not be added. */
  Failed = "failed",
  /** No answer arrives; the record may still be added. */
  None = "none",
}

/** Append-only log whose fault settings apply to all routers. */
export class LogService {
  /**
   * Probability that an append fails, loses its answer or takes effect late.
   */
  appendFaultProbability = 0;
  /** Number of outages in force; requests fail at once while above zero. */
  outages = 0;
  readonly #scheduler: Scheduler;
  readonly #random: Random;
  readonly #checker: Checker;
  readonly #entries: LogEntry[] = [];
  #waiting: { from: number; answer: (entries: LogEntry[]) => void }[] = [];

  constructor(
    options: { scheduler: Scheduler; random: Random; checker: Checker },
  ) {
    this.#scheduler = options.scheduler;
    this.#random = options.random;
    this.#checker = options.checker;
  }

  get end(): number {
    return this.#entries.length;
  }

  /** Appends a record, possibly late, and returns what the client is told. */
  append(record: LogRecord): AppendResult {
    if (this.outages > 0) return this.#random.pick(OUTAGE_RESULTS);
    if (!this.#random.decide(this.appendFaultProbability)) {
      this.#add(record);
      return AppendResult.Appended;
    }
    const faultKind = this.#random.drawInteger(0, 3);
    if (faultKind === 0) return AppendResult.None;
    if (faultKind === 1) return AppendResult.Failed;
    if (faultKind === 2) this.#add(record);
    else {
      const delay = this.#random.drawReal(0, MAX_APPEND_DELAY_MS);
      this.#scheduler.schedule(delay, () => this.#add(record));
    }
    return AppendResult.None;
  }

  /**
   * Answers with the entries from an offset, after `LONG_POLL_MS` if there are
   * none.
   */
  read(from: number, answer: (entries: LogEntry[] | undefined) => void): void {
    if (this.outages > 0) return answer(undefined);
    if (from < this.#entries.length) return answer(this.#entries.slice(from));
    const waiting = { from, answer };
    this.#waiting.push(waiting);
    this.#scheduler.schedule(LONG_POLL_MS, () => {
      const at = this.#waiting.indexOf(waiting);
      if (at < 0) return;
      this.#waiting.splice(at, 1);
      answer(this.outages > 0 ? undefined : this.#entries.slice(from));
    });
  }

  #add(record: LogRecord) {
    const atMs = 1_800_000_000_000 + this.#scheduler.now;
    const entry = { offset: this.#entries.length, atMs, record };
    this.#entries.push(entry);
    this.#checker.checkEntry(entry);
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const w of waiting) w.answer(this.#entries.slice(w.from));
  }
}

const OUTAGE_RESULTS = [AppendResult.Failed, AppendResult.None];

/** VM list with its history, from which readers may get an outdated version. */
export class VmRegistry {
  outages = 0;
  /** Age of the version that readers get, in ms. */
  lagMs = 0;
  readonly #scheduler: Scheduler;
  readonly #history: { at: number; vms: readonly VmEntry[] }[] = [];

  constructor(scheduler: Scheduler) {
    this.#scheduler = scheduler;
  }

  /** Adds or replaces an entry. */
  put(vm: VmEntry): void {
    this.#addVersion([...this.#listOthers(vm.id), vm]);
  }

  delete(id: string): void {
    this.#addVersion(this.#listOthers(id));
  }

  /** Returns the list as of `lagMs` ago, or `undefined` during an outage. */
  read(): { vms: readonly VmEntry[]; asOfMs: number } | undefined {
    if (this.outages > 0) return undefined;
    const asOfMs = Math.max(0, this.#scheduler.now - this.lagMs);
    const found = this.#history.filter((h) => h.at <= asOfMs).at(-1);
    return { vms: found?.vms ?? [], asOfMs };
  }

  #listOthers(id: string): VmEntry[] {
    const last = this.#history.at(-1)?.vms ?? [];
    return last.filter((v) => v.id !== id);
  }

  #addVersion(vms: readonly VmEntry[]) {
    this.#history.push({ at: this.#scheduler.now, vms });
  }
}
