/** Generates load of non-idempotent requests. @module */
import type { EntryHandle, Fleet, ServiceSpec } from "@jaytiller/standins";
import { createRandom } from "@jaytiller/standins";
import { Buffer } from "node:buffer";
import { type Attempt, createIdentity, sendRequest } from "./caller.js";
import { isAnswered, isRefused } from "./checker.js";
import { listKeys } from "./route_setup.js";

/** Options of a load generator. */
export interface LoadOptions {
  readonly seed: number;
  /** Number of concurrent requests, without duplicates. */
  readonly workers: number;
  /** Execution time of one request, in ms. */
  readonly workMs: number;
  readonly bodyBytes: number;
  /**
   * Share of requests that are sent through two entry VMs concurrently, 0 to 1.
   */
  readonly duplicateShare: number;
}

/** Default options of a load generator. */
export const LOAD_DEFAULTS: LoadOptions = {
  seed: 1,
  workers: 24,
  workMs: 25,
  bodyBytes: 2_000,
  duplicateShare: 0.2,
};

/** Share of unanswered identities that are retried immediately. */
const RETRY_SHARE = 0.5;

interface LoadRequest {
  readonly spec: ServiceSpec;
  readonly key: string;
  readonly identity: string;
}

/**
 * Sends requests to all services of a fleet through all of its entry VMs. Half
 * of the unanswered identities are retried immediately through another entry
 * VM.
 */
export class LoadGenerator {
  readonly attempts: Attempt[] = [];
  readonly #fleet: Fleet;
  readonly #options: LoadOptions;
  readonly #random: () => number;
  readonly #keys: ReadonlyMap<ServiceSpec, readonly string[]>;
  readonly #requests = new Map<string, LoadRequest>();
  #running: Promise<unknown> = Promise.resolve();
  #stopping = false;

  constructor(fleet: Fleet, options: Partial<LoadOptions> = {}) {
    this.#fleet = fleet;
    this.#options = { ...LOAD_DEFAULTS, ...options };
    this.#random = createRandom(this.#options.seed);
    this.#keys = new Map(
      fleet.options.services.map((s) => [s, listKeys(s, s.shards)]),
    );
  }

  start(): void {
    const { workers } = this.#options;
    this.#running = Promise.all(
      Array.from({ length: workers }, () => this.#runWorker()),
    );
  }

  /** Stops the load and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await this.#running;
  }

  /**
   * Resends all identities with an unknown outcome and some of the others. Most
   * refused ones are not resent, so that a late effect remains visible.
   */
  async resend(): Promise<void> {
    const settled = new Set(
      this.attempts.filter((a) => isAnswered(a) || isRefused(a))
        .map((a) => a.identity),
    );
    const requests = [...this.#requests.values()]
      .filter((t) => !settled.has(t.identity) || this.#random() < 0.2);
    let next = 0;
    const sendNext = async () => {
      while (next < requests.length) {
        await this.#send(requests[next++]!, this.#pick(this.#listEntries()));
      }
    };
    await Promise.all(
      Array.from({ length: this.#options.workers * 4 }, sendNext),
    );
  }

  #listEntries(): readonly EntryHandle[] {
    return this.#fleet.entries.filter((e) => !e.child.exit);
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)]!;
  }

  async #runWorker(): Promise<void> {
    while (!this.#stopping) {
      const spec = this.#pick([...this.#keys.keys()]);
      const key = this.#pick(this.#keys.get(spec)!);
      const request = { spec, key, identity: createIdentity() };
      this.#requests.set(request.identity, request);
      const entries = [...this.#listEntries()]
        .sort(() => this.#random() - 0.5);
      const isDuplicated = this.#random() < this.#options.duplicateShare;
      const sent = entries.slice(0, isDuplicated ? 2 : 1)
        .map((entry) => this.#send(request, entry));
      const ended = await Promise.all(sent);
      if (!ended.some(isAnswered) && this.#random() < RETRY_SHARE) {
        await this.#send(request, entries.at(-1)!);
      }
    }
  }

  async #send(task: LoadRequest, entry: EntryHandle): Promise<Attempt> {
    const { spec, key, identity } = task;
    const { workMs, bodyBytes } = this.#options;
    const attempt = await sendRequest({
      entryUrl: entry.callerUrl,
      service: spec.name,
      key,
      path: `/${spec.pathPrefix}/${key}?ms=${workMs}`,
      identity,
      body: Buffer.alloc(bodyBytes, identity),
    });
    this.attempts.push(attempt);
    return attempt;
  }
}
