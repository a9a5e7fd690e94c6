import assert from "node:assert/strict";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import {
  Direction,
  FaultProxy,
  type LinkChange,
  LinkMode,
  PROXY_DEFAULTS,
  type ProxyChange,
} from "../src/mod.js";
import { waitFor } from "./support.js";

/** Client connection that records received data and how it ended. */
class Client {
  readonly socket: Socket;
  received = "";
  ended = "";

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("data", (d) => this.received += d.toString());
    this.socket.on("end", () => this.ended ||= "end");
    this.socket.on("error", () => this.ended = "reset");
  }

  async expect(text: string): Promise<void> {
    await waitFor(() => this.received === text || undefined);
  }

  async expectEnd(how: string): Promise<void> {
    await waitFor(() => this.ended || undefined);
    assert.equal(this.ended, how);
  }

  /** Sends text and waits for its echo. */
  async echo(text: string): Promise<void> {
    const before = this.received;
    this.socket.write(text);
    await this.expect(before + text);
  }
}

interface ProxyFixture {
  set(change: Partial<LinkChange>): Promise<unknown>;
  /** Opens a connection. */
  open(): Client;
  /** Returns all data that the echo server has received. */
  readTarget(): string;
}

/** Runs `body` with a proxy in front of an echo server. */
async function withProxy(body: (fixture: ProxyFixture) => Promise<void>) {
  let received = "";
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", (d) => {
      received += d.toString();
      socket.write(d);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const proxy = await FaultProxy.start(PROXY_DEFAULTS);
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const add: ProxyChange = { add: [{ name: "a>b", target }] };
  const [link] = await proxy.apply(add);
  const clients: Client[] = [];
  try {
    await body({
      set: (change) => proxy.apply({ set: { link: "a>*", ...change } }),
      open: () => {
        const client = new Client(link!.port);
        clients.push(client);
        return client;
      },
      readTarget: () => received,
    });
  } finally {
    for (const { socket } of clients) socket.destroy();
    for (const socket of sockets) socket.destroy();
    await proxy.stop();
    server.close();
  }
}

/** Guards against a cut that leaves connections open or cannot be undone. */
test("cut", () =>
  withProxy(async ({ set, open }) => {
    const old = open();
    await old.echo("x");
    await set({ mode: LinkMode.Cut });
    await old.expectEnd("reset");
    await open().expectEnd("reset");
    await set({ mode: LinkMode.Pass });
    await open().echo("x");
  }));

/**
 * Guards against a stall that a later `pass` undoes, or that affects new
 * connections although `newConnections` is false.
 */
test("stall of existing connections", () =>
  withProxy(async ({ set, open, readTarget }) => {
    const old = open();
    await old.echo("x");
    await set({ mode: LinkMode.Stall, newConnections: false });
    old.socket.write("lost");
    await open().echo("y");
    await set({ mode: LinkMode.Pass });
    old.socket.write("lost");
    await open().echo("z");
    assert.deepEqual([old.received, old.ended], ["x", ""]);
    assert.equal(readTarget(), "xyz");
  }));

/** Guards against a one-way stall that also affects the other direction. */
test("one-way stall", () =>
  withProxy(async ({ set, open, readTarget }) => {
    const client = open();
    await client.echo("x");
    await set({ mode: LinkMode.Stall, direction: Direction.Down });
    client.socket.write("y");
    await waitFor(() => readTarget() === "xy" || undefined);
    const other = open();
    other.socket.write("z");
    await waitFor(() => readTarget() === "xyz" || undefined);
    assert.deepEqual([client.received, other.received], ["x", ""]);
  }));

/** Guards against held data that is lost or reordered. */
test("hold", () =>
  withProxy(async ({ set, open, readTarget }) => {
    const client = open();
    await client.echo("x");
    await set({ mode: LinkMode.Hold, direction: Direction.Up });
    client.socket.write("1");
    client.socket.write("2");
    await set({ delayMs: 5 });
    assert.equal(readTarget(), "x");
    await set({ mode: LinkMode.Pass });
    await client.expect("x12");
  }));

const LIMITS = [
  { change: { truncateAfterBytes: 3 }, seen: "end", received: "abc" },
  { change: { resetAfterBytes: 3 }, seen: "reset", received: undefined },
] as const;

/** Guards against connections that carry more bytes than their limit. */
test("truncate and reset", async (t) => {
  for (const { change, seen, received } of LIMITS) {
    await t.test(seen, () =>
      withProxy(async ({ set, open }) => {
        await set({ ...change, direction: Direction.Down, times: 1 });
        const client = open();
        client.socket.write("abcdef");
        await client.expectEnd(seen);
        if (received) assert.equal(client.received, received);
        await open().echo("abcdef");
      }));
  }
});

/** Guards against latency that is not applied or reorders a connection's data. */
test("delay", () =>
  withProxy(async ({ set, open }) => {
    const client = open();
    await client.echo("x");
    await set({ delayMs: 30 });
    const start = performance.now();
    await client.echo("y");
    const tookMs = performance.now() - start;
    assert.ok(tookMs >= 59, `took ${tookMs} ms`);
    client.socket.write("1");
    await set({ delayMs: 0 });
    client.socket.write("2");
    await client.expect("xy12");
  }));

/** Guards against jitter that never reorders data across connections. */
test("reordering across connections", () =>
  withProxy(async ({ set, open, readTarget }) => {
    await set({ jitterMs: 60, direction: Direction.Up });
    console.log(`seed ${PROXY_DEFAULTS.seed}`);
    const order = "abcdefgh";
    for (const letter of order) open().socket.write(letter);
    await waitFor(() => readTarget().length === order.length || undefined);
    assert.notEqual(readTarget(), order);
    assert.equal([...readTarget()].sort().join(""), order);
  }));
