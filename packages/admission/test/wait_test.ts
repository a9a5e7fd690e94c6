import assert from "node:assert/strict";
import { test } from "node:test";
import { computeWaitMs } from "../src/wait.js";

/** Guards against refusing work that could start in time, and the reverse. */
test("an item waits until the work ahead of it has been served", () => {
  const cases: [string, number[], number, number, number][] = [
    // name, remaining, work ahead, slots, wait
    ["idle", [], 0, 2, 0],
    ["a free slot", [50], 0, 2, 0],
    ["work ahead fills the free slot", [50], 40, 2, 40],
    ["first request to finish", [30, 10], 0, 2, 10],
    ["work ahead on one slot", [30, 10], 15, 2, 25],
    ["work ahead on both slots", [30, 10], 40, 2, 40],
    ["work ahead on three slots", [30, 20, 10], 60, 3, 40],
    ["more requests than slots", [30, 10], 0, 1, 30],
  ];
  for (const [name, remaining, ahead, slots, wait] of cases) {
    assert.equal(computeWaitMs(remaining, { ahead, slots }), wait, name);
  }
});
