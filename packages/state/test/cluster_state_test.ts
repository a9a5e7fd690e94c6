import {
  type LogEntry,
  type LogRecord,
  RecordKind,
  type UnitId,
} from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ClusterState,
  type Effect,
  foldEntries,
  Rejection,
} from "../src/mod.js";
import {
  makeChange,
  makeEntries,
  makeMove,
  makePut,
  makeRecord,
  ROUTE,
  SAMPLES,
} from "./records.js";

function foldRecords(records: readonly LogRecord[]): ClusterState {
  return foldEntries(ClusterState.empty, makeEntries(records));
}

/** Applies `records` and returns the result of the last one. */
function applyLast(
  records: readonly LogRecord[],
): { state: ClusterState; effect: Effect } {
  const entries = makeEntries(records);
  return foldEntries(ClusterState.empty, entries.slice(0, -1))
    .apply(entries.at(-1)!);
}

const claim = (supersedes: number, fields = {}) =>
  makeRecord(RecordKind.Claim, { supersedes, ...fields });

/** Guards against a change that overwrites another one unnoticed. */
test("a change needs the current version; a conflict names the winner", () => {
  const drain = (version: number, operator = "ann") =>
    makeRecord(RecordKind.Drain, { change: makeChange(version, operator) });
  const cases: [string, LogRecord[], string | undefined][] = [
    ["first", [drain(0)], undefined],
    ["first offset", [drain(0, "bob"), drain(0)], "bob"],
    ["current", [drain(0), drain(1)], undefined],
    ["stale", [claim(-1), drain(0), drain(2, "bob"), drain(2)], "bob"],
    ["ahead", [drain(0, "bob"), drain(2)], "bob"],
    ["other object", [
      makePut(0),
      makeRecord(RecordKind.Drain, { change: makeChange(0) }),
    ], undefined],
  ];
  for (const [name, records, winner] of cases) {
    const { state, effect } = applyLast(records);
    assert.equal(effect.applied, winner === undefined, name);
    assert.equal(effect.winner?.operator, winner, name);
    if (winner) assert.equal(effect.rejection, Rejection.Conflict, name);
    if (!winner) assert.equal(state.history.at(-1)?.operator, "ann", name);
  }
});

/** Guards against two routes for one path and keys that change their shard. */
test("a route that conflicts with the state is rejected", () => {
  const cases: [string, LogRecord, Rejection | undefined][] = [
    ["same shards", makePut(1, { slots: 2 }), undefined],
    ["other shards", makePut(1, { shards: 8 }), Rejection.Invalid],
    ["path in use", makePut(0, { service: "artbin" }), Rejection.Invalid],
    [
      "unknown route",
      makeRecord(RecordKind.RemoveRoute, { service: "artbin" }),
      Rejection.Invalid,
    ],
  ];
  for (const [name, record, rejection] of cases) {
    const { effect } = applyLast([makePut(0), record]);
    assert.equal(effect.rejection, rejection, name);
  }
});

/** Guards against keys that change their shard while old leases are valid. */
test("a removed route can be added again only with the same shards", () => {
  const remove = makeRecord(RecordKind.RemoveRoute, { change: makeChange(1) });
  const cases: [string, number, Rejection | undefined][] = [
    ["same shards", ROUTE.shards, undefined],
    ["other shards", ROUTE.shards + 1, Rejection.Invalid],
  ];
  for (const [name, shards, rejection] of cases) {
    const { effect } = applyLast([makePut(0), remove, makePut(2, { shards })]);
    assert.equal(effect.rejection, rejection, name);
  }
});

/** Guards against two holders that both believe their claim took effect. */
test("a claim takes effect only over the current term", () => {
  const cases: [string, LogRecord[], boolean, number][] = [
    ["first", [claim(-1)], true, 0],
    ["second of two at once", [claim(-1), claim(-1)], false, 0],
    ["successor", [claim(-1), claim(0)], true, 1],
    ["stale", [claim(-1), claim(0), claim(0)], false, 1],
    [
      "other group",
      [
        claim(-1),
        claim(-1, { group: "orderdesk/lorain" }),
      ],
      true,
      0,
    ],
  ];
  for (const [name, records, applied, term] of cases) {
    const { state, effect } = applyLast(records);
    assert.equal(effect.applied, applied, name);
    assert.equal(state.getClaim("orderdesk/erie")?.term, term, name);
  }
});

