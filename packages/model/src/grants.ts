/** Lease messages between a holder and a backend server. @module */
import type { GroupId, UnitId, VmId } from "./ids.js";

/**
 * A reading of a server's own monotonic clock, from which a lease runs. If the
 * lease ran from the receipt of the grant, a server that was frozen and reads
 * an old grant late would extend its lease.
 */
export interface LeaseBasis {
  readonly incarnation: string;
  /** `GrantReply.atMs` of an earlier reply from the same incarnation. */
  readonly atMs: number;
}

/** Body of `POST /grants`. It replaces all grants of the server. */
export interface GrantRequest {
  readonly group: GroupId;
  readonly holder: VmId;
  /** `term.ballot`; refused if lower than the highest accepted token. */
  readonly token: string;
  /** Increases with each request of a holder; a lower one is stale. */
  readonly seq: number;
  /** Duration of the lease on all units, counted from `basis`, in ms. */
  readonly leaseMs: number;
  /**
   * `null` in the first message. The server then adds no unit: units that the
   * message names keep their current lease, and all others are withdrawn.
   */
  readonly basis: LeaseBasis | null;
  /** All units that the server owns from now on. */
  readonly units: readonly UnitId[];
}

/** Response to `POST /grants`. */
export interface GrantReply {
  readonly accepted: boolean;
  /** Highest token that the server has accepted. */
  readonly token: string;
  /** Highest sequence number accepted under `token`. */
  readonly seq: number;
  /** Identifies one start of the server process. */
  readonly incarnation: string;
  /** The server's monotonic clock when it read the request, in ms. */
  readonly atMs: number;
  /** Whether the server is leaving and should get no new work. */
  readonly draining: boolean;
  /** Number of requests that are running. */
  readonly running: number;
  /** Units of the running requests, granted or not. */
  readonly busyUnits: readonly UnitId[];
  /** Load from 0 to 1 as the server reports it, which may be misleading. */
  readonly load: number;
}

/** An execution that a server recorded, for consistency checkers. */
export interface ExecutionRecord {
  readonly requestId: string;
  readonly identity: string | null;
  readonly service: string;
  readonly unit: string;
  readonly key: string;
  readonly token: string;
  readonly server: VmId;
  readonly method: string;
  readonly path: string;
  /** Unix ms, with a fraction. */
  readonly startMs: number;
  /** Unix ms of the effect; `null` if execution stopped before it. */
  readonly effectMs: number | null;
  readonly endMs: number | null;
  readonly bodyBytes: number;
  readonly bodyDigest: string;
}
