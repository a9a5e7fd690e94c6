/** Tests the capacities that the coordinator estimates for servers. */
import { type ServerEntry, ServerState, ServerView } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CapacityEstimator } from "../src/capacity_estimator.js";
import type { ServiceTime } from "../src/traffic_stats.js";

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
  readonly title: string;
  readonly reports: readonly (readonly ServiceTime[])[];
  readonly server: string;
  /** Lowest and highest expected capacity, requests per second. */
  readonly capacity: readonly [number, number];
}

const typical: readonly ServiceTime[] = [["a", 20, 4_000], ["b", 20, 4_000]];

const CASES: readonly Case[] = [
  {
    title: "one fast request followed by empty reports does not make a " +
      "server look a hundred times faster",
    reports: [typical, [["a", 1, 3]], [], [], [], []],
    server: "a",
    capacity: [12, 18],
  },
  {
    title: "a server with one measurement is assumed to be like the others",
    reports: [typical, [["c", 1, 3]]],
    server: "c",
    capacity: [12, 24],
  },
  {
    title: "a server that is twice as fast is recognized",
    reports: [typical, [["c", 40, 4_000]]],
    server: "c",
    capacity: [24, 31],
  },
];

for (const { title, reports, server, capacity } of CASES) {
  test(`capacity: ${title}`, () => {
    const estimator = new CapacityEstimator();
    for (const times of reports) estimator.addReport([], times);
    const view = makeView(["a", "b", "c"]);
    const found = estimator.makeCapacityLookup(view, "spec")(server);
    assert.ok(found >= capacity[0] && found <= capacity[1], `${found}/s`);
  });
}
