/** Times of the messages between routers. @module */

/** Pause between two beats of the coordinator, ms. */
export const BEAT_MS = 400;
/** Pause between two reads of the servers, ms. */
export const SERVERS_READ_MS = 400;
/** Time for which a read waits for a new configuration, ms. */
export const CONFIGURATION_WAIT_MS = 1_500;
/** A router looks after itself once the coordinator is silent, ms. */
export const SILENT_MS = 1_000;
/** Age of the servers at which a router reads them itself, ms. */
export const STALE_MS = 1_150;
/** Between tries at a store that does not answer, ms. */
export const STORE_RETRY_MS = 500;
/** The coordinator writes its record anew after this time, ms. */
export const RECORD_REFRESH_MS = 2_500;
/** A gap between two turns that shows that the process stood still, ms. */
export const PAUSE_MS = 500;
