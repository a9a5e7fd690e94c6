/** Collecting the chunks of a body, and reading them at a bounded rate. */
import assert from "node:assert/strict";
import { Agent, createServer } from "node:http";
import { test } from "node:test";
import fc from "fast-check";
import { BodyChunks } from "../src/body_chunks.js";
import { ChunkPacer } from "../src/chunk_pacer.js";
import { ExchangeEnd } from "../src/exchange.js";
import { exchange, listen } from "./exchange_fixture.js";

/** Lengths of chunks, most of them small. */
const lengths = fc.array(
  fc.oneof(
    { weight: 5, arbitrary: fc.nat(40) },
    { weight: 1, arbitrary: fc.nat(40_000) },
  ),
  { maxLength: 300 },
);

// Guards against a body that is not what was received.
test("a body is the sequence of its chunks", () => {
  fc.assert(
    fc.property(lengths, (list) => {
      const chunks = new BodyChunks();
      const sent = list.map((length, i) => Buffer.alloc(length, i));
      let taken = 0;
      for (const chunk of sent) taken += chunks.add(chunk);
      assert.ok(chunks.concat().equals(Buffer.concat(sent)));
      assert.equal(chunks.count, sent.length);
      assert.ok(taken >= chunks.size);
    }),
    { seed: 34 },
  );
});

// Guards against small chunks that each keep the block that was read.
test("small chunks take hardly more memory than their bytes", () => {
  const chunks = new BodyChunks();
  let taken = 0;
  for (let i = 0; i < 50_000; i++) {
    taken += chunks.add(Buffer.alloc(65_536).subarray(0, 1));
  }
  assert.equal(chunks.size, 50_000);
  assert.ok(taken < 100_000, `${taken} bytes`);
});

const BODY_PARTS = 12_000;

// Guards against a paced response that is changed or never read to its end, and
// against a paused connection that is used again.
test("a response in many small chunks is whole, and so is the next", async () => {
  const text = "some text of 24 bytes...";
  const server = createServer((request, response) => {
    response.writeHead(200, { "x-id": "a", "x-signature": "s" });
    const count = request.url === "/many" ? BODY_PARTS : 1;
    for (let i = 0; i < count; i++) response.write(text);
    response.end();
  });
  const address = await listen(server);
  const pacer = new ChunkPacer();
  const agent = new Agent({ keepAlive: true });
  const options = { agent, address, pacer, timeoutMs: 20_000 };
  const many = await Promise.all(
    [1, 2, 3].map(() => exchange({ ...options, target: "/many" })),
  );
  const others = await Promise.all([1, 2, 3].map(() => exchange(options)));
  for (const { end, answer, problem } of many) {
    assert.equal(end, ExchangeEnd.Answered, problem);
    assert.equal(answer?.body.toString(), text.repeat(BODY_PARTS));
  }
  for (const { answer } of others) assert.equal(answer?.body.toString(), text);
  assert.equal(pacer.waiting, 0);
  agent.destroy();
  server.close();
});
