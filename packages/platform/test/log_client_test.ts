import assert from "node:assert/strict";
import { after, before, beforeEach, test } from "node:test";
import { type ClaimRecord, RecordKind } from "@jaytiller/model";
import { AppendKind, FailureKind, LogClient } from "../src/mod.js";
import { type RequestHandler, TestServer } from "./test_server.js";

const RECORD: ClaimRecord = {
  kind: RecordKind.Claim,
  id: "8c2a1f4e-0000-4000-8000-000000000001",
  hlc: "1700000000000.000000.vm-1",
  node: "vm-1",
  group: "orderdesk/toledo",
  supersedes: -1,
};
const READ = { from: 5, max: 10, waitMs: 0 };
const READ_REPLY = {
  records: [
    { offset: 5, atMs: 1, record: RECORD },
    { offset: 7, atMs: 2, record: { kind: "fromNewerVersion", id: "b" } },
  ],
  next: 8,
  oldest: 2,
};

let log: TestServer;
let client: LogClient;
before(async () => {
  log = await TestServer.start();
});
beforeEach(() => {
  client?.stop();
  client = LogClient.create({ url: log.url, timeoutMs: 1_000 });
});
after(async () => {
  client.stop();
  await log.stop();
});

const closeConnection: RequestHandler = (req) => req.socket.destroy();
const neverRespond: RequestHandler = () => {};
const truncateBody: RequestHandler = (req, res) => {
  res.writeHead(200, { "content-length": "20" });
  res.write('{"offset":', () => req.socket.destroy());
};

/** Guards against a lost response that is reported as a failed append. */
test("an append is reported as failed only if it certainly had no effect", async () => {
  const respond = (
    status: number,
    body: unknown,
    headers = {},
  ): RequestHandler => {
    return (_, res) =>
      void res.writeHead(status, headers).end(JSON.stringify(body));
  };
  const cases: [string, RequestHandler, AppendKind][] = [
    ["200", respond(200, { offset: 7 }), AppendKind.Appended],
    ["200 without offset", respond(200, {}), AppendKind.Unknown],
    ["200 with truncated body", truncateBody, AppendKind.Unknown],
    ["400", respond(400, {}), AppendKind.Failed],
    ["429", respond(429, {}), AppendKind.Failed],
    ["500", respond(500, {}), AppendKind.Unknown],
    ["503", respond(503, {}), AppendKind.Unknown],
    ["503 not run", respond(503, {}, { "x-not-run": "1" }), AppendKind.Failed],
    ["connection lost", closeConnection, AppendKind.Unknown],
    ["no response", neverRespond, AppendKind.Unknown],
  ];
  for (const [name, handler, expected] of cases) {
    log.respond = handler;
    const result = await client.append(RECORD);
    assert.equal(result.kind, expected, `${name}: ${JSON.stringify(result)}`);
  }
});

/**
 * Guards against an outage of the log whose appends are reported as unknown,
 * which blocks changes until their result is known.
 */
test("an append without a connection is reported as failed", async () => {
  const stoppedServer = await TestServer.start();
  const { url } = stoppedServer;
  await stoppedServer.stop();
  const lost = LogClient.create({ url, timeoutMs: 1_000 });
  const result = await lost.append(RECORD);
  assert.equal(result.kind, AppendKind.Failed);
  const read = (await lost.read(READ)).swap().unsafeCoerce();
  assert.equal(read.kind, FailureKind.Unavailable);
  lost.stop();
});

/** Guards against a reader that drops records of newer versions. */
test("entries are read in order, and unknown kinds are kept", async () => {
  log.answer(200, READ_REPLY);
  const reply = (await client.read(READ)).unsafeCoerce();
  assert.deepEqual(reply.entries, READ_REPLY.records);
  assert.deepEqual([reply.next, reply.oldest], [8, 2]);
  log.answer(200, {
    records: [{ offset: 5, atMs: 1, record: null }],
    next: 6,
    oldest: 0,
  });
  const malformedReply = (await client.read(READ)).unsafeCoerce();
  assert.deepEqual(malformedReply.entries[0]!.record, {
    kind: "malformed",
    value: null,
  });
});

/** Guards against a failed read that is reported as an empty log. */
test("each failed read is reported with its kind", async () => {
  const unordered = {
    ...READ_REPLY,
    records: [...READ_REPLY.records].reverse(),
  };
  const cases: [RequestHandler | [number, unknown], FailureKind, RegExp][] = [
    [[410, { oldest: 9 }], FailureKind.Truncated, /below 9, asked for 5/],
    [[410, {}], FailureKind.Malformed, /^oldest: expected/],
    [[500, {}], FailureKind.Unavailable, /with 500/],
    [[200, "{"], FailureKind.Malformed, /Expected JSON/],
    [
      [200, unordered],
      FailureKind.Malformed,
      /^records\[1\]\.offset: .* from 8/,
    ],
    [[200, { ...READ_REPLY, next: 7 }], FailureKind.Malformed, /^next: /],
    [closeConnection, FailureKind.Unavailable, /GET/],
    [truncateBody, FailureKind.Unavailable, /GET/],
    [neverRespond, FailureKind.Timeout, /within 1000 ms/],
  ];
  for (const [answer, kind, text] of cases) {
    if (Array.isArray(answer)) log.answer(answer[0], answer[1]);
    else log.respond = answer;
    const failure = (await client.read(READ)).swap().unsafeCoerce();
    assert.equal(failure.kind, kind, failure.text);
    assert.match(failure.text, text);
    if (kind === FailureKind.Truncated) assert.equal(failure.oldest, 9);
  }
});

/** Guards against a late response that is matched to the next request. */
test("connections are reused, but not after a timeout", async () => {
  const socketsBefore = log.sockets.length;
  log.answer(200, READ_REPLY);
  await client.read(READ);
  await client.read(READ);
  assert.equal(log.sockets.length, socketsBefore + 1);
  log.respond = neverRespond;
  await client.read(READ);
  log.answer(200, READ_REPLY);
  assert.ok((await client.read(READ)).isRight());
  assert.equal(log.sockets.length, socketsBefore + 2);
});

/** Guards against a client that opens a connection for every request. */
test("concurrent reads share four connections", async () => {
  const socketsBefore = log.sockets.length;
  log.answer(200, READ_REPLY);
  const replies = await Promise.all(
    Array.from({ length: 12 }, () => client.read(READ)),
  );
  assert.ok(replies.every((r) => r.isRight()));
  assert.ok(log.sockets.length - socketsBefore <= 4);
});

/** Guards against an oversized page that blocks every reader. */
test("an oversized page is read again with fewer entries", async () => {
  const requestedMax: string[] = [];
  log.respond = (req, res) => {
    const max = new URL(req.url!, log.url).searchParams.get("max")!;
    requestedMax.push(max);
    const padding = Number(max) > 3 ? " ".repeat(9 * 1024 * 1024) : "";
    res.end(`${padding}${JSON.stringify(READ_REPLY)}`);
  };
  const slowClient = LogClient.create({ url: log.url, timeoutMs: 5_000 });
  assert.ok((await slowClient.read(READ)).isRight());
  assert.deepEqual(requestedMax, ["10", "5", "2"]);
  slowClient.stop();
});
