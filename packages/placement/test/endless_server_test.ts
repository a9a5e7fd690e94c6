/** When a server is used again that has sent bytes without end. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ExchangeOutcome, ServerStats } from "../src/mod.js";

const LONG_MS = 60_000;

interface ProbeCase {
  readonly outcome: ExchangeOutcome;
  readonly isProbed: boolean;
}

const PROBE_CASES: readonly ProbeCase[] = [
  { outcome: ExchangeOutcome.Endless, isProbed: true },
  { outcome: ExchangeOutcome.Unreachable, isProbed: false },
];

// Guards against a herd of requests that each get bytes without end whenever
// the time is over for which their server is avoided.
for (const { outcome, isProbed } of PROBE_CASES) {
  test(`a server after ${outcome} gets requests ${isProbed ? "one by one" : "again"}`, () => {
    const stats = new ServerStats();
    stats.begin(1);
    stats.end(outcome, { nowMs: 0 });
    assert.ok(stats.isUnreachable(1), "avoided at once");
    assert.ok(!stats.isUnreachable(LONG_MS), "tried again");
    stats.begin(1);
    assert.equal(stats.isUnreachable(LONG_MS), isProbed, "one in flight");
    stats.end(ExchangeOutcome.Answer, { nowMs: LONG_MS, latencyMs: 10 });
    stats.begin(1);
    assert.ok(!stats.isUnreachable(LONG_MS + 1), "it has answered");
  });
}