/** Guards against a move by a superseded holder or from an outdated owner. */
test("a move needs the current term and the current owner", () => {
  const toLorain = { toGroup: "orderdesk/lorain", to: "c1" };
  // Offset 1 is the claim, offset 2 gives `s:1` to `b1`.
  const before = [makePut(0), claim(-1), makeMove("1.0", {})];
  const moveToLorain = makeMove("1.0", { from: "b1", ...toLorain });
  const cases: [string, LogRecord[], Rejection | undefined][] = [
    ["current", [makeMove("1.0", { from: "b1", to: "b2" })], undefined],
    ["ballot", [makeMove("1.7", { from: "b1", to: "b2" })], undefined],
    ["to another group", [moveToLorain], undefined],
    ["stale term", [
      claim(1),
      makeMove("1.0", { from: "b1" }),
    ], Rejection.Superseded],
    ["future term", [makeMove("9.0", { from: "b1" })], Rejection.Superseded],
    ["no token", [makeMove("x", { from: "b1" })], Rejection.Superseded],
    ["wrong owner", [makeMove("1.0", { from: "b2" })], Rejection.OwnerChanged],
    ["no owner", [makeMove("1.0", { from: null })], Rejection.OwnerChanged],
    ["owner in another group", [
      moveToLorain,
      makeMove("1.0", { from: "c1" }),
    ], Rejection.OwnerChanged],
    ["no route", [
      makeMove("1.0", { service: "artbin" }),
    ], Rejection.OwnerChanged],
  ];
  for (const [name, records, rejection] of cases) {
    const { state, effect } = applyLast([...before, ...records]);
    assert.equal(effect.rejection, rejection, name);
    if (rejection) continue;
    const owner = state.getOwner("orderdesk", "s:1");
    assert.equal(owner?.server, effect.moves?.[0]?.to, name);
    assert.equal(owner?.previous, "b1", name);
    assert.equal(owner?.since, 3, name);
  }
});

/** Guards against rejecting all moves of a record because of one of them. */
test("the moves of a record take effect independently", () => {
  const [sample] = SAMPLES[RecordKind.Move].moves as object[];
  const moves = [
    { ...sample, unit: "s:1", from: "b9" },
    { ...sample, unit: "s:2" },
    { ...sample, unit: "s:2", from: "b1", to: "b2" },
  ];
  const { state, effect } = applyLast([
    makePut(0),
    claim(-1),
    makeRecord(RecordKind.Move, { moves }),
  ]);
  assert.equal(effect.moves?.length, 2);
  assert.equal(state.getOwner("orderdesk", "s:1"), undefined);
  assert.equal(state.getOwner("orderdesk", "s:2")?.server, "b2");
});

/** Guards against a split key that has two owners, or none. */
test("a split key belongs to its shard until it has an owner", () => {
  const before = foldRecords([makePut(0), claim(-1)]);
  const shard = before.resolveUnit("orderdesk", "a")!;
  const next = (state: ClusterState, record: LogRecord) =>
    state.apply({ offset: state.position, atMs: 0, record }).state;
  const whole = next(before, makeMove("1.0", { unit: shard, to: "b1" }));
  const unit: UnitId = "k:a";
  assert.equal(whole.getOwner("orderdesk", unit)?.server, "b1");
  const rejected = next(whole, makeMove("1.0", { unit, to: "b2" }));
  assert.equal(rejected.resolveUnit("orderdesk", "a"), shard);
  const split = next(whole, makeMove("1.0", { unit, from: "b1", to: "b2" }));
  assert.equal(split.resolveUnit("orderdesk", "a"), unit);
  assert.equal(split.getOwner("orderdesk", unit)?.server, "b2");
  assert.equal(split.getOwner("orderdesk", shard)?.server, "b1");
  assert.equal(split.resolveUnit("artbin", "a"), undefined);
});

/** Guards against an append that takes effect twice after a lost response. */
test("a record with a known UUID has no effect", () => {
  const first = claim(-1, { id: "one" });
  const otherRecords = Array.from(
    { length: 3_000 },
    () => makeRecord(RecordKind.Snapshot),
  );
  const state = foldRecords([makePut(0), first, ...otherRecords]);
  const restored = ClusterState.restore(
    JSON.parse(JSON.stringify(state.encode())),
  ).unsafeCoerce();
  const duplicate = claim(1, { id: "one" });
  for (const before of [state, restored]) {
    const entry = { offset: before.position, atMs: 0, record: duplicate };
    const { state: after, effect } = before.apply(entry);
    assert.equal(effect.rejection, Rejection.Duplicate);
    assert.equal(after.position, entry.offset + 1);
    assert.equal(after.getClaim("orderdesk/erie")?.term, 1);
    const old = after.apply({ ...entry, offset: 1 });
    assert.equal(old.state, after);
  }
});

/** Guards against a state that changes when a later one is derived from it. */
test("states derived from one state do not contain each other's records", () => {
  const base = foldRecords([claim(-1, { id: "one" })]);
  const branch = (id: string) =>
    base.apply({ offset: 1, atMs: 0, record: claim(0, { id }) }).state;
  const [a, b] = [branch("two"), branch("three")];
  const seen = [base, a, b].map((s) =>
    ["one", "two", "three"].filter((id) => s.hasSeen(id))
  );
  assert.deepEqual(seen, [["one"], ["one", "two"], ["one", "three"]]);
});

