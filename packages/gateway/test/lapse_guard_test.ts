/** Servers whose entries run out while the store is away. */
import { type ServerEntry, ServerState, ServerView } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LapseGuard } from "../src/lapse_guard.js";

const HEARTBEAT_MS = 1_000;

function makeEntry(state: ServerState): ServerEntry {
  return {
    id: "i-1",
    born: 1,
    service: "s",
    address: "h:1",
    zone: "z",
    slots: 2,
    state,
    sequence: 1,
  };
}

interface Case {
  readonly guards: string;
  readonly state: ServerState;
  /** Age of the view before the read that shows the server missing, ms. */
  readonly gapMs: number;
  readonly returns: boolean;
  /** Time after the store's return at which the server is gone, ms. */
  readonly goneAtMs: number | undefined;
}

const CASES: readonly Case[] = [
  {
    guards: "a server that leaves on a calm day is gone at once",
    state: ServerState.Ready,
    gapMs: 400,
    returns: false,
    goneAtMs: 0,
  },
  {
    guards: "a server that lives is not dropped as the store returns",
    state: ServerState.Ready,
    gapMs: 5_000,
    returns: true,
    goneAtMs: undefined,
  },
  {
    guards: "a server that stays missing is gone after about two seconds",
    state: ServerState.Ready,
    gapMs: 5_000,
    returns: false,
    goneAtMs: 2_200,
  },
  {
    guards: "a server that leaves while the store refuses one router for a " +
      "moment is gone at once: no entry runs out in so short a time",
    state: ServerState.Ready,
    gapMs: 1_500,
    returns: false,
    goneAtMs: 0,
  },
  {
    guards: "entries that run out early in an outage of two heartbeats",
    state: ServerState.Ready,
    gapMs: 2_000,
    returns: true,
    goneAtMs: undefined,
  },
  {
    guards: "a server that had announced its end is not waited for",
    state: ServerState.Draining,
    gapMs: 5_000,
    returns: false,
    goneAtMs: 0,
  },
];

for (const { guards, state, gapMs, returns, goneAtMs } of CASES) {
  test(`lapsed entries: ${guards}`, () => {
    const guard = new LapseGuard(HEARTBEAT_MS);
    const view = ServerView.create([makeEntry(state)]);
    guard.noteRead({ gapMs, nowMs: 0 });
    let goneAt: number | undefined;
    for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
      const news = nowMs === 0 ? [{ id: "i-1" }] : [];
      const back = returns && nowMs === 1_000
        ? [{ id: "i-1", entry: makeEntry(state) }]
        : [];
      const passed = guard.filter([...news, ...back], view, nowMs);
      if (passed.some((c) => !c.entry)) goneAt ??= nowMs;
    }
    assert.equal(goneAt, goneAtMs);
  });
}
