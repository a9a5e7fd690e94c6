/** Tests for how long earlier coordinators count as sending grants. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  listPredecessors,
  type OwnershipRecord,
  PREDECESSOR_TIMEOUT_MS,
  Predecessors,
  type RouterRef,
} from "../src/mod.js";

function makeRef(node: string): RouterRef {
  return { node, incarnation: `${node}.1`, address: node, zone: "z", cores: 1 };
}

/** One coordinator's term in a sequence of coordinators. */
interface Term {
  readonly node: string;
  readonly fromMs: number;
  /** Time of the last record of the term, ms. */
  readonly writtenMs: number;
  /** Whether the last record of the term is a resignation. */
  readonly resigned?: boolean;
}

interface Case {
  readonly failure: string;
  readonly terms: readonly Term[];
  /** Nodes that are certain to have stopped when the last term begins. */
  readonly ended?: readonly string[];
  /** Time at which the last coordinator claims its term, ms. */
  readonly claimedMs: number;
  /** Time by which all predecessors have stopped sending grants, ms. */
  readonly endMs: number;
}

const CASES: readonly Case[] = [
  {
    failure: "an unreachable predecessor is not waited for until its timeout",
    terms: [{ node: "a", fromMs: 0, writtenMs: 9_000 }],
    claimedMs: 10_000,
    endMs: 10_000 + PREDECESSOR_TIMEOUT_MS,
  },
  {
    failure: "each successor restarts the timeout of a lost predecessor",
    terms: [
      { node: "a", fromMs: 0, writtenMs: 1_000 },
      { node: "b", fromMs: 2_000, writtenMs: 12_000 },
    ],
    ended: ["b"],
    claimedMs: 13_000,
    // 10 s had elapsed since `b` succeeded `a` when `b` wrote its last record.
    endMs: 13_000 + PREDECESSOR_TIMEOUT_MS - 10_000,
  },
  {
    failure: "a predecessor stays in the records after its timeout",
    terms: [
      { node: "a", fromMs: 0, writtenMs: 1_000 },
      { node: "b", fromMs: 2_000, writtenMs: 18_000 },
    ],
    ended: ["b"],
    claimedMs: 20_000,
    endMs: 20_000,
  },
  {
    failure: "a successor waits for a predecessor that has resigned",
    terms: [{ node: "a", fromMs: 0, writtenMs: 9_000, resigned: true }],
    claimedMs: 10_000,
    endMs: 10_000,
  },
];

function writeRecord(
  term: Term,
  last: OwnershipRecord | undefined,
): OwnershipRecord {
  const self = makeRef(term.node);
  const predecessors = Predecessors.restore(last, {
    self,
    claimedMs: term.fromMs,
  });
  return {
    coordinator: self,
    resigned: term.resigned ?? false,
    needsMajority: false,
    routers: [self],
    predecessors: predecessors.list(term.writtenMs),
    services: {},
  };
}

for (const { failure, terms, ended, claimedMs, endMs } of CASES) {
  test(`predecessors, guards against: ${failure}`, () => {
    let record: OwnershipRecord | undefined;
    for (const term of terms) record = writeRecord(term, record);
    const self = makeRef("last");
    const predecessors = Predecessors.restore(record, { self, claimedMs });
    predecessors.clear((p) => ended?.includes(p.node) ?? false);
    assert.equal(predecessors.computeGrantEndMs(), endMs);
  });
}

test("a router is not its own predecessor", () => {
  const record = writeRecord({ node: "a", fromMs: 0, writtenMs: 1 }, undefined);
  assert.deepEqual(listPredecessors(record, makeRef("a")), []);
});

interface MajorityCase {
  readonly title: string;
  /** Routers in the record of the lost coordinator `a`. */
  readonly routers: readonly string[];
  readonly needsMajority: boolean;
  /** Nodes and times at which they accept the successor's term, in order. */
  readonly followers: readonly (readonly [string, number])[];
  /** Time by which `a` has stopped, ms after the claim. */
  readonly endMs: number;
}

const MAJORITY_CASES: readonly MajorityCase[] = [
  {
    title: "a majority follows: the coordinator has none any more",
    routers: ["a", "b", "c", "d", "e"],
    needsMajority: true,
    followers: [["b", 100], ["c", 400]],
    endMs: 400 + 2_000 + 500,
  },
  {
    title: "half of the routers follow",
    routers: ["a", "b", "c", "last"],
    needsMajority: true,
    followers: [["b", 100]],
    endMs: PREDECESSOR_TIMEOUT_MS,
  },
  {
    title: "routers follow that the record does not list",
    routers: ["a", "b", "c"],
    needsMajority: true,
    followers: [["x", 100], ["y", 100], ["z", 100]],
    endMs: PREDECESSOR_TIMEOUT_MS,
  },
  {
    title: "an earlier build goes on without a majority",
    routers: ["a", "b", "c", "last"],
    needsMajority: false,
    followers: [["b", 100], ["c", 100]],
    endMs: PREDECESSOR_TIMEOUT_MS,
  },
];

for (const majority of MAJORITY_CASES) {
  test(`a lost coordinator whose routers follow: ${majority.title}`, () => {
    const claimedMs = 50_000;
    const record: OwnershipRecord = {
      coordinator: makeRef("a"),
      resigned: false,
      needsMajority: majority.needsMajority,
      routers: majority.routers.map(makeRef),
      predecessors: [],
      services: {},
    };
    const self = makeRef(majority.routers.includes("last") ? "last" : "e");
    const predecessors = Predecessors.restore(record, { self, claimedMs });
    for (const [node, afterMs] of majority.followers) {
      predecessors.recordFollower(makeRef(node), claimedMs + afterMs);
    }
    const endMs = predecessors.computeGrantEndMs();
    assert.equal(endMs, claimedMs + majority.endMs);
    assert.equal(predecessors.list(endMs).length, 0);
  });
}
