/** Stand-in of a client: one request at a time on a connection. */
import { connect } from "node:net";

let attemptCount = 0;

/** Returns the id of a new attempt, unique in this process. */
export function makeAttemptId() {
  attemptCount += 1;
  return attemptCount.toString(16).padStart(16, "0");
}

/** How a client sees the end of a request. */
const END = {
  answered: "answered",
  closed: "closed",
  late: "no answer in time",
};

function parseHead(text) {
  const [line, ...rows] = text.split("\r\n");
  const headers = Object.fromEntries(rows.map((row) => {
    const at = row.indexOf(":");
    return [row.slice(0, at).toLowerCase(), row.slice(at + 1).trim()];
  }));
  return { status: Number(line.split(" ")[1]), headers };
}

function formatHead({ path, method = "GET", attempt, deadlineMs, key, body }) {
  return [
    `${method} ${path} HTTP/1.1`,
    "Host: hulo84.example",
    `Attempt-Id: ${attempt}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...(key === undefined ? [] : [`Shard-Key: ${key}`]),
    ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
    "\r\n",
  ].join("\r\n");
}

/** An answer as far as it has arrived. */
class Answer {
  head;
  #chunks = [];
  #bytes = 0;
  #headBytes = 0;

  add(chunk) {
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    if (this.head) return;
    const all = Buffer.concat(this.#chunks);
    const end = all.indexOf("\r\n\r\n");
    if (end < 0) return;
    this.head = parseHead(all.subarray(0, end).toString("latin1"));
    this.#headBytes = end + 4;
  }

  /** Declared length of the body; absent if the connection's end delimits it. */
  get length() {
    const length = this.head?.headers["content-length"];
    return length === undefined ? undefined : Number(length);
  }

  get received() {
    return this.#bytes - this.#headBytes;
  }

  get body() {
    return Buffer.concat(this.#chunks).subarray(this.#headBytes);
  }

  get hasWholeLength() {
    return this.length !== undefined && this.received >= this.length;
  }

  /** Whether the answer looks complete to a client, by its framing. */
  isComplete(end) {
    if (!this.head) return false;
    return this.length === undefined ? end === END.closed : this.hasWholeLength;
  }
}

/** A client's connection, kept for further requests. */
export class Connection {
  hasEnded = false;
  #socket;
  #onData = () => {};
  #onEnd = () => {};

  /** `read(socket)` may slow the reading down. */
  constructor(port, { read } = {}) {
    this.#socket = connect({ host: "127.0.0.1", port });
    this.#socket.on("data", (chunk) => this.#onData(chunk));
    this.#socket.on("end", () => this.#finish(END.closed));
    this.#socket.on("error", (error) => this.#finish(error.code));
    read?.(this.#socket);
  }

  /** Sends a request; resolves to what the client sees of its answer. */
  send(options) {
    const { attempt, body, deadlineMs } = options;
    const answer = new Answer();
    const sentMs = Date.now();
    return new Promise((resolve) => {
      const finish = (end) => {
        clearTimeout(timer);
        this.#onData = () => {};
        this.#onEnd = () => {};
        const isComplete = answer.isComplete(end);
        const status = isComplete ? answer.head.status : 0;
        const ms = Date.now() - sentMs;
        resolve({ attempt, answer, status, end, isComplete, ms });
      };
      const timer = setTimeout(() => {
        this.#finish(END.late);
      }, deadlineMs);
      this.#onEnd = finish;
      this.#onData = (chunk) => {
        answer.add(chunk);
        if (!answer.hasWholeLength) return;
        const isLast = answer.head.headers.connection === "close";
        if (isLast) this.#finish(END.answered);
        else finish(END.answered);
      };
      if (this.hasEnded) return finish(END.closed);
      this.#socket.write(formatHead(options));
      if (body) this.#socket.write(body);
    });
  }

  close() {
    this.hasEnded = true;
    this.#socket.destroy();
  }

  #finish(end) {
    this.close();
    this.#onEnd(end);
  }
}

/** Sends one request on a new connection. */
export async function send(port, options) {
  const connection = new Connection(port, options);
  const result = await connection.send(options);
  connection.close();
  return result;
}

/** Reads from a socket no faster than a link carries, in bytes per second. */
export function throttle(socket, bytesPerS) {
  let nextMs = 0;
  socket.on("data", (chunk) => {
    const nowMs = performance.now();
    nextMs = Math.max(nextMs, nowMs) + 1000 * chunk.length / bytesPerS;
    if (nextMs - nowMs < 5) return;
    socket.pause();
    setTimeout(() => socket.resume(), nextMs - nowMs);
  });
}
