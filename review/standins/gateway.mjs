/** A gateway as a process of its own, started as the deploy file says. */
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";

export const ROOT = new URL("../..", import.meta.url).pathname;
const COMMAND = [
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
  "target/gateway.mjs",
];

/** Bounds of the small deployment in SYSTEM.md, as DEPLOY.md names them. */
const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeSlackMs: 250,
  maxStretchMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBurst: 62,
  recoveryS: 15,
  maxHoldMs: 10000,
  thawSlackMs: 300,
};

/** Time after which the platform starts a process again, ms. */
const RESTART_DELAY_MS = 1_000;
/** Below the ports that the kernel gives to outgoing connections. */
const FIRST_PORT = 18_000;
const PORT_COUNT = 12_000;

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns the first of `count` free ports in a row. */
async function findPorts(count) {
  for (let i = 0; i < 200; i++) {
    const first = FIRST_PORT + Math.floor(PORT_COUNT * Math.random());
    const ports = Array.from({ length: count }, (_, n) => first + n);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) return first;
  }
  throw new Error("no free ports");
}

export class Gateway {
  name;
  front;
  ready;
  #settings;
  #child;
  #log = [];
  #isRestarting = false;
  onExit = () => {};

  /** Options: `folder` for the settings file and `store`, its address. */
  static async start(name, { folder, store }) {
    const gateway = new Gateway();
    const front = await findPorts(4);
    const ready = front + 1;
    const internal = [front + 2, front + 3];
    Object.assign(gateway, { name, front, ready });
    gateway.#settings = join(folder, `${name}.toml`);
    writeFileSync(
      gateway.#settings,
      [
        `node = "${name}"`,
        'role = "gateway"',
        'machineClass = "front"',
        'serves = ["front"]',
        'ip = "127.0.0.1"',
        'zone = "toledo"',
        'region = "great-lakes"',
        `internalPorts = [${internal.join(", ")}]`,
        "bootstrap = true",
        "beatIntervalMs = 870",
        "[zones]",
        'toledo = "great-lakes"',
        "[listen]",
        `front = "127.0.0.1:${front}"`,
        `ready = "127.0.0.1:${ready}"`,
        "[limits]",
        "cpuShare = 0.54",
        "cores = 1",
        "memoryMb = 350",
        "maxFds = 4100",
        "[bounds]",
        ...Object.entries(BOUNDS).map(([k, v]) => `${k} = ${v}`),
        "[platform]",
        `address = "${store}"`,
        'form = "log"',
        "",
      ].join("\n"),
    );
    gateway.#spawn();
    return gateway;
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Lines that the process has written, of all its starts. */
  get log() {
    return this.#log.join("");
  }

  signal(name) {
    this.#child.kill(name);
  }

  /** Starts the process again whenever it ends. */
  keepRunning() {
    this.#isRestarting = true;
  }

  isReady() {
    return new Promise((resolve) => {
      const call = get({
        host: "127.0.0.1",
        port: this.ready,
        path: "/jaytiller/ready",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
    });
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if (await this.isReady()) return;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    throw new Error(`${this.name} is not ready`);
  }

  async stop() {
    this.#isRestarting = false;
    if (!this.isRunning) return;
    const ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill("SIGKILL");
    await ended;
  }

  #spawn() {
    const child = spawn(process.execPath, COMMAND, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        JAYTILLER_NODE_FILE: this.#settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => this.#log.push(text));
    }
    child.once("exit", (code, signal) => {
      this.onExit({ code, signal });
      if (this.#isRestarting) {
        setTimeout(
          () => this.#isRestarting && this.#spawn(),
          RESTART_DELAY_MS,
        );
      }
    });
    this.#child = child;
  }
}
