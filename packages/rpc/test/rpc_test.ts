import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { EventKind, type TimelineEvent } from "@jaytiller/model";
import {
  bindOperatorServer,
  formatEvent,
  type Method,
  OperatorClient,
  OperatorError,
  OperatorErrorKind,
  type OperatorHandlers,
  parseEvent,
  readUnit,
} from "../src/mod.js";

const CHANGE = {
  operator: "kim",
  reason: "move away from vm-3",
  changeId: "8c2a1f4e-0000-4000-8000-000000000001",
};

/** Returns handlers that reject all calls except those in `overrides`. */
function makeHandlers(overrides: Partial<OperatorHandlers>): OperatorHandlers {
  const reject = () => Promise.reject(new Error("Unexpected call"));
  const names: readonly Method[] = [
    "putRoute",
    "removeRoute",
    "assign",
    "unassign",
    "drain",
    "undrain",
    "confirmLost",
    "liftPoison",
    "getState",
    "getHistory",
    "explain",
    "getTimeline",
    "getChange",
    "getMetrics",
  ];
  const allHandlers = Object.fromEntries(names.map((name) => [name, reject]));
  return { ...allHandlers, ...overrides } as OperatorHandlers;
}

async function useServer(
  overrides: Partial<OperatorHandlers>,
  run: (client: OperatorClient) => Promise<void>,
): Promise<void> {
  const server = await bindOperatorServer(makeHandlers(overrides), {
    host: "127.0.0.1",
    port: 0,
  });
  const client = await OperatorClient.connect(`127.0.0.1:${server.port}`);
  try {
    await run(client);
  } finally {
    client.close();
    await server.stop();
  }
}

async function getRejection(promise: Promise<unknown>): Promise<OperatorError> {
  const error = await promise.then(() => undefined, (e: unknown) => e);
  assert.ok(error instanceof OperatorError, String(error));
  return error;
}

/** Guards against fields that are lost or change type in transmission. */
test("requests and replies keep their values", async () => {
  await useServer({
    assign: (request) => {
      assert.equal(readUnit(request), "s:0");
      assert.deepEqual(request.change, {
        ...CHANGE,
        dryRun: false,
        expectVersion: 2 ** 40,
        _expectVersion: "expectVersion",
      });
      return Promise.resolve({
        accepted: { version: 2 ** 50, inForceOn: ["vm-1"], pendingOn: [] },
      });
    },
    drain: (request) => {
      assert.equal(request.change!.expectVersion, undefined);
      return Promise.resolve({ planned: { lines: ["s:0 would move"] } });
    },
  }, async (client) => {
    const result = await client.assign({
      change: { ...CHANGE, expectVersion: 2 ** 40 },
      service: "orderdesk",
      shard: 0,
      server: "vm-9",
    });
    assert.equal(result.result, "accepted");
    assert.deepEqual(result.accepted, {
      version: 2 ** 50,
      inForceOn: ["vm-1"],
      pendingOn: [],
    });
    const planned = await client.drain({ change: CHANGE, server: "vm-3" });
    assert.deepEqual(planned.planned, { lines: ["s:0 would move"] });
  });
});

/** Guards against anonymous or malformed changes that reach a handler. */
test("invalid changes are answered with all findings", async () => {
  await useServer({}, async (client) => {
    const cases: [Promise<{ invalid?: unknown }>, string[]][] = [
      [client.drain({ server: "vm-3" }), [
        "change.operator",
        "change.reason",
        "change.change_id",
      ]],
      [client.assign({ change: { ...CHANGE, reason: " " }, server: "" }), [
        "change.reason",
        "service",
        "unit",
        "server",
      ]],
      [client.putRoute({ change: CHANGE }), ["route"]],
      [client.unassign({ change: CHANGE, service: "a", key: "" }), ["key"]],
      [client.unassign({ change: CHANGE, service: "a", shard: -1 }), ["shard"]],
    ];
    for (const [work, paths] of cases) {
      const { invalid } = await work;
      const { findings } = invalid as { findings: { path: string }[] };
      assert.deepEqual(findings.map((f) => f.path), paths);
    }
  });
});

/**
 * Guards against a rejected call that the client reports as possibly executed,
 * and the reverse.
 */
test("errors of handlers keep their kind", async () => {
  const cases: [Error, OperatorErrorKind][] = [
    [
      new OperatorError(OperatorErrorKind.NotReady, "Reading the log"),
      OperatorErrorKind.NotReady,
    ],
    [
      new OperatorError(OperatorErrorKind.NotFound, "No such request"),
      OperatorErrorKind.NotFound,
    ],
    [new Error("Broken"), OperatorErrorKind.Lost],
  ];
  for (const [thrown, kind] of cases) {
    const explain = () => Promise.reject(thrown);
    await useServer({ explain }, async (client) => {
      const error = await getRejection(client.explain({ requestId: "r" }));
      assert.equal(error.kind, kind);
      assert.ok(error.message.endsWith(thrown.message), error.message);
    });
  }
});

/** Guards against messages that exhaust the memory of a router. */
test("messages above 4 MiB are rejected", async () => {
  await useServer({}, async (client) => {
    const request = { object: "x".repeat(5 * 1024 * 1024) };
    await getRejection(client.getHistory(request));
  });
});

/** Guards against calls that hang on an unreachable or unresponsive router. */
test("calls tell unreachable from unresponsive routers", async () => {
  const refusedError = await getRejection(
    OperatorClient.connect("127.0.0.1:1"),
  );
  assert.equal(refusedError.kind, OperatorErrorKind.Unreachable);
  const sockets: Socket[] = [];
  const silent = createServer((socket) => void sockets.push(socket));
  silent.listen(0, "127.0.0.1");
  await new Promise((resolve) => silent.once("listening", resolve));
  const { port } = silent.address() as AddressInfo;
  const silentError = await getRejection(
    OperatorClient.connect(`127.0.0.1:${port}`, { deadlineMs: 200 }),
  );
  assert.equal(silentError.kind, OperatorErrorKind.Unreachable);
  silent.close();
  for (const socket of sockets) socket.destroy();
  const server = await bindOperatorServer(
    makeHandlers({ getState: () => new Promise(() => {}) }),
    { host: "127.0.0.1", port: 0 },
  );
  const client = await OperatorClient.connect(`127.0.0.1:${server.port}`, {
    deadlineMs: 2_000,
  });
  const lost = await getRejection(client.getState());
  assert.equal(lost.kind, OperatorErrorKind.Lost);
  client.close();
  await server.stop();
});

/** Guards against event fields that change in transmission. */
test("events are unchanged after conversion to a message and back", () => {
  const event: TimelineEvent = {
    hlc: "1700000000000.000001.vm-1",
    node: "vm-1",
    kind: EventKind.MoveEffective,
    unit: "k:a b",
    group: "orderdesk/toledo",
    offset: 0,
    text: "Moved.",
  };
  const message = formatEvent(event);
  const parsed = parseEvent(message as Parameters<typeof parseEvent>[0]);
  assert.deepEqual(parsed, event);
});
