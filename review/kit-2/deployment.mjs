/**
 * A small deployment for the review's scripts: gateways that are started with
 * the command of the deploy file, a store, and clients. Loopback only.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { FakeStore } from "../../platform/dist/test/fake_store.js";

export const ROOT = new URL("../../", import.meta.url).pathname;
export const HOST = "127.0.0.1";
/** Memory of a machine, as in the site files, MB. */
export const MEMORY_MB = 350;
export const MAX_DESCRIPTORS = 4_100;
/** Limit on the head of a request, as in the pages' example, bytes. */
export const MAX_HEADER_BYTES = 16_384;
/** The route's time for payments, as the site has it for orders, ms. */
export const PAYMENT_TIMEOUT_MS = 1_500;
/** Whether the disruption takes place. */
export const isTroubled = process.env["TROUBLE"] !== "0";

const RESTART_DELAY_MS = 300;
const READY_TIMEOUT_MS = 15_000;
/** Time after which a script ends in any case, ms. */
const MAX_RUN_MS = 115_000;

const PAYMENT_DEADLINE_MS = 3_000;

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Ports of the gateways: below those that the system takes for connections, so
 * that none of these has the port of a gateway that is restarted.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const PORTS_PER_GATEWAY = 5;

let nextPort = FIRST_PORT +
  Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));

/** Returns consecutive ports that are free; never the same ones again. */
async function findPorts() {
  for (;;) {
    if (nextPort > LAST_PORT) nextPort = FIRST_PORT;
    const ports = Array.from(
      { length: PORTS_PER_GATEWAY },
      (_, i) => nextPort + i,
    );
    nextPort += PORTS_PER_GATEWAY;
    const opened = await Promise.allSettled(ports.map(openPort));
    const servers = opened.flatMap((r) => r.value ?? []);
    await Promise.all(servers.map(closePort));
    if (servers.length === ports.length) return ports;
  }
}

function openPort(port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(port, HOST, () => resolve(server));
  });
}

function closePort(server) {
  return new Promise((resolve) => server.close(resolve));
}

/** Writes what a script sends and sees to `record.txt` and to its output. */
export class Record {
  #path;
  #lines = [];

  constructor(folderUrl) {
    this.#path = new URL("record.txt", folderUrl).pathname;
  }

  add(line) {
    this.#lines.push(line);
    console.log(line);
  }

