/** Settings of a gateway process. @module */

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings that are read at the start and again while the process runs. */
export interface GatewaySettings {
  readonly node: string;
  readonly zone: string;
  /** Processor cores that the process may use. */
  readonly cores: number;
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
  /** Second sends per request, of all routers together. */
  readonly retryRatio: number;
  /** Second sends in a window beside these. */
  readonly retryBurst: number;
  readonly retryWindowMs: number;
  /** Longest lease that servers accept, ms. */
  readonly maxHoldMs: number;
  /** Time between two heartbeats of a backend server to the store, ms. */
  readonly serverHeartbeatMs: number;
  /** Time from SIGTERM to SIGKILL, ms. */
  readonly stopMs: number;
}
