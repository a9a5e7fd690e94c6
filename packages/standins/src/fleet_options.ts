/** Options that describe a fleet. @module */
import type { CallRule } from "@jaytiller/model";

/** A service of a fleet, its servers and its route. */
export interface ServiceSpec {
  readonly name: string;
  /** First segment of the service's paths, such as `/orders`. */
  readonly pathPrefix: string;
  readonly shards: number;
  readonly checksOwner: boolean;
  readonly serversPerZone: number;
  readonly slots: number;
  readonly connections: number;
  /** Default duration of a request's work, in ms. */
  readonly serviceMs: number;
  readonly rules: readonly CallRule[];
}

/**
 * One-way latencies in ms. They apply only with proxy links, which round the
 * round trip to whole milliseconds; see `computeLatency`.
 */
export interface Latencies {
  readonly betweenZonesMs: number;
  readonly clientMs: number;
}

/** Options of `startFleet`. */
export interface FleetOptions {
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly services: readonly ServiceSpec[];
  /** Routes the connections of each entry VM through its own proxy links. */
  readonly proxies?: boolean;
  readonly latencies?: Latencies;
  /** Path of the router script; defaults to the router of this workspace. */
  readonly routerScript?: string;
  /** Whether to start routers; true by default. */
  readonly routers?: boolean;
  /** Additional tables for the router settings, such as `{timing: {...}}`. */
  readonly settings?: Readonly<
    Record<string, Readonly<Record<string, unknown>>>
  >;
  /** Options of the log service, such as `{appendsPerSecond: 400}`. */
  readonly log?: Readonly<Record<string, unknown>>;
  /** Additional options for all backend servers. */
  readonly backend?: Readonly<Record<string, unknown>>;
  /** Lag of the VM list, in ms. */
  readonly vmListLagMs?: number;
}
