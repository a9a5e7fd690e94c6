/** Types of the configuration that operators write. @module */

/** Whether a request whose outcome is unknown may be retried. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Must run at most once for each client attempt. */
  NonIdempotent = "nonIdempotent",
  /** Has a large body; must run at most once. */
  Upload = "upload",
}

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative share of the requests; positive. */
  readonly weight: number;
}

/** Where requests for a host and path prefix are sent, and how. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Maximum time that a client waits for a response, ms. */
  readonly timeoutMs: number;
  /** Latency within which a response has its full value, ms. */
  readonly targetMs: number;
  /** Maximum number of servers that one client attempt is sent to. */
  readonly maxAttempts: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Services that the requests are distributed to; at least one. */
  readonly targets: readonly WeightedService[];
}

/** A group of interchangeable or key-sharded backend servers. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum connections to one server from all routers together. */
  readonly maxConnections: number;
  /** Whether each key is owned by one server. */
  readonly sharded: boolean;
  /** Time for which a server is cold after a start, ms; absent: never. */
  readonly coldStartMs?: number;
  /**
   * Requests per second that a cold server sustains from all routers together;
   * absent if there is no bound.
   */
  readonly coldPerSecond?: number;
}

/** Limits on client requests and connections. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: ClientLimits;
}

/**
 * Number of keys of a sharded service; keys range from 0 to `KEY_COUNT - 1`.
 */
export const KEY_COUNT = 65_536;
