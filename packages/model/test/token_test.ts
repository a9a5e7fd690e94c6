import assert from "node:assert/strict";
import { test } from "node:test";
import { formatUuid7, HybridClock, parseUuid7Ms, Token } from "../src/mod.js";

/** Guards against accepting a stale token as current. */
test("tokens order by term, then by ballot", () => {
  const cases: [string, string, number][] = [
    ["1.0", "2.0", -1],
    ["2.0", "1.9", 1],
    ["2.1", "2.0", 1],
    ["2.1", "2.1", 0],
    ["-1.0", "0.0", -1],
  ];
  for (const [a, b, sign] of cases) {
    const order = Token.parse(a)!.compare(Token.parse(b)!);
    assert.equal(Math.sign(order), sign, `${a} and ${b}`);
  }
});

/** Guards against accepting malformed tokens. */
test("malformed tokens are not parsed", () => {
  for (const text of ["", "1", "1.", ".1", "1.0.0", "1e3.0", "1.-1", " 1.0"]) {
    assert.equal(Token.parse(text), undefined, text);
  }
});

/** Guards against a clock that goes back or adopts a peer's broken clock. */
test("the hybrid clock is monotonic and ignores timestamps far ahead", () => {
  const clock = HybridClock.create("a");
  const first = clock.issue(1_700_000_000_000);
  clock.observe("1700000000500.000003.b", 1_700_000_000_001);
  const second = clock.issue(1_700_000_000_002);
  assert.ok(second > "1700000000500.000003.b");
  assert.ok(second > first);
  clock.observe("9999999999999.000000.b", 1_700_000_000_003);
  assert.ok(clock.issue(1_700_000_000_004) < "1700000001000");
});

/** Guards against a wrong timestamp of an identity. */
test("a UUIDv7 contains its timestamp", () => {
  const id = formatUuid7(1_700_000_000_123, new Uint8Array(10).fill(0xab));
  assert.equal(parseUuid7Ms(id), 1_700_000_000_123);
  assert.equal(parseUuid7Ms(id.replace("-7", "-4")), undefined);
});
