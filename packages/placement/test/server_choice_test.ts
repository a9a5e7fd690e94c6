/** Tests the choice of a server when any server of the service will do. */
import { type ServerEntry, ServerState } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseServer, ExchangeOutcome, ServerStats } from "../src/mod.js";

/** A router's observations of a server. */
interface ServerObservation {
  readonly zone?: string;
  /** Latency of its responses, ms. */
  readonly latencyMs?: number;
  readonly inFlight?: number;
  readonly failures?: number;
  readonly isSilent?: boolean;
}

interface Case {
  readonly failure: string;
  readonly servers: Readonly<Record<string, ServerObservation>>;
  readonly bytes?: number;
  readonly tried?: readonly string[];
  readonly best: string | undefined;
  readonly heard: number;
}

const CASES: readonly Case[] = [
  {
    failure: "a slow server receives as many requests as a fast one",
    servers: { slow: { latencyMs: 400 }, fast: { latencyMs: 100 } },
    best: "fast",
    heard: 2,
  },
  {
    failure: "large bodies cross zones although a local server is free",
    servers: { far: { zone: "z2", latencyMs: 80 }, near: { latencyMs: 150 } },
    bytes: 60_000,
    best: "near",
    heard: 2,
  },
  {
    failure: "small requests wait for a busy local server",
    servers: {
      far: { zone: "z2", latencyMs: 100 },
      near: { latencyMs: 100, inFlight: 4 },
    },
    bytes: 100,
    best: "far",
    heard: 2,
  },
  {
    failure: "a failing server is preferred because it responds faster",
    servers: {
      grey: { latencyMs: 60, failures: 3 },
      sound: { latencyMs: 150 },
    },
    best: "sound",
    heard: 2,
  },
  {
    failure: "an unreachable server receives requests",
    servers: { dark: { isSilent: true }, up: { latencyMs: 900 } },
    best: "up",
    heard: 1,
  },
  {
    failure: "a request is sent to the same server twice",
    servers: { a: { latencyMs: 50 }, b: { latencyMs: 500 } },
    tried: ["a"],
    best: "b",
    heard: 2,
  },
  {
    failure: "a server receives requests beyond its limit",
    servers: { full: { latencyMs: 50, inFlight: 99 } },
    best: undefined,
    heard: 1,
  },
];

const NOW_MS = 10_000;

function makeCandidate(id: string, seen: ServerObservation) {
  const entry: ServerEntry = {
    id,
    born: 1,
    service: "s",
    address: `${id}:1`,
    zone: seen.zone ?? "z1",
    slots: 3,
    state: ServerState.Ready,
    sequence: 1,
  };
  const stats = new ServerStats();
  const end = (sign: ExchangeOutcome, latencyMs?: number) => {
    stats.begin(1);
    const facts = latencyMs === undefined ? {} : { latencyMs };
    stats.end(sign, { nowMs: NOW_MS, ...facts });
  };
  for (let i = 0; seen.latencyMs !== undefined && i < 5; i++) {
    end(ExchangeOutcome.Answer, seen.latencyMs);
  }
  for (let i = 0; i < (seen.failures ?? 0); i++) end(ExchangeOutcome.Failure);
  if (seen.isSilent) end(ExchangeOutcome.Unreachable);
  for (let i = 0; i < (seen.inFlight ?? 0); i++) stats.begin(1);
  return { entry, stats };
}

for (const { failure, servers, bytes, tried, best, heard } of CASES) {
  test(`server choice, guards against: ${failure}`, () => {
    const candidates = Object.entries(servers)
      .map(([id, observed]) => makeCandidate(id, observed));
    const choice = chooseServer(candidates, {
      nowMs: NOW_MS,
      zone: "z1",
      routers: 1,
      bytes: bytes ?? 1_000,
      tried: new Set(tried),
      assumedMs: 100,
      random: () => 0.5,
    });
    assert.equal(choice.best?.entry.id, best);
    assert.equal(choice.heard, heard);
  });
}
