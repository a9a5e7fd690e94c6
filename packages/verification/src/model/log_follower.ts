/** Simulated log client: mirrors `LogTail` of the router. @module */
import type { LogEntry, LogRecord } from "@jaytiller/model";
import { ClusterState } from "@jaytiller/state";
import type { Environment } from "./environment.js";
import { AppendResult, LOG } from "./log_service.js";
import type { Process } from "./process.js";

/**
 * Another read starts each time the pending ones have not returned for this
 * long.
 */
const HEDGE_DELAY_MS = 500;
const MAX_CONCURRENT_READS = 4;
const RETRY_DELAY_MS = 100;
const READ_TIMEOUT_MS = 5_000;

/** Follows the log from its first record and appends records to it. */
export class LogFollower {
  readonly #process: Process;
  readonly #env: Environment;
  readonly #onChange: () => void;
  readonly #entries: LogEntry[] = [];
  #state = ClusterState.empty;
  #readAt = -Infinity;
  #activeReads = 0;

  constructor(
    options: { process: Process; env: Environment; onChange: () => void },
  ) {
    this.#process = options.process;
    this.#env = options.env;
    this.#onChange = options.onChange;
    this.#follow();
  }

  get state(): ClusterState {
    return this.#state;
  }

  /** Monotonic ms at which the latest successful read was sent. */
  get readAt(): number {
    return this.#readAt;
  }

  get fresh(): boolean {
    return this.#process.now() - this.#readAt < this.#env.timing.authorityMs;
  }

  listRecords(from: number): LogEntry[] {
    return this.#entries.slice(from);
  }

  applyRecords(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first && first.offset > this.#state.position) return;
    for (const entry of entries) {
      if (entry.offset < this.#state.position) continue;
      this.#state = this.#state.apply(entry).state;
      this.#entries.push(entry);
      this.#onChange();
    }
  }

  /**
   * Sends one append without retries. `finish` receives whether the record may
   * be in the log; it is not called if no answer arrives.
   */
  append(record: LogRecord, finish: (possible: boolean) => void): void {
    const process = this.#process;
    this.#env.network.send({ from: process.id, to: LOG }, () => {
      const answer = this.#env.log.append(record);
      if (answer === AppendResult.None) return;
      this.#env.network.send({ from: LOG, to: process.id }, () => {
        process.receive(() => finish(answer !== AppendResult.Failed));
      });
    });
  }

  #follow() {
    let isSettled = false;
    const settle = (ok: boolean) => {
      if (isSettled) return;
      isSettled = true;
      if (ok) this.#follow();
      else this.#process.startTimer(RETRY_DELAY_MS, () => this.#follow());
    };
    const startRead = () => {
      if (isSettled) return;
      this.#process.startTimer(HEDGE_DELAY_MS, startRead);
      if (this.#activeReads < MAX_CONCURRENT_READS) this.#read(settle);
    };
    startRead();
  }

  #read(settle: (ok: boolean) => void) {
    const process = this.#process;
    const sentAt = process.now();
    this.#activeReads += 1;
    let open = true;
    const finish = (entries: LogEntry[] | undefined) => {
      if (!open) return;
      open = false;
      this.#activeReads -= 1;
      if (entries) {
        this.applyRecords(entries);
        this.#readAt = Math.max(this.#readAt, sentAt);
      }
      settle(entries !== undefined);
    };
    const from = this.#state.position;
    this.#env.network.send({ from: process.id, to: LOG }, () => {
      this.#env.log.read(from, (entries) =>
        this.#env.network.send(
          { from: LOG, to: process.id },
          () => process.receive(() => finish(entries)),
        ));
    });
    process.startTimer(READ_TIMEOUT_MS, () => finish(undefined));
  }
}
