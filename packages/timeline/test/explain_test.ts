import {
  EventKind,
  HybridClock,
  type LogRecord,
  RecordKind,
  type TimelineEvent,
  type VmEntry,
  VmKind,
  VmState,
} from "@jaytiller/model";
import { ClusterState, foldEntries } from "@jaytiller/state";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type EventFields,
  EventRing,
  explainKey,
  explainRequest,
} from "../src/mod.js";

const T0 = Date.UTC(2026, 11, 4, 6, 0, 0);
const GROUP = "orderdesk/erie" as const;

function record(kind: RecordKind, fields: object): LogRecord {
  const base = { kind, id: JSON.stringify(fields), hlc: "", node: "e1" };
  return { ...base, ...fields } as unknown as LogRecord;
}

const change = { operator: "ann", reason: "rack work", expectVersion: 0 };
const ROUTE = record(RecordKind.PutRoute, {
  change,
  route: {
    service: "orderdesk",
    pathPrefix: "/orders",
    shards: 1,
    checksOwner: true,
    slots: 3,
    connections: 130,
    rules: [],
  },
});
const CLAIM = record(RecordKind.Claim, { group: GROUP, supersedes: -1 });

function move(from: string | null, to: string, reason: string): LogRecord {
  const unit = { service: "orderdesk", unit: "s:0", toGroup: GROUP };
  const moves = [{ ...unit, from, to, reason }];
  return record(RecordKind.Move, { group: GROUP, token: "1.0", moves });
}

const OWNED = [ROUTE, CLAIM, move(null, "b1", "first owner")];
const MOVED = [...OWNED, move("b1", "b2", "server b1 is leaving")];

function fold(records: readonly LogRecord[]): ClusterState {
  const entries = records.map((r, offset) => ({
    offset,
    atMs: T0 + offset * 1_000,
    record: r,
  }));
  return foldEntries(ClusterState.empty, entries);
}

function makeEvents(...list: EventFields[]): TimelineEvent[] {
  const clock = HybridClock.create("e1");
  const ring = EventRing.create({ node: "e1", clock, capacity: 100 });
  return list.map((fields, n) => ring.add(fields, T0 + 10_000 + n));
}

function makeVm(id: string, fields: Partial<VmEntry> = {}): VmEntry {
  const kind = id.startsWith("e") ? VmKind.Entry : VmKind.Backend;
  const base = { id, kind, zone: "erie", state: VmState.Live, url: "" };
  return kind === VmKind.Entry
    ? { ...base, ...fields }
    : { ...base, service: "orderdesk", ...fields };
}

const VMS = [makeVm("b1"), makeVm("b2"), makeVm("e1"), makeVm("e2")];

function explain(
  records: readonly LogRecord[],
  known: { events: TimelineEvent[]; vms: readonly VmEntry[] },
): string[] {
  const state = fold(records);
  const nowMs = T0 + 63_000;
  return explainKey({ state, service: "orderdesk", key: "a", ...known, nowMs });
}

/** Guards against an explanation without owner, time, reason or holder. */
test("a key is explained by owner, reason, past events and next step", () => {
  const events = makeEvents(
    {
      kind: EventKind.MoveStarted,
      unit: "s:0",
      group: GROUP,
      text: "Moves from b1 to b2",
    },
    {
      kind: EventKind.MoveEffective,
      unit: "s:0",
      group: GROUP,
      offset: 3,
      text: "Owned by b2",
    },
    { kind: EventKind.MoveStarted, unit: "s:9", text: "another unit" },
  );
  const lines = explain(MOVED, { events, vms: VMS });
  assert.deepEqual(lines, [
    "Key a of orderdesk belongs to shard 0.",
    "Server b2 of group orderdesk/erie owns it since " +
    "2026-12-04 06:00:03.000Z (1 min ago, log offset 3).",
    "Reason: server b1 is leaving. It was moved there by holder e1.",
    "Before that it belonged to server b1.",
    "Entry VM e1 holds group orderdesk/erie in term 1, claimed 1 min ago.",
    "At 2026-12-04 06:00:10.000Z e1, move started: Moves from b1 to b2.",
    "At 2026-12-04 06:00:10.001Z e1, move effective: Owned by b2.",
    "Next: nothing is pending; it stays while its server is live and balanced.",
    "To do: nothing; `jaytiller assign orderdesk --shard 0 --to SERVER` would " +
    "move it.",
  ]);
});

