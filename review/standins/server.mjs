/** Stand-in of a server: runs requests, holds keys, registers in the store. */
import { createServer } from "node:http";

const BEAT_MS = 870;
const SLOTS = 3;
const QUEUE = 12;

let serverCount = 0;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** A sound server; `options` let a case change single answers. */
export class Server {
  id = `i-${(0xa100 + 0x1111 * ++serverCount).toString(16)}`;
  state = "ready";
  born = Date.now();
  /** Requests that run now: attempt and key. */
  running = new Set();
  /** Ranges that were granted: from, to, fence, time at which the hold ends. */
  holds = [];
  /** All grants taken, with the times at which their holds would run out. */
  grants = [];
  /** Number of complete answers of any kind. */
  answers = 0;
  #seq = 0;
  #queue = [];
  #timer;
  #options;
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor(options) {
    this.#options = options;
    this.#server.keepAliveTimeout = 10_000;
  }

  /**
   * Options: `store`, `service`, `record`, `sharded`, `workMs(request)`,
   * `makeAnswer(call)`, `onLease(call)`.
   */
  static async start(options) {
    const server = new Server(options);
    await new Promise((resolve) =>
      server.#server.listen(0, "127.0.0.1", resolve)
    );
    server.#beat();
    server.#timer = setInterval(() => server.#beat(), BEAT_MS);
    return server;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Reports `draining` in the store at once. */
  drain() {
    this.state = "draining";
    this.#beat();
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Returns whether the server holds a key now. */
  holdsKey(key, nowMs = Date.now()) {
    return this.holds.some((h) =>
      h.from <= key && key <= h.to && nowMs < h.untilMs
    );
  }

  #beat() {
    const { store, service } = this.#options;
    this.#seq += 1;
    store.put("keyed.servers", this.id, {
      address: this.address,
      born: this.born,
      info: { service, version: "v1", zone: "toledo", slots: SLOTS },
      status: { state: this.state, seq: this.#seq, coldLeftMs: 0 },
    });
  }

  async #handle(request, response) {
    const expected = request.headers["expect-instance"] ?? this.id;
    if (expected !== this.id) {
      return this.#reply(request, response, 421, { "Instance-Id": this.id });
    }
    if (request.url === "/jaytiller/grant") {
      return await this.#grant(request, response);
    }
    if (request.url === "/jaytiller/release") {
      return await this.#release(request, response);
    }
    await this.#serve(request, response);
  }

  async #grant(request, response) {
    const call = JSON.parse(await readBody(request));
    const atMs = Date.now();
    const overlap = this.holds.filter((h) =>
      h.from <= call.to && call.from <= h.to
    );
    const isFenced = overlap.some((h) => h.fence > call.fence);
    const untilMs = atMs + call.holdMs;
    if (!isFenced) this.#replace({ ...call, untilMs });
    if (!isFenced) this.grants.push({ ...call, untilMs });
    this.#options.onLease?.({ kind: "grant", server: this, call, request });
    this.#options.record("grant", { server: this.id, ...call, isFenced });
    this.#reply(request, response, isFenced ? 409 : 200, {});
  }

  /** Answers once the work on the released keys has ended. */
  async #release(request, response) {
    const call = JSON.parse(await readBody(request));
    this.#options.onLease?.({ kind: "release", server: this, call, request });
    this.#replace({ ...call, untilMs: 0 });
    this.#options.record("release", {
      server: this.id,
      ...call,
      running: this.#listRunning(call).length,
    });
    while (this.#listRunning(call).length > 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    this.#options.record("released", { server: this.id, ...call });
    this.#reply(request, response, 200, { Handover: "5c0e7a21d94b36f8" });
  }

  #listRunning({ from, to }) {
    return [...this.running].filter((r) => from <= r.key && r.key <= to);
  }

  #replace(next) {
    const seen = this.holds
      .filter((h) => h.from <= next.to && next.from <= h.to)
      .map((h) => h.fence);
    const rest = this.holds.flatMap((h) => {
      if (h.to < next.from || next.to < h.from) return [h];
      return [
        { ...h, to: next.from - 1 },
        { ...h, from: next.to + 1 },
      ].filter((part) => part.from <= part.to);
    });
    this.holds = [...rest, { ...next, fence: Math.max(next.fence, ...seen) }];
  }

  async #serve(request, response) {
    const { sharded, workMs, record, makeAnswer } = this.#options;
    const attempt = request.headers["attempt-id"];
    const body = await readBody(request);
    const key = Number(request.headers["shard-key"] ?? -1);
    if (sharded && !this.holdsKey(key)) {
      return this.#reply(request, response, 421, { "Not-Executed": "1" });
    }
    if (!await this.#takeSlot()) {
      return this.#reply(request, response, 503, { "Not-Executed": "1" });
    }
    if (request.socket.destroyed) return this.#freeSlot();
    // The key may have been released while the request waited.
    if (sharded && !this.holdsKey(key)) {
      this.#freeSlot();
      return this.#reply(request, response, 421, { "Not-Executed": "1" });
    }
    const run = { attempt, key, sinceMs: Date.now() };
    this.running.add(run);
    record("run", {
      server: this.id,
      attempt,
      method: request.method,
      path: request.url,
      key,
      bytes: body.length,
      deadlineMs: Number(request.headers["deadline-ms"]),
    });
    await new Promise((resolve) => setTimeout(resolve, workMs(request)));
    this.running.delete(run);
    record("ran", { server: this.id, attempt, key });
    const load = `${this.running.size + 1},${this.#queue.length},${SLOTS}`;
    this.#freeSlot();
    const { status = 200, text = `ran ${attempt}`, headers = {}, raw } =
      makeAnswer?.({ request, attempt, body }) ?? {};
    this.answers += 1;
    if (raw) return raw(response.socket);
    this.#reply(request, response, status, {
      "Response-Signature": "3e1b.07.5a2",
      "Server-Load": load,
      ...headers,
    }, text);
  }

  /** Waits for a slot; returns false if too many requests wait already. */
  #takeSlot() {
    if (this.running.size < SLOTS && this.#queue.length === 0) return true;
    if (this.#queue.length >= QUEUE) return false;
    return new Promise((resolve) => this.#queue.push(resolve));
  }

  #freeSlot() {
    this.#queue.shift()?.(true);
  }

  #reply(request, response, status, headers, text = "") {
    if (!request.url.startsWith("/jaytiller/")) {
      headers["Attempt-Id"] = request.headers["attempt-id"] ?? "";
    } else {
      this.answers += 1;
    }
    response.writeHead(status, {
      ...headers,
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}
