import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureKind, VmListClient } from "../src/mod.js";
import { TestServer } from "./test_server.js";

const ENTRY = {
  id: "vm-1",
  kind: "entry",
  zone: "toledo",
  state: "live",
  url: "http://127.0.0.1:8000",
  peerUrl: "http://127.0.0.1:8001",
  operatorAddress: "127.0.0.1:8002",
};
const BACKEND = {
  id: "vm-2",
  kind: "backend",
  zone: "toledo",
  state: "leaving",
  service: "orderdesk",
  url: "http://127.0.0.1:9000",
};

/** Guards against an invalid list that is read as a list without VMs. */
test("a valid list is read, and an error names the path of the value", async () => {
  const testServer = await TestServer.start();
  const client = VmListClient.create({ url: testServer.url, timeoutMs: 1_000 });
  testServer.answer(200, { vms: [ENTRY, BACKEND], asOfMs: 12.5 });
  const list = (await client.read()).unsafeCoerce();
  assert.deepEqual(list, { vms: [ENTRY, BACKEND], asOfMs: 12.5 });
  const cases: [unknown, RegExp][] = [
    [[], /^\$: expected an object/],
    [{ asOfMs: 1 }, /^vms: expected a list/],
    [{ vms: [ENTRY] }, /^asOfMs: expected a number/],
    [{ vms: [ENTRY, ENTRY], asOfMs: 1 }, /^vms\[1\]\.id: .* unique/],
    ...([
      [{ ...ENTRY, state: "gone" }, /^vms\[0\]\.state: expected one of live,/],
      [{ ...ENTRY, url: "vm:80" }, /^vms\[0\]\.url: /],
      [{ ...ENTRY, operatorAddress: "x" }, /^vms\[0\]\.operatorAddress: /],
      [
        { ...BACKEND, service: "" },
        /^vms\[0\]\.service: expected text/,
      ],
      [{ ...BACKEND, id: undefined }, /^vms\[0\]\.id: .*found nothing/],
    ] as [unknown, RegExp][]).map(([vm, text]): [unknown, RegExp] => [
      { vms: [vm], asOfMs: 1 },
      text,
    ]),
  ];
  for (const [body, text] of cases) {
    testServer.answer(200, body);
    const failure = (await client.read()).swap().unsafeCoerce();
    assert.equal(failure.kind, FailureKind.Malformed);
    assert.match(failure.text, text);
  }
  client.stop();
  await testServer.stop();
});
