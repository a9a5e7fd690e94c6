import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ChangeResultInput,
  ChangeState,
  type DrainRequest,
} from "@jaytiller/rpc";
import { ExitCode } from "../src/mod.js";
import { CHANGE_ID, runBinary, useRouter } from "./fixture.js";

const GONE = "127.0.0.1:1";
const ARGS = [
  "drain",
  "vm-3",
  "--reason",
  "rack 7",
  "--change-id",
  CHANGE_ID,
  "--timeout-ms",
  "1000",
];
const ACCEPTED: ChangeResultInput = {
  accepted: { version: 12, inForceOn: ["vm-1"], pendingOn: ["vm-2"] },
};

/** Never answers, as if the change were executed and its answer lost. */
const loseAnswer = () => new Promise<never>(() => {});

/** Guards against results whose exit code misleads a script. */
test("each result has its exit code", async () => {
  const cases: [ChangeResultInput, ExitCode, RegExp][] = [
    [ACCEPTED, ExitCode.Done, /server\/vm-3 is at version 12[^]*on: vm-2/],
    [
      { planned: { lines: ["s:1 would move to vm-4"] } },
      ExitCode.Done,
      /s:1 would move/,
    ],
    [
      {
        conflict: {
          operator: "ann",
          reason: "rack 6",
          version: 9,
          atMs: 1_700_000_000_000,
          currentVersion: 9,
        },
      },
      ExitCode.Refused,
      /ann changed server\/vm-3 to version 9 at 2023-11-14T22:13:20.000Z: rack 6/,
    ],
    [
      { invalid: { findings: [{ path: "server", message: "Expected text" }] } },
      ExitCode.BadInput,
      /server: Expected text/,
    ],
  ];
  for (const [result, expected, text] of cases) {
    await useRouter({ drain: () => Promise.resolve(result) }, async (at) => {
      const { code, out, err } = await runBinary([...ARGS, "--at", at]);
      assert.equal(code, expected, err);
      assert.match(expected === ExitCode.Done ? out : err, text);
      assert.match(err, new RegExp(`Change ${CHANGE_ID}: server/vm-3`));
    });
  }
});

/** Guards against changes that are sent without operator, reason or version. */
test("a change carries its operator, reason, version and UUID", async () => {
  const seen: DrainRequest[] = [];
  await useRouter({
    getHistory: () => Promise.resolve({ changes: [{ version: 7 }] }),
    drain: (request) => {
      seen.push(request);
      return Promise.resolve(ACCEPTED);
    },
  }, async (at) => {
    const gone = `${GONE},${at}`;
    const run = await runBinary([...ARGS, "--at", gone, "--json"]);
    assert.equal(JSON.parse(run.out).result.accepted.version, 12);
    await runBinary([...ARGS, "--at", at, "--expect-version", "3"]);
    await runBinary([...ARGS, "--at", at, "--dry-run", "--operator", "ann"]);
  });
  const sent = seen.map(({ change: c }) => [
    c!.operator,
    c!.reason,
    c!.changeId,
    c!.expectVersion,
    c!.dryRun,
  ]);
  assert.deepEqual(sent, [
    ["kim", "rack 7", CHANGE_ID, 7, false],
    ["kim", "rack 7", CHANGE_ID, 3, false],
    ["ann", "rack 7", CHANGE_ID, undefined, true],
  ]);
});

/**
 * Guards against a change that is reported as failed or executed twice after
 * its answer was lost.
 */
test("a change with a given UUID is queried before each send", async () => {
  const ids: (string | undefined)[] = [];
  let queryCount = 0;
  await useRouter({
    drain: (request) => {
      ids.push(request.change?.changeId);
      return ids.length === 1 ? loseAnswer() : Promise.resolve(ACCEPTED);
    },
    getChange: () => {
      queryCount += 1;
      return Promise.resolve({ state: ChangeState.CHANGE_STATE_NOT_SEEN });
    },
  }, async (at) => {
    const { code, err } = await runBinary([...ARGS, "--at", at]);
    assert.equal(code, ExitCode.Done, err);
  });
  assert.deepEqual(ids, [CHANGE_ID, CHANGE_ID]);
  assert.equal(queryCount, 2);
});

/** Guards against resending a change that the log already contains. */
test("a change that the log contains is not sent again", async () => {
  const withoutId = ARGS.filter((a) => a !== "--change-id" && a !== CHANGE_ID);
  const states: [ChangeState, ExitCode][] = [
    [ChangeState.CHANGE_STATE_ACCEPTED, ExitCode.Done],
    [ChangeState.CHANGE_STATE_REJECTED, ExitCode.Refused],
  ];
  for (const [state, expected] of states) {
    let sent = 0;
    await useRouter({
      drain: () => {
        sent += 1;
        return loseAnswer();
      },
      getChange: () => Promise.resolve({ state, change: { version: 12 } }),
    }, async (at) => {
      const { code, err } = await runBinary([...withoutId, "--at", at]);
      assert.equal(code, expected, err);
      const again = await runBinary([...ARGS, "--at", at]);
      assert.equal(again.code, expected, again.err);
    });
    assert.equal(sent, 1);
  }
});

/** Guards against a retry that overwrites a change made in between. */
test("a retry without a version loses to a newer change", async () => {
  let sent = 0;
  const winner = { version: 9, operator: "ann", reason: "rack 6", atMs: 1 };
  await useRouter({
    drain: () => {
      sent += 1;
      return loseAnswer();
    },
    getHistory: () => Promise.resolve({ changes: sent === 0 ? [] : [winner] }),
  }, async (at) => {
    const { code, err } = await runBinary([...ARGS, "--at", at]);
    assert.equal(code, ExitCode.Refused);
    assert.match(err, /ann changed server\/vm-3 to version 9/);
  });
  assert.equal(sent, 1);
});

/** Guards against a change that is reported as refused but may take effect. */
test("a change with an unresolved outcome is reported as unknown", async () => {
  await useRouter({
    drain: () =>
      Promise.resolve({ unknown: { changeId: CHANGE_ID, text: "Log down" } }),
  }, async (at) => {
    const { code, err } = await runBinary([...ARGS, "--at", `${at},${GONE}`]);
    assert.equal(code, ExitCode.Unknown);
    assert.match(err, new RegExp(`Ask with: jaytiller change ${CHANGE_ID}`));
    assert.match(err, new RegExp(`${CHANGE_ID} --expect-version 0`));
  });
  const gone = await runBinary([...ARGS, "--at", GONE]);
  assert.equal(gone.code, ExitCode.Unreachable);
});
