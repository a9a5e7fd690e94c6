import type { ExecutionRecord } from "@jaytiller/model";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { makeReport, readExecutions } from "../src/mod.js";
import type { Child } from "../src/mod.js";
import {
  classifyOutcome,
  createGate,
  formatUrl,
  type HttpResponse,
  postJson,
  sendHttp,
  startStandIn,
  TestHolder,
  waitFor,
  withLauncher,
} from "./support.js";

interface ServerFixture {
  readonly child: Child;
  readonly holder: TestHolder;
  readonly recordsFile: string;
  control(change: object): Promise<unknown>;
  /** Waits for an execution record in which `key` is not null. */
  waitRecord(key: keyof ExecutionRecord): Promise<ExecutionRecord>;
}

/** Runs `body` with a backend server to which unit `s:1` is granted. */
function withServer(
  options: object,
  body: (fixture: ServerFixture) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "backend-"));
  const recordsFile = join(folder, "records.jsonl");
  return withLauncher(async (launcher) => {
    const child = await startStandIn(launcher, "backend_server", {
      recordsFile,
      ...options,
    });
    const holder = new TestHolder(formatUrl(child));
    await holder.open();
    const url = `http://127.0.0.1:${child.ready.controlPort}/control`;
    await body({
      child,
      holder,
      recordsFile,
      control: (change) => postJson(url, change),
      waitRecord: (key) =>
        waitFor(() => readExecutions(recordsFile).find((r) => r[key] !== null)),
    });
  }).finally(() => rmSync(folder, { recursive: true, force: true }));
}

function assertRejected(answer: HttpResponse, status: number): void {
  assert.deepEqual(
    [
      answer.status,
      answer.headers["x-not-run"],
      answer.headers["x-request-id"],
    ],
    [status, "1", "r1"],
  );
  assert.equal(typeof JSON.parse(answer.text).error, "string");
}

const REJECTIONS = [
  { name: "token", headers: { "x-owner-token": "4.0" }, status: 409 },
  { name: "higher token", headers: { "x-owner-token": "6.0" }, status: 409 },
  { name: "unit", headers: { "x-owner-unit": "s:2" }, status: 409 },
  { name: "deadline", headers: { "x-deadline-unix-ms": "1000" }, status: 503 },
] as const;

/** Guards against rejected work that runs or lacks the not-run header. */
test("rejected requests are not executed", () =>
  withServer({}, async ({ holder, recordsFile, waitRecord }) => {
    for (const { headers, status } of REJECTIONS) {
      assertRejected(await holder.work("/orders/k1", { headers }), status);
    }
    await holder.grant({ leaseMs: 0 });
    assertRejected(await holder.work(), 503);
    assert.deepEqual(readExecutions(recordsFile), []);
    await holder.grant();
    assert.equal((await holder.work("/orders/k1", { body: "x" })).status, 200);
    // The end is recorded after the response is sent.
    const record = await waitRecord("endMs");
    assert.deepEqual(
      [record.key, record.unit, record.token, record.bodyBytes],
      ["k1", "s:1", "5.0", 1],
    );
    assert.ok(record.startMs <= record.effectMs!);
    assert.ok(record.effectMs! <= record.endMs!);
  }));

const WITHDRAWALS = [
  { name: "lease", grant: { leaseMs: 0 }, status: 503 },
  { name: "unit", grant: { units: [] }, status: 409 },
  {
    name: "new token without the unit",
    grant: { token: "6.0", basis: null, units: [] },
    status: 409,
  },
] as const;

/**
 * Guards against work that takes effect although the lease, unit or deadline
 * was lost after its start.
 */
