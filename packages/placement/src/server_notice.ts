/** What a server says about itself with a response. @module */

/** What a server says about itself; each response carries all of it. */
export interface ServerNotice {
  /**
   * Requests per second that it takes from all routers together; absent if it
   * names no limit.
   */
  readonly requestsPerSecond?: number;
  /** Whether it is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which it is still cold, ms; absent if it is warm. */
  readonly coldMs?: number;
  /**
   * Time for which it wants no more requests from this router, ms; only with a
   * rejection.
   */
  readonly pauseMs?: number;
}
