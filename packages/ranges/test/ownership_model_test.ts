/** Tests exclusive key ownership under random fault schedules. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ALL_SAFEGUARDS,
  OwnershipModel,
  type Safeguards,
} from "./ownership_model.js";

const SCHEDULE_COUNT = 60;
/** Enough schedules to find an error while a safeguard is off. */
const UNSAFE_SCHEDULE_COUNT = 12;
const STEPS_PER_SCHEDULE = 800;

interface Totals {
  readonly errors: string[];
  heldShare: number;
  grants: number;
  moves: number;
}

function runSchedules(safeguards: Safeguards, count = SCHEDULE_COUNT): Totals {
  const totals: Totals = { errors: [], heldShare: 0, grants: 0, moves: 0 };
  for (let seed = 1; seed <= count; seed++) {
    const model = new OwnershipModel(seed, safeguards);
    model.run(STEPS_PER_SCHEDULE);
    totals.errors.push(...model.errors.map((e) => `seed ${seed}, ${e}`));
    totals.heldShare += model.computeHeldShare() / count;
    totals.grants += model.grants;
    totals.moves += model.moves;
  }
  return totals;
}

test("no key has two owners under crashes, pauses, partitions, late calls", () => {
  const totals = runSchedules(ALL_SAFEGUARDS);
  assert.deepEqual(totals.errors.slice(0, 5), []);
  // A model in which nothing is granted would pass the check above as well.
  assert.ok(totals.grants > 50 * SCHEDULE_COUNT, `${totals.grants} grants`);
  assert.ok(totals.moves > 10 * SCHEDULE_COUNT, `${totals.moves} moves`);
  assert.ok(totals.heldShare > 0.6, `${totals.heldShare} of the keys are held`);
});

const SAFEGUARDS: readonly (keyof Safeguards)[] = [
  "allowForClockSkew",
  "stopUnconfirmedTerms",
  "writeBeforeGrant",
  "stopWithoutMajority",
];

for (const name of SAFEGUARDS) {
  test(`two owners of a key are detected without ${name}`, () => {
    const safeguards = { ...ALL_SAFEGUARDS, [name]: false };
    const totals = runSchedules(safeguards, UNSAFE_SCHEDULE_COUNT);
    assert.ok(totals.errors.length > 0);
  });
}
