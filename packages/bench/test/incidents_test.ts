import type { UnitId } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computePercentile, computeUnavailability } from "../src/incidents.js";

const KILL = {
  atMs: 1000,
  units: ["s:1", "s:2", "s:3"] as UnitId[],
  probes: new Map<UnitId, number>([["s:1", 500]]),
};

/**
 * Guards against responses of the killed server that arrive after the kill and
 * are counted as the end of the unavailability.
 */
test("only requests after the kill end the unavailability", () => {
  const result = computeUnavailability(KILL, [
    { unit: "s:1", sentMs: 1100, endMs: 1400 },
    { unit: "s:2", sentMs: 990, endMs: 1010 },
    { unit: "s:2", sentMs: 1300, endMs: 1900 },
    { unit: "s:9", sentMs: 1001, endMs: 1002 },
  ]);
  assert.deepEqual(result, {
    units: 3,
    served: 2,
    p50Ms: 400,
    p99Ms: 900,
    maxMs: 900,
  });
});

/** Guards against percentiles that are off by one rank. */
test("percentiles use the nearest rank", () => {
  const values = Array.from({ length: 100 }, (_, i) => 100 - i);
  const cases = [[50, 50], [99, 99], [100, 100], [0, 1]];
  for (const [percent, expected] of cases as [number, number][]) {
    assert.equal(computePercentile(values, percent), expected);
  }
  assert.ok(Number.isNaN(computePercentile([], 50)));
});
