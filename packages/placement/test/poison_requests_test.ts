/** Tests detection of requests that crash the servers that process them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashDetector, PoisonRequestTracker } from "../src/mod.js";

/** What a router observes after sending the request. */
enum Outcome {
  /** The exchange broke, and the server was then found to be down. */
  Crash = "crash",
  /** The exchange broke, and the server was not found to be down. */
  Broken = "broken",
  Answer = "answer",
}

interface Case {
  readonly failure: string;
  /** Router, server and outcome of each send of the same request. */
  readonly sends: readonly (readonly [number, string, Outcome])[];
  readonly isRefused: boolean;
}

const CASES: readonly Case[] = [
  {
    failure:
      "a request crashes one server after another through several routers",
    sends: [
      [0, "a", Outcome.Crash],
      [1, "b", Outcome.Crash],
      [2, "c", Outcome.Crash],
    ],
    isRefused: true,
  },
  {
    failure:
      "a request is refused only once the third server is confirmed down",
    sends: [
      [0, "a", Outcome.Crash],
      [1, "b", Outcome.Crash],
      [2, "c", Outcome.Broken],
    ],
    isRefused: true,
  },
  {
    failure: "a request is refused after two servers crashed by coincidence",
    sends: [[0, "a", Outcome.Crash], [1, "b", Outcome.Crash]],
    isRefused: false,
  },
  {
    failure: "a request whose responses were lost is refused",
    sends: [
      [0, "a", Outcome.Broken],
      [1, "b", Outcome.Broken],
      [2, "c", Outcome.Broken],
    ],
    isRefused: false,
  },
  {
    failure: "a request is refused because one server crashed repeatedly",
    sends: [
      [0, "a", Outcome.Crash],
      [1, "a", Outcome.Crash],
      [2, "a", Outcome.Crash],
    ],
    isRefused: false,
  },
  {
    failure: "a request that a server answered is refused",
    sends: [
      [0, "a", Outcome.Crash],
      [0, "b", Outcome.Broken],
      [0, "c", Outcome.Answer],
      [1, "d", Outcome.Crash],
    ],
    isRefused: false,
  },
];

for (const { failure, sends, isRefused } of CASES) {
  test(`poison requests, guards against: ${failure}`, () => {
    const detectors = [
      new CrashDetector(),
      new CrashDetector(),
      new CrashDetector(),
    ];
    const tracker = new PoisonRequestTracker();
    const fingerprint = "f";
    let nowMs = 0;
    for (const [router, server, outcome] of sends) {
      nowMs += 500;
      const detector = detectors[router]!;
      const life = `${server}/1`;
      if (outcome === Outcome.Answer) detector.markAnswered(fingerprint);
      else detector.recordBroken({ fingerprint, server, life, atMs: nowMs });
      if (outcome === Outcome.Crash) detector.markDown(server, nowMs + 100);
      tracker.add(detector.takeReport(nowMs), nowMs);
    }
    assert.equal(
      tracker.listPoisonRequests(nowMs).includes(fingerprint),
      isRefused,
    );
  });
}

test("a request is not refused forever", () => {
  const tracker = new PoisonRequestTracker();
  const crashes = ["a", "b", "c"].map((life) => ({
    fingerprint: "f",
    life,
    isCertain: true,
  }));
  tracker.add({ crashes, answered: [] }, 0);
  assert.deepEqual(tracker.listPoisonRequests(1_000), ["f"]);
  assert.deepEqual(tracker.listPoisonRequests(3_600_000), []);
});
