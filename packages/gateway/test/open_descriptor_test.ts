/** Exchanges leave no connection open, however they end. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { ExchangeEnd } from "../src/exchange.js";
import { exchange, HEAD, listen } from "./exchange_fixture.js";

const WAIT_MS = 2_000;

interface RejectedCase {
  readonly title: string;
  readonly response: string;
}

const REJECTED_CASES: readonly RejectedCase[] = [
  {
    title: "without a signature",
    response: "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 2\r\n\r\nok",
  },
  {
    title: "to another request",
    response: "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 2\r\n\r\nok",
  },
  {
    title: "with an encoding",
    response: `${HEAD}content-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`,
  },
  { title: "cut short", response: `${HEAD}content-length: 9\r\n\r\nok` },
];

function countConnections(): number {
  return process.getActiveResourcesInfo()
    .filter((name) => name === "TCPSocketWrap").length;
}

// Guards against a descriptor that stays open for each response that is not
// passed on, until none is left.
for (const { title, response } of REJECTED_CASES) {
  test(`a response ${title} leaves no connection open`, async () => {
    const before = countConnections();
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => socket.end(response));
    });
    const result = await exchange({ address: await listen(server) });
    server.close();
    assert.equal(result.end, ExchangeEnd.Broken, result.problem);
    const endMs = Date.now() + WAIT_MS;
    while (countConnections() > before && Date.now() < endMs) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    assert.equal(countConnections(), before);
  });
}
