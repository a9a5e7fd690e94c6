/** Requests that crash the servers that run them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashBook, CrashWatch } from "../src/mod.js";

/** What a router sees of one send. */
enum Sight {
  /** The exchange broke, and the server was down afterwards. */
  Crash = "crash",
  /** The exchange broke, and the server lives. */
  Broken = "broken",
  Answer = "answer",
}

interface Case {
  readonly guards: string;
  /** Router, server and sight of each send of the same request. */
  readonly sends: readonly (readonly [number, string, Sight])[];
  readonly isBarred: boolean;
}

const CASES: readonly Case[] = [
  {
    guards: "a request crashes server after server through several routers",
    sends: [[0, "a", Sight.Crash], [1, "b", Sight.Crash], [
      2,
      "c",
      Sight.Crash,
    ]],
    isBarred: true,
  },
  {
    guards: "the third crash is waited for until the server is seen down",
    sends: [
      [0, "a", Sight.Crash],
      [1, "b", Sight.Crash],
      [2, "c", Sight.Broken],
    ],
    isBarred: true,
  },
  {
    guards: "a request is refused after two servers that crashed by chance",
    sends: [[0, "a", Sight.Crash], [1, "b", Sight.Crash]],
    isBarred: false,
  },
  {
    guards: "a request whose answers were lost is refused",
    sends: [
      [0, "a", Sight.Broken],
      [1, "b", Sight.Broken],
      [2, "c", Sight.Broken],
    ],
    isBarred: false,
  },
  {
    guards: "one server that crashes again and again bars what it ran",
    sends: [[0, "a", Sight.Crash], [1, "a", Sight.Crash], [
      2,
      "a",
      Sight.Crash,
    ]],
    isBarred: false,
  },
  {
    guards: "a request that some server answers is refused",
    sends: [
      [0, "a", Sight.Crash],
      [0, "b", Sight.Broken],
      [0, "c", Sight.Answer],
      [1, "d", Sight.Crash],
    ],
    isBarred: false,
  },
];

for (const { guards, sends, isBarred } of CASES) {
  test(`crashing requests, guards against: ${guards}`, () => {
    const watches = [new CrashWatch(), new CrashWatch(), new CrashWatch()];
    const book = new CrashBook();
    const fingerprint = "f";
    let nowMs = 0;
    for (const [router, server, sight] of sends) {
      nowMs += 500;
      const watch = watches[router]!;
      const life = `${server}/1`;
      if (sight === Sight.Answer) watch.noteAnswered(fingerprint);
      else watch.noteBroken({ fingerprint, server, life, atMs: nowMs });
      if (sight === Sight.Crash) watch.noteDown(server, nowMs + 100);
      book.add(watch.takeReport(nowMs), nowMs);
    }
    assert.equal(book.listBarred(nowMs).includes(fingerprint), isBarred);
  });
}

test("a request is not refused for ever", () => {
  const book = new CrashBook();
  const crashes = ["a", "b", "c"].map((life) => ({
    fingerprint: "f",
    life,
    isCertain: true,
  }));
  book.add({ crashes, answered: [] }, 0);
  assert.deepEqual(book.listBarred(1_000), ["f"]);
  assert.deepEqual(book.listBarred(3_600_000), []);
});
