import assert from "node:assert/strict";
import { test } from "node:test";
import type { EventInput, GetTimelineRequest } from "@jaytiller/rpc";
import { ExitCode } from "../src/mod.js";
import { runBinary, useRouter } from "./fixture.js";

const GONE = "127.0.0.1:1";

function makeEvent(ms: number, node: string): EventInput {
  const hlc = `170000000${String(ms).padStart(4, "0")}.000000.${node}`;
  return {
    hlc,
    node,
    kind: "moveEffective",
    fields: { unit: "s:1" },
    text: "",
  };
}

/** Guards against misordered, duplicate or missing events. */
test("events of all known routers are merged by timestamp", async () => {
  const requests: GetTimelineRequest[] = [];
  await useRouter({
    getTimeline: (request) => {
      requests.push(request);
      return Promise.resolve({
        events: [makeEvent(2, "b"), makeEvent(4, "b")],
      });
    },
  }, (second) =>
    useRouter({
      getState: () =>
        Promise.resolve({
          node: "a",
          routers: [
            { id: "a", operatorAddress: "10.255.255.1:1" },
            { id: "b", operatorAddress: second },
            { id: "c", operatorAddress: GONE },
            { id: "d" },
          ],
        }),
      getTimeline: () =>
        Promise.resolve({ events: [makeEvent(1, "a"), makeEvent(3, "a")] }),
    }, async (first) => {
      const args = ["timeline", "--at", first, "--key", "7", "--since", "1h"];
      const { code, out, err } = await runBinary(args);
      assert.equal(code, ExitCode.Done, err);
      const nodes = out.trim().split("\n").map((l) => l.split(" ")[1]);
      assert.deepEqual(nodes, ["a", "b", "a", "b"]);
      assert.match(out, /^2023-11-14T22:13:20\.001Z\.000000 a moveEffective/);
      assert.match(err, /No events: No connection to 127\.0\.0\.1:1/);
      const both = ["--at", first, "--at", second, "--at", second];
      const limited = await runBinary(
        ["timeline", "--limit", "3", "--json", ...both],
      );
      assert.equal(limited.out.trim().split("\n").length, 3);
    }));
  assert.equal(requests[0]!.key, "7");
  assert.ok(Math.abs(requests[0]!.fromMs! - (Date.now() - 3_600_000)) < 60_000);
});

/** Guards against new events that are lost or shown twice. */
test("follow shows each new event once until interrupted", async () => {
  const after: (string | undefined)[] = [];
  await useRouter({
    getState: () => Promise.resolve({ node: "a" }),
    getTimeline: (request) => {
      after.push(request.afterHlc);
      const ms = after.length;
      const events = ms <= 3 ? [makeEvent(ms, "a")] : [];
      return Promise.resolve({ events });
    },
  }, async (at) => {
    const { code, out } = await runBinary(
      ["timeline", "--follow", "--at", at],
      { interruptOn: /20\.003Z/ },
    );
    assert.equal(code, ExitCode.Done);
    const times = out.trim().split("\n").map((l) => l.slice(20, 23));
    assert.deepEqual(times, ["001", "002", "003"]);
  });
  const stamps = [1, 2, 3].map((ms) => makeEvent(ms, "a").hlc);
  assert.deepEqual(after.slice(0, 4), [undefined, ...stamps]);
});
