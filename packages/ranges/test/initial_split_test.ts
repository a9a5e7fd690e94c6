/** Tests the initial split of keys, and moves of keys without requests. */
import { type ServerEntry, ServerState, ServerView } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AssignmentManager, KeyLoad, LeaseCallOutcome } from "../src/mod.js";

const TIMES = { holdMs: 3_000, renewMs: 900, clockSkew: 0.02 };
const TICK_MS = 100;

interface Case {
  readonly failure: string;
  /** Times at which servers register, ms. */
  readonly joinMs: readonly number[];
  /** Time of the first request, ms. */
  readonly firstRequestMs: number;
  /** Number of servers that own keys after the initial split. */
  readonly owners: number;
  /** Latest time of the initial split, ms. */
  readonly latestMs: number;
}

const CASES: readonly Case[] = [
  {
    failure: "the server that registers first gets all keys",
    joinMs: [0, 300, 700, 900, 1_800, 2_400],
    firstRequestMs: Infinity,
    owners: 6,
    latestMs: 4_000,
  },
  {
    failure: "early requests wait for servers that may still join",
    joinMs: [0, 300, 4_000],
    firstRequestMs: 400,
    owners: 2,
    latestMs: 500,
  },
  {
    failure: "servers that keep joining delay the initial split forever",
    joinMs: Array.from({ length: 20 }, (_, i) => 1_000 * i),
    firstRequestMs: Infinity,
    owners: 6,
    latestMs: 5_000,
  },
];

function makeView(count: number): ServerView {
  return ServerView.create(
    Array.from({ length: count }, (_, i): ServerEntry => ({
      id: `i-${i}`,
      born: 1,
      service: "s",
      address: "h:1",
      zone: "z",
      slots: 2,
      state: ServerState.Ready,
      sequence: 1,
    })),
  );
}

function plan(
  manager: AssignmentManager,
  options: { nowMs: number; view: ServerView; load: KeyLoad },
) {
  return manager.plan({
    ...options,
    getCapacity: () => 10,
    balance: true,
    isSettling: false,
  });
}

for (const { failure, joinMs, firstRequestMs, owners, latestMs } of CASES) {
  test(`initial split, guards against: ${failure}`, () => {
    const manager = AssignmentManager.create("s", TIMES);
    const load = KeyLoad.create({ timeConstantMs: 2_000 });
    for (let nowMs = 0; nowMs <= 10_000; nowMs += TICK_MS) {
      if (nowMs >= firstRequestMs) load.add(7, 1);
      load.advance(nowMs);
      const view = makeView(joinMs.filter((ms) => ms <= nowMs).length);
      const changes = plan(manager, { nowMs, view, load });
      if (changes.length === 0) continue;
      assert.equal(new Set(changes.map((c) => c.owner.id)).size, owners);
      assert.ok(nowMs <= latestMs, `keys were split after ${nowMs} ms`);
      return;
    }
    assert.fail("the keys were never split");
  });
}

test("a server that joins before the first request gets keys", () => {
  const manager = AssignmentManager.create("s", TIMES);
  const load = KeyLoad.create({ timeConstantMs: 2_000 });
  load.advance(0);
  const first = makeView(2);
  const owner = { id: "i-0", born: 1 };
  manager.commit([{ from: 0, to: 65_535, owner }], {
    nowMs: 0,
    fence: 1,
  });
  for (const call of manager.listCalls(0, first)) {
    manager.observe(call, { end: LeaseCallOutcome.Done }, 0);
  }
  load.advance(5_000);
  const changes = plan(manager, { nowMs: 5_000, view: first, load });
  assert.deepEqual(changes.map((c) => c.owner.id), ["i-1"]);
  const moved = changes[0]!.to - changes[0]!.from + 1;
  assert.ok(moved > 30_000 && moved < 35_000, `${moved} keys moved`);
});
