/** Keeps this router's configuration current. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { ClusterState } from "./cluster_state.js";
import type { FeedReader } from "./feed_reader.js";
import { sleep } from "./sleep.js";
import { STORE_RETRY_DELAY_MS } from "./timing.js";

/** Dependencies of a follower. */
export interface ConfigurationFollowerOptions {
  readonly cluster: ClusterState;
  readonly reader: FeedReader;
  readonly log: EventLog;
  /** Time within which a confirmed configuration has to be in force, ms. */
  readonly applyMs: number;
  /** Whether this router reads the configuration for all others. */
  readonly isCoordinator: () => boolean;
}

const CHECK_INTERVAL_MS = 100;
/**
 * Largest number of times that the wait for an answer is doubled. The longest
 * wait has to leave time for one more read: an outage may end within it.
 */
const MAX_DOUBLINGS = 2;

/** Parts of the time within which a configuration has to be in force. */
const WAIT_SHARE = 0.5;
const OVERDUE_SHARE = 0.125;
const STALE_SHARE = 0.8;

/** How a read of the configuration ended. */
enum ReadEnd {
  Done = "done",
  Failed = "failed",
  /** There is no answer yet; one may still arrive. */
  Overdue = "overdue",
}

/**
 * Reads the configuration from the store. The coordinator waits there for each
 * new version and sends it on. Any other router reads for itself once what it
 * has is older than the coordinator's reads can explain, whatever the reason:
 * a read without an answer, an old coordinator or none.
 */
export class ConfigurationFollower {
  readonly #options: ConfigurationFollowerOptions;
  #isReading = false;
  #nextReadMs = 0;
  /** Number of reads since the last one that was answered in time. */
  #overdueReads = 0;
  #timer: NodeJS.Timeout | undefined;
  #hasStopped = false;

  constructor(options: ConfigurationFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    this.#check();
  }

  stop(): void {
    this.#hasStopped = true;
    clearInterval(this.#timer);
  }

  #check(): void {
    const { isCoordinator } = this.#options;
    const nowMs = performance.now();
    if (this.#isReading || this.#hasStopped || nowMs < this.#nextReadMs) return;
    if (isCoordinator()) void this.#poll();
    else if (this.#isStale(nowMs)) void this.#follow(0);
  }

  #isStale(nowMs: number): boolean {
    const { cluster, applyMs } = this.#options;
    return nowMs - cluster.routesConfirmedAt > STALE_SHARE * applyMs;
  }

  /** Reads without a pause while this router is the coordinator. */
  async #poll(): Promise<void> {
    const { isCoordinator, applyMs } = this.#options;
    const waitMs = WAIT_SHARE * applyMs;
    let end = ReadEnd.Done;
    while (end !== ReadEnd.Failed && isCoordinator() && !this.#hasStopped) {
      end = await this.#follow(this.#overdueReads > 0 ? 0 : waitMs);
    }
  }

  /**
   * Reads once, and returns at the latest when the answer is overdue. The next
   * read then uses a new connection: any kept one may be silent.
   */
  async #follow(waitMs: number): Promise<ReadEnd> {
    this.#isReading = true;
    try {
      return await this.#readOnce(waitMs);
    } finally {
      this.#isReading = false;
    }
  }

  async #readOnce(waitMs: number): Promise<ReadEnd> {
    const { reader, log, applyMs } = this.#options;
    const doublings = Math.min(this.#overdueReads, MAX_DOUBLINGS);
    const overdueMs = waitMs + OVERDUE_SHARE * applyMs * 2 ** doublings;
    const read = reader.readConfiguration({
      waitMs,
      isNewConnection: this.#overdueReads > 0,
    });
    const end = await Promise.race([
      read.then((isRead) => isRead ? ReadEnd.Done : ReadEnd.Failed),
      sleep(overdueMs).then(() => ReadEnd.Overdue),
    ]);
    if (end === ReadEnd.Overdue) {
      this.#overdueReads += 1;
      log.record("configurationOverdue", { waitMs });
    } else {
      this.#overdueReads = 0;
    }
    if (end === ReadEnd.Failed) {
      const pauseMs = STORE_RETRY_DELAY_MS * (1 + Math.random());
      this.#nextReadMs = performance.now() + pauseMs;
    }
    return end;
  }
}
