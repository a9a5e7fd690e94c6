/** Tests of the rules for which servers may own units. @module */
import { type LogRecord, RecordKind, type UnitId } from "@jaytiller/model";
import { type ClusterState, foldEntries, type Owner } from "@jaytiller/state";
import assert from "node:assert/strict";
import { test } from "node:test";
import { listCandidates } from "../src/candidates.js";
import { GROUP, GroupHarness } from "./group_harness.js";

const LEAVING = "The server is leaving";
const UNRESPONSIVE = "The server does not answer";

/**
 * Name, reason of the move, its age in ms, whether the server is reported as
 * unresponsive, and whether it accepts units.
 */
const CASES: readonly [string, string, number, boolean, boolean][] = [
  ["just left", LEAVING, 10, false, false],
  ["left long ago", LEAVING, 20_000, false, true],
  ["just silent", UNRESPONSIVE, 10, false, false],
  ["long silent", UNRESPONSIVE, 20_000, true, false],
  ["silent and balanced since", "Balances load", 20_000, true, false],
  ["answers again", UNRESPONSIVE, 20_000, false, true],
  ["balanced", "Balances load", 10, false, true],
];

/** Applies a report by the server's own group that it is unresponsive. */
function reportUnresponsive(state: ClusterState, server: string): ClusterState {
  const group = "desk/zb";
  const { position } = state;
  const base = { hlc: "", node: "r9", group } as const;
  const claim: LogRecord = {
    ...base,
    kind: RecordKind.Claim,
    id: "claim",
    supersedes: -1,
  };
  const health: LogRecord = {
    ...base,
    kind: RecordKind.ServerHealth,
    id: "health",
    token: `${position}.0`,
    server,
    answers: false,
  };
  return foldEntries(state, [
    { offset: position, atMs: 0, record: claim },
    { offset: position + 1, atMs: 0, record: health },
  ]);
}

for (const [name, reason, ageMs, silent, accepts] of CASES) {
  /** Guards against two holders that move a unit back and forth. */
  test(`a server of another group, ${name}: accepts ${accepts}`, () => {
    const h = new GroupHarness();
    h.vms = h.vms.map((v) => v.id === "s1" ? { ...v, zone: "zb" } : v);
    const plain = h.makeContext();
    const ctx = silent
      ? { ...plain, state: reportUnresponsive(plain.state, "s1") }
      : plain;
    const owner: Owner = {
      server: "s0",
      group: GROUP,
      since: 1,
      sinceMs: ctx.unixMs - ageMs,
      reason,
      previous: "s1",
    };
    const owners = new Map<UnitId, Owner>([["s:0", owner]]);
    const links = new Map();
    const service = "desk";
    const candidates = listCandidates({
      group: GROUP,
      service,
      ctx,
      owners,
      links,
    });
    assert.equal(candidates.find((s) => s.id === "s1")?.accepts, accepts);
  });
}
