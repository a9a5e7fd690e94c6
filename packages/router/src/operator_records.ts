/** Converts operators' requests to log records. @module */
import {
  type ChangeInfo,
  type ChangeRecord,
  RecordKind,
  type VmEntry,
} from "@jaytiller/model";
import {
  type Calls,
  type ChangeMethod,
  type ChangeResultInput,
  parseRoute,
  readUnit,
} from "@jaytiller/rpc";
import type { ClusterState } from "@jaytiller/state";

/** A record without its ID, timestamp, node and change information. */
export type ChangeDraft = {
  readonly [K in ChangeRecord["kind"]]: Omit<
    Extract<ChangeRecord, { kind: K }>,
    "id" | "hlc" | "node" | "change"
  >;
}[ChangeRecord["kind"]];

/** Makes the record draft of each method. */
export const DRAFT_FACTORIES: {
  readonly [M in ChangeMethod]: (request: Calls[M]["request"]) => ChangeDraft;
} = {
  putRoute: (r) => ({ kind: RecordKind.PutRoute, route: parseRoute(r.route!) }),
  removeRoute: (r) => ({ kind: RecordKind.RemoveRoute, service: r.service }),
  assign: (r) => ({
    kind: RecordKind.Assign,
    service: r.service,
    unit: readUnit(r),
    server: r.server,
  }),
  unassign: (r) => ({
    kind: RecordKind.Unassign,
    service: r.service,
    unit: readUnit(r),
  }),
  drain: (r) => ({ kind: RecordKind.Drain, server: r.server }),
  undrain: (r) => ({ kind: RecordKind.Undrain, server: r.server }),
  confirmLost: (r) => ({ kind: RecordKind.ConfirmLost, vm: r.vm }),
  liftPoison: (r) => ({
    kind: RecordKind.LiftPoison,
    fingerprint: r.fingerprint,
  }),
};

/** State and VMs that a change is validated against. */
export interface ChangeContext {
  readonly state: ClusterState;
  readonly vms: readonly VmEntry[];
}

type StateCheck = (
  draft: ChangeDraft,
  context: ChangeContext,
) => string | undefined;

/** Validates each method's change; returns a problem or `undefined`. */
export const STATE_CHECKS: Readonly<Record<ChangeMethod, StateCheck>> = {
  putRoute: (d, { state }) => {
    if (d.kind !== RecordKind.PutRoute) return undefined;
    const before = state.getRoute(d.route.service);
    if (before && before.shards !== d.route.shards) {
      return `Route ${d.route.service} has ${before.shards} shards, ` +
        `which cannot be changed to ${d.route.shards}`;
    }
    const conflictingRoute = state.listRoutes().find((r) =>
      r.pathPrefix === d.route.pathPrefix && r.service !== d.route.service
    );
    return conflictingRoute &&
      `Path ${d.route.pathPrefix} is already routed to ${conflictingRoute.service}`;
  },
  removeRoute: (d, context) => checkService(d, context),
  assign: (d, context) => {
    if (d.kind !== RecordKind.Assign) return undefined;
    const missing = checkService(d, context);
    if (missing !== undefined) return missing;
    const { shards } = context.state.getRoute(d.service)!;
    const shard = d.unit.startsWith("s:") ? Number(d.unit.slice(2)) : 0;
    if (shard >= shards) {
      return `Service ${d.service} has shards 0 to ${shards - 1}, not ${shard}`;
    }
    const server = context.vms.find((v) => v.id === d.server);
    if (server?.service === d.service) return undefined;
    return `${d.server} is not listed as a server of ${d.service}`;
  },
  unassign: (d, { state }) => {
    if (d.kind !== RecordKind.Unassign) return undefined;
    if (state.getAssignment(d.service, d.unit)) return undefined;
    return `Unit ${d.unit} of ${d.service} has no assignment`;
  },
  drain: (d, { vms }) => {
    if (d.kind !== RecordKind.Drain) return undefined;
    const server = vms.find((v) => v.id === d.server && v.service);
    return server ? undefined : `${d.server} is not a listed backend server`;
  },
  undrain: (d, { state }) => {
    if (d.kind !== RecordKind.Undrain) return undefined;
    return state.isDrained(d.server) ? undefined : `${d.server} is not drained`;
  },
  confirmLost: (d, { vms }) => {
    if (d.kind !== RecordKind.ConfirmLost) return undefined;
    return vms.some((v) => v.id === d.vm)
      ? undefined
      : `${d.vm} is not a listed VM`;
  },
  liftPoison: (d, { state }) => {
    if (d.kind !== RecordKind.LiftPoison) return undefined;
    return state.getPoison(d.fingerprint)
      ? undefined
      : `${d.fingerprint} is not on the poison list`;
  },
};

function checkService(
  draft: ChangeDraft,
  { state }: ChangeContext,
): string | undefined {
  if (!("service" in draft) || state.getRoute(draft.service)) return undefined;
  return `Service ${draft.service} has no route`;
}

/** Makes an `invalid` result with one finding. */
export function makeInvalidResult(
  path: string,
  message: string,
): ChangeResultInput {
  const finding = { source: "request", path, value: "", message };
  return { invalid: { findings: [finding] } };
}

/** Completes a draft to a record. */
export function makeRecord(
  draft: ChangeDraft,
  base: { id: string; hlc: string; node: string; change: ChangeInfo },
): ChangeRecord {
  return { ...draft, ...base } as ChangeRecord;
}
