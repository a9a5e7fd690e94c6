import { DecisionKind } from "@jaytiller/admission";
import { RequestClass } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Clock } from "../src/clock.js";
import { ServerSlots } from "../src/server_slots.js";
import { AdmissionPolicy } from "../src/settings.js";

const CASES = [
  { policy: AdmissionPolicy.Classes, started: 1 },
  { policy: AdmissionPolicy.Fifo, started: 3 },
];

/**
 * Guards against a policy setting without effect, which would make benchmark
 * comparisons meaningless.
 */
test("only the plain policy gives all slots to bulk work at once", async () => {
  for (const { policy, started } of CASES) {
    const clock = new Clock("node");
    const slots = new ServerSlots({
      server: "server-1",
      service: "service",
      slots: 3,
      policy,
      clock,
    });
    const ended = new AbortController();
    let starts = 0;
    const entries = ["a", "b", "c"].map((id) =>
      slots.acquireSlot({
        id,
        class: RequestClass.Bulk,
        unit: "s:1",
        key: id,
        alone: false,
        deadlineAt: clock.now() + 60_000,
        signal: ended.signal,
      }).then(({ kind }) => {
        if (kind === DecisionKind.Start) starts += 1;
      })
    );
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(starts, started, policy);
    ended.abort();
    await Promise.all(entries);
  }
});