test("ownership and deadline are checked before the effect", async (t) => {
  for (const { name, grant, status } of WITHDRAWALS) {
    await t.test(name, () =>
      withServer({}, async ({ holder, waitRecord }) => {
        const gate = createGate();
        const work = holder.work("/orders/k1", { endBodyAfter: gate.opened });
        await waitRecord("startMs");
        await holder.grant(grant);
        gate.open();
        assertRejected(await work, status);
        assert.equal((await waitRecord("endMs")).effectMs, null);
      }));
  }
  await t.test("deadline", () =>
    withServer({}, async ({ holder, waitRecord }) => {
      const deadline = Date.now() + 1000;
      const headers = { "x-deadline-unix-ms": String(deadline) };
      const gate = createGate();
      const endBodyAfter = gate.opened;
      const work = holder.work("/orders/k1", { headers, endBodyAfter });
      await waitRecord("startMs");
      await waitFor(() => Date.now() > deadline || undefined);
      gate.open();
      assertRejected(await work, 503);
      assert.equal((await waitRecord("endMs")).effectMs, null);
    }));
});

/**
 * Guards against a lease that is extended by a grant which a suspended server
 * reads after the lease has expired.
 */
test("a grant that is read late does not extend the lease", () =>
  withServer({}, async ({ child, holder }) => {
    await holder.grant({ leaseMs: 300 });
    child.kill("SIGSTOP");
    const renewal = holder.grant({ leaseMs: 300 });
    const work = holder.work();
    await new Promise((resolve) => setTimeout(resolve, 400));
    child.kill("SIGCONT");
    assert.equal((await renewal).accepted, true);
    assertRejected(await work, 503);
  }));

/** Guards against execution records that are lost on SIGKILL. */
test("records survive SIGKILL", () =>
  withServer({}, async ({ child, holder, recordsFile, waitRecord }) => {
    const pending = classifyOutcome(holder.work("/orders/k1?ms=5000"));
    await waitRecord("startMs");
    child.kill("SIGKILL");
    assert.equal(await pending, "broken");
    const [record] = readExecutions(recordsFile);
    assert.deepEqual([record!.effectMs, record!.endMs], [null, null]);
  }));

/** Guards against a poison request without a crash or a start record. */
test("a poison request crashes the process", () =>
  withServer({}, async ({ child, holder, recordsFile }) => {
    assert.equal(
      await classifyOutcome(holder.work("/orders/k1?poison=1")),
      "broken",
    );
    assert.equal((await child.waitForExit(5000)).code, 1);
    assert.equal(readExecutions(recordsFile).length, 1);
  }));

/** Guards against work that takes effect after its client disconnects. */
test("cancellation before the effect", () =>
  withServer({}, async ({ holder, waitRecord }) => {
    const abort = new AbortController();
    const signal = abort.signal;
    const work = classifyOutcome(holder.work("/orders/k1?ms=5000", { signal }));
    await waitRecord("startMs");
    abort.abort();
    await work;
    assert.equal((await waitRecord("endMs")).effectMs, null);
  }));

const RESPONSE_FAULTS = [
  { change: { hang: 1 }, seen: "timeout", effects: 0 },
  { change: { loseAnswers: 1 }, seen: "timeout", effects: 1 },
  { change: { truncate: 1 }, seen: "broken", effects: 1 },
  { change: { stall: 1 }, seen: "timeout", effects: 1 },
  { change: { late: 1, lateMs: 5000 }, seen: "timeout", effects: 1 },
] as const;

/** Guards against response faults that change what is executed. */
test("response faults", async (t) => {
  for (const { change, seen, effects } of RESPONSE_FAULTS) {
    await t.test(
      Object.keys(change)[0]!,
      () =>
        withServer({}, async ({ holder, control, recordsFile }) => {
          await control(change);
          const work = holder.work("/orders/k1?bytes=200000", {
            timeoutMs: 300,
          });
          assert.equal(await classifyOutcome(work), seen);
          const records = readExecutions(recordsFile);
          assert.equal(records.filter((r) => r.effectMs).length, effects);
          assert.equal((await holder.work()).status, 200);
        }),
    );
  }
});

