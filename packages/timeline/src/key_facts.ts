/** Collects what is known about a key and its owner. @module */
import {
  EventKind,
  type GroupId,
  parseGroup,
  type ServiceName,
  type TimelineEvent,
  type UnitId,
  type VmEntry,
  type VmId,
  VmKind,
  VmState,
} from "@jaytiller/model";
import type {
  Assignment,
  Change,
  Claim,
  ClusterState,
  Owner,
} from "@jaytiller/state";
import { mergeEvents } from "./event_ring.js";

/** The key to explain, and the data known at `nowMs`, unix ms. */
export interface KeyQuery {
  readonly state: ClusterState;
  readonly service: ServiceName;
  readonly key: string;
  readonly events: readonly TimelineEvent[];
  /** VM list of the platform, which may be out of date. */
  readonly vms: readonly VmEntry[];
  readonly nowMs: number;
}

/** Facts about one key, from the cluster state, the events and the VM list. */
export interface KeyFacts {
  readonly service: ServiceName;
  readonly unit: UnitId;
  readonly nowMs: number;
  readonly owner?: Owner;
  readonly group?: GroupId;
  readonly claim?: Claim;
  readonly assignment?: Assignment;
  /** Latest change of the unit by an operator. */
  readonly change?: Change;
  readonly drained: boolean;
  readonly leaving: boolean;
  /** Whether the VM list contains servers of the service but not the owner. */
  readonly isUnlisted: boolean;
  /** Event that reported the owner as silent, if it was not heard since. */
  readonly ownerSilent?: TimelineEvent;
  /** Suspected entry VMs of the owner's zone that are not confirmed as lost. */
  readonly silentPeers: readonly VmId[];
  /** Event of a router that lost the log and has not reached it since. */
  readonly logLost?: TimelineEvent;
  /** First event of a move that is not effective yet. */
  readonly openMove?: TimelineEvent;
  /** Event of the move by which the current owner became the owner. */
  readonly effectiveMove?: TimelineEvent;
  /** Events about the unit, its owner, its group or the log, oldest first. */
  readonly pastEvents: readonly TimelineEvent[];
}

/** Kinds of events that start a condition, and those that end it. */
interface Condition {
  readonly startKinds: readonly EventKind[];
  readonly endKinds: readonly EventKind[];
}

const SERVER_SILENT: Condition = {
  startKinds: [EventKind.ServerSuspected, EventKind.LeaseLapsed],
  endKinds: [EventKind.ServerHeard, EventKind.GrantAccepted],
};
const PEER_SILENT: Condition = {
  startKinds: [EventKind.PeerSuspected],
  endKinds: [EventKind.PeerHeard],
};
const LOG_LOST: Condition = {
  startKinds: [EventKind.LogLost],
  endKinds: [EventKind.LogHeard, EventKind.ProcessStarted],
};
const MOVE: Condition = {
  startKinds: [EventKind.MoveStarted, EventKind.MoveAppended],
  endKinds: [EventKind.MoveEffective, EventKind.Superseded, EventKind.Takeover],
};

const REQUEST_KINDS: ReadonlySet<EventKind> = new Set([
  EventKind.RequestReceived,
  EventKind.RequestForwarded,
  EventKind.RequestSent,
  EventKind.RequestAnswered,
  EventKind.RequestRefused,
  EventKind.RequestUnknown,
]);

/** Returns the facts about a key, or `undefined` if the service has no route. */
export function findKeyFacts(query: KeyQuery): KeyFacts | undefined {
  const { state, service, key, vms, nowMs } = query;
  const unit = state.resolveUnit(service, key);
  if (unit === undefined) return undefined;
  const events = mergeEvents([query.events]);
  const owner = state.getOwner(service, unit);
  const group = owner?.group;
  const claim = group && state.getClaim(group);
  const assignment = state.getAssignment(service, unit);
  const change = state.getLastChange(`unit/${service}/${unit}`);
  const ownerEntry = vms.find((v) => v.id === owner?.server);
  const hasListedServers = vms.some((v) => v.service === service);
  const isAboutOwner = (e: TimelineEvent) => e.server === owner?.server;
  const isAboutUnit = (e: TimelineEvent) =>
    e.unit === unit && (e.service ?? service) === service;
  // Events of other units of the group neither start nor end a move of this one.
  const isAboutMove = (e: TimelineEvent) =>
    isAboutUnit(e) || (e.unit === undefined && e.group === group &&
      MOVE.endKinds.includes(e.kind));
  return {
    service,
    unit,
    nowMs,
    drained: owner !== undefined && state.isDrained(owner.server),
    leaving: ownerEntry?.state === VmState.Leaving,
    isUnlisted: owner !== undefined && hasListedServers && !ownerEntry,
    silentPeers: listSilentPeers({ ...query, events }, group),
    pastEvents: events.filter((e) =>
      !REQUEST_KINDS.has(e.kind) &&
      (isAboutUnit(e) || (owner && e.unit === undefined && isAboutOwner(e)) ||
        (e.unit === undefined && e.server === undefined && e.group === group))
    ),
    ...dropUndefined({
      owner,
      group,
      claim,
      assignment,
      change,
      ownerSilent: owner &&
        findOngoing(events.filter(isAboutOwner), SERVER_SILENT),
      logLost: findOngoingOnAnyNode(events, LOG_LOST),
      openMove: findOngoing(events.filter(isAboutMove), MOVE),
      effectiveMove: events.filter((e) =>
        e.kind === EventKind.MoveEffective && isAboutUnit(e) &&
        e.offset === owner?.since
      ).at(-1),
    }),
  };
}

/** Returns the event that started the condition, if it has not ended since. */
function findOngoing(
  events: readonly TimelineEvent[],
  { startKinds, endKinds }: Condition,
): TimelineEvent | undefined {
  let open: TimelineEvent | undefined;
  for (const event of events) {
    if (endKinds.includes(event.kind)) open = undefined;
    else if (startKinds.includes(event.kind)) open ??= event;
  }
  return open;
}

/**
 * Returns the start of a condition that has not ended on some node. Each router
 * has its own view, so its events end a condition only for itself.
 */
function findOngoingOnAnyNode(
  events: readonly TimelineEvent[],
  condition: Condition,
): TimelineEvent | undefined {
  for (const node of new Set(events.map((e) => e.node))) {
    const open = findOngoing(events.filter((e) => e.node === node), condition);
    if (open) return open;
  }
  return undefined;
}

function listSilentPeers(
  { state, events, vms }: KeyQuery,
  group: GroupId | undefined,
): VmId[] {
  if (group === undefined) return [];
  const [, zone] = parseGroup(group);
  return vms
    .filter((v) => v.kind === VmKind.Entry && v.zone === zone)
    .map((v) => v.id)
    .filter((id) =>
      !state.isLost(id) &&
      findOngoingOnAnyNode(events.filter((e) => e.server === id), PEER_SILENT)
    );
}

function dropUndefined<T extends object>(
  fields: T,
): { [K in keyof T]?: Exclude<T[K], undefined> } {
  return Object.fromEntries(
    Object.entries(fields).filter(([, v]) => v !== undefined),
  ) as { [K in keyof T]?: Exclude<T[K], undefined> };
}
