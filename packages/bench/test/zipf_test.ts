import { createRandom } from "@jaytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ZipfKeys } from "../src/zipf.js";

const SEED = 11;
const KEYS = ZipfKeys.create({
  keys: 100,
  exponent: 1,
  moveEveryMs: 1000,
  moveBy: 19,
});

/** Guards against ranks that are selected with wrong probabilities. */
test("ranks have Zipf weights", () => {
  console.log(`seed ${SEED}`);
  const random = createRandom(SEED);
  const counts = new Array<number>(100).fill(0);
  const draws = 50_000;
  for (let i = 0; i < draws; i++) {
    const rank = KEYS.resolveRank(random());
    counts[rank] = counts[rank]! + 1;
  }
  let harmonic = 0;
  for (let r = 1; r <= 100; r++) harmonic += 1 / r;
  for (const rank of [0, 1, 9, 99]) {
    const expected = draws / (rank + 1) / harmonic;
    const error = Math.abs(counts[rank]! - expected);
    assert.ok(
      error <= 5 * Math.sqrt(expected),
      `rank ${rank}: ${counts[rank]}`,
    );
  }
});

/** Guards against hot keys that never change and against invalid keys. */
test("the hottest key changes and stays in range", () => {
  const cases = [
    { uniform: 0, atMs: 999, key: 0 },
    { uniform: 0, atMs: 1000, key: 19 },
    { uniform: 0, atMs: 6000, key: 14 },
    { uniform: 0.999999999, atMs: 0, key: 99 },
  ];
  for (const { uniform, atMs, key } of cases) {
    assert.equal(KEYS.resolveKey(uniform, atMs), key);
  }
});
