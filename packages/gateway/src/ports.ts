/** What the gateway needs of the platform that it runs on. @module */
import type { IncomingHttpHeaders } from "node:http";
import type { LeaseCall, LeaseCallResult } from "@jaytiller/ranges";
import type { Configuration, ServerChange } from "@jaytiller/routing";
import type { ServerLoad } from "@jaytiller/placement";

/** How a call to the platform's store ended. */
export enum StoreEnd {
  Done = "done",
  /** Nothing was done: the store is busy, down for us, or over its rate. */
  Refused = "refused",
  /** The record was not appended: another one came first. */
  WrongEnd = "wrongEnd",
  /** No answer: the call may take effect, now or seconds later. */
  Unknown = "unknown",
}

/** Result of a call to the store; `value` is there if it was done. */
export interface StoreResult<T> {
  readonly end: StoreEnd;
  readonly value?: T;
  /** What went wrong, for the log. */
  readonly problem?: string;
}

/** News of a feed. */
export interface FeedPage<T> {
  readonly items: readonly T[];
  /** Position from which to read on. */
  readonly position: number;
  /** Whether the items are all that there is, and not only what is new. */
  readonly isSnapshot: boolean;
}

/** Where and how long to read. */
export interface FeedRequest {
  /** Absent: the newest state. */
  readonly position?: number;
  /** Time to wait for news, ms. */
  readonly waitMs: number;
}

/** A record of ownership and its place. */
export interface OwnershipEntry {
  readonly text: string;
  readonly offset: number;
}

/** The platform's store. */
export interface PlatformStore {
  readConfiguration(
    request: FeedRequest,
  ): Promise<StoreResult<FeedPage<Configuration>>>;
  readServers(
    request: FeedRequest,
  ): Promise<StoreResult<FeedPage<ServerChange>>>;
  readOwnership(
    request: FeedRequest,
  ): Promise<StoreResult<FeedPage<OwnershipEntry>>>;
  /** Appends a record if the feed ends at `position`; returns its offset. */
  appendOwnership(
    text: string,
    position: number,
  ): Promise<StoreResult<number>>;
}

/** What a client says about its request. */
export interface RequestFacts {
  /** Identifies this attempt of the client. */
  readonly attemptId?: string;
  /** Time that the client waits, ms. */
  readonly deadlineMs?: number;
  /** Key of a sharded service. */
  readonly key?: number;
}

/** What a server says with its answer. */
export interface AnswerFacts {
  readonly attemptId?: string;
  /** Whether the answer bears the server's signature. */
  readonly isSigned: boolean;
  /** Whether the server promises that the request has not run. */
  readonly isNotRun: boolean;
  readonly load?: ServerLoad;
}

/** Headers between clients, routers and backend servers. */
export interface RequestProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  readAnswer(headers: IncomingHttpHeaders): AnswerFacts;
  /** Headers that a router sets itself for a backend server. */
  makeServerHeaders(
    options: { deadlineMs: number; serverId: string },
  ): readonly (readonly [string, string])[];
  /** Lower-case names of the headers that a router replaces. */
  readonly replaced: ReadonlySet<string>;
  /** Path of the readiness check. */
  readonly readyPath: string;
}

/** Calls to backend servers about their keys. */
export interface LeaseTransport {
  call(call: LeaseCall): Promise<LeaseCallResult>;
}
