/** The period in which a router holds a group under one token. @module */
import type {
  EventKind,
  GroupId,
  ServiceName,
  Token,
  UnitId,
  VmEntry,
  VmId,
  Zone,
} from "@jaytiller/model";
import { VmKind } from "@jaytiller/model";
import type { Action, GroupContext } from "./messages.js";
import type { PeerTable } from "./peer_table.js";
import type { Timing } from "./timing.js";

/** The parts of a group's setup that stay the same while the router runs. */
export interface GroupEnvironment {
  readonly group: GroupId;
  readonly service: ServiceName;
  readonly zone: Zone;
  readonly self: VmId;
  readonly peers: PeerTable;
  readonly timing: Timing;
  /** Returns a new UUID for a record. */
  readonly newId: () => string;
  /** Adds an action to the result of the current call. */
  readonly emit: (action: Action) => void;
  /** Adds a timeline event under the current token. */
  readonly recordEvent: EventRecorder;
}

/** Adds an event to the timeline of the group. */
export type EventRecorder = (
  kind: EventKind,
  text: string,
  fields?: { server?: VmId; unit?: UnitId },
) => void;

/**
 * Describes when and how a router became the holder of a group. Times are
 * monotonic ms unless their names say otherwise.
 */
export interface HolderEpoch {
  readonly token: Token;
  readonly since: number;
  readonly sinceUnixMs: number;
  /** Log position of this router when the epoch began. */
  readonly position: number;
  /**
   * Earliest time for requests to servers that do not verify ownership, because
   * the previous holder may send to them until then.
   */
  readonly serveFrom: number;
  /** Whether no other router held the group before. */
  readonly isFirstHolder: boolean;
  /** The holder that issued the used permit or handed the group over. */
  readonly predecessor: VmId | undefined;
  /**
   * Unix time in ms. Requests whose idempotency key was issued up to this time
   * may have been executed under another holder.
   */
  readonly knownSinceMs: number;
}

/** Returns whether the VM is a backend server of the group. */
export function isGroupServer(vm: VmEntry, env: GroupEnvironment): boolean {
  return vm.kind === VmKind.Backend && vm.zone === env.zone &&
    vm.service === env.service;
}

/**
 * Returns whether the servers of the service verify the lease and token of each
 * request. An unknown service counts as one whose servers do.
 */
export function isOwnershipChecked(
  ctx: GroupContext,
  service: ServiceName,
): boolean {
  return ctx.state.getRoute(service)?.checksOwner ?? true;
}

/**
 * Returns the monotonic time until which requests sent by an earlier holder may
 * still run, unless the server rejects them. A handover needs this wait too,
 * because it completes without waiting for the deadlines of those requests.
 */
export function getEarlierRequestsEndAt(
  ctx: GroupContext,
  { service, timing }: GroupEnvironment,
  epoch: HolderEpoch,
): number {
  const route = ctx.state.getRoute(service);
  if (!route || epoch.isFirstHolder) return 0;
  const maxDeadlineMs = Math.max(0, ...route.rules.map((r) => r.deadlineMs));
  return epoch.serveFrom + maxDeadlineMs + timing.clockErrorMs;
}
