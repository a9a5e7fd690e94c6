/** Tests lease tracking while ranges are moved, split and merged. */
import { type ServerEntry, ServerState, ServerView } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Assignment,
  AssignmentManager,
  decodeRecord,
  encodeRecord,
  KeyLoad,
  type LeaseCall,
  LeaseCallKind,
  LeaseCallOutcome,
  type RouterRef,
  type ServerIncarnation,
} from "../src/mod.js";
import { planMerges } from "../src/range_merges.js";

const TIMES = { holdMs: 3_000, renewMs: 900, clockSkew: 0.02 };
const SERVER_X: ServerIncarnation = { id: "x", born: 1 };
const SERVER_Y: ServerIncarnation = { id: "y", born: 1 };
const VIEW = ServerView.create(
  [SERVER_X, SERVER_Y].map((life): ServerEntry => ({
    ...life,
    service: "s",
    address: `${life.id}:1`,
    zone: "z",
    slots: 2,
    state: ServerState.Ready,
    sequence: 1,
  })),
);
const LAST_KEY = 65_535;
const ROUTER: RouterRef = {
  node: "r",
  incarnation: "r.1",
  address: "r:1",
  zone: "z",
  cores: 1,
};

/** Assigns keys to a server, and completes the calls that result. */
function assignKeys(
  manager: AssignmentManager,
  owner: ServerIncarnation,
  options: {
    fence: number;
    nowMs: number;
    from?: number;
    to?: number;
    end?: LeaseCallOutcome;
  },
): readonly LeaseCall[] {
  const { fence, nowMs, from = 0, to = LAST_KEY } = options;
  manager.commit([{ from, to, owner }], { nowMs, fence });
  const calls = manager.listCalls(nowMs, VIEW);
  for (const call of calls) {
    manager.observe(call, { end: options.end ?? LeaseCallOutcome.Done }, nowMs);
  }
  return calls;
}

test("an earlier lease still counts after its server got the keys back", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, { fence: 1, nowMs: 0 });
  // Neither the release nor the second grant reaches x.
  assignKeys(manager, SERVER_Y, {
    fence: 2,
    nowMs: 100,
    end: LeaseCallOutcome.NotSent,
  });
  assignKeys(manager, SERVER_X, {
    fence: 3,
    nowMs: 200,
    end: LeaseCallOutcome.NotSent,
  });
  const end = LeaseCallOutcome.NotSent;
  const calls = assignKeys(manager, SERVER_Y, { fence: 4, nowMs: 300, end });
  const granted = calls.filter((c) => c.kind === LeaseCallKind.Grant);
  assert.deepEqual(granted, [], "x still holds its lease from 0 to 3 s");
  assert.deepEqual(manager.assignments[0]!.former.map((f) => f.id), ["x"]);
});

test("an owner granted keys during a store write must release them", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, {
    fence: 1,
    nowMs: 0,
    end: LeaseCallOutcome.NotSent,
  });
  // The write to the store takes seconds.
  const changes = [{ from: 0, to: LAST_KEY, owner: SERVER_Y }];
  const written = manager.preview(changes, { nowMs: 10, fence: 2 });
  const [call] = manager.listCalls(1_000, VIEW);
  manager.observe(call!, { end: LeaseCallOutcome.Done }, 1_000);
  const record = decodeRecord(encodeRecord({
    coordinator: ROUTER,
    resigned: false,
    needsMajority: true,
    routers: [ROUTER],
    predecessors: [],
    services: { s: written },
  }));
  const successor = AssignmentManager.restore("s", record.services["s"]!, {
    times: TIMES,
    inheritedLeaseExpiryMs: 6_000,
  });
  const kinds = successor.listCalls(2_000, VIEW).map((c) => c.kind);
  assert.deepEqual(
    kinds,
    [LeaseCallKind.Release],
    "x must release the keys first",
  );
});

test("keys of a restarted server are released before they move", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, { fence: 1, nowMs: 0 });
  // x has restarted, and a renewal reached its new process.
  const view = VIEW.apply([{
    id: SERVER_X.id,
    entry: { ...VIEW.find(SERVER_X.id)!, born: 2 },
  }], 2);
  manager.commit([{ from: 0, to: LAST_KEY, owner: SERVER_Y }], {
    nowMs: 500,
    fence: 2,
  });
  const kinds = manager.listCalls(500, view).map((c) => [c.kind, c.server.id]);
  assert.deepEqual(kinds, [[LeaseCallKind.Release, SERVER_X.id]]);
});

