/** Which server gets work that any server of a service can do. */
import { type ServerEntry, ServerState } from "@jaytiller/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseServer, ExchangeSign, ServerStats } from "../src/mod.js";

/** What a router has seen of a server. */
interface Seen {
  readonly zone?: string;
  /** Time of its answers, ms. */
  readonly answerMs?: number;
  readonly inFlight?: number;
  readonly failures?: number;
  readonly isSilent?: boolean;
}

interface Case {
  readonly guards: string;
  readonly servers: Readonly<Record<string, Seen>>;
  readonly bytes?: number;
  readonly tried?: readonly string[];
  readonly best: string | undefined;
  readonly heard: number;
}

const CASES: readonly Case[] = [
  {
    guards: "a slow server gets as much as a fast one",
    servers: { slow: { answerMs: 400 }, fast: { answerMs: 100 } },
    best: "fast",
    heard: 2,
  },
  {
    guards: "large bodies cross zones although a near server is free",
    servers: { far: { zone: "z2", answerMs: 80 }, near: { answerMs: 150 } },
    bytes: 60_000,
    best: "near",
    heard: 2,
  },
  {
    guards: "small requests wait for a busy near server",
    servers: {
      far: { zone: "z2", answerMs: 100 },
      near: { answerMs: 100, inFlight: 4 },
    },
    bytes: 100,
    best: "far",
    heard: 2,
  },
  {
    guards: "a server that fails is as good as another",
    servers: {
      grey: { answerMs: 60, failures: 3 },
      sound: { answerMs: 150 },
    },
    best: "sound",
    heard: 2,
  },
  {
    guards: "a server that cannot be reached gets work",
    servers: { dark: { isSilent: true }, up: { answerMs: 900 } },
    best: "up",
    heard: 1,
  },
  {
    guards: "a request goes to a server that it was sent to before",
    servers: { a: { answerMs: 50 }, b: { answerMs: 500 } },
    tried: ["a"],
    best: "b",
    heard: 2,
  },
  {
    guards: "a server gets more than it has been seen to take",
    servers: { full: { answerMs: 50, inFlight: 99 } },
    best: undefined,
    heard: 1,
  },
];

const NOW_MS = 10_000;

function makeCandidate(id: string, seen: Seen) {
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
  const end = (sign: ExchangeSign, latencyMs?: number) => {
    stats.begin();
    const facts = latencyMs === undefined ? {} : { latencyMs };
    stats.end(sign, { nowMs: NOW_MS, ...facts });
  };
  for (let i = 0; seen.answerMs !== undefined && i < 5; i++) {
    end(ExchangeSign.Answer, seen.answerMs);
  }
  for (let i = 0; i < (seen.failures ?? 0); i++) end(ExchangeSign.Failure);
  if (seen.isSilent) end(ExchangeSign.Silence);
  for (let i = 0; i < (seen.inFlight ?? 0); i++) stats.begin();
  return { entry, stats };
}

for (const { guards, servers, bytes, tried, best, heard } of CASES) {
  test(`choice of a server, guards against: ${guards}`, () => {
    const candidates = Object.entries(servers)
      .map(([id, seen]) => makeCandidate(id, seen));
    const choice = chooseServer(candidates, {
      nowMs: NOW_MS,
      zone: "z1",
      bytes: bytes ?? 1_000,
      tried: new Set(tried),
      assumedMs: 100,
      random: () => 0.5,
    });
    assert.equal(choice.best?.entry.id, best);
    assert.equal(choice.heard, heard);
  });
}
