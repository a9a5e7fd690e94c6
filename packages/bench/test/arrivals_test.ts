import { createRandom } from "@jaytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { findPhase, makeArrivals, Phase } from "../src/arrivals.js";

const SEED = 7;
const SPANS = [
  { phase: Phase.Before, fromMs: 0, toMs: 40_000, perSecond: 50 },
  { phase: Phase.Crest, fromMs: 40_000, toMs: 50_000, perSecond: 400 },
  { phase: Phase.After, fromMs: 50_000, toMs: 60_000, perSecond: 0 },
];

/** Guards against a span that is generated with the rate of another one. */
test("arrivals have the rate of each span", () => {
  console.log(`seed ${SEED}`);
  const times = makeArrivals(SPANS, createRandom(SEED));
  const cases = [[Phase.Before, 2000], [Phase.Crest, 4000], [Phase.After, 0]];
  for (const [phase, expected] of cases as [Phase, number][]) {
    const found = times.filter((t) => findPhase(SPANS, t) === phase).length;
    // Five standard deviations of a Poisson count.
    assert.ok(Math.abs(found - expected) <= 5 * Math.sqrt(expected), phase);
  }
  assert.deepEqual(times, [...times].sort((a, b) => a - b));
});

/** Guards against constant gaps between arrivals, which hide queueing. */
test("gaps are exponentially distributed", () => {
  const times = makeArrivals(SPANS.slice(0, 1), createRandom(SEED));
  const gaps = times.slice(1).map((t, i) => t - times[i]!);
  const mean = gaps.reduce((a, b) => a + b, 0) / gaps.length;
  const above = gaps.filter((g) => g > 2 * mean).length / gaps.length;
  assert.ok(Math.abs(above - Math.exp(-2)) < 0.04, `share ${above}`);
});
