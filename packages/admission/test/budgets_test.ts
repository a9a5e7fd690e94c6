import assert from "node:assert/strict";
import { test } from "node:test";
import { PoisonTracker, RetryBudget } from "../src/mod.js";

/** Guards against retry storms: retries that multiply the load on a server. */
test("retries are limited to a share of the requests", () => {
  const cases: [number, number, number, number][] = [
    // ratio, burst, requests, retries allowed
    [0.1, 3, 0, 3],
    [0.1, 3, 1_000, 3],
    [0.3, 3, 0, 3],
    [0, 3, 100, 0],
  ];
  for (const [ratio, burst, requests, allowed] of cases) {
    const budget = RetryBudget.create({ ratio, burst });
    for (let n = 0; n < requests; n++) budget.deposit();
    let retries = 0;
    while (retries < 100 && budget.withdraw()) retries += 1;
    assert.equal(retries, allowed, `${ratio}, ${burst}, ${requests}`);
  }
  const budget = RetryBudget.create({ ratio: 0.1, burst: 1 });
  let retries = 0;
  for (let n = 0; n < 1_000; n++) {
    budget.deposit();
    if (budget.withdraw()) retries += 1;
  }
  assert.equal(retries, 100);
});

/**
 * Guards against refusing harmless requests: of several requests in flight at a
 * crash, any one may have caused it.
 */
test("a request counts as poison only if it ran alone at a crash", () => {
  const cases: [string, string[][], string[]][] = [
    ["alone twice", [["a"], ["a"]], ["a"]],
    ["with others, then alone", [["a", "b"], ["a"]], ["a"]],
    ["twice with others", [["a", "b"], ["a", "b"], ["a", "c"]], []],
    ["two copies of one request", [["a", "a"], ["a", "a"]], ["a"]],
    ["alone once", [["a"], ["b"]], []],
    ["idle", [[], []], []],
  ];
  for (const [name, crashes, expected] of cases) {
    const tracker = PoisonTracker.create({ limit: 2, capacity: 10 });
    const listed = crashes.flatMap((c) => tracker.recordCrash(c).poisoned);
    assert.deepEqual(listed, expected, name);
  }
});

/** Guards against suspects that run beside others, or stay suspects forever. */
test("a suspect runs alone until it gets a response", () => {
  const tracker = PoisonTracker.create({ limit: 2, capacity: 2 });
  assert.equal(tracker.recordStart("a"), false);
  assert.deepEqual(tracker.recordCrash(["a", "b"]).suspected, ["a", "b"]);
  assert.equal(tracker.recordStart("a"), true);
  tracker.clear("b");
  assert.equal(tracker.isSuspect("b"), false);
  tracker.recordCrash(["c"]);
  tracker.recordStart("a");
  tracker.recordCrash(["d"]);
  // The least recently used suspect is evicted.
  const suspects = ["a", "c", "d"].filter((f) => tracker.isSuspect(f));
  assert.deepEqual(suspects, ["a", "d"]);
});
