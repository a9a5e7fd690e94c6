/**
 * Model test of ownership: seeded fault schedules in a simulated cluster.
 *
 * `MODEL_SEED` and `MODEL_RUNS` choose the seeds of a longer run, `MODEL_MIX`
 * the mix of faults, and `MODEL_SECONDS` ends it early.
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeFailure,
  FaultMix,
  makeSchedule,
  runSchedule,
} from "../src/model/mod.js";

/** Seeds that have exposed a fault, each with its cause. */
const REGRESSIONS: readonly [number, FaultMix][] = [
  // Both peers of a leaving holder continued with the same ballot.
  [200923, FaultMix.Broad],
  // Requests for a key ran under its shard after the key was split out.
  [100452, FaultMix.Broad],
  [300100, FaultMix.Broad],
  // A server without checks ran lost requests and those of an earlier holder.
  [4, FaultMix.Broad],
  [100003, FaultMix.Broad],
  // A server that did not answer for a short time still ran requests in flight.
  [100006, FaultMix.Broad],
  [400991, FaultMix.Broad],
  // A second append failed, then the first one took effect.
  [300326, FaultMix.Broad],
  [400380, FaultMix.Broad],
  // A unit returned to a server that still ran requests from its earlier
  // ownership.
  [1100684, FaultMix.Broad],
  // A restarted peer had lost its claim and confirmed a stale holder.
  [3401012, FaultMix.Focused],
  // A peer that had claimed the group was lost and dropped from the list.
  [4579, FaultMix.Split],
];

/** Schedules of a run without settings, which takes about 20 s in total. */
const DEFAULT_RUNS: readonly { mix: FaultMix; from: number; runs: number }[] = [
  { mix: FaultMix.Broad, from: 1, runs: 160 },
  { mix: FaultMix.Focused, from: 1, runs: 60 },
  { mix: FaultMix.Split, from: 1, runs: 40 },
];

const { MODEL_SEED, MODEL_RUNS, MODEL_MIX, MODEL_SECONDS } = process.env;
const STOP_AT_MS = MODEL_SECONDS === undefined
  ? Infinity
  : Date.now() + Number(MODEL_SECONDS) * 1_000;

function listRuns(): { mix: FaultMix; from: number; runs: number }[] {
  if (MODEL_SEED === undefined) return [...DEFAULT_RUNS];
  const mix = Object.values(FaultMix).find((m) => m === MODEL_MIX) ??
    FaultMix.Broad;
  return [{ mix, from: Number(MODEL_SEED), runs: Number(MODEL_RUNS ?? 1) }];
}

function checkSeed(seed: number, mix: FaultMix): number {
  const schedule = makeSchedule(seed, mix);
  const { violation, settledMs } = runSchedule(schedule);
  assert.equal(violation, undefined, violation && describeFailure(schedule));
  return settledMs;
}

for (const { mix, from, runs } of listRuns()) {
  /** Guards against two owners, lost fencing and units that stay unserved. */
  test(`ownership holds under ${mix} faults`, () => {
    let slowestMs = 0;
    let done = 0;
    for (; done < runs && Date.now() < STOP_AT_MS; done++) {
      slowestMs = Math.max(slowestMs, checkSeed(from + done, mix));
    }
    console.log(
      `${done} ${mix} schedules from seed ${from}, all units served again ` +
        `within ${slowestMs.toFixed(0)} ms`,
    );
  });
}

/** Guards against regressions of faults that the model has found. */
test("regression seeds pass", () => {
  for (const [seed, mix] of REGRESSIONS) checkSeed(seed, mix);
});

/** Guards against nondeterminism: the seed alone must determine the trace. */
test("a schedule reproduces its trace", () => {
  const schedule = makeSchedule(7, FaultMix.Broad);
  assert.deepEqual(
    runSchedule(schedule).lines,
    runSchedule(schedule).lines,
  );
});

const BROKEN_CASES: readonly [string, boolean, string][] = [
  ["holders assume that leases end too early", true, "one lease per unit"],
  ["a claimant does not wait for the authority to end", false, "one sender"],
];

for (const [name, checksOwner, invariant] of BROKEN_CASES) {
  /** Guards against invariant checks that cannot fail. */
  test(`a violation is found when ${name}`, () => {
    const timing = { leaseMarginMs: -400 };
    const seeds = Array.from({ length: 120 }, (_, i) => i + 1);
    const found = seeds.find((seed) => {
      const schedule = makeSchedule(seed, FaultMix.Focused);
      const broken = { ...schedule, checksOwner, timing };
      return runSchedule(broken).violation?.invariant === invariant;
    });
    assert.notEqual(found, undefined);
    console.log(`seed ${found} violates "${invariant}" when ${name}`);
  });
}
