/** Intervals and timeouts of the coordination between routers. @module */

/** Interval between two heartbeats of the coordinator, ms. */
export const HEARTBEAT_INTERVAL_MS = 400;
/** Delay between two reads of the server feed, ms. */
export const SERVERS_POLL_INTERVAL_MS = 400;
/** Time that a read of configurations or records waits for a new one, ms. */
export const LONG_POLL_TIMEOUT_MS = 1_500;
/** Time without a heartbeat after which a router reads the store itself, ms. */
export const COORDINATOR_TIMEOUT_MS = 1_000;
/**
 * Age of the coordinator's server view above which it counts as disconnected
 * from the store, ms.
 */
export const COORDINATOR_STORE_TIMEOUT_MS = 1_000;
/** Age of the server view above which a router reads the store itself, ms. */
export const STALE_SERVERS_MS = 1_150;
/** Delay before a failed call to the store is repeated, ms. */
export const STORE_RETRY_DELAY_MS = 500;
/** Age at which the coordinator rewrites its ownership record, ms. */
export const RECORD_REFRESH_INTERVAL_MS = 2_500;
/** Gap between two ticks that counts as a pause of the process, ms. */
export const MIN_PROCESS_PAUSE_MS = 500;
