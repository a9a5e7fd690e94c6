/** Interfaces to the platform on which the gateway runs. @module */
import type { IncomingHttpHeaders } from "node:http";
import type { LeaseCall, LeaseCallResult } from "@jaytiller/ranges";
import type {
  Configuration,
  EvacuationChange,
  ServerChange,
} from "@jaytiller/routing";
import type { ServerLoad, ServerNotice } from "@jaytiller/placement";

/** How a call to the platform's store ended. */
export enum StoreEnd {
  Done = "done",
  /** Nothing was done: the store is unreachable, busy or rate limited. */
  Refused = "refused",
  /** The record was not appended because another one precedes it. */
  WrongEnd = "wrongEnd",
  /** No response: the call may take effect, even seconds later. */
  Unknown = "unknown",
  /**
   * The store was restored from an older copy since the position was read. An
   * append may have been stored, but it is void.
   */
  EraChanged = "eraChanged",
}

/** Result of a call to the store; `value` is present if it succeeded. */
export interface StoreResult<T> {
  readonly end: StoreEnd;
  readonly value?: T;
  /** Cause of a failure, for the log. */
  readonly problem?: string;
}

/**
 * Items read from a feed. Positions and offsets include the era of the store,
 * see `makePosition`.
 */
export interface FeedPage<T> {
  readonly items: readonly T[];
  /** Position of the next read. */
  readonly position: number;
  /** Whether the items are the complete state instead of changes. */
  readonly isSnapshot: boolean;
  /** Whether the feed ended at `position` when the read was answered. */
  readonly isEnd: boolean;
}

/** Position and timeout of a read. */
export interface FeedRequest {
  /** Position to read from; if absent, the newest state is read. */
  readonly position?: number;
  /** Time to wait for new items, ms. */
  readonly waitMs: number;
  /** Whether to open a new connection, because kept ones may be silent. */
  readonly isNewConnection?: boolean;
}

/** What the operator wrote: a configuration, or whether a zone is evacuated. */
export type OperatorChange =
  | { readonly configuration: Configuration }
  | { readonly evacuation: EvacuationChange };

/** An ownership record and its offset. */
export interface OwnershipEntry {
  readonly text: string;
  readonly offset: number;
}

/** Client of the platform's store. */
export interface PlatformStore {
  /** Highest era seen: how often the store was restored from an older copy. */
  readonly era: number;
  /** Reads configurations and evacuations, in the order of their records. */
  readConfiguration(
    request: FeedRequest,
  ): Promise<StoreResult<FeedPage<OperatorChange>>>;
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

/** Metadata of a request, read from its headers. */
export interface RequestMetadata {
  /** Identifies this attempt of the client. */
  readonly attemptId?: string;
  /** Time that the client waits for the response, ms. */
  readonly deadlineMs?: number;
  /** Key of a sharded service. */
  readonly key?: number;
}

/** Metadata of a server's response, read from its headers. */
export interface ResponseMetadata {
  readonly attemptId?: string;
  /** Whether the response carries the server's signature. */
  readonly isSigned: boolean;
  /** Whether the server guarantees that the request has not run. */
  readonly isNotRun: boolean;
  readonly load?: ServerLoad;
  /** What else the server says about itself. */
  readonly notice: ServerNotice;
}

/** Reads and makes the headers of clients, routers and backend servers. */
export interface RequestProtocol {
  parseRequestHeaders(headers: IncomingHttpHeaders): RequestMetadata;
  parseResponseHeaders(headers: IncomingHttpHeaders): ResponseMetadata;
  /** Returns the headers that a router sets for a backend server. */
  makeServerHeaders(
    options: { deadlineMs: number; serverId: string },
  ): readonly (readonly [string, string])[];
  /** Lower-case names of the headers that a router replaces. */
  readonly replacedHeaders: ReadonlySet<string>;
  /** Path of the readiness check. */
  readonly readyPath: string;
}

/** Sends lease calls to backend servers. */
export interface LeaseTransport {
  /** Sends a call and waits for its outcome. Never rejects. */
  call(call: LeaseCall): Promise<LeaseCallResult>;
}
