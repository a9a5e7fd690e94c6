import { Reason, RequestClass } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type AdmissionQueue,
  DecisionKind,
  FifoQueue,
  type QueueItem,
  RunResult,
  ServerQueue,
} from "../src/mod.js";

const { Urgent, Normal, Bulk } = RequestClass;

/** Makes an item: urgent if the id begins with `u`, bulk if with `b`. */
function makeItem(id: string, options: Partial<QueueItem> = {}): QueueItem {
  const cls = id.startsWith("u") ? Urgent : id.startsWith("b") ? Bulk : Normal;
  return { id, class: cls, deadlineAt: 10_000, unit: "s:1", ...options };
}

function makeQueue(slots: number, queueLimit = 100): ServerQueue {
  return ServerQueue.create({
    slots,
    queueLimit,
    now: 0,
    slowStartIntervalMs: 0,
  });
}

/** Finishes running items one by one and returns the order of their starts. */
function drain(queue: AdmissionQueue, now: number, first: string[]): string[] {
  const order = [...first];
  for (let i = 0; i < order.length; i++) {
    const end = { now, result: RunResult.NotRun };
    order.push(...queue.finish(order[i]!, end));
  }
  return order;
}

/** Guards against urgent items that wait behind less urgent ones. */
test("items start by class, then deadline, then arrival", () => {
  const queue = makeQueue(1);
  queue.offer(makeItem("first"), 0);
  const late = { deadlineAt: 20_000 };
  for (const id of ["b1", "n2", "u3"]) queue.offer(makeItem(id, late), 0);
  for (const id of ["b4", "n5", "n6", "u7"]) queue.offer(makeItem(id), 0);
  const order = drain(queue, 1, ["first"]);
  assert.deepEqual(order, ["first", "u7", "u3", "n5", "n6", "n2", "b4", "b1"]);
});

/** Guards against bulk work that occupies every slot of a server. */
test("bulk work leaves one slot unless there is only one", () => {
  for (const [slots, expected] of [[1, 1], [2, 1], [3, 2]] as const) {
    const queue = makeQueue(slots);
    for (let n = 0; n < 5; n++) queue.offer(makeItem(`b${n}`), 0);
    assert.equal(queue.running, expected, `${slots} slots`);
    queue.offer(makeItem("n"), 0);
    assert.equal(queue.running, slots, `${slots} slots and normal work`);
  }
});

/** Guards against queueing an item that can't start before its deadline. */
test("an item that can't start before its deadline is refused at once", () => {
  const queue = makeQueue(2);
  for (const id of ["a", "b"]) queue.offer(makeItem(id, { class: Normal }), 0);
  queue.finish("a", { now: 100, result: RunResult.Served });
  queue.offer(makeItem("c"), 100);
  queue.offer(makeItem("d", { deadlineAt: 120 }), 100);
  // Each run takes 100 ms: `b` finishes at 100, then `d` starts; `c` finishes
  // at 200.
  const cases: [string, RequestClass, number, DecisionKind][] = [
    ["n1", Normal, 199, DecisionKind.Refused],
    ["n2", Normal, 200, DecisionKind.Queued],
    ["before d", Normal, 110, DecisionKind.Queued],
    ["expired", Normal, 100, DecisionKind.Refused],
    ["u5", Urgent, 101, DecisionKind.Queued],
    ["b6", Bulk, 199, DecisionKind.Refused],
  ];
  for (const [id, cls, deadlineAt, kind] of cases) {
    const item = makeItem(id, { class: cls, deadlineAt });
    const decision = queue.offer(item, 100);
    assert.equal(decision.kind, kind, id);
    if (decision.kind !== DecisionKind.Refused) queue.cancel(id, 100);
    else assert.equal(decision.reason, Reason.Overloaded);
  }
  const refused = queue.offer(makeItem("n7", { deadlineAt: 170 }), 100);
  assert.ok(refused.kind === DecisionKind.Refused);
  assert.equal(refused.retryAfterMs, 30);
});

/** Guards against an estimate that counts a refusal as a fast response. */
test("only complete responses and slow failures change the estimate", () => {
  const cases: [string, [RunResult, number][], number][] = [
    ["served", [[RunResult.Served, 100]], 100],
    ["moving average", [[RunResult.Served, 100], [RunResult.Served, 200]], 120],
    ["refused", [[RunResult.Served, 100], [RunResult.Shed, 1]], 100],
    ["not run", [[RunResult.Served, 100], [RunResult.NotRun, 1]], 100],
    ["quick failure", [[RunResult.Served, 100], [RunResult.Failed, 1]], 100],
    ["slow failure", [[RunResult.Served, 100], [RunResult.Failed, 600]], 200],
  ];
  for (const [name, runs, expected] of cases) {
    const queue = makeQueue(1);
    for (const [i, [result, ms]] of runs.entries()) {
      queue.offer(makeItem(`n${i}`), 0);
      queue.finish(`n${i}`, { now: ms, result });
    }
    queue.offer(makeItem("last"), 1_000);
    assert.equal(queue.estimateWaitMs(makeItem("x"), 1_000), expected, name);
  }
});

