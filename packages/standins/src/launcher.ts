/** Starts, tracks and stops child processes. @module */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Number of most recent output lines kept per child. */
const MAX_OUTPUT_LINES = 2000;
const READY_TIMEOUT_MS = 15_000;

const PRELOAD_URL = new URL("./exit_with_parent.js", import.meta.url).href;

/** Fields of the JSON line that a process writes when it is ready. */
export interface ReadyInfo {
  readonly ready: true;
  readonly port?: number;
  readonly controlPort?: number;
  readonly callerPort?: number;
  readonly peerPort?: number;
  readonly operatorPort?: number;
}

/** Exit status of a child process. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options for starting a child process. */
export interface ChildOptions {
  /** Name used in error messages and output. */
  readonly name: string;
  /** Path of the JavaScript file. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Time allowed until the ready line, in ms. */
  readonly readyTimeoutMs?: number;
}

/** A child process. `Launcher.start` returns it after its ready line. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #lines: string[] = [];
  readonly #exited: Promise<ChildExit>;
  #exit: ChildExit | undefined;
  #ready: ReadyInfo | undefined;
  #onReady: () => void = () => {};

  constructor(options: ChildOptions) {
    this.name = options.name;
    const flags = ["--enable-source-maps", "--import", PRELOAD_URL];
    this.#process = spawn(
      process.execPath,
      [...flags, options.script, ...options.args ?? []],
      {
        stdio: ["pipe", "pipe", "pipe"],
        env: { ...process.env, ...options.env },
        // A process group of its own keeps Ctrl-C in a terminal from reaching
        // the children before the launcher stops them in order.
        detached: true,
      },
    );
    for (const stream of [this.#process.stdout!, this.#process.stderr!]) {
      createInterface({ input: stream }).on(
        "line",
        (line) => this.#addOutputLine(line),
      );
    }
    this.#exited = new Promise((resolve) => {
      const finish = (exit: ChildExit) => {
        this.#exit ??= exit;
        this.#onReady();
        resolve(this.#exit);
      };
      this.#process.once("exit", (code, signal) => finish({ code, signal }));
      this.#process.once("error", (e) => {
        this.#addOutputLine(`spawn: ${e.message}`);
        finish({ code: -1, signal: null });
      });
    });
  }

  #addOutputLine(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > MAX_OUTPUT_LINES) this.#lines.shift();
    if (this.#ready || !line.startsWith('{"ready":true')) return;
    this.#ready = JSON.parse(line);
    this.#onReady();
  }

  /**
   * Waits for the ready line. Throws an `Error` with the child's output if the
   * child exits first or the timeout expires.
   */
  async waitUntilReady(timeoutMs: number): Promise<ReadyInfo> {
    if (!this.#ready && !this.#exit) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, timeoutMs);
        this.#onReady = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    if (this.#ready) return this.#ready;
    const cause = this.#exit
      ? `exited with ${this.#exit.code ?? this.#exit.signal}`
      : `wrote no ready line within ${timeoutMs} ms`;
    throw new Error(`${this.name}: ${cause}; its output was:\n${this.output}`);
  }

  get pid(): number {
    return this.#process.pid ?? -1;
  }

  get ready(): ReadyInfo {
    if (!this.#ready) throw new Error(`${this.name}: Not ready.`);
    return this.#ready;
  }

  /** The most recent lines of stdout and stderr. */
  get output(): string {
    return this.#lines.join("\n");
  }

  /** Exit status of the child, or `undefined` while it runs. */
  get exit(): ChildExit | undefined {
    return this.#exit;
  }

  /** Sends a signal to the process; returns whether the child was running. */
  kill(signal: NodeJS.Signals): boolean {
    if (this.#exit || this.#process.pid === undefined) return false;
    return this.#process.kill(signal);
  }

  /** Waits for the child to exit. Throws an `Error` on timeout. */
  async waitForExit(timeoutMs: number): Promise<ChildExit> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        const text = `${this.name}: Still running after ${timeoutMs} ms`;
        reject(new Error(`${text}; its output was:\n${this.output}`));
      }, timeoutMs);
    });
    try {
      return await Promise.race([this.#exited, late]);
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Time allowed for a child to exit after SIGKILL, in ms. */
const KILL_TIMEOUT_MS = 10_000;

const TERMINATION_SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;

/** Launchers that have not been stopped. */
const activeLaunchers = new Set<Launcher>();

function killActiveChildren(): void {
  for (const launcher of activeLaunchers) launcher.killAll();
}

function killChildrenOnSignal(signal: NodeJS.Signals): void {
  // If the program has its own listener, that one handles the signal.
  if (process.listenerCount(signal) > 1) return;
  killActiveChildren();
  process.removeListener(signal, killChildrenOnSignal);
  process.kill(process.pid, signal);
}

function registerLauncher(launcher: Launcher): void {
  if (activeLaunchers.size === 0) {
    process.on("exit", killActiveChildren);
    // Prepended so that it runs before any `once` listener of the program,
    // which is removed when called and would then no longer be counted.
    for (const signal of TERMINATION_SIGNALS) {
      process.prependListener(signal, killChildrenOnSignal);
    }
  }
  activeLaunchers.add(launcher);
}

function unregisterLauncher(launcher: Launcher): void {
  if (!activeLaunchers.delete(launcher) || activeLaunchers.size > 0) return;
  process.removeListener("exit", killActiveChildren);
  for (const signal of TERMINATION_SIGNALS) {
    process.removeListener(signal, killChildrenOnSignal);
  }
}

/** Starts child processes and stops them on `stop` or at process exit. */
export class Launcher {
  readonly #children = new Set<Child>();
  readonly #cleanUpCallbacks: (() => void)[] = [];

  constructor() {
    registerLauncher(this);
  }

  /** All started children, including those that have exited. */
  get children(): readonly Child[] {
    return [...this.#children];
  }

  /** Starts a child and waits for its ready line. Kills it on failure. */
  async start(options: ChildOptions): Promise<Child> {
    const child = new Child(options);
    this.#children.add(child);
    try {
      await child.waitUntilReady(options.readyTimeoutMs ?? READY_TIMEOUT_MS);
    } catch (e) {
      child.kill("SIGKILL");
      throw e;
    }
    return child;
  }

  /**
   * Stops all children with SIGTERM, followed by SIGKILL after `graceMs`. If
   * `graceMs` is 0, sends SIGKILL immediately.
   */
  async stop(graceMs = 0): Promise<void> {
    const stop = async (child: Child) => {
      if (graceMs > 0) {
        // A process suspended by SIGSTOP does not handle SIGTERM.
        child.kill("SIGCONT");
        child.kill("SIGTERM");
        await child.waitForExit(graceMs).catch(() => {});
      }
      child.kill("SIGKILL");
      await child.waitForExit(KILL_TIMEOUT_MS);
    };
    await Promise.all([...this.#children].map(stop));
    unregisterLauncher(this);
    for (const cleanUp of this.#cleanUpCallbacks.splice(0)) cleanUp();
  }

  /** Registers a function to call once after children are stopped or killed. */
  addCleanUp(cleanUp: () => void): void {
    this.#cleanUpCallbacks.push(cleanUp);
  }

  /** Sends SIGKILL to all children without waiting for them to exit. */
  killAll(): void {
    for (const child of this.#children) child.kill("SIGKILL");
    for (const cleanUp of this.#cleanUpCallbacks.splice(0)) cleanUp();
  }

  /** Returns the output of all children, for failure reports. */
  formatOutput(): string {
    return this.children.map((c) => `--- ${c.name} (${c.pid})\n${c.output}`)
      .join("\n");
  }
}
