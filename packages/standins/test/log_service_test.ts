import assert from "node:assert/strict";
import { test } from "node:test";
import { LogStore } from "../src/mod.js";
import {
  classifyOutcome,
  formatUrl,
  postJson,
  sendHttp,
  startStandIn,
  withLauncher,
} from "./support.js";

interface Slice {
  readonly records: { offset: number; record: { id: string } }[];
  readonly next: number;
  readonly oldest: number;
}

function append(url: string, id: unknown, timeoutMs = 10_000) {
  const body = JSON.stringify({ record: { kind: "claim", id } });
  return sendHttp(`${url}/append`, { body, timeoutMs });
}

async function read(url: string, query: string): Promise<Slice> {
  return JSON.parse((await sendHttp(`${url}/read?${query}`)).text);
}

/** Guards against lost, reordered or malformed records and hanging polls. */
test("append, read and long poll", () =>
  withLauncher(async (launcher) => {
    const url = formatUrl(await startStandIn(launcher, "log_service"));
    const poll = read(url, "from=0&waitMs=5000");
    assert.equal((await append(url, "a")).text, '{"offset":0}');
    assert.deepEqual((await poll).records.map((r) => r.record.id), ["a"]);
    assert.equal((await append(url, "b")).status, 200);
    const page = await read(url, "from=0&max=1");
    assert.deepEqual([page.records.length, page.next], [1, 1]);
    for (const id of ["", 7, undefined]) {
      const answer = await append(url, id);
      assert.equal(answer.status, 400);
      assert.match(answer.text, /record\.id: Expected a string/);
    }
    assert.equal((await read(url, "from=0&waitMs=0")).next, 2);
    const late = await read(url, "from=2&waitMs=20");
    assert.deepEqual([late.records.length, late.next], [0, 2]);
    assert.equal((await sendHttp(`${url}/read?from=3`)).status, 400);
    const large = await append(url, "x".repeat(9_000_000));
    assert.equal(large.status, 413);
  }));

/** Guards against a lost response that also discards its append. */
test("lost responses", () =>
  withLauncher(async (launcher) => {
    const url = formatUrl(await startStandIn(launcher, "log_service"));
    await postJson(`${url}/control`, { loseAnswers: 1 });
    assert.equal(await classifyOutcome(append(url, "a", 1000)), "timeout");
    assert.equal((await append(url, "b")).text, '{"offset":1}');
    const { records } = await read(url, "from=0");
    assert.deepEqual(records.map((r) => r.record.id), ["a", "b"]);
  }));

const OUTAGES = [
  { outage: "down", seen: "503" },
  { outage: "silent", seen: "timeout" },
  { outage: "refuse", seen: "broken" },
] as const;

/** Guards against outages that accept appends or cannot be cleared. */
test("outages", () =>
  withLauncher(async (launcher) => {
    const url = formatUrl(await startStandIn(launcher, "log_service"));
    for (const { outage, seen } of OUTAGES) {
      await postJson(`${url}/control`, { outage });
      assert.equal(
        await classifyOutcome(append(url, outage, 1000)),
        seen,
        outage,
      );
      await postJson(`${url}/control`, { clear: true });
    }
    assert.equal((await append(url, "after")).text, '{"offset":0}');
    const wrong = await sendHttp(`${url}/control`, {
      body: '{"outage":"off"}',
    });
    assert.match(wrong.text, /outage: Expected one of none, down/);
  }));

/** Guards against a read of expired offsets that skips them without a 410. */
test("retention", () =>
  withLauncher(async (launcher) => {
    const options = { retainCount: 2 };
    const url = formatUrl(await startStandIn(launcher, "log_service", options));
    for (const id of ["a", "b", "c"]) await append(url, id);
    const gone = await sendHttp(`${url}/read?from=0`);
    assert.deepEqual([gone.status, gone.text], [410, '{"oldest":1}']);
    const kept = await read(url, "from=1");
    assert.deepEqual(kept.records.map((r) => r.record.id), ["b", "c"]);
  }));

/** Guards against an append rate above the limit in any second. */
test("append rate and retention by time", () => {
  const limits = { appendsPerSecond: 2, retainCount: 0, retainMs: 5000 };
  const store = new LogStore(limits);
  const offsets = [0, 500, 999, 1001, 1400, 1501]
    .map((ms) => store.append({}, ms));
  assert.deepEqual(offsets, [0, 1, undefined, 2, undefined, 3]);
  store.removeExpired(6100);
  assert.equal(store.oldest, 3);
  assert.equal(store.read(3, 10).entries.length, 1);
});

const SLOWNESS = [
  { fault: { beforeMs: 60_000 }, next: 0 },
  { fault: { afterMs: 60_000 }, next: 1 },
] as const;

/** Guards against delays on the wrong side of the effect. */
test("delays before and after the effect", async (t) => {
  for (const { fault, next } of SLOWNESS) {
    await t.test(
      Object.keys(fault)[0]!,
      () =>
        withLauncher(async (launcher) => {
          const url = formatUrl(await startStandIn(launcher, "log_service"));
          await postJson(`${url}/control`, fault);
          assert.equal(
            await classifyOutcome(append(url, "a", 1000)),
            "timeout",
          );
          const status = await postJson<Slice>(`${url}/control`, {});
          assert.equal(status.next, next);
        }),
    );
  }
});