/** Guards against a queue full of bulk items that blocks urgent ones. */
test("a full queue evicts the least urgent item", () => {
  const queue = makeQueue(1, 2);
  queue.offer(makeItem("running"), 0);
  queue.offer(makeItem("b1", { deadlineAt: 500 }), 0);
  queue.offer(makeItem("b2", { deadlineAt: 400 }), 0);
  const cases: [QueueItem, DecisionKind, string[]][] = [
    [makeItem("b3", { deadlineAt: 600 }), DecisionKind.Refused, []],
    [makeItem("n4"), DecisionKind.Queued, ["b1"]],
    [makeItem("u5"), DecisionKind.Queued, ["b2"]],
    [makeItem("n6", { deadlineAt: 300 }), DecisionKind.Queued, ["n4"]],
    [makeItem("b7"), DecisionKind.Refused, []],
  ];
  for (const [item, kind, displaced] of cases) {
    const decision = queue.offer(item, 0);
    assert.equal(decision.kind, kind, item.id);
    assert.deepEqual(decision.evicted.map((r) => r.id), displaced, item.id);
    assert.equal(queue.queued, 2);
  }
});

/** Guards against sending full load to a server that has just started. */
test("slow start adds slots one at a time", () => {
  const queue = ServerQueue.create({ slots: 3, queueLimit: 9, now: 1_000 });
  for (const id of ["n1", "n2", "n3", "n4"]) queue.offer(makeItem(id), 1_000);
  assert.equal(queue.running, 1);
  assert.deepEqual(queue.startReady(1_499), []);
  assert.equal(queue.getWakeTime(1_499), 1_500);
  assert.deepEqual(queue.startReady(1_500), ["n2"]);
  assert.deepEqual(queue.startReady(2_000), ["n3"]);
  assert.deepEqual(queue.startReady(9_000), []);
  queue.restartSlowStart(9_000);
  assert.deepEqual(
    queue.finish("n1", { now: 9_001, result: RunResult.Served }),
    [],
  );
});

/** Guards against sending full load to a server that sheds requests. */
test("a shed request removes a slot for 200 ms, but never the last", () => {
  const queue = makeQueue(3);
  for (let n = 0; n < 6; n++) queue.offer(makeItem(`n${n}`), 0);
  assert.deepEqual(queue.finish("n0", { now: 0, result: RunResult.Shed }), []);
  assert.equal(queue.countSlots(0), 2);
  assert.deepEqual(queue.finish("n1", { now: 50, result: RunResult.Shed }), []);
  assert.deepEqual(queue.finish("n2", { now: 60, result: RunResult.Shed }), [
    "n3",
  ]);
  assert.equal(queue.countSlots(60), 1);
  assert.equal(queue.getWakeTime(60), 250);
  assert.deepEqual(queue.startReady(250), ["n4"]);
  assert.deepEqual(queue.startReady(260), ["n5"]);
});

/** Guards against a suspect whose crash fails other requests, too. */
test("an item that must run alone starts only on an idle server", () => {
  const queue = makeQueue(2);
  queue.offer(makeItem("n1"), 0);
  queue.offer(makeItem("n2", { alone: true, deadlineAt: 500 }), 0);
  queue.offer(makeItem("n3"), 0);
  assert.equal(queue.running, 1);
  const urgent = queue.offer(makeItem("u4"), 0);
  assert.equal(urgent.kind, DecisionKind.Start);
  const end = { now: 1, result: RunResult.Served };
  assert.deepEqual(queue.finish("n1", end), []);
  assert.deepEqual(queue.finish("u4", end), ["n2"]);
  assert.equal(queue.offer(makeItem("u5"), 1).kind, DecisionKind.Queued);
  assert.deepEqual(queue.finish("n2", end), ["u5", "n3"]);
});

/** Guards against starts while a unit moves or a server is unavailable. */
test("nothing starts for a held unit or an unavailable server", () => {
  const queues: AdmissionQueue[] = [
    makeQueue(2),
    FifoQueue.create({ slots: 2 }),
  ];
  for (const queue of queues) {
    queue.holdUnit("s:1");
    assert.equal(queue.offer(makeItem("n1"), 0).kind, DecisionKind.Queued);
    const other = makeItem("n2", { unit: "s:2" });
    assert.equal(queue.offer(other, 0).kind, DecisionKind.Start);
    assert.equal(queue.countInFlight("s:1"), 0);
    assert.equal(queue.countInFlight("s:2"), 1);
    assert.deepEqual(queue.releaseUnit("s:1", 0), ["n1"]);
    queue.setAvailable(false, 0);
    queue.finish("n1", { now: 1, result: RunResult.Served });
    queue.offer(makeItem("n3"), 1);
    queue.offer(makeItem("n4", { unit: "s:2" }), 1);
    assert.equal(queue.running, 1);
    assert.deepEqual(queue.takeUnit("s:2"), ["n4"]);
    assert.deepEqual(queue.setAvailable(true, 2), ["n3"]);
    queue.offer(makeItem("n5"), 2);
    assert.deepEqual(queue.takeAll(), ["n5"]);
    assert.equal(queue.queued, 0);
    assert.equal(queue.running, 2);
  }
});

/** Guards against items that start after their deadline or get lost. */
test("expired items are returned once and do not start", () => {
  const queues: AdmissionQueue[] = [
    makeQueue(1),
    FifoQueue.create({ slots: 1 }),
  ];
  for (const queue of queues) {
    queue.offer(makeItem("n1"), 0);
    queue.offer(makeItem("n2", { deadlineAt: 50 }), 0);
    queue.holdUnit("s:9");
    queue.offer(makeItem("n3", { deadlineAt: 50, unit: "s:9" }), 0);
    queue.offer(makeItem("n4"), 0);
    assert.equal(queue.getWakeTime(0), 50);
    const end = { now: 50, result: RunResult.Served };
    assert.deepEqual(queue.finish("n1", end), ["n4"]);
    assert.deepEqual(queue.expire(50), ["n2", "n3"]);
    assert.deepEqual(queue.expire(50), []);
    assert.throws(() => queue.offer(makeItem("n4"), 50), RangeError);
  }
});