/** Guards against advice that does not fit the state of the key. */
test("each state of a key has its next step and its advice", () => {
  const K = EventKind;
  const silent = { kind: K.ServerSuspected, server: "b2", text: "silent" };
  const heard = { ...silent, kind: K.ServerHeard };
  const peer = { kind: K.PeerSuspected, server: "e2", text: "silent" };
  const lost = { kind: K.LogLost, text: "silent" };
  const start = { kind: K.MoveStarted, unit: "s:0" as const, text: "To b1" };
  const unit = { service: "orderdesk", unit: "s:0" };
  const assign = record(RecordKind.Assign, { change, ...unit, server: "b1" });
  const drain = record(RecordKind.Drain, { change, server: "b2" });
  const confirm = record(RecordKind.ConfirmLost, { change, vm: "e2" });
  const toB3 = move("b2", "b3", "load");
  const nothingPending = [/nothing is pending/];
  const cases: [string, LogRecord[], EventFields[], RegExp[]][] = [
    ["no owner", [ROUTE], [], [/No server owns it yet/, /assign/]],
    ["no route", [], [], [/has no route/, /route put/]],
    ["log lost", MOVED, [lost], [/nothing moves/, /restore/]],
    ["log heard", MOVED, [lost, { ...lost, kind: K.LogHeard }], nothingPending],
    ["silent", MOVED, [silent], [/b2 is silent since/, /lease has expired/]],
    ["unlisted", [...MOVED, move("b2", "b4", "")], [], [/not on the VM list/]],
    ["heard", MOVED, [silent, heard], nothingPending],
    ["both", MOVED, [silent, peer], [/e2 is silent too/, /confirm-lost e2/]],
    ["confirmed", [...MOVED, confirm], [silent, peer], [/lease has expired/]],
    ["assigned", [...MOVED, assign], [], [
      /ann assigned it to server b1 \(rack work\)/,
      /unassign orderdesk --shard 0/,
    ]],
    ["drained", [...MOVED, drain], [], [/drained/, /undrain b2/]],
    ["leaving", [...MOVED, toB3], [], [/Server b3 is leaving/]],
    ["moving", MOVED, [start], [/under way since .*To b1/]],
  ];
  const vms = [...VMS, makeVm("b3", { state: VmState.Leaving })];
  for (const [name, records, fields, expected] of cases) {
    const text = explain(records, { events: makeEvents(...fields), vms })
      .join("\n");
    for (const pattern of expected) assert.match(text, pattern, name);
    assert.equal(
      /nothing is pending/.test(text),
      expected === nothingPending,
      name,
    );
  }
});

/** Guards against a report that states the wrong outcome of a request. */
test("a request is explained by its events and its outcome", () => {
  const K = EventKind;
  const identity = "0193f0a0-0000-7000-8000-000000000001";
  const makeRequestEvent = (
    kind: EventKind,
    fields: Partial<EventFields> = {},
  ) => ({
    ...{ service: "orderdesk", key: "a", requestId: "r1", text: "note" },
    ...fields,
    kind,
  });
  const received = makeRequestEvent(K.RequestReceived);
  const sent = makeRequestEvent(K.RequestSent, {
    unit: "s:0",
    server: "b2",
    token: "1.0",
  });
  const answered = makeRequestEvent(K.RequestAnswered);
  const refused = makeRequestEvent(K.RequestRefused, { text: "overloaded" });
  const unknown = makeRequestEvent(K.RequestUnknown);
  const first = { ...unknown, identity };
  const second = { ...answered, identity, requestId: "r2" };
  const cases: [string, EventFields[], string, RegExp[]][] = [
    ["unheard of", [received], "r9", [/No event mentions r9/]],
    ["waiting", [received], "r1", [/It is waiting/, /explain key/]],
    ["running", [received, sent], "r1", [
      /holder e1 sent it to server b2, which owned unit s:0, under token 1.0/,
      /It is running/,
    ]],
    ["answered", [received, sent, answered], "R1", [/It was answered/]],
    ["refused", [refused], "r1", [/refused it: overloaded/, /was not run/]],
    ["unknown", [sent, unknown], "r1", [
      /may have run/,
      /same idempotency key/,
    ]],
    ["sent late", [refused, sent], "r1", [/was not run/]],
    ["by identity", [first, second], identity, [
      /Attempt 1 of 2, request r1/,
      /Attempt 2 of 2, request r2/,
    ]],
    ["other attempts", [first, second], "r1", [/Other attempts .*: r2/]],
  ];
  for (const [name, fields, requestId, expected] of cases) {
    const events = makeEvents(...fields);
    const text = explainRequest({ requestId, events }).join("\n");
    for (const pattern of expected) assert.match(text, pattern, name);
  }
  // The response reaches the holder after the entry router has reported the
  // outcome as unknown.
  const events = makeEvents(received, unknown, answered)
    .map((e, n) => n === 2 ? { ...e, node: "e2" } : e);
  const lines = explainRequest({ requestId: "r1", events });
  assert.ok(lines.includes("It may have run."));
});