/** Guards against identifiers that are dropped too early or kept forever. */
test("the identifiers of the last 20,000 records are kept", () => {
  const records = Array.from(
    { length: 40_001 },
    (_, n) => makeRecord(RecordKind.Snapshot, { id: `n${n}` }),
  );
  const state = foldRecords(records);
  const serialized = JSON.parse(JSON.stringify(state.encode()));
  for (const s of [state, ClusterState.restore(serialized).unsafeCoerce()]) {
    const seen = ["n0", "n20000", "n20001", "n40000"].map((id) =>
      s.hasSeen(id)
    );
    assert.deepEqual(seen, [false, false, true, true]);
  }
});

/** Guards against the loss of records that a newer version wrote. */
test("records of unknown kinds are kept through snapshots", () => {
  for (const kind of ["resize", "toString", "__proto__"]) {
    const entries = makeEntries([makeRecord(kind, { size: 3 }), claim(-1)]);
    const state = foldEntries(ClusterState.empty, entries);
    const serialized = JSON.parse(JSON.stringify(state.encode()));
    assert.deepEqual(serialized.unknown, [entries[0]], kind);
    const restored = ClusterState.restore(serialized).unsafeCoerce();
    assert.deepEqual(restored.encode(), state.encode(), kind);
    assert.equal(restored.getClaim("orderdesk/erie")?.term, 1, kind);
  }
});

/** Returns copies of `value` in each of which one field is missing or null. */
function makeMalformedCopies(value: unknown): unknown[] {
  if (typeof value !== "object" || value === null) return [];
  if (Array.isArray(value)) {
    return [{}, ...makeMalformedCopies(value[0]).map((v) => [v]), [undefined]];
  }
  return Object.entries(value).flatMap(([name, field]) => {
    if (name === "hlc" || name === "state") return [];
    const { [name]: _, ...rest } = value as Record<string, unknown>;
    const nulled = name === "from" || name === "kind"
      ? []
      : [{ ...value, [name]: null }];
    const omitted = name === "kind" ? [] : [rest];
    const nested = makeMalformedCopies(field).map((v) => ({
      ...value,
      [name]: v,
    }));
    return [...omitted, ...nulled, ...nested];
  });
}

/** Guards against a malformed record that stops all routers. */
test("malformed records are rejected and the position advances", () => {
  const bad: unknown[] = [null, undefined, 7, "x", [], {}, { kind: 3 }];
  for (const kind of Object.values(RecordKind)) {
    bad.push(...makeMalformedCopies(makeRecord(kind)));
  }
  assert.ok(bad.length > 100);
  const before = foldRecords([makePut(0), claim(-1)]);
  const { position: _, recent: _r, ...fields } = before
    .encode() as EncodedState;
  for (const record of bad) {
    const entry = { offset: 2, atMs: 0, record } as LogEntry;
    const { state, effect } = before.apply(entry);
    const text = JSON.stringify(record);
    assert.equal(effect.rejection, Rejection.Invalid, text);
    assert.equal(state.position, 3, text);
    const { position: _, recent: _r, ...after } = state
      .encode() as EncodedState;
    assert.deepEqual(after, fields, text);
  }
  const invalidOffset = { offset: NaN, atMs: 0, record: claim(-1) };
  assert.equal(before.apply(invalidOffset).state, before);
});

type EncodedState = Record<string, unknown>;

/** Guards against a router that starts from a snapshot with a wrong state. */
test("a snapshot restores an equal state", () => {
  const records = Object.values(RecordKind).map((kind) => makeRecord(kind));
  const state = foldRecords([makePut(0), claim(-1), ...records]);
  const serialized = JSON.parse(JSON.stringify(state.encode()));
  const restored = ClusterState.restore(serialized).unsafeCoerce();
  assert.deepEqual(restored.encode(), state.encode());
  assert.deepEqual(
    restored.listOwners("orderdesk"),
    state.listOwners("orderdesk"),
  );
  for (
    const value of [null, 3, {}, { ...serialized, version: 2 }, { version: 1 }]
  ) {
    assert.ok(ClusterState.restore(value).isLeft(), JSON.stringify(value));
  }
  for (const name of Object.keys(serialized)) {
    const { [name]: _, ...rest } = serialized;
    assert.ok(ClusterState.restore(rest).isLeft(), `without ${name}`);
  }
});

/** Guards against requests that are sent to the owner of another key. */
test("a path selects the route and the decoded key", () => {
  const state = foldRecords([makePut(0)]);
  const cases: [string, string | undefined, string?][] = [
    ["/orders/a", "a", ""],
    ["/orders/a/items?x=/y", "a", "/items"],
    ["/orders/a?x=1", "a", ""],
    ["/orders/a%2Fb/", "a/b", "/"],
    ["/orders/%C3%A9", "é", ""],
    ["/orders/%zz", undefined],
    ["/orders/", undefined],
    ["/orders", undefined],
    ["/orders//a", undefined],
    ["/ordersx/a", undefined],
    ["/Orders/a", undefined],
    ["orders/a", undefined],
    ["", undefined],
  ];
  for (const [path, key, rest] of cases) {
    const match = state.matchPath(path);
    assert.equal(match?.key, key, path);
    assert.equal(match?.rest, rest, path);
  }
});
