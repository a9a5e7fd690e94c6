/** Inputs and outputs of the ownership decisions for one group. @module */
import type {
  GrantRequest,
  MoveRecord,
  ServerHealthRecord,
  ServiceName,
  TimelineEvent,
  UnitId,
  VmEntry,
  VmId,
} from "@jaytiller/model";
import type { ClaimRecord, Reason, Token } from "@jaytiller/model";
import type { ClusterState } from "@jaytiller/state";

/** The role of this router in a group. */
export enum Role {
  Follower = "follower",
  Claiming = "claiming",
  Holder = "holder",
}

/** Gives access to the dispatcher's counts of this router's open requests. */
export interface InFlightRequests {
  /**
   * Returns the number of requests sent to the unit's server that have not
   * finished. While a key is being split from its shard, requests for the key
   * count for both units.
   */
  countInFlight(service: ServiceName, unit: UnitId): number;
  /** Returns how many of them are of the bulk class and may run long. */
  countBulk(service: ServiceName, unit: UnitId): number;
  /**
   * Returns the latest deadline, in Unix ms, of requests sent to the server.
   */
  getLastDeadline(server: VmId): number;
  /**
   * Returns the latest deadline, in Unix ms, of requests that ended without an
   * answer. `countInFlight` no longer counts them, but the server may still be
   * executing them. Returns 0 if there are none.
   */
  getUnansweredDeadline(service: ServiceName, unit: UnitId): number;
}

/** A snapshot of everything outside the group that its decisions depend on. */
export interface GroupContext {
  /** Monotonic time in ms. */
  readonly now: number;
  readonly unixMs: number;
  readonly state: ClusterState;
  /** Whether the log was read to its end within the last `authority_ms`. */
  readonly logFresh: boolean;
  /**
   * Monotonic time, in ms, at which the last request was sent whose response
   * reached the end of the log.
   */
  readonly logReadAt: number;
  /** The latest VM list from the platform. */
  readonly vms: readonly VmEntry[];
  /** Monotonic time, in ms, since when each VM has been on the list. */
  readonly listedSince: ReadonlyMap<VmId, number>;
  readonly requests: InFlightRequests;
  /** Whether this router is shutting down. */
  readonly stopping: boolean;
}

/** The kinds of `Action`. */
export enum ActionKind {
  SendGrant = "sendGrant",
  Append = "append",
  RecordEvent = "note",
  RoleChanged = "roleChanged",
}

/** A log record without the fields that the caller adds before appending it. */
export type RecordDraft =
  | Omit<ClaimRecord, "hlc" | "node">
  | Omit<MoveRecord, "hlc" | "node">
  | Omit<ServerHealthRecord, "hlc" | "node">;

/** A side effect that the caller has to perform. */
export type Action =
  | {
    readonly kind: ActionKind.SendGrant;
    readonly server: VmId;
    readonly url: string;
    /**
     * Whether the servers of the service verify ownership. If not, the caller
     * queries the server's health instead of sending the grant.
     */
    readonly checked: boolean;
    readonly request: GrantRequest;
  }
  | { readonly kind: ActionKind.Append; readonly record: RecordDraft }
  | {
    readonly kind: ActionKind.RecordEvent;
    readonly event: Omit<TimelineEvent, "hlc" | "node">;
  }
  | {
    readonly kind: ActionKind.RoleChanged;
    readonly role: Role;
    readonly token: Token;
    /**
     * Unix time in ms. Requests whose idempotency key was issued up to this
     * time may have been executed under another holder.
     */
    readonly knownSinceMs: number;
  };

/** The outcome of an append, as far as the caller can tell. */
export enum AppendOutcome {
  /** The append certainly had no effect. */
  Failed = "failed",
  /** The record was applied or rejected by the fold, or this is unknown. */
  Undecided = "undecided",
}

/** The decision about where to send a request for a key. */
export type RoutingDecision =
  | {
    readonly kind: RoutingDecisionKind.Forward;
    readonly unit: UnitId;
    readonly server: VmId;
    readonly url: string;
    /** Whether the server will stop soon, so that no bulk request may start. */
    readonly leaving: boolean;
    readonly token: Token;
    /**
     * Unix time in ms. Requests whose idempotency key was issued up to this
     * time may have been executed under another holder.
     */
    readonly knownSinceMs: number;
  }
  | {
    /** The request must not be sent now. The reason may be temporary. */
    readonly kind: RoutingDecisionKind.Wait;
    readonly reason: Reason;
    readonly text: string;
  }
  | {
    readonly kind: RoutingDecisionKind.NotHolder;
    /** The current holder, if this router knows it. */
    readonly holder?: VmId;
  };

/** The kinds of decisions about where to send a request. */
export enum RoutingDecisionKind {
  Forward = "serve",
  Wait = "wait",
  NotHolder = "notHolder",
}
