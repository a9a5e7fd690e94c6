/** The configuration that operators write. @module */

/** What may be done with a request whose outcome is not known. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once for each attempt of the client. */
  NonIdempotent = "nonIdempotent",
  /** A large body; runs at most once. */
  Upload = "upload",
}

/** A service and its share of the requests of a route. */
export interface WeightedService {
  readonly service: string;
  /** Positive; shares are proportional to it. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time that a client is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth, ms. */
  readonly targetMs: number;
  /** Most servers that one attempt of a client may be sent to. */
  readonly maxAttempts: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** At least one. */
  readonly targets: readonly WeightedService[];
}

/** A group of backend servers that do the same work. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one server accepts from all routers together. */
  readonly maxConnections: number;
  /** Whether each key is owned by one server. */
  readonly sharded: boolean;
}

/** Bounds on what a client may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  /** Increases with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: ClientLimits;
}

/** Number of keys of a sharded service: they run from 0 to one less. */
export const KEY_COUNT = 65_536;
