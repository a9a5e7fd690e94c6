/** Earlier coordinators that may still send grants. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  listPredecessors,
  type OwnershipRecord,
  PREDECESSOR_LIMIT_MS,
  Predecessors,
  type RouterRef,
} from "../src/mod.js";

function makeRef(node: string): RouterRef {
  return { node, incarnation: `${node}.1`, address: node, zone: "z", cores: 1 };
}

/** A term in a series of coordinators. */
interface Term {
  readonly node: string;
  readonly fromMs: number;
  /** Time of the last record of the term, ms. */
  readonly writtenMs: number;
  /** Whether the last record says that the coordinator has ended. */
  readonly resigned?: boolean;
}

interface Case {
  readonly guards: string;
  readonly terms: readonly Term[];
  /** Nodes that have certainly ended by then. */
  readonly ended?: readonly string[];
  /** Node of the last coordinator, and when it claims, ms. */
  readonly claimedMs: number;
  /** Time by which all predecessors have ended, ms. */
  readonly endMs: number;
}

const CASES: readonly Case[] = [
  {
    guards: "a predecessor that cannot be asked counts until its limit",
    terms: [{ node: "a", fromMs: 0, writtenMs: 9_000 }],
    claimedMs: 10_000,
    endMs: 10_000 + PREDECESSOR_LIMIT_MS,
  },
  {
    guards: "the time of a lost predecessor is counted anew by each successor",
    terms: [
      { node: "a", fromMs: 0, writtenMs: 1_000 },
      { node: "b", fromMs: 2_000, writtenMs: 12_000 },
    ],
    ended: ["b"],
    claimedMs: 13_000,
    // Ten seconds of the time of `a` had passed when `b` wrote last.
    endMs: 13_000 + PREDECESSOR_LIMIT_MS - 10_000,
  },
  {
    guards: "a predecessor beyond its limit stays in the records for ever",
    terms: [
      { node: "a", fromMs: 0, writtenMs: 1_000 },
      { node: "b", fromMs: 2_000, writtenMs: 18_000 },
    ],
    ended: ["b"],
    claimedMs: 20_000,
    endMs: 20_000,
  },
  {
    guards: "one that has resigned is waited for",
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
    routers: [self],
    predecessors: predecessors.list(term.writtenMs),
    services: {},
  };
}

for (const { guards, terms, ended, claimedMs, endMs } of CASES) {
  test(`predecessors, guards against: ${guards}`, () => {
    let record: OwnershipRecord | undefined;
    for (const term of terms) record = writeRecord(term, record);
    const self = makeRef("last");
    const predecessors = Predecessors.restore(record, { self, claimedMs });
    predecessors.clear((p) => ended?.includes(p.node) ?? false);
    assert.equal(predecessors.computeEnd(), endMs);
  });
}

test("a router is not its own predecessor", () => {
  const record = writeRecord({ node: "a", fromMs: 0, writtenMs: 1 }, undefined);
  assert.deepEqual(listPredecessors(record, makeRef("a")), []);
});
