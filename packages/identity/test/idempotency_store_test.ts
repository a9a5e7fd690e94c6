import {
  formatUuid7,
  IdentityState,
  type StoredResponse,
} from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionKind, IdempotencyStore } from "../src/mod.js";

const START_MS = 1_700_000_000_000;
const LIMITS = {
  toleranceMs: 250,
  clockErrorMs: 50,
  windowMs: 10_000,
  capacity: 3,
  keptBytes: 4,
};
const OPTIONS = { ...LIMITS, knownSinceMs: START_MS };
const ANSWER: StoredResponse = {
  status: 200,
  headers: { a: "b" },
  body: "AAAA",
};

function makeId(atMs: number, n = 0): string {
  return formatUuid7(atMs, new Uint8Array(10).fill(n));
}

/** Guards against running an identity that may have run or is too far ahead. */
test("admission depends on the timestamp of the identity", () => {
  const now = START_MS + 20_000;
  const cases: [string, string, AdmissionKind][] = [
    ["no UUID", "x", AdmissionKind.Malformed],
    [
      "version 4",
      "9b2f1c52-6a58-4c1e-8f7d-0c3c7c1b2a11",
      AdmissionKind.Malformed,
    ],
    ["before the takeover", makeId(START_MS - 1), AdmissionKind.Forgotten],
    ["at the end of the window", makeId(now - 10_000), AdmissionKind.Forgotten],
    ["within the window", makeId(now - 9_999), AdmissionKind.New],
    ["at the tolerance", makeId(now + 250), AdmissionKind.New],
    ["beyond the tolerance", makeId(now + 251), AdmissionKind.Ahead],
  ];
  for (const [name, id, kind] of cases) {
    const store = IdempotencyStore.create(OPTIONS);
    assert.equal(store.admit(id, now).kind, kind, name);
  }
});

/** Guards against a new holder that runs what the previous one may have run. */
test("the watermark after a takeover adds tolerance and clock error", () => {
  const store = IdempotencyStore.create(OPTIONS);
  const now = START_MS + 1_000;
  const atWatermark = store.admit(makeId(START_MS + 300), now).kind;
  assert.equal(atWatermark, AdmissionKind.Forgotten);
  assert.equal(
    store.admit(makeId(START_MS + 301), now).kind,
    AdmissionKind.New,
  );
});

/** Guards against a second run during or after the first one. */
test("a later attempt gets the state of the first one", () => {
  const now = START_MS + 1_000;
  const id = makeId(now);
  const cases: [string, (m: IdempotencyStore) => void, AdmissionKind][] = [
    ["running", () => {}, AdmissionKind.Running],
    ["done", (m) => m.finish(id, ANSWER, now), AdmissionKind.Done],
    ["unknown", (m) => m.markUnknown(id, now), AdmissionKind.Forgotten],
    ["not run", (m) => m.release(id), AdmissionKind.New],
    ["late release", (m) => {
      m.finish(id, ANSWER, now);
      m.release(id);
      m.markUnknown(id, now);
    }, AdmissionKind.Done],
    ["late answer", (m) => {
      m.markUnknown(id, now);
      m.finish(id, ANSWER, now);
    }, AdmissionKind.Done],
  ];
  for (const [name, change, kind] of cases) {
    const store = IdempotencyStore.create(OPTIONS);
    store.admit(id, now);
    change(store);
    assert.equal(store.admit(id.toUpperCase(), now).kind, kind, name);
  }
});

/** Guards against a replay that differs from the response of the first run. */
test("a response is replayed; a large one is kept without its body", () => {
  const now = START_MS + 1_000;
  const cases: [string | undefined, string | undefined][] = [
    ["", ""],
    ["AAAAAA==", "AAAAAA=="],
    ["AAAAAAA=", undefined],
    [undefined, undefined],
  ];
  for (const [body, kept] of cases) {
    const store = IdempotencyStore.create(OPTIONS);
    const id = makeId(now);
    store.admit(id, now);
    const answer = { status: 201, headers: { a: "b" } };
    store.finish(id, body === undefined ? answer : { ...answer, body }, now);
    const admission = store.admit(id, now);
    assert.ok(admission.kind === AdmissionKind.Done);
    assert.equal(admission.answer.body, kept, body);
    assert.equal(admission.answer.status, 201);
    assert.deepEqual(store.resolve(id, now).answer, admission.answer);
  }
});

/** Guards against bodies that use more memory than a router may take. */
test("the oldest bodies are dropped above the total limit", () => {
  const store = IdempotencyStore.create({ ...OPTIONS, keptTotalBytes: 6 });
  const now = START_MS + 1_000;
  const ids = [0, 1, 2, 3, 4].map((n) => makeId(now + n, n));
  const answer = (n: number) => {
    store.admit(ids[n]!, now);
    store.finish(ids[n]!, ANSWER, now + n);
  };
  const hasBody = (n: number) =>
    store.resolve(ids[n]!, now).answer?.body !== undefined;
  for (const n of [0, 1, 2]) answer(n);
  assert.deepEqual([0, 1, 2].map(hasBody), [false, true, true]);
  // The first two are evicted, so their bodies no longer count.
  store.admit(ids[3]!, now);
  answer(4);
  assert.equal(store.knownSinceMs, now + 1);
  assert.deepEqual([2, 4].map(hasBody), [true, true]);
});

