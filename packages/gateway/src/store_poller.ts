/** Reads servers and records from the store for all routers. @module */
import type { ClusterState } from "./cluster_state.js";
import type { FeedReader } from "./feed_reader.js";
import type { OwnershipLog } from "./ownership_log.js";
import { sleep } from "./sleep.js";
import {
  LONG_POLL_TIMEOUT_MS,
  SERVERS_POLL_INTERVAL_MS,
  STORE_RETRY_DELAY_MS,
} from "./timing.js";

/** Dependencies of a poller. */
export interface StorePollerOptions {
  readonly cluster: ClusterState;
  readonly reader: FeedReader;
  readonly records: OwnershipLog;
  /** Returns whether the term has ended. */
  readonly hasEnded: () => boolean;
  /** Called when the view of servers has changed. */
  readonly onServersChanged: () => void;
}

/** Interval between confirmations by the store without a majority, ms. */
const CONFIRMATION_INTERVAL_MS = 400;
/** Delay between two long polls of the records, ms. */
const RECORDS_POLL_DELAY_MS = 50;

/** Polls the store until the coordinator's term has ended. */
export class StorePoller {
  readonly #options: StorePollerOptions;

  constructor(options: StorePollerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#pollServers();
    void this.#pollOwnership();
  }

  async #pollServers(): Promise<void> {
    const { cluster, reader, hasEnded, onServersChanged } = this.#options;
    while (!hasEnded()) {
      const before = cluster.servers;
      const isRead = await reader.readServers();
      const after = cluster.servers;
      if (after.listChangesSince(before).length > 0) onServersChanged();
      await sleep(isRead ? SERVERS_POLL_INTERVAL_MS : STORE_RETRY_DELAY_MS);
    }
  }

  async #pollOwnership(): Promise<void> {
    const { records, hasEnded } = this.#options;
    while (!hasEnded()) {
      const isUncertain = records.isMajorityUncertain(performance.now());
      const isRead = await records.read(isUncertain ? 0 : LONG_POLL_TIMEOUT_MS);
      await sleep(
        !isRead
          ? STORE_RETRY_DELAY_MS
          : isUncertain
          ? CONFIRMATION_INTERVAL_MS
          : RECORDS_POLL_DELAY_MS,
      );
    }
  }
}
