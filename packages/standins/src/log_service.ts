/** Stand-in for the platform's append-only log service. @module */
import type { Lifecycle, Request, ResponseToolkit } from "@hapi/hapi";
import { HttpService } from "./http_service.js";
import type { FaultChange } from "./service_faults.js";
import { type LogLimits, LogStore } from "./log_store.js";

/** Options of the log service. */
export interface LogServiceOptions extends LogLimits {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
}

/** Defaults of the log service. */
export const LOG_SERVICE_DEFAULTS: LogServiceOptions = {
  host: "127.0.0.1",
  port: 0,
  maxBodyBytes: 8 * 1024 * 1024,
  appendsPerSecond: 400,
  retainCount: 0,
  retainMs: 0,
};

const MAX_WAIT_MS = 30_000;
const MAX_READ_COUNT = 10_000;

function findRecordError(record: unknown): string | undefined {
  if (typeof record !== "object" || record === null || Array.isArray(record)) {
    return "record: Expected an object.";
  }
  for (const key of ["kind", "id"]) {
    const value = (record as Record<string, unknown>)[key];
    if (typeof value !== "string" || value === "") {
      return `record.${key}: Expected a string that is not empty (found ${
        JSON.stringify(value) ?? "nothing"
      }).`;
    }
  }
  return undefined;
}

function parseCount(
  request: Request,
  name: string,
  range: { fallback: number; max: number },
): number {
  const text = (request.query as Record<string, unknown>)[name];
  if (text === undefined) return range.fallback;
  if (typeof text !== "string" || !/^\d{1,15}$/.test(text)) {
    throw new RangeError(
      `${name}: Expected an integer from 0 (found ${JSON.stringify(text)}).`,
    );
  }
  return Math.min(Number(text), range.max);
}

/** Log service. `docs/design.md` specifies its HTTP interface. */
export class LogService {
  readonly #http: HttpService;
  readonly #store: LogStore;
  readonly #pendingReads = new Set<() => void>();
  /**
   * Response body of the last read, cached because all clients that tail the log
   * request the same range.
   */
  #lastRead = { key: "", body: "" };

  private constructor(options: LogServiceOptions) {
    this.#http = new HttpService(options);
    const { appendsPerSecond, retainCount, retainMs } = options;
    this.#store = new LogStore({ appendsPerSecond, retainCount, retainMs });
    this.#http.faults.addListener(() => this.#finishPendingReads());
    this.#http.addRouteWithFaults("POST /append", (q, h) => this.#append(q, h));
    this.#http.addRouteWithFaults("GET /read", (q, h) => this.#read(q, h));
    this.#http.addControl((body) => this.#applyControl(body));
  }

  /** Starts the service. */
  static async start(options: LogServiceOptions): Promise<LogService> {
    const service = new LogService(options);
    await service.#http.start();
    return service;
  }

  get port(): number {
    return this.#http.port;
  }

  async stop(): Promise<void> {
    this.#finishPendingReads();
    await this.#http.stop();
  }

  #applyControl(body: Record<string, unknown>) {
    const { faults } = this.#http;
    faults.update(body as FaultChange);
    const limits = { ...this.#store.limits };
    for (const key of Object.keys(limits) as (keyof LogLimits)[]) {
      const value = body[key];
      if (typeof value === "number" && value >= 0) limits[key] = value;
    }
    this.#store.limits = limits;
    this.#store.removeExpired(Date.now());
    const { next, oldest } = this.#store;
    return { ...faults.toJSON(), ...limits, next, oldest };
  }

  #append(request: Request, h: ResponseToolkit): Lifecycle.ReturnValue {
    const record = (request.payload as { record?: unknown } | null)?.record;
    const error = findRecordError(record);
    if (error !== undefined) return h.response({ error }).code(400);
    const offset = this.#store.append(record, Date.now());
    if (offset === undefined) {
      const error =
        `More than ${this.#store.limits.appendsPerSecond} appends/s`;
      return h.response({ error }).code(429);
    }
    this.#finishPendingReads();
    return this.#http.faults.consumeLostResponse() ? h.abandon : { offset };
  }

  #finishPendingReads() {
    for (const finish of this.#pendingReads) finish();
  }

  async #read(
    request: Request,
    h: ResponseToolkit,
  ): Promise<Lifecycle.ReturnValue> {
    let from: number, max: number, waitMs: number;
    try {
      from = parseCount(request, "from", { fallback: 0, max: 2 ** 52 });
      max = parseCount(request, "max", { fallback: 1000, max: MAX_READ_COUNT });
      waitMs = parseCount(request, "waitMs", { fallback: 0, max: MAX_WAIT_MS });
    } catch (e) {
      return h.response({ error: (e as Error).message }).code(400);
    }
    this.#store.removeExpired(Date.now());
    if (from > this.#store.next) {
      const error =
        `from: Expected at most ${this.#store.next} (found ${from})`;
      return h.response({ error }).code(400);
    }
    if (from === this.#store.next && waitMs > 0 && max > 0) {
      await this.#wait(request, waitMs);
    }
    const oldest = this.#store.oldest;
    if (from < oldest) return h.response({ oldest }).code(410);
    return h.response(this.#formatSlice(from, max)).type("application/json");
  }

  #wait(request: Request, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#pendingReads.delete(finish);
        request.raw.res.removeListener("close", finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#pendingReads.add(finish);
      request.raw.res.once("close", finish);
    });
  }

  #formatSlice(from: number, max: number): string {
    const { next, oldest } = this.#store;
    const key = `${from} ${max} ${next} ${oldest}`;
    if (this.#lastRead.key !== key) {
      const slice = this.#store.read(from, max);
      const body = `{"records":[${
        slice.entries.join(",")
      }],"next":${slice.next},"oldest":${slice.oldest}}`;
      this.#lastRead = { key, body };
    }
    return this.#lastRead.body;
  }
}
