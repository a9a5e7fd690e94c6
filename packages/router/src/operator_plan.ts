/** Previews the effects of a configuration change. @module */
import {
  type ChangeRecord,
  formatGroup,
  type LogEntry,
  RecordKind,
  type UnitMove,
  type VmEntry,
  VmKind,
  VmState,
} from "@jaytiller/model";
import { type CandidateServer, planMoves } from "@jaytiller/ownership";
import type { ClusterState } from "@jaytiller/state";
import type { ChangeContext } from "./operator_records.js";

/** Returns one sentence for each effect that the record would have. */
export function planChange(
  record: ChangeRecord,
  context: ChangeContext,
): string[] {
  const entry: LogEntry = {
    offset: context.state.position,
    atMs: 0,
    record,
  };
  const { state, effect } = context.state.apply(entry);
  if (!effect.applied) {
    return [`The change would be rejected: ${effect.rejection}`];
  }
  const before = listMoves(context.state, context.vms);
  const movesBefore = new Set(before.map(formatMove));
  const moves = listMoves(state, context.vms).map(formatMove)
    .filter((line) => !movesBefore.has(line));
  const routeLines = record.kind === RecordKind.PutRoute
    ? [
      `Route ${record.route.pathPrefix} to ${record.route.service} would be set`,
    ]
    : [];
  const lines = [...routeLines, ...moves];
  return lines.length > 0 ? lines : ["No unit would move"];
}

function listMoves(state: ClusterState, vms: readonly VmEntry[]): UnitMove[] {
  return state.listRoutes().flatMap(({ service, shards }) =>
    planMoves({
      service,
      shards,
      candidates: vms.filter((v) => v.service === service)
        .filter((v) => v.kind === VmKind.Backend)
        .map((v) => makeCandidate(v, state)),
      owners: state.listOwners(service),
      assignments: state.listAssignments()
        .filter((a) => a.service === service),
    })
  );
}

function makeCandidate(vm: VmEntry, state: ClusterState): CandidateServer {
  const group = formatGroup(vm.service!, vm.zone);
  const evict = state.isDrained(vm.id)
    ? "Drained by an operator"
    : state.isLost(vm.id)
    ? "An operator confirmed its loss"
    : vm.state === VmState.Leaving
    ? "The server is leaving"
    : undefined;
  return evict === undefined
    ? { id: vm.id, group, accepts: true }
    : { id: vm.id, group, accepts: false, evictionReason: evict };
}

function formatMove(m: UnitMove): string {
  return `Unit ${m.unit} of ${m.service} would move from ` +
    `${m.from ?? "nowhere"} to ${m.to}: ${m.reason}`;
}
