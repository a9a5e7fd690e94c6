/** Signal that cancels a call when its caller disconnects. */
import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import type { Request } from "@hapi/hapi";
import type { CallRule } from "@jaytiller/model";
import { BodyKind } from "../src/call.js";
import { makeCancelSignal } from "../src/forwarder.js";

const BODY = { kind: BodyKind.Buffered, bytes: Buffer.alloc(0) } as const;

interface SignalCase {
  readonly title: string;
  readonly isIdempotent: boolean;
  readonly isAborted: boolean;
}

const SIGNAL_CASES: readonly SignalCase[] = [
  {
    title:
      "a call of a caller that left before the signal was made is cancelled",
    isIdempotent: true,
    isAborted: true,
  },
  {
    title: "a call that may run once continues for its identity",
    isIdempotent: false,
    isAborted: false,
  },
];

// Guards against a signal that never fires because its connection had closed
// before the signal listened to it.
for (const { title, isIdempotent, isAborted } of SIGNAL_CASES) {
  test(title, async () => {
    const raw = await receiveFromLeavingCaller();
    const rule = { idempotent: isIdempotent } as CallRule;
    const signal = makeCancelSignal({ raw } as unknown as Request, {
      rule,
      body: BODY,
    });
    assert.equal(signal.aborted, isAborted);
  });
}

/** Returns a request whose caller has disconnected. */
function receiveFromLeavingCaller(): Promise<Request["raw"]> {
  return new Promise((resolve) => {
    const server = createServer((req: IncomingMessage, res) => {
      res.once("close", () => {
        server.close();
        setImmediate(() => resolve({ req, res }));
      });
    });
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      const socket = connect({ port, host: "127.0.0.1" });
      socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n", () => socket.destroy());
    });
  });
}
