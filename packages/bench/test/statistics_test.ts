import assert from "node:assert/strict";
import { test } from "node:test";
import { computeLine, computeSpread } from "../src/statistics.js";

/** Guards against a slope that depends on the offset of the points. */
test("a line is fitted by least squares", () => {
  const cases = [
    { points: [[2, 7], [4, 11], [6, 15]], slope: 2, intercept: 3 },
    { points: [[0, 0], [1, 3], [2, 0]], slope: 0, intercept: 1 },
  ] as const;
  for (const { points, slope, intercept } of cases) {
    const line = computeLine(points);
    assert.ok(Math.abs(line.slope - slope) < 1e-9);
    assert.ok(Math.abs(line.intercept - intercept) < 1e-9);
  }
});

/** Guards against a median that ignores one of the two middle values. */
test("the spread has the median and the range", () => {
  assert.deepEqual(computeSpread([4, 1, 2, 9]), { median: 3, min: 1, max: 9 });
  assert.deepEqual(computeSpread([5, NaN]), { median: 5, min: 5, max: 5 });
});