test("merged ranges are still served under their old tokens", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, { fence: 1, nowMs: 0 });
  assignKeys(manager, SERVER_X, { fence: 2, nowMs: 100, from: 0, to: 99 });
  assert.equal(manager.assignments.length, 2);
  manager.commit([{ from: 0, to: LAST_KEY, owner: SERVER_X }], {
    nowMs: 200,
    fence: 3,
  });
  assert.deepEqual(manager.makeTable().list(), [
    { from: 0, to: LAST_KEY, server: "x" },
  ]);
  const calls = manager.listCalls(200, VIEW);
  assert.deepEqual(calls.map((c) => [c.from, c.to, c.fence]), [[
    0,
    LAST_KEY,
    3,
  ]]);
});

interface MergeCase {
  readonly failure: string;
  readonly ranges: readonly Partial<Assignment>[];
  readonly excess: number;
  readonly merges: readonly (readonly [number, number])[];
}

const STABLE_RANGE: Partial<Assignment> = {
  owner: SERVER_X,
  granted: true,
  changedAtMs: 0,
};

const MERGE_CASES: readonly MergeCase[] = [
  {
    failure: "adjacent ranges of one server are never merged",
    ranges: [STABLE_RANGE, STABLE_RANGE, { ...STABLE_RANGE, owner: SERVER_Y }],
    excess: 2,
    merges: [[0, 19]],
  },
  {
    failure: "ranges are merged although there are few",
    ranges: [STABLE_RANGE, STABLE_RANGE],
    excess: 0,
    merges: [],
  },
  {
    failure: "a range that has just moved changes again",
    ranges: [STABLE_RANGE, { ...STABLE_RANGE, changedAtMs: 9_500 }],
    excess: 2,
    merges: [],
  },
  {
    failure: "a range that is not granted counts as granted after a merge",
    ranges: [STABLE_RANGE, { ...STABLE_RANGE, granted: false }],
    excess: 2,
    merges: [],
  },
  {
    failure: "a range is part of two merges",
    ranges: [STABLE_RANGE, STABLE_RANGE, STABLE_RANGE, STABLE_RANGE],
    excess: 9,
    merges: [[0, 19], [20, 39]],
  },
];

for (const { failure, ranges, excess, merges } of MERGE_CASES) {
  test(`merges, guards against: ${failure}`, () => {
    const list = ranges.map((r, i): Assignment => ({
      from: 10 * i,
      to: 10 * i + 9,
      fence: i + 1,
      former: [],
      granted: false,
      leaseExpiryMs: 0,
      changedAtMs: 0,
      ...r,
    }));
    const planned = planMerges(list, { nowMs: 10_000, excess, moves: [] });
    assert.deepEqual(planned.map((c) => [c.from, c.to]), merges);
  });
}

test("the number of ranges falls again once their load is gone", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, { fence: 1, nowMs: 0 });
  for (let i = 0; i < 20; i++) {
    const from = 1_000 * i;
    assignKeys(manager, SERVER_Y, {
      fence: 2 + 2 * i,
      nowMs: 0,
      from,
      to: from,
    });
    assignKeys(manager, SERVER_Y, {
      fence: 2 + 2 * i,
      nowMs: 0,
      from,
      to: from,
    });
    assignKeys(manager, SERVER_X, {
      fence: 3 + 2 * i,
      nowMs: 0,
      from,
      to: from,
    });
    assignKeys(manager, SERVER_X, {
      fence: 3 + 2 * i,
      nowMs: 0,
      from,
      to: from,
    });
  }
  const before = manager.assignments.length;
  const load = KeyLoad.create({ timeConstantMs: 2_000 });
  for (let round = 1; round <= 20; round++) {
    const nowMs = 5_000 * round;
    load.advance(nowMs);
    const changes = manager.plan({
      nowMs,
      view: VIEW,
      load,
      getCapacity: () => 10,
      balance: true,
      isSettling: false,
    });
    manager.commit(changes, { nowMs, fence: 100 + round });
    for (const call of manager.listCalls(nowMs, VIEW)) {
      manager.observe(call, { end: LeaseCallOutcome.Done }, nowMs);
    }
  }
  assert.ok(before > 30, `${before} ranges before`);
  assert.ok(manager.assignments.length <= 6, `${manager.assignments.length}`);
});

/**
 * Guards against a coordinator that is kept busy by calls to an address that
 * now belongs to a server of another service, which rejects each of them.
 */
test("a release that is always rejected is repeated ever more slowly", () => {
  const manager = AssignmentManager.create("s", TIMES);
  assignKeys(manager, SERVER_X, { fence: 1, nowMs: 0 });
  manager.commit([{ from: 0, to: LAST_KEY, owner: SERVER_Y }], {
    nowMs: 100,
    fence: 2,
  });
  let releases = 0;
  for (let nowMs = 100; nowMs < 2_900; nowMs += 50) {
    for (const call of manager.listCalls(nowMs, VIEW)) {
      if (call.kind === LeaseCallKind.Release) releases += 1;
      manager.observe(call, { end: LeaseCallOutcome.Rejected }, nowMs);
    }
  }
  assert.ok(releases >= 3 && releases <= 5, `${releases} releases`);
});