  save() {
    writeFileSync(this.#path, this.#lines.join("\n") + "\n");
  }
}

/** Settings of a small deployment, in the layout of the pages' example. */
function formatSettings(name, { front, ready, control, internal, storePort }) {
  return `node = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "${HOST}"
zone = "z1"
region = "r1"
internalPorts = [${internal}, ${internal + 1}]
seeds = []
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "vip"
beatIntervalMs = 870
contracts = ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
grants = "direct"
[zones]
z1 = "r1"
[listen]
front = "${HOST}:${front}"
ready = "${HOST}:${ready}"
control = "${HOST}:${control}"
[limits]
cpuShare = 0.54
cores = 1
memoryMb = ${MEMORY_MB}
maxFds = ${MAX_DESCRIPTORS}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBurst = 62
recoveryS = 15
maxHoldMs = 10000
thawSlackMs = 300
[platform]
address = "${HOST}:${storePort}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
minTtlMs = 1000
`;
}

/** A configuration with a route for reads, one for orders, one for uploads. */
export function makeConfiguration() {
  const route = { targetLatencyMs: 600, timeoutMs: 3_000, priority: 1 };
  const service = { healthPath: "/health", maxConns: 130 };
  return {
    version: "r7",
    services: [{ name: "reads", ...service }, { name: "writes", ...service }],
    limits: {
      maxHeaderBytes: MAX_HEADER_BYTES,
      maxBodyBytes: 67_108_864,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    virtualHosts: [{
      host: "a.example",
      paths: [
        {
          ...route,
          name: "r-1",
          pathPrefix: "/read/",
          kind: "idempotent",
          service: "reads",
          maxAttempts: 2,
        },
        {
          ...route,
          name: "r-2",
          pathPrefix: "/order/",
          kind: "non_idempotent",
          service: "writes",
          maxAttempts: 2,
        },
        {
          ...route,
          name: "r-3",
          pathPrefix: "/upload/",
          kind: "upload",
          service: "writes",
          maxAttempts: 2,
        },
        {
          ...route,
          name: "r-4",
          pathPrefix: "/pay/",
          kind: "non_idempotent",
          timeoutMs: PAYMENT_TIMEOUT_MS,
          service: "reads",
          maxAttempts: 2,
        },
      ],
    }],
  };
}

/** Processes that were started here; none outlives the script. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(signal, () => process.exit(EXIT_NOT_RUN));
}
setTimeout(() => process.exit(EXIT_NOT_RUN), MAX_RUN_MS).unref();

/** Whether a process that was started here still runs. */
function isRunning(child) {
  return child.exitCode === null && child.signalCode === null;
}

/** A gateway process; it is restarted when it ends, as the platform does. */
class Gateway {
  name;
  ports;
  /** How the process has ended by itself, each time. */
  ends = [];
  /** Most memory that the process has had, MB. */
  peakMb = 0;
  /** Whether the process is killed above its memory, as the platform does. */
  limitsMemory = false;
  #path;
  #child;
  #isStopped = false;
  #isKilled = false;
  #cause;
  #timer;

  constructor(name, ports, path) {
    this.name = name;
    this.ports = ports;
    this.#path = path;
    this.#spawn();
    this.#timer = setInterval(() => this.#sample(), 20);
  }

  #spawn() {
    const [program, ...args] = readRunCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env["PATH"],
        HOME: process.env["HOME"],
        JAYTILLER_NODE_FILE: this.#path,
      },
      stdio: "ignore",
    });
    this.#child = child;
    children.add(child);
    child.once("exit", (code, signal) => {
      children.delete(child);
      if (this.#isStopped) return;
      this.ends.push(this.#cause ?? signal ?? `code ${code}`);
      this.#isKilled = false;
      this.#cause = undefined;
      setTimeout(() => {
        if (!this.#isStopped) this.#spawn();
      }, RESTART_DELAY_MS);
    });
  }

  #sample() {
    if (!isRunning(this.#child)) return;
    try {
      const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
      const kb = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      const mb = Math.round(kb / 1_024);
      this.peakMb = Math.max(this.peakMb, mb);
      if (this.limitsMemory && mb > MEMORY_MB) this.#killForMemory(mb);
    } catch {
      // The process has ended since.
    }
  }

  #killForMemory(mb) {
    if (this.#isKilled) return;
    this.#isKilled = true;
    this.#cause = `memory of ${mb} MB`;
    this.#child.kill("SIGKILL");
  }

  async isReady() {
    const text = await exchange(
      this.ports.ready,
      "GET /jaytiller/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
      { timeoutMs: 500 },
    );
    return text.startsWith("HTTP/1.1 200");
  }

  async waitUntilReady() {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (!await this.isReady()) {
      if (Date.now() > endMs) throw new Error(`${this.name} is not ready`);
      await wait(100);
    }
  }

  async stop() {
    this.#isStopped = true;
    clearInterval(this.#timer);
    if (!isRunning(this.#child)) return;
    const ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill("SIGKILL");
    await ended;
  }
}

/** Reads the command of the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.+)"$/m.exec(text)[1].split(" ");
}

/** Gateways and a store. */
export class Deployment {
  store;
  gateways = [];
  #folder = mkdtempSync(join(tmpdir(), "jaytiller-review-"));

  static async start({ gateways = 1, servers = [] } = {}) {
    const deployment = new Deployment();
    deployment.store = await FakeStore.start();
    deployment.store.put("keyed.op", "config", makeConfiguration());
    for (const server of servers) deployment.store.announceServer(server);
    for (let i = 0; i < gateways; i++) await deployment.#addGateway(`g-${i}`);
    for (const gateway of deployment.gateways) await gateway.waitUntilReady();
    return deployment;
  }

  async #addGateway(name) {
    const [front, ready, control, internal] = await findPorts();
    const { port: storePort } = this.store;
    const ports = { front, ready, control, internal, storePort };
    const path = join(this.#folder, `${name}.toml`);
    writeFileSync(path, formatSettings(name, ports));
    this.gateways.push(new Gateway(name, ports, path));
  }

  async stop() {
    await Promise.all(this.gateways.map((g) => g.stop()));
    this.store?.stop();
    rmSync(this.#folder, { recursive: true });
  }
}

/** Sends bytes on a new connection; returns all that came until its end. */
export function exchange(port, bytes, { timeoutMs = 4_000 } = {}) {
  return new Promise((resolve) => {
    const socket = connect({ port, host: HOST });
    let text = "";
    socket.setEncoding("latin1");
    socket.on("data", (part) => text += part);
    socket.on("error", () => {});
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.once("close", () => {
      clearTimeout(timer);
      resolve(text);
    });
    socket.write(bytes);
  });
}

/** Returns the status of a response, or "none". */
export function readStatus(text) {
  return /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? "none";
}

/** Sends ordinary reads at an interval; counts their answers by status. */
export class OrdinaryCallers {
  counts = {};
  #port;
  #deadlineMs;
  #open = new Set();
  #timer;
  #sent = 0;

  constructor(port, { intervalMs = 200, deadlineMs = 2_500 } = {}) {
    this.#port = port;
    this.#deadlineMs = deadlineMs;
    this.#timer = setInterval(() => this.#send(), intervalMs);
  }

  get sent() {
    return this.#sent;
  }

  #send() {
    this.#sent += 1;
    const call = exchange(
      this.#port,
      "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n" +
        `Attempt-Id: ordinary-${this.#sent}\r\n` +
        `Deadline-Ms: ${this.#deadlineMs}\r\nConnection: close\r\n\r\n`,
      { timeoutMs: this.#deadlineMs },
    ).then((text) => {
      const status = readStatus(text);
      this.counts[status] = (this.counts[status] ?? 0) + 1;
      this.#open.delete(call);
    });
    this.#open.add(call);
  }

  async stop() {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
  }
}

/**
 * Clients that send payments, which may run only once, one after the other on
 * connections that they keep.
 */
export class PaymentCallers {
  /** Payments that have ended: answered, closed by the gateway or given up. */
  payments = [];
  #port;
  #name;
  #sockets = new Set();
  #sent = 0;
  #isStopped = false;

  constructor({ name, ports }, { clients = 8 } = {}) {
    this.#port = ports.front;
    this.#name = name;
    for (let i = 0; i < clients; i++) this.#open();
  }

  #open() {
    if (this.#isStopped) return;
    const socket = connect({ port: this.#port, host: HOST });
    this.#sockets.add(socket);
    const state = { text: "", current: undefined, answers: 0 };
    socket.setEncoding("latin1");
    socket.on("error", () => {});
    socket.on("data", (part) => this.#receive(socket, state, part));
    socket.once("connect", () => this.#send(socket, state));
    socket.once("close", () => {
      this.#end(state, "closed");
      this.#sockets.delete(socket);
      setTimeout(() => this.#open(), 100);
    });
  }

  #send(socket, state) {
    if (this.#isStopped || socket.destroyed) return;
    this.#sent += 1;
    const id = `${this.#name}-payment-${this.#sent}`;
    const timer = setTimeout(() => {
      this.#end(state, "none");
      socket.destroy();
    }, PAYMENT_DEADLINE_MS);
    const sentMs = performance.now();
    state.current = { id, sentMs, timer, isKept: state.answers > 0 };
    socket.write(
      "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\n" +
        `Attempt-Id: ${id}\r\nDeadline-Ms: ${PAYMENT_DEADLINE_MS}\r\n` +
        "Content-Length: 0\r\n\r\n",
    );
  }

  #receive(socket, state, part) {
    state.text += part;
    const end = state.text.indexOf("\r\n\r\n") + 4;
    if (end < 4) return;
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(state.text)?.[1]);
    if (state.text.length < end + length) return;
    const status = readStatus(state.text);
    const isLast = /\r\nconnection: close/i.test(state.text.slice(0, end));
    state.text = "";
    state.answers += 1;
    this.#end(state, status);
    if (isLast) socket.destroy();
    else setTimeout(() => this.#send(socket, state), 20);
  }

  #end(state, outcome) {
    const { current } = state;
    if (!current || this.#isStopped) return;
    state.current = undefined;
    clearTimeout(current.timer);
    const ms = performance.now() - current.sentMs;
    this.payments.push({ ...current, outcome, ms });
  }

  stop() {
    this.#isStopped = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Counts by answer; `closed` and `none` had none. */
  count() {
    const counts = {};
    for (const { outcome } of this.payments) {
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Lists the payments of kept connections that a server has begun, and whose
   * connections the gateway then closed without an answer.
   */
  listLost(runs) {
    const begun = new Set(runs.map(({ attempt }) => attempt));
    return this.payments.filter((p) =>
      p.isKept && p.outcome === "closed" && begun.has(p.id)
    );
  }

  /**
   * Counts the payments that were unanswered at the route's time, and those of
   * them that had no answer half a second later.
   */
  countOverdue() {
    const isUnanswered = (p, ms) =>
      p.ms >= ms && (p.outcome === "none" || p.ms > ms);
    const unanswered = this.payments.filter((p) =>
      isUnanswered(p, PAYMENT_TIMEOUT_MS)
    );
    const later = unanswered.filter((p) =>
      isUnanswered(p, PAYMENT_TIMEOUT_MS + 500)
    );
    return { unanswered: unanswered.length, later: later.length };
  }
}

/**
 * Runs a case and exits: `play` returns whether the rule was broken. Everything
 * that it has started has to be stopped by its own `finally`.
 */
export async function runCase(folderUrl, play) {
  const record = new Record(folderUrl);
  record.add(`TROUBLE=${isTroubled ? 1 : 0}`);
  let code = EXIT_NOT_RUN;
  try {
    const isBroken = await play(record);
    record.add(isBroken ? "the rule was broken" : "the rule held");
    code = isBroken ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record.add(`not run: ${error.stack}`);
  }
  record.save();
  process.exit(code);
}
