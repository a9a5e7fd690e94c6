import { readWorkload, WorkloadName } from "@jaytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Phase } from "../src/arrivals.js";
import { makePlan } from "../src/plan.js";

const OPTIONS = {
  seed: 3,
  zones: 1,
  beforeMs: 4000,
  crestMs: 2000,
  afterMs: 2000,
  base: 0.5,
  crest: 4,
  maxRate: 1500,
  longEvery: 50,
  longFactor: 50,
  keys: 100,
  zipf: 1,
  moveEveryMs: 1000,
  moveBy: 19,
  deadlineCapMs: 10_000,
};

/** Guards against service times that exceed the deadline at any load. */
test("plans respect the maximum rate and the deadlines", () => {
  console.log(`seed ${OPTIONS.seed}`);
  for (const name of Object.values(WorkloadName)) {
    const { services } = readWorkload(name);
    const plan = makePlan({ ...OPTIONS, services });
    const crest = plan.requests.filter((r) => r.phase === Phase.Crest);
    const rate = crest.length * 1000 / OPTIONS.crestMs;
    assert.ok(rate > 1300 && rate < 1700, `${name}: ${rate}/s`);
    for (const { service, serviceMs, deadlineMs } of plan.requests) {
      assert.ok(serviceMs <= deadlineMs / 2, service.name);
    }
    assert.throws(
      () => makePlan({ ...OPTIONS, services, maxRate: 10 }),
      /max-rate: Expected at least \d+/,
    );
  }
});
