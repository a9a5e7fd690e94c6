/** Test helpers. @module */
import type { GrantReply, GrantRequest } from "@jaytiller/model";
import { type IncomingHttpHeaders, request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { type Child, Launcher } from "../src/mod.js";

/** Starts a stand-in process. */
export function startStandIn(
  launcher: Launcher,
  name: string,
  options: object = {},
): Promise<Child> {
  const url = new URL(`../src/${name}_main.js`, import.meta.url);
  const script = fileURLToPath(url);
  return launcher.start({ name, script, args: [JSON.stringify(options)] });
}

/** Runs `body` with a launcher; prints the children's output on failure. */
export async function withLauncher(
  body: (launcher: Launcher) => Promise<void>,
): Promise<void> {
  const launcher = new Launcher();
  try {
    await body(launcher);
  } catch (e) {
    console.error(launcher.formatOutput());
    throw e;
  } finally {
    await launcher.stop();
  }
}

export function formatUrl(child: Child): string {
  return `http://127.0.0.1:${child.ready.port}`;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

export interface RequestOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Buffer;
  /** The request body ends when this resolves, which holds the work until then. */
  readonly endBodyAfter?: Promise<unknown>;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Sends a request on a new connection. Rejects if the response is incomplete. */
export function sendHttp(
  url: string,
  options: RequestOptions = {},
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const hasBody = options.body !== undefined ||
      options.endBodyAfter !== undefined;
    const method = options.method ?? (hasBody ? "POST" : "GET");
    const signal = options.signal ??
      AbortSignal.timeout(options.timeoutMs ?? 10_000);
    const headers = { "content-type": "application/json", ...options.headers };
    const req = request(url, { method, headers, signal, agent: false });
    req.on("error", reject);
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (c) => chunks.push(c));
      res.on("error", reject);
      res.on("end", () =>
        resolve({
          status: res.statusCode!,
          headers: res.headers,
          text: Buffer.concat(chunks).toString(),
        }));
    });
    if (options.endBodyAfter) {
      req.write("held");
      options.endBodyAfter.then(() => req.end());
    } else req.end(options.body);
  });
}

/** Returns the status of a response, `timeout` or `broken`. */
export async function classifyOutcome(
  answer: Promise<HttpResponse>,
): Promise<string> {
  try {
    return String((await answer).status);
  } catch (e) {
    const cause = (e as Error).cause as Error | undefined;
    return cause?.name === "TimeoutError" ? "timeout" : "broken";
  }
}

export async function postJson<T>(url: string, body: unknown): Promise<T> {
  const answer = await sendHttp(url, { body: JSON.stringify(body) });
  return JSON.parse(answer.text) as T;
}

/** Creates a promise and the function that resolves it. */
export function createGate(): { readonly opened: Promise<void>; open(): void } {
  let open = () => {};
  const opened = new Promise<void>((resolve) => open = resolve);
  return { opened, open };
}

/** Polls `check` until it returns a value. Throws after `timeoutMs`. */
export async function waitFor<T>(
  check: () => Promise<T | undefined> | T | undefined,
  timeoutMs = 5000,
): Promise<T> {
  const end = performance.now() + timeoutMs;
  for (;;) {
    const value = await check();
    if (value !== undefined) return value;
    if (performance.now() > end) throw new Error(`Timeout of ${timeoutMs} ms`);
    await delay(5);
  }
}

/** Sends grants to a server in the role of its holder. */
export class TestHolder {
  #basis: GrantRequest["basis"] = null;
  #seq = 0;

  constructor(readonly url: string, public token = "5.0") {}

  get headers(): Record<string, string> {
    return {
      "x-owner-token": this.token,
      "x-owner-unit": "s:1",
      "x-request-id": "r1",
    };
  }

  async grant(options: Partial<GrantRequest> = {}): Promise<GrantReply> {
    const reply = await postJson<GrantReply>(`${this.url}/grants`, {
      group: "orderdesk/toledo",
      holder: "entry-toledo-1",
      token: this.token,
      seq: ++this.#seq,
      leaseMs: 60_000,
      basis: this.#basis,
      units: ["s:1"],
      ...options,
    });
    this.#basis = { incarnation: reply.incarnation, atMs: reply.atMs };
    return reply;
  }

  /**
   * Announces the token and learns the basis of the lease with a first grant,
   * then grants unit `s:1`.
   */
  async open(leaseMs = 60_000): Promise<void> {
    await this.grant();
    await this.grant({ leaseMs });
  }

  work(
    path = "/orders/k1",
    options: RequestOptions = {},
  ): Promise<HttpResponse> {
    const headers = { ...this.headers, ...options.headers };
    return sendHttp(this.url + path, { ...options, headers });
  }
}
