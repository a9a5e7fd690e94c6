import assert from "node:assert/strict";
import { test } from "node:test";
import { Kernel, LifeCycle, type Service } from "../src/mod.js";

/** Returns a service that records its starts and stops in `calls`. */
function makeRecordingService(name: string, calls: string[]): Service {
  return {
    start: () => void calls.push(`start ${name}`),
    stop: () => void calls.push(`stop ${name}`),
  };
}

/** Guards against a service that starts before its dependencies. */
test("dependencies start first and stop last", async () => {
  const calls: string[] = [];
  const kernel = Kernel.create();
  kernel.register("entry", (k) => {
    k.get("peers");
    return makeRecordingService("entry", calls);
  });
  kernel.register("peers", () => makeRecordingService("peers", calls));
  await kernel.start();
  assert.deepEqual(await kernel.stop({ timeoutMs: 1_000 }), []);
  assert.deepEqual(calls, [
    "start peers",
    "start entry",
    "stop entry",
    "stop peers",
  ]);
  assert.equal(kernel.get("entry"), kernel.get("entry"));
});

/**
 * Guards against lookup errors that name neither the service nor the service
 * that depends on it.
 */
test("errors name missing, duplicate and circular services", () => {
  const cases: [(k: Kernel) => void, RegExp][] = [
    [
      (k) => {
        k.register("a", () => k.get("b"));
        k.get("a");
      },
      /"b" is not registered, needed by "a"; registered are a$/,
    ],
    [(k) => k.get("a"), /"a" is not registered; registered are none/],
    [(k) => {
      k.register("a", () => k.get("b"));
      k.register("b", () => k.get("a"));
      k.get("a");
    }, /need each other: a -> b -> a/],
    [(k) => {
      k.register("a", () => ({}));
      k.register("a", () => ({}));
    }, /"a" is registered twice/],
  ];
  for (const [run, expected] of cases) {
    assert.throws(() => run(Kernel.create()), expected);
  }
});

/** Guards against services that keep running after a failed startup. */
test("a failed startup stops the services that have started", async () => {
  const calls: string[] = [];
  const life = LifeCycle.create();
  life.add("a", makeRecordingService("a", calls));
  life.add("b", { start: () => Promise.reject(new Error("no port")) });
  life.add("c", makeRecordingService("c", calls));
  await assert.rejects(life.startAll(), /no port/);
  assert.deepEqual(calls, ["start a", "stop a"]);
});

/**
 * Guards against services that are not stopped because the stop of another one
 * hangs or fails.
 */
test("failed and hanging stops are reported and the rest still stops", async () => {
  const calls: string[] = [];
  const life = LifeCycle.create();
  life.add("a", makeRecordingService("a", calls));
  life.add("b", { stop: () => new Promise(() => {}) });
  life.add("c", { stop: () => Promise.reject(new Error("broken")) });
  await life.startAll();
  const findings = await life.stopAll({ timeoutMs: 20 });
  assert.deepEqual(findings.map((f) => [f.path, f.message]), [
    ["c", "The stop failed"],
    ["b", "The stop took longer than 20 ms"],
  ]);
  assert.deepEqual(calls, ["start a", "stop a"]);
});

/** Guards against a service that starts after `stopAll` has been called. */
test("a stop during startup waits, then stops what was started", async () => {
  const calls: string[] = [];
  const life = LifeCycle.create();
  let finish = () => {};
  life.add("a", {
    start: () => new Promise<void>((resolve) => finish = resolve),
    stop: () => void calls.push("stop a"),
  });
  life.add("b", makeRecordingService("b", calls));
  const started = assert.rejects(life.startAll(), /Stopped before/);
  const stopped = life.stopAll({ timeoutMs: 1_000 });
  finish();
  await started;
  assert.deepEqual(await stopped, []);
  assert.deepEqual(calls, ["stop a"]);
});
