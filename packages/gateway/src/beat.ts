/** Messages between the coordinator and the other routers. @module */
import type { OwnedRange, RouterRef } from "@jaytiller/ranges";
import type { Configuration, ServerChange } from "@jaytiller/routing";
import type { CrashReport } from "@jaytiller/placement";
import type { KeyCount, ServiceTime } from "./stats_book.js";

/** Names of the methods. */
export enum PeerMethod {
  Beat = "beat",
  Join = "join",
  Silence = "silence",
}

/** News since the message with the number `base`; all of it if that is 0. */
export interface News<T> {
  readonly base: number;
  readonly number: number;
  readonly items: readonly T[];
}

/** News of the owners of one service. */
export interface OwnerNews {
  readonly service: string;
  readonly ranges: readonly OwnedRange[];
}

/** What the coordinator tells a router, several times a second. */
export interface Beat {
  /** Offset of the coordinator's claim; a higher one has superseded it. */
  readonly term: number;
  readonly coordinator: RouterRef;
  readonly routers: number;
  /** All routers; absent if unchanged since the last answered beat. */
  readonly routerList?: readonly RouterRef[];
  readonly configuration?: Configuration;
  readonly configurationAgeMs: number;
  readonly serversAgeMs: number;
  readonly serversPosition: number;
  readonly servers?: News<ServerChange>;
  readonly owners?: News<OwnerNews>;
  /** Requests that crash servers; absent if there are none. */
  readonly barred?: readonly string[];
}

/** Answer to a beat. */
export interface BeatAnswer {
  /** Highest term that the router knows; above the beat's, it was not taken. */
  readonly term: number;
  readonly router: RouterRef;
  /** Version of the configuration in force; 0 without one. */
  readonly version: number;
  readonly serversNumber: number;
  readonly ownersNumber: number;
  readonly keys: readonly KeyCount[];
  readonly times: readonly ServiceTime[];
  readonly crashes: CrashReport;
}

/** Answer to a request to join. */
export interface JoinAnswer {
  /** Whether the answering router is the coordinator. */
  readonly accepted: boolean;
}

/** How long a router has not heard of the coordinator, ms. */
export interface SilenceAnswer {
  readonly silentMs: number;
  readonly term: number;
}
