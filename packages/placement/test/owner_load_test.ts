/** Plays overload of one server through many routers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FullBehavior, type OwnerLoad, playOwnerLoad } from "./owner_model.js";

const LOAD: OwnerLoad = {
  seed: 1,
  routers: 9,
  slots: 6,
  queue: 24,
  serviceMs: 160,
  arrivalsPerS: 200,
  durationMs: 10_000,
  onFull: FullBehavior.Reject,
  targetMs: 500,
  deadlineMs: 1_200,
};
/** Like a deployment of hundreds of routers and slower servers. */
const LARGE: Partial<OwnerLoad> = {
  routers: 195,
  slots: 3,
  queue: 12,
  serviceMs: 400,
  arrivalsPerS: 300,
  targetMs: 1_500,
  deadlineMs: 6_000,
};

interface Case {
  readonly pattern: string;
  readonly load: Partial<OwnerLoad>;
}

const CASES: readonly Case[] = [
  { pattern: "a hot key through 9 routers", load: {} },
  {
    pattern: "a hot key on a server that never responds when full",
    load: { onFull: FullBehavior.Hang },
  },
  {
    pattern: "a hot key on a slow server that never responds when full",
    load: { onFull: FullBehavior.Hang, serviceMs: 250 },
  },
  {
    pattern: "a hot key through 61 routers, no response when full",
    load: { onFull: FullBehavior.Hang, routers: 61 },
  },
  { pattern: "a hot key through 195 routers", load: LARGE },
  {
    pattern: "a hot key through 195 routers, no response when full",
    load: { ...LARGE, onFull: FullBehavior.Hang },
  },
  {
    pattern: "half more than the server can process",
    load: { arrivalsPerS: 56 },
  },
];

/** Least share of the server's capacity that answers within the target. */
const MIN_IN_TARGET = 0.6;
/** Most requests without a response, as a share of the server's capacity. */
const MAX_UNANSWERED = 0.3;

for (const { pattern, load } of CASES) {
  for (const seed of [1, 2, 3]) {
    test(`overload: ${pattern}, seed ${seed}`, () => {
      const report = playOwnerLoad({ ...LOAD, ...load, seed });
      console.log(`${pattern}, seed ${seed}: ${JSON.stringify(report)}`);
      assert.ok(report.inTarget >= MIN_IN_TARGET * report.capacity);
      assert.ok(report.unanswered <= MAX_UNANSWERED * report.capacity);
    });
  }
}