/** Guards against limits that admit too many requests or connections. */
test("slot and connection limits", () =>
  withServer({ slots: 1, connections: 2 }, async (fixture) => {
    const { child, holder, waitRecord } = fixture;
    const waitConnections = (n: number) =>
      waitFor(async () => {
        const url = `http://127.0.0.1:${child.ready.controlPort}/health`;
        return JSON.parse((await sendHttp(url)).text).connections === n ||
          undefined;
      });
    const gate = createGate();
    const first = holder.work("/orders/k1", { endBodyAfter: gate.opened });
    await waitRecord("startMs");
    assertRejected(await holder.work(), 503);
    await waitConnections(1);
    const idle = connect(child.ready.port!, "127.0.0.1");
    await waitConnections(2);
    assert.equal(await classifyOutcome(holder.work()), "broken");
    idle.destroy();
    gate.open();
    assert.equal((await first).status, 200);
  }));

/**
 * Guards against a draining server that rejects work too early, accepts work
 * after `drainMs` or drops running work.
 */
test("draining and graceful stop", () =>
  withServer({ drainMs: 1500 }, async ({ child, holder, waitRecord }) => {
    const gate = createGate();
    const first = holder.work("/orders/k1", { endBodyAfter: gate.opened });
    await waitRecord("startMs");
    child.kill("SIGTERM");
    await waitFor(async () => (await holder.grant()).draining || undefined);
    assert.equal((await holder.work()).status, 200);
    const rejection = await waitFor(async () => {
      const answer = await holder.work();
      return answer.status === 503 ? answer : undefined;
    });
    assertRejected(rejection, 503);
    gate.open();
    assert.equal((await first).status, 200);
    assert.equal((await child.waitForExit(5000)).code, 0);
  }));

/**
 * Guards against a server without ownership checks that requires grants or
 * ignores deadlines.
 */
test("server without ownership checks", () =>
  withServer({ checks: false }, async ({ holder }) => {
    const grants = await sendHttp(`${holder.url}/grants`, { body: "{}" });
    assert.equal(grants.status, 404);
    assert.equal((await sendHttp(`${holder.url}/seats/k1`)).status, 200);
    const headers = { "x-deadline-unix-ms": "1000" };
    assertRejected(await holder.work("/seats/k1", { headers }), 503);
  }));

/** Guards against load, health and shedding settings without effect. */
test("reported load and health, and load shedding", () =>
  withServer({}, async ({ holder, control }) => {
    await control({ reportLoad: 0.1, reportHealthy: false, shed: 1 });
    assert.equal((await holder.grant()).load, 0.1);
    assert.equal((await sendHttp(`${holder.url}/health`)).status, 503);
    assertRejected(await holder.work(), 503);
  }));

/** Guards against reports whose content does not identify the request. */
test("reports contain the request id", () =>
  withServer({}, async ({ holder }) => {
    const { text } = await holder.work("/orders/k1?bytes=150001");
    const range = { from: 0, length: 150_001 };
    assert.equal(text, makeReport("r1", range).toString());
  }));

/** Guards against a duplicate response that is missing on the connection. */
test("duplicate response", () =>
  withServer({}, async ({ holder, control }) => {
    await control({ duplicate: 1 });
    const socket = connect(Number(new URL(holder.url).port), "127.0.0.1");
    const headers = Object.entries(holder.headers);
    const lines = headers.map(([name, value]) => `${name}: ${value}`);
    socket.write(`GET /orders/k1 HTTP/1.1\r\nhost: x\r\n${lines.join("\r\n")}`);
    socket.write("\r\n\r\n");
    let text = "";
    socket.on("data", (d) => text += d.toString());
    const count = (part: string) => text.split(part).length - 1;
    await waitFor(() => count('"bodyDigest"') === 2 || undefined);
    assert.equal(count("x-request-id: r1"), 2);
    assert.equal(count('"requestId":"r1"'), 2);
    socket.destroy();
  }));
