/** What the coordinator takes servers to be able to do. */
import { type ServerEntry, ServerState, ServerView } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CapacityBook } from "../src/capacity_book.js";
import type { ServiceTime } from "../src/stats_book.js";

const SLOTS = 3;

function makeView(ids: readonly string[]): ServerView {
  return ServerView.create(ids.map((id): ServerEntry => ({
    id,
    born: 1,
    service: "spec",
    address: "10.0.0.1:80",
    zone: "z",
    slots: SLOTS,
    state: ServerState.Ready,
    sequence: 1,
  })));
}

interface Case {
  readonly guards: string;
  readonly reports: readonly (readonly ServiceTime[])[];
  readonly server: string;
  /** Requests per second, at least and at most. */
  readonly capacity: readonly [number, number];
}

const usual: readonly ServiceTime[] = [["a", 20, 4_000], ["b", 20, 4_000]];

const CASES: readonly Case[] = [
  {
    guards: "one quick request of a router that is repeated in no report " +
      "must not make a server seem a hundred times faster",
    reports: [usual, [["a", 1, 3]], [], [], [], []],
    server: "a",
    capacity: [12, 18],
  },
  {
    guards: "a server with one measurement is like the others",
    reports: [usual, [["c", 1, 3]]],
    server: "c",
    capacity: [12, 24],
  },
  {
    guards: "a server that is twice as fast is found out",
    reports: [usual, [["c", 40, 4_000]]],
    server: "c",
    capacity: [24, 31],
  },
];

for (const { guards, reports, server, capacity } of CASES) {
  test(`capacity: ${guards}`, () => {
    const book = new CapacityBook();
    for (const times of reports) book.addReport([], times);
    const view = makeView(["a", "b", "c"]);
    const found = book.makeCapacities(view, "spec")(server);
    assert.ok(found >= capacity[0] && found <= capacity[1], `${found}/s`);
  });
}
