/** Retries of all routers together, while servers reject requests. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../src/mod.js";

const ALLOWANCE = { ratio: 0.2, burst: 60, windowMs: 10_000 };
const DURATION_MS = 60_000;
const STEP_MS = 5;
/** Share of the proportional allowance that a long fault has to make use of. */
const MIN_USED_SHARE = 0.75;

interface LoadCase {
  readonly title: string;
  readonly routers: number;
  /** Relative number of requests at a time. */
  readonly getLoad: (nowMs: number) => number;
  /** Returns whether servers reject a request at a time. */
  readonly isRejected: (nowMs: number, random: number) => boolean;
  /** Times at which routers restart, and how many of them do. */
  readonly restarts: readonly { atMs: number; routers: number }[];
}

const LOAD_CASES: readonly LoadCase[] = [
  {
    title: "half of the requests are rejected for a minute",
    routers: 9,
    getLoad: () => 1,
    isRejected: (_, random) => random < 0.55,
    restarts: [],
  },
  {
    title: "the load swings, and all requests of some seconds are rejected",
    routers: 9,
    getLoad: (nowMs) => 1 + 0.55 * Math.sin(nowMs / 2_000),
    isRejected: (nowMs) => nowMs % 15_000 > 9_000,
    restarts: [],
  },
  {
    title: "routers restart in turn while half of the requests are rejected",
    routers: 9,
    getLoad: () => 1,
    isRejected: (_, random) => random < 0.55,
    restarts: [20_000, 21_400, 22_800, 24_200, 25_600].map((atMs) => ({
      atMs,
      routers: 1,
    })),
  },
  {
    title: "all routers restart while half of the requests are rejected",
    routers: 61,
    getLoad: () => 1,
    isRejected: (_, random) => random < 0.55,
    restarts: [{ atMs: 30_000, routers: 61 }],
  },
];

for (const load of LOAD_CASES) {
  test(`retries stay within the allowance: ${load.title}`, () => {
    const { requests, retries } = runLoad(load);
    for (let second = 10; second <= DURATION_MS / 1_000; second++) {
      const spent = sum(retries, second - 10, second);
      const counted = Math.max(
        sum(requests, second - 10, second),
        sum(requests, second - 15, second - 5),
        sum(requests, second - 20, second - 10),
      );
      const allowed = ALLOWANCE.ratio * counted + ALLOWANCE.burst;
      assert.ok(spent <= allowed, `${spent} of ${allowed} at ${second} s`);
    }
  });
}

test("a long fault uses most of the allowance", () => {
  const { requests, retries } = runLoad(LOAD_CASES[0]!);
  const share = sum(retries, 20, 60) /
    (ALLOWANCE.ratio * sum(requests, 20, 60));
  assert.ok(share >= MIN_USED_SHARE, `${share}`);
});

/** Returns requests and retries of each second. */
function runLoad(load: LoadCase): { requests: number[]; retries: number[] } {
  const random = createRandom(7);
  const budgets = Array.from(
    { length: load.routers },
    () => RetryBudget.create(ALLOWANCE),
  );
  const seconds = DURATION_MS / 1_000;
  const requests = Array<number>(seconds).fill(0);
  const retries = Array<number>(seconds).fill(0);
  let due = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const restart of load.restarts) {
      if (restart.atMs !== nowMs) continue;
      for (let i = 0; i < restart.routers; i++) {
        budgets.push(RetryBudget.create(ALLOWANCE));
        budgets.shift();
      }
    }
    const second = Math.floor(nowMs / 1_000);
    for (due += 2 * load.getLoad(nowMs); due >= 1; due--) {
      const budget = budgets[Math.floor(random() * budgets.length)]!;
      budget.countRequest(nowMs);
      requests[second]! += 1;
      if (!load.isRejected(nowMs, random())) continue;
      if (budget.tryConsume(nowMs, load.routers)) retries[second]! += 1;
    }
  }
  return { requests, retries };
}

function sum(values: readonly number[], from: number, to: number): number {
  return values.slice(Math.max(0, from), Math.max(0, to))
    .reduce((total, value) => total + value, 0);
}

/** Linear congruential generator, from 0 to less than 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => (state = (state * 1_103_515_245 + 12_345) % 2 ** 31) / 2 ** 31;
}
