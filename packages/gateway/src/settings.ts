/** Settings of a gateway process. @module */

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Second attempts of slow requests. */
export interface HedgingSettings {
  /** Second attempts per request of a route, over all routers; 0 to 1. */
  readonly maxShare: number;
  /** Quantile of recent latencies after which a second attempt is sent. */
  readonly quantile: number;
}

/** Settings that are read at the start and reread at run time. */
export interface GatewaySettings {
  readonly node: string;
  readonly zone: string;
  /**
   * Whether the whole system starts for the first time, so that an empty store
   * has lost nothing; false if absent.
   */
  readonly isFirstStart?: boolean;
  /** Processor cores that the process may use. */
  readonly cores: number;
  /** Memory that the process may use, bytes. */
  readonly memoryBytes: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  readonly listen: {
    /** For clients. */
    readonly front: ListenAddress;
    /** For the platform's readiness check. */
    readonly ready: ListenAddress;
    /** For other routers. */
    readonly peers: ListenAddress;
    /** For metrics. */
    readonly metrics: ListenAddress;
  };
  /** Retries per request, over all routers. */
  readonly retryRatio: number;
  /** Additional retries per window, over all routers. */
  readonly retryBurst: number;
  /** Length of the window, ms. */
  readonly retryWindowMs: number;
  /** Longest lease that servers accept, ms. */
  readonly maxHoldMs: number;
  /** Time between two heartbeats of a backend server to the store, ms. */
  readonly serverHeartbeatMs: number;
  /** Time within which a confirmed configuration has to be in force, ms. */
  readonly configurationApplyMs: number;
  /** Time for which a server that leaves may still get requests, ms. */
  readonly drainMs: number;
  /**
   * Time after the record of an evacuation from which the servers of the zone
   * get no request, ms.
   */
  readonly evacuateMs: number;
  /**
   * Factor and addend that give, from the requests per second that a cold server
   * sustains, the most requests that it may get in any second.
   */
  readonly coldOverage: number;
  readonly coldSlack: number;
  /** Hedged requests; off if absent. */
  readonly hedging?: HedgingSettings;
  /** Time from SIGTERM to SIGKILL, ms. */
  readonly stopMs: number;
}
