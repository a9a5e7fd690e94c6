/** Validation of change requests. @module */
import { type Finding, FindingList, type UnitId } from "@jaytiller/model";
import type { Calls, ChangeMethod } from "./calls.js";
import type { ChangeInfo } from "./messages.js";
import { checkRoute, SERVICE_NAME_PATTERN } from "./route_checks.js";

/** Matches the UUID that identifies a change. */
export const CHANGE_ID_PATTERN: RegExp =
  /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/i;

const MAX_NAME_LENGTH = 200;
const MAX_REASON_LENGTH = 2_000;
const MAX_KEY_LENGTH = 1_024;
const MAX_SHARD = 65_535;

/** Path of a text field in the request, and its largest length in characters. */
interface TextConstraint {
  readonly path: string;
  readonly maxLength: number;
}

function checkText(
  list: FindingList,
  value: string,
  { path, maxLength }: TextConstraint,
): void {
  if (value.trim() !== "" && value.length <= maxLength) return;
  list.add(path, value, `Expected text of 1 to ${maxLength} characters`);
}

function checkService(list: FindingList, service: string): void {
  if (SERVICE_NAME_PATTERN.test(service)) return;
  list.add(
    "service",
    service,
    `Expected a name like ${SERVICE_NAME_PATTERN.source}`,
  );
}

/** Fields of a request that select a unit; `unit` names the one that is set. */
interface UnitFields {
  readonly unit?: "key" | "shard";
  readonly key?: string;
  readonly shard?: number;
}

function checkUnit(list: FindingList, { unit, key, shard }: UnitFields): void {
  if (unit === undefined) {
    list.add("unit", undefined, "Expected a key or a shard");
  }
  if (unit === "key") {
    checkText(list, key ?? "", { path: "key", maxLength: MAX_KEY_LENGTH });
  }
  const isValidShard = shard !== undefined && shard >= 0 && shard <= MAX_SHARD;
  if (unit === "shard" && !isValidShard) {
    list.add("shard", shard, `Expected a number from 0 to ${MAX_SHARD}`);
  }
}

function checkServer(list: FindingList, server: string): void {
  checkText(list, server, { path: "server", maxLength: MAX_NAME_LENGTH });
}

const REQUEST_CHECKS: {
  readonly [M in ChangeMethod]: (
    list: FindingList,
    request: Calls[M]["request"],
  ) => readonly Finding[] | void;
} = {
  putRoute: (_, r) =>
    checkRoute(r.route, { source: "putRoute", prefix: "route." })
      .caseOf({ Left: (findings) => findings, Right: () => [] }),
  removeRoute: (list, r) => checkService(list, r.service),
  assign: (list, r) => {
    checkService(list, r.service);
    checkUnit(list, r);
    checkServer(list, r.server);
  },
  unassign: (list, r) => {
    checkService(list, r.service);
    checkUnit(list, r);
  },
  drain: (list, r) => checkServer(list, r.server),
  undrain: (list, r) => checkServer(list, r.server),
  confirmLost: (list, r) =>
    checkText(list, r.vm, { path: "vm", maxLength: MAX_NAME_LENGTH }),
  liftPoison: (list, r) =>
    checkText(list, r.fingerprint, {
      path: "fingerprint",
      maxLength: MAX_NAME_LENGTH,
    }),
};

function checkChangeInfo(list: FindingList, info: ChangeInfo | null): void {
  checkText(list, info?.operator ?? "", {
    path: "change.operator",
    maxLength: MAX_NAME_LENGTH,
  });
  checkText(list, info?.reason ?? "", {
    path: "change.reason",
    maxLength: MAX_REASON_LENGTH,
  });
  const id = info?.changeId ?? "";
  if (!CHANGE_ID_PATTERN.test(id)) {
    list.add("change.change_id", id, "Expected a UUID");
  }
  const version = info?.expectVersion;
  if (version !== undefined && !(version >= 0)) {
    list.add("change.expect_version", version, "Expected 0 or a version");
  }
}

/** Returns all findings about a change request; none if it is valid. */
export function checkChange<M extends ChangeMethod>(
  method: M,
  request: Calls[M]["request"],
): readonly Finding[] {
  const list = new FindingList(method);
  checkChangeInfo(list, request.change);
  const check = REQUEST_CHECKS[method] as (
    list: FindingList,
    request: Calls[M]["request"],
  ) => readonly Finding[] | void;
  const requestFindings = check(list, request) ?? [];
  return [...list.items, ...requestFindings];
}

/** Returns whether an RPC changes the cluster configuration. */
export function isChangeMethod(method: string): method is ChangeMethod {
  return Object.hasOwn(REQUEST_CHECKS, method);
}

/** Returns the unit that a valid request selects. */
export function readUnit(request: UnitFields): UnitId {
  return request.unit === "key" ? `k:${request.key}` : `s:${request.shard!}`;
}