/** Guards against an identity that runs after it was reported as not run. */
test("resolving an identity that was not seen bars it", () => {
  const store = IdempotencyStore.create(OPTIONS);
  const now = START_MS + 1_000;
  const id = makeId(now);
  assert.equal(store.resolve(id, now).state, IdentityState.NotSeen);
  assert.equal(store.resolve(id, now).state, IdentityState.Barred);
  assert.equal(store.admit(id, now).kind, AdmissionKind.Barred);
  store.release(id);
  store.finish(id, ANSWER, now);
  assert.equal(store.admit(id, now).kind, AdmissionKind.Barred);
});

/** Guards against reporting an identity as not run that may have run. */
test("identities outside the known range resolve to an unknown outcome", () => {
  const store = IdempotencyStore.create(OPTIONS);
  const now = START_MS + 1_000;
  for (const id of ["x", makeId(START_MS + 300), makeId(now + 251)]) {
    assert.equal(store.resolve(id, now).state, IdentityState.Forgotten, id);
  }
  // An entry far ahead of the clock would, when evicted, raise the watermark
  // above the identities of other callers.
  assert.equal(store.size, 0);
});

/** Guards against a second run of an identity whose entry was evicted. */
test("an evicted identity does not run again", () => {
  const now = START_MS + 1_000;
  const ids = [0, 1, 2, 3].map((n) => makeId(now + n, n));
  const store = IdempotencyStore.create(OPTIONS);
  for (const id of [...ids].reverse()) store.admit(id, now);
  assert.equal(store.size, 3);
  assert.equal(store.knownSinceMs, now + 1);
  assert.equal(store.admit(ids[1]!, now).kind, AdmissionKind.Forgotten);
  assert.equal(store.admit(ids[0]!, now).kind, AdmissionKind.Running);

  const byWindow = IdempotencyStore.create(OPTIONS);
  byWindow.admit(ids[0]!, now);
  byWindow.finish(ids[0]!, ANSWER, now);
  byWindow.admit(makeId(now + 10_000), now + 10_000);
  assert.equal(byWindow.size, 1);
  // The clock is set back by 9 s.
  const again = byWindow.admit(ids[0]!, now + 1_000);
  assert.equal(again.kind, AdmissionKind.Forgotten);
});

/** Guards against losing the response of an attempt that is still running. */
test("a running identity is kept longer than the window", () => {
  const store = IdempotencyStore.create(OPTIONS);
  const id = makeId(START_MS + 1_000);
  store.admit(id, START_MS + 1_000);
  store.admit(makeId(START_MS + 15_000), START_MS + 15_000);
  store.finish(id, ANSWER, START_MS + 15_000);
  assert.equal(store.admit(id, START_MS + 15_000).kind, AdmissionKind.Done);
});

/** Guards against a store that grows with every released attempt. */
test("a released attempt leaves no entry", () => {
  const store = IdempotencyStore.create({ ...OPTIONS, capacity: 100_000 });
  const now = START_MS + 1_000;
  for (let n = 0; n < 1_000; n++) {
    store.admit(makeId(now, n % 7), now);
    store.release(makeId(now, n % 7));
  }
  assert.deepEqual(store.encode(), { knownSinceMs: START_MS, entries: [] });
});

/** Guards against a handover after which an identity runs twice. */
test("a handover keeps final states; running attempts become unknown", () => {
  const store = IdempotencyStore.create(OPTIONS);
  const now = START_MS + 1_000;
  const ids = [0, 1, 2].map((n) => makeId(now + n, n));
  store.admit(ids[0]!, now);
  store.admit(ids[1]!, now);
  store.finish(ids[1]!, ANSWER, now);
  store.resolve(ids[2]!, now);
  const sent = JSON.parse(JSON.stringify(store.encode()));
  const next = IdempotencyStore.restore(sent, LIMITS);
  assert.deepEqual(ids.map((id) => next.admit(id, now).kind), [
    AdmissionKind.Forgotten,
    AdmissionKind.Done,
    AdmissionKind.Barred,
  ]);
  assert.equal(next.knownSinceMs, START_MS);
  const small = IdempotencyStore.restore(sent, { ...LIMITS, capacity: 1 });
  assert.equal(small.knownSinceMs, now + 1);
});

/** Guards against values from a peer that would let any identity run. */
test("invalid values of a handover are rejected or count as unknown", () => {
  const now = START_MS + 1_000;
  const limits = { ...LIMITS, capacity: 9 };
  const store = IdempotencyStore.restore({
    knownSinceMs: START_MS,
    entries: [
      { identity: "x", state: IdentityState.Done, atMs: now },
      { identity: makeId(now), state: IdentityState.Done, atMs: now },
      {
        identity: makeId(now, 1),
        state: "paused" as IdentityState,
        atMs: NaN,
      },
    ],
  }, limits);
  assert.equal(store.size, 2);
  for (const id of [makeId(now), makeId(now, 1)]) {
    assert.equal(store.admit(id, now).kind, AdmissionKind.Forgotten);
  }
  for (const bad of [NaN, null, "0"]) {
    const saved = { knownSinceMs: bad as number, entries: [] };
    assert.throws(() => IdempotencyStore.restore(saved, limits), RangeError);
  }
  assert.throws(
    () => IdempotencyStore.create({ ...OPTIONS, capacity: 0 }),
    RangeError,
  );
});
