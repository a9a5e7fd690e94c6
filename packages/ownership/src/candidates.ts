/** Determines which backend servers may own units at the moment. @module */
import {
  formatGroup,
  type GroupId,
  type ServiceName,
  type UnitId,
  type VmEntry,
  type VmId,
  VmKind,
  VmState,
} from "@jaytiller/model";
import type { Owner } from "@jaytiller/state";
import type { GroupContext } from "./messages.js";
import type { CandidateServer } from "./placement.js";
import type { ServerLink } from "./server_link.js";
import { JOIN_DAMPING_MS, RETURN_DAMPING_MS } from "./timing.js";

// Reasons of moves are stored in the log and compared when they are read.

/** The reason for moving units away from an unresponsive server. */
export const UNRESPONSIVE_REASON = "The server does not answer";
const LEAVING_REASON = "The server is leaving";
const DRAINING_REASON = "The server drains";
/**
 * Reasons that the holder of the server's group may learn before the holders of
 * other groups do.
 */
const LOCALLY_KNOWN_REASONS = new Set([
  UNRESPONSIVE_REASON,
  LEAVING_REASON,
  DRAINING_REASON,
]);

/** The input of `listCandidates`. */
export interface CandidateInput {
  readonly group: GroupId;
  readonly service: ServiceName;
  readonly ctx: GroupContext;
  readonly owners: ReadonlyMap<UnitId, Owner>;
  /** Links to the servers of the holder's own group. */
  readonly links: ReadonlyMap<VmId, ServerLink>;
}

/**
 * Lists the service's backend servers in all zones. Each candidate states
 * whether it accepts units and, if units have to leave it, the reason.
 */
export function listCandidates(input: CandidateInput): CandidateServer[] {
  const owning = listOwningServers(input.owners);
  const vacated = findVacatedServers(input);
  const candidates: CandidateServer[] = [];
  for (const vm of input.ctx.vms) {
    if (vm.kind !== VmKind.Backend || vm.service !== input.service) continue;
    const evictionReason = findEvictionReason(vm, input);
    const since = input.ctx.listedSince.get(vm.id) ?? input.ctx.now;
    const joined = input.owners.size === 0 || owning.has(vm.id) ||
      input.ctx.now - since >= JOIN_DAMPING_MS;
    const group = formatGroup(input.service, vm.zone);
    const isResponsive = !input.ctx.state.isUnresponsive(vm.id) &&
      (group === input.group
        ? input.links.get(vm.id)?.hasAcceptedToken ?? false
        : !vacated.has(vm.id));
    const accepts = evictionReason === undefined && joined && isResponsive;
    candidates.push({
      id: vm.id,
      group,
      accepts,
      ...(evictionReason === undefined ? {} : { evictionReason }),
    });
  }
  return candidates;
}

const OWNING_SERVERS = new WeakMap<
  ReadonlyMap<UnitId, Owner>,
  ReadonlySet<VmId>
>();

/** Returns the servers that own units, cached for each immutable map. */
function listOwningServers(
  owners: ReadonlyMap<UnitId, Owner>,
): ReadonlySet<VmId> {
  const cached = OWNING_SERVERS.get(owners);
  if (cached) return cached;
  const owning = new Set([...owners.values()].map((o) => o.server));
  OWNING_SERVERS.set(owners, owning);
  return owning;
}

/**
 * Returns the servers that the holder of their own group recently moved units
 * away from. Only that holder can tell when they may own units again; without
 * this list other holders would move units back to them at once.
 */
function findVacatedServers({ owners, ctx }: CandidateInput): Set<VmId> {
  const vacated = new Set<VmId>();
  for (const { previous, sinceMs } of listLocalMoves(owners)) {
    if (ctx.unixMs - sinceMs < RETURN_DAMPING_MS) vacated.add(previous!);
  }
  return vacated;
}

const LOCAL_MOVES = new WeakMap<
  ReadonlyMap<UnitId, Owner>,
  readonly Owner[]
>();

/**
 * Returns the owners of units that were moved for one of the
 * `LOCALLY_KNOWN_REASONS`, cached for each immutable map.
 */
function listLocalMoves(
  owners: ReadonlyMap<UnitId, Owner>,
): readonly Owner[] {
  const cached = LOCAL_MOVES.get(owners);
  if (cached) return cached;
  const moves = [...owners.values()].filter((o) =>
    o.previous !== null && LOCALLY_KNOWN_REASONS.has(o.reason)
  );
  LOCAL_MOVES.set(owners, moves);
  return moves;
}

/** Returns whether the server is being shut down in a planned way. */
export function isLeaving(
  vm: VmEntry,
  { ctx, link }: { ctx: GroupContext; link: ServerLink | undefined },
): boolean {
  return vm.state === VmState.Leaving || ctx.state.isDrained(vm.id) ||
    (link?.draining ?? false);
}

/** Returns why units must leave a server, or `undefined` if they may stay. */
function findEvictionReason(
  vm: VmEntry,
  input: CandidateInput,
): string | undefined {
  const { ctx, links } = input;
  if (ctx.state.isLost(vm.id)) return "An operator confirmed its loss";
  if (ctx.state.isDrained(vm.id)) return "Drained by an operator";
  if (vm.state === VmState.Leaving) return LEAVING_REASON;
  const link = links.get(vm.id);
  if (!link) return undefined;
  if (link.draining) return DRAINING_REASON;
  if (link.isSuspected(ctx.now)) return UNRESPONSIVE_REASON;
  return undefined;
}
