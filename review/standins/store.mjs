/** Stand-in of the platform's store: keyed topics with one partition each. */
import { createServer } from "node:http";

const POLL_MS = 5;

/** Encodes a record of a keyed topic, as `log-read` returns it. */
function encodeRecord({ key, value }) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, 4);
  return Buffer.concat([head, name, value]);
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function answer(response, status, body = Buffer.alloc(0)) {
  const bytes = Buffer.isBuffer(body)
    ? body
    : Buffer.from(JSON.stringify(body));
  response.writeHead(status, { "Content-Length": bytes.length });
  response.end(bytes);
}

/** A store without faults. It stores nothing on disk. */
export class Store {
  #topics = new Map();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  static async start() {
    const store = new Store();
    await new Promise((resolve) =>
      store.#server.listen(0, "127.0.0.1", resolve)
    );
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Appends a record as the operator or a server does. */
  put(topic, key, value) {
    this.#get(topic).push({
      key,
      value: Buffer.isBuffer(value)
        ? value
        : Buffer.from(JSON.stringify(value)),
    });
  }

  /** Returns the newest value of a key as text. */
  find(topic, key) {
    return this.#get(topic).findLast((r) => r.key === key)?.value.toString();
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #get(topic) {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, "http://127.0.0.1");
    const records = this.#get(searchParams.get("topic"));
    if (pathname === "/jaytiller/log-append") {
      return this.#append(records, { searchParams, body, response });
    }
    if (pathname === "/jaytiller/log-read") {
      return await this.#read(records, { searchParams, response });
    }
    if (pathname === "/jaytiller/log-newest") {
      return this.#newest(records, response);
    }
    answer(response, 404);
  }

  #append(records, { searchParams, body, response }) {
    const at = searchParams.get("at");
    if (at !== null && Number(at) !== records.length) {
      return answer(response, 412, { endOffset: records.length });
    }
    const offset = records.length;
    for (let i = 0; i < body.length;) {
      const end = i + 4 + body.readUInt32BE(i);
      const keyEnd = i + 5 + body.readUInt8(i + 4);
      records.push({
        key: body.subarray(i + 5, keyEnd).toString(),
        value: body.subarray(keyEnd, end),
      });
      i = end;
    }
    answer(response, 200, { offset, endOffset: records.length });
  }

  async #read(records, { searchParams, response }) {
    const from = Number(searchParams.get("from"));
    const endMs = Date.now() + Number(searchParams.get("waitMs") ?? 0);
    while (records.length <= from && Date.now() < endMs) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const list = records.slice(from).map(encodeRecord);
    answer(response, 200, Buffer.concat([head, ...list]));
  }

  #newest(records, response) {
    const newest = new Map();
    records.forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) newest.set(key, { key, value, offset });
    });
    const items = [...newest.values()].map((item) => ({
      ...item,
      value: item.value.toString("base64"),
    }));
    const endOffset = records.length;
    answer(response, 200, { items, hasMore: false, endOffset });
  }
}
