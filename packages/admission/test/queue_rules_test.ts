import { RequestClass } from "@jaytiller/model";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  DecisionKind,
  type QueueItem,
  RunResult,
  ServerQueue,
} from "../src/mod.js";

const SEED = 20_261_204;
const RUNS = 2_000;
const CLASSES = Object.values(RequestClass);
const SLOTS = 3;
const QUEUE_LIMIT = 5;

/** Drives a queue and checks its invariants after each step. */
class InvariantChecker {
  now = 0;
  readonly queue = ServerQueue.create({
    slots: SLOTS,
    queueLimit: QUEUE_LIMIT,
    now: 0,
    slowStartIntervalMs: 50,
  });
  readonly waiting = new Map<string, QueueItem>();
  readonly running = new Map<string, QueueItem>();
  readonly heldUnits = new Set<string>();
  available = true;
  #count = 0;

  offer(item: Omit<QueueItem, "id">): void {
    const id = `i${this.#count++}`;
    const queueItem = { ...item, id, deadlineAt: this.now + item.deadlineAt };
    const decision = this.queue.offer(queueItem, this.now);
    if (decision.kind !== DecisionKind.Refused) this.waiting.set(id, queueItem);
    const ownIds = decision.kind === DecisionKind.Start ? [id] : [];
    this.end(decision.evicted.map((r) => r.id));
    this.start([...decision.started, ...ownIds]);
  }

  /** Removes waiting items; each id may leave the queue only once. */
  end(ids: readonly string[]): void {
    for (const id of ids) assert.ok(this.waiting.delete(id), `${id} unknown`);
  }

  start(ids: readonly string[]): void {
    for (const id of ids) {
      const item = this.waiting.get(id);
      assert.ok(item, `${id} started without waiting`);
      this.waiting.delete(id);
      this.running.set(id, item);
      assert.ok(item.deadlineAt > this.now, `${id} started after its deadline`);
      assert.ok(!this.heldUnits.has(item.unit), `${id} started in a held unit`);
      assert.ok(this.available, `${id} started on an unavailable server`);
    }
    if (ids.length > 0) this.#checkRunning(ids);
  }

  #checkRunning(started: readonly string[]): void {
    const items = [...this.running.values()];
    const slots = this.queue.countSlots(this.now);
    assert.ok(items.length <= slots, "more running items than slots");
    const bulk = items.filter((i) => i.class === RequestClass.Bulk);
    assert.ok(
      !bulk.some((i) => started.includes(i.id)) ||
        bulk.length <= Math.max(1, slots - 1),
      "bulk items use every slot",
    );
    const alone = items.some((i) => i.alone);
    assert.ok(
      !alone || items.length === 1,
      "an item that must run alone runs beside others",
    );
  }

  /** Checks the sizes and that a slot is idle only if no item may use it. */
  checkInvariants(): void {
    this.start(this.queue.startReady(this.now));
    this.end(this.queue.expire(this.now));
    assert.equal(this.queue.queued, this.waiting.size);
    assert.equal(this.queue.running, this.running.size);
    assert.ok(this.waiting.size <= QUEUE_LIMIT);
    if (!this.available) return;
    const slots = this.queue.countSlots(this.now);
    const idle = this.running.size < slots &&
      ![...this.running.values()].some((i) => i.alone);
    const ready = [...this.waiting.values()].filter((i) =>
      !this.heldUnits.has(i.unit)
    );
    const hasNonBulk = ready.some((i) => i.class !== RequestClass.Bulk);
    const isDraining = this.running.size > 0 && ready.some((i) => i.alone);
    assert.ok(!idle || !hasNonBulk || isDraining, "a slot is idle");
    if (this.running.size === 0) assert.equal(ready.length, 0);
  }
}

type Step = (c: InvariantChecker) => void;

function pickId(items: ReadonlyMap<string, QueueItem>, n: number): string {
  return [...items.keys()][n % Math.max(1, items.size)] ?? "none";
}

const units = fc.constantFrom("s:1", "s:2", "k:a");

const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      class: fc.constantFrom(...CLASSES),
      deadlineAt: fc.integer({ min: -5, max: 300 }),
      unit: units,
      alone: fc.nat(9).map((n) => n === 0),
    }).map((item) => (c: InvariantChecker) => c.offer(item)),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(fc.nat(9), fc.constantFrom(...Object.values(RunResult)))
      .map(([n, result]) => (c: InvariantChecker) => {
        const id = pickId(c.running, n);
        c.running.delete(id);
        c.start(c.queue.finish(id, { now: c.now, result }));
      }),
  },
  {
    weight: 3,
    arbitrary: fc.nat(60).map((ms) => (c: InvariantChecker) =>
      void (c.now += ms)
    ),
  },
  {
    weight: 1,
    arbitrary: fc.nat(9).map((n) => (c: InvariantChecker) => {
      const id = pickId(c.waiting, n);
      c.waiting.delete(id);
      c.start(c.queue.cancel(id, c.now));
    }),
  },
  {
    weight: 1,
    arbitrary: units.map((unit) => (c: InvariantChecker) => {
      c.heldUnits.add(unit);
      c.queue.holdUnit(unit);
    }),
  },
  {
    weight: 2,
    arbitrary: units.map((unit) => (c: InvariantChecker) => {
      c.heldUnits.delete(unit);
      c.start(c.queue.releaseUnit(unit, c.now));
    }),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map((flag) => (c: InvariantChecker) => {
      c.available = flag;
      c.start(c.queue.setAvailable(flag, c.now));
    }),
  },
  {
    weight: 1,
    arbitrary: units.map((unit) => (c: InvariantChecker) => {
      c.end(c.queue.takeUnit(unit));
    }),
  },
);

/** Guards against items that get lost, run twice or overload the server. */
test("queue invariants hold for any sequence of calls", () => {
  console.log(`seed ${SEED}, ${RUNS} runs`);
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 60, size: "max" }), (list) => {
      const checker = new InvariantChecker();
      for (const step of list) {
        step(checker);
        checker.checkInvariants();
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
