/** Load generator that sends requests through all entry VMs of a fleet. @module */
import { formatUuid7, HEADER, Outcome } from "@jaytiller/model";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import type { Fleet } from "./fleet.js";
import type { ServiceSpec } from "./fleet_options.js";

/** Number of distinct keys requested per service. */
const KEY_COUNT = 200;
/** Body size of requests other than GET, in bytes. */
const BODY_BYTES = 512;
/** Time to wait for a response after the request's deadline, in ms. */
const RESPONSE_GRACE_MS = 1000;
/**
 * Shorter than the keep-alive timeout of an entry VM, so that no connection that
 * the VM is closing is reused.
 */
const IDLE_SOCKET_TIMEOUT_MS = 2000;

/** Number of requests by outcome. */
export interface OutcomeCounts {
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  /** Number of requests without a complete response. */
  readonly broken: number;
}

type OutcomeKey = keyof OutcomeCounts;

const OUTCOME_KEYS: Readonly<Record<string, OutcomeKey>> = {
  [Outcome.Answered]: "answered",
  [Outcome.Refused]: "refused",
  [Outcome.Unknown]: "unknown",
};

/** Options of a load generator. */
export interface LoadGeneratorOptions {
  readonly fleet: Fleet;
  readonly requestsPerSecond: number;
  /** Returns random numbers in [0, 1). */
  readonly random: () => number;
}

/** A request to send. */
export interface GeneratedRequest {
  readonly url: string;
  readonly method: string;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
}

function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)]!;
}

/** Creates a request that matches the first call rule of a service. */
export function makeRequest(
  callerUrl: string,
  service: ServiceSpec,
  random: () => number,
): GeneratedRequest {
  const rule = service.rules[0];
  const method = rule?.methods[0] ?? "GET";
  const key = `key-${Math.floor(random() * KEY_COUNT)}`;
  return {
    url: `${callerUrl}${service.pathPrefix}/${key}`,
    method,
    body: method === "GET" ? undefined : Buffer.alloc(BODY_BYTES, "x"),
    timeoutMs: (rule?.deadlineMs ?? 0) + RESPONSE_GRACE_MS,
  };
}

/** Sends a request with a new identity; returns the kind of its outcome. */
export function sendRequest(
  generated: GeneratedRequest,
  agent?: Agent,
): Promise<OutcomeKey> {
  const identity = formatUuid7(Date.now(), randomBytes(10));
  return new Promise((resolve) => {
    const req = request(generated.url, {
      method: generated.method,
      agent,
      headers: { [HEADER.identity]: identity },
      signal: AbortSignal.timeout(generated.timeoutMs),
    });
    req.on("error", () => resolve("broken"));
    req.on("response", (res) => {
      res.resume();
      res.on("error", () => resolve("broken"));
      res.on("end", () => {
        const outcome = String(res.headers[HEADER.outcome]);
        resolve(OUTCOME_KEYS[outcome] ?? "broken");
      });
    });
    req.end(generated.body);
  });
}

/** Sends requests at a constant rate until it is stopped. */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #agent = new Agent({
    keepAlive: true,
    timeout: IDLE_SOCKET_TIMEOUT_MS,
  });
  readonly #open = new Set<Promise<void>>();
  readonly #timer: NodeJS.Timeout;
  #counts: OutcomeCounts = { answered: 0, refused: 0, unknown: 0, broken: 0 };

  private constructor(options: LoadGeneratorOptions) {
    this.#options = options;
    const periodMs = 1000 / options.requestsPerSecond;
    this.#timer = setInterval(() => this.#send(), periodMs);
  }

  static start(options: LoadGeneratorOptions): LoadGenerator {
    return new LoadGenerator(options);
  }

  get counts(): OutcomeCounts {
    return this.#counts;
  }

  #send(): void {
    const { fleet, random } = this.#options;
    const service = pickRandom(fleet.options.services, random);
    const entry = pickRandom(fleet.entries, random);
    const task = sendRequest(
      makeRequest(entry.callerUrl, service, random),
      this.#agent,
    ).then((key) => {
      this.#counts = { ...this.#counts, [key]: this.#counts[key] + 1 };
      this.#open.delete(task);
    });
    this.#open.add(task);
  }

  /** Stops sending and waits for the pending requests. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
    this.#agent.destroy();
  }
}
