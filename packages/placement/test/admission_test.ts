/** Whether a request is sent, waits or is refused under overload. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type AdmissionFacts,
  decideAdmission,
  RetryBudget,
  Verdict,
  type Waiter,
  WaitingRoom,
} from "../src/mod.js";

const FACTS: AdmissionFacts = {
  hasRoom: true,
  ahead: 0,
  limit: 2,
  serviceMs: 100,
  expectedMs: 120,
  leftMs: 1_000,
  targetMs: 500,
};

interface Case {
  readonly guards: string;
  readonly facts: Partial<AdmissionFacts>;
  readonly verdict: Verdict;
}

const CASES: readonly Case[] = [
  { guards: "room is used at once", facts: {}, verdict: Verdict.Send },
  {
    guards: "nobody overtakes those that wait",
    facts: { ahead: 1 },
    verdict: Verdict.Wait,
  },
  {
    guards: "a short wait is better than a refusal",
    facts: { hasRoom: false },
    verdict: Verdict.Wait,
  },
  {
    guards: "nobody is held for longer than the answer is worth",
    facts: { hasRoom: false, ahead: 12 },
    verdict: Verdict.Refuse,
  },
  {
    guards: "no server works for a request that it cannot end in time",
    facts: { leftMs: 60 },
    verdict: Verdict.Refuse,
  },
];

for (const { guards, facts, verdict } of CASES) {
  test(`admission: ${guards}`, () => {
    const decided = decideAdmission({ ...FACTS, ...facts });
    assert.equal(decided.verdict, verdict);
    if (verdict === Verdict.Refuse) assert.ok(decided.retryAfterMs > 0);
  });
}

test("second sends of all routers together stay within the allowance", () => {
  const allowance = { ratio: 0.2, burst: 62, windowMs: 10_000 };
  for (const routers of [1, 8, 61]) {
    const budgets = Array.from(
      { length: routers },
      () => RetryBudget.create(allowance),
    );
    let requests = 0;
    let retries = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      const budget = budgets[nowMs / 10 % routers]!;
      budget.countRequest(nowMs);
      requests += 1;
      if (budget.take(nowMs, routers)) retries += 1;
    }
    assert.ok(retries <= 0.2 * requests + 62, `${retries} of ${requests}`);
    assert.ok(retries > 0);
  }
});

test("the waiting room serves by rank, then by deadline", () => {
  const room = WaitingRoom.create({ capacity: 3 });
  const placed: string[] = [];
  const makeWaiter = (name: string, waiter: Partial<Waiter>): Waiter => ({
    room: "r",
    priority: 1,
    deadlineMs: 100,
    untilMs: 1_000,
    notBeforeMs: 0,
    tryPlace: () => placed.push(name) > 0,
    giveUp: () => assert.fail(`${name} gave up`),
    ...waiter,
  });
  assert.ok(room.enter(makeWaiter("late", { deadlineMs: 300 })));
  assert.ok(room.enter(makeWaiter("soon", {})));
  assert.ok(room.enter(makeWaiter("urgent", { priority: 0, deadlineMs: 900 })));
  assert.ok(!room.enter(makeWaiter("beyond", {})), "the room is bounded");
  room.advance(10);
  assert.deepEqual(placed, ["urgent", "soon", "late"]);
});
