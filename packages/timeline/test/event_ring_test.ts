import { EventKind, HybridClock, type TimelineEvent } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventRing, formatEvent, mergeEvents } from "../src/mod.js";

const T0 = Date.UTC(2026, 11, 4, 6, 41, 7, 123);

function makeRing(node: string, capacity = 10): [EventRing, HybridClock] {
  const clock = HybridClock.create(node);
  return [EventRing.create({ node, clock, capacity }), clock];
}

const texts = (events: readonly TimelineEvent[]) => events.map((e) => e.text);

/** Guards against a ring that exceeds its capacity or reorders events. */
test("a ring keeps the newest events in order", () => {
  for (const capacity of [0, 1, 3, 5]) {
    const [ring] = makeRing("e1", capacity);
    for (let n = 0; n < 5; n++) {
      ring.add({ kind: EventKind.LogLost, text: `${n}` }, T0);
    }
    const expected = ["0", "1", "2", "3", "4"].slice(5 - capacity);
    assert.deepEqual(texts(ring.list()), expected, `capacity ${capacity}`);
  }
});

/** Guards against reports that miss events or contain unrelated ones. */
test("a filter selects by its fields, time and number", () => {
  const [ring] = makeRing("e1");
  const unit = "s:1" as const;
  ring.add({ kind: EventKind.MoveStarted, unit, text: "a" }, T0);
  ring.add({ kind: EventKind.LogLost, text: "b" }, T0 + 1);
  ring.add({ kind: EventKind.MoveEffective, unit, text: "c" }, T0 + 2);
  const cases: [object, string[]][] = [
    [{}, ["a", "b", "c"]],
    [{ unit }, ["a", "c"]],
    [{ unit, kinds: [EventKind.MoveEffective] }, ["c"]],
    [{ kinds: [] }, []],
    [{ sinceMs: T0 + 1, untilMs: T0 + 1 }, ["b"]],
    [{ limit: 2 }, ["b", "c"]],
    [{ limit: 0 }, []],
    [{ node: "e2" }, []],
    [{ unit: undefined }, ["a", "b", "c"]],
  ];
  for (const [filter, expected] of cases) {
    assert.deepEqual(
      texts(ring.list(filter)),
      expected,
      JSON.stringify(filter),
    );
  }
});

/** Guards against an effect that is listed before its cause. */
test("merged events are in causal order and occur once", () => {
  const [a] = makeRing("e1");
  const [b, clockB] = makeRing("e2");
  const sent = a.add({ kind: EventKind.RequestForwarded, text: "1" }, T0 + 900);
  clockB.observe(sent.hlc, T0);
  b.add({ kind: EventKind.RequestSent, text: "2" }, T0);
  const merged = mergeEvents([b.list(), a.list(), b.list()]);
  assert.deepEqual(texts(merged), ["1", "2"]);
});

/** Guards against a key from a caller that injects lines into a report. */
test("an event is one line without control characters", () => {
  const [ring] = makeRing("e1");
  const event = ring.add({
    kind: EventKind.RequestSent,
    key: "a\nb",
    server: "b1",
    text: "POST\u001b[2J /orders",
  }, T0);
  assert.equal(
    formatEvent(event),
    "2026-12-04 06:41:07.123Z e1 request sent: POST\ufffd[2J /orders " +
      "[key=a\ufffdb server=b1]",
  );
});
