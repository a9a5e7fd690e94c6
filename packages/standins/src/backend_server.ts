/** Stand-in for a backend server that owns units exclusively. @module */
import {
  type GrantReply,
  type GrantRequest,
  SERVER_HEADER,
  type UnitId,
} from "@jaytiller/model";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { sendResponse } from "./backend_response.js";
import {
  applyBehaviour,
  type BackendBehaviour,
  type BackendOptions,
  type CountedFault,
} from "./backend_options.js";
import {
  createRecord,
  parseWork,
  readBody,
  readHeader,
  sendJson,
  type WorkRequest,
} from "./backend_work.js";
import { ExecutionJournal } from "./execution_journal.js";
import { FencedGrants, type RequestRejection } from "./fenced_grants.js";
import { createRandom } from "./random.js";

const KEEP_ALIVE_MS = 75_000;
const MAX_CONTROL_BYTES = 1024 * 1024;

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Returns the Unix time in fractional ms. */
function getUnixMs(): number {
  return performance.timeOrigin + performance.now();
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += chunk.length;
    if (bytes > MAX_CONTROL_BYTES) throw new Error("Request body too large.");
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString() || "{}");
}

/** Backend server. `docs/design.md` specifies its HTTP interface. */
export class BackendServer {
  readonly #options: BackendOptions;
  readonly #incarnation = randomUUID();
  readonly #grants = new FencedGrants(this.#incarnation);
  readonly #journal: ExecutionJournal;
  readonly #random: () => number;
  readonly #startedMs = performance.now();
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #delayedSockets = new WeakSet<Socket>();
  #behaviour: BackendBehaviour;
  #drainingSinceMs: number | undefined;
  #executions = 0;
  /** Grant number of the unit when each request started. */
  readonly #startGrantNumbers = new WeakMap<WorkRequest, number>();
  /** Running requests and their units. */
  readonly #running = new Map<object, string>();
  #onIdle: () => void = () => {};

  readonly #handlers: Readonly<Record<string, Handler>> = {
    "POST /grants": (req, res) => this.#applyGrant(req, res),
    "GET /health": async (_, res) => this.#sendHealth(res),
    "GET /records": async (_, res) =>
      sendJson(res, { status: 200, body: this.#journal.readAll() }),
    "POST /control": (req, res) => this.#applyControl(req, res),
  };

  private constructor(options: BackendOptions) {
    this.#options = options;
    this.#behaviour = applyBehaviour(options, {});
    this.#journal = new ExecutionJournal(options.recordsFile);
    this.#random = createRandom(options.seed);
    if (options.draining) this.#drainingSinceMs = performance.now();
  }

  /** Starts a server that listens on a work port and a control port. */
  static async start(options: BackendOptions): Promise<BackendServer> {
    const server = new BackendServer(options);
    await server.#listen(options.port, true);
    await server.#listen(0, false);
    return server;
  }

  get port(): number {
    return (this.#servers[0]!.address() as AddressInfo).port;
  }

  /** Port for tests and checkers, without the connection limit. */
  get controlPort(): number {
    return (this.#servers[1]!.address() as AddressInfo).port;
  }

  async #listen(port: number, limitConnections: boolean): Promise<void> {
    const server = createServer((req, res) => this.#respond(req, res));
    // Uploads may take longer than Node's default request timeout.
    server.requestTimeout = 0;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    if (limitConnections) {
      server.prependListener(
        "connection",
        (s: Socket) => this.#acceptConnection(s),
      );
    }
    this.#servers.push(server);
    server.listen(port, this.#options.host);
    await once(server, "listening");
  }

  #acceptConnection(socket: Socket): void {
    if (this.#sockets.size >= this.#behaviour.connections) {
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
  }

  /** Drains the server, waits for running requests and stops. */
  async stop(): Promise<void> {
    this.#setDraining(true);
    // The holder withdraws the units of a draining server. A server that does
    // not check ownership has none and waits for the full drain time.
    const end = performance.now() + this.#behaviour.drainMs;
    while (performance.now() < end && !this.#isDrained()) await delay(20);
    while (this.#running.size > 0) {
      await new Promise<void>((resolve) => this.#onIdle = resolve);
    }
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#journal.close();
  }

  #isDrained(): boolean {
    return this.#behaviour.checks && this.#grants.unitCount === 0 &&
      this.#running.size === 0;
  }

  #setDraining(draining: boolean): void {
    this.#behaviour.draining = draining;
    this.#drainingSinceMs = draining
      ? this.#drainingSinceMs ?? performance.now()
      : undefined;
  }

  async #respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const { connectMs } = this.#behaviour;
      if (connectMs > 0 && !this.#delayedSockets.has(req.socket)) {
        this.#delayedSockets.add(req.socket);
        await delay(connectMs);
      }
      const path = (req.url ?? "/").split("?")[0];
      const handler = this.#handlers[`${req.method} ${path}`];
      const requestId = readHeader(req, SERVER_HEADER.requestId);
      if (requestId) res.setHeader(SERVER_HEADER.requestId, requestId);
      await (handler ? handler(req, res) : this.#runWork(req, res));
    } catch (e) {
      const body = { error: e instanceof Error ? e.message : String(e) };
      sendJson(res, { status: 400, body });
    }
  }

  async #applyGrant(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const request = await readJson(req) as GrantRequest;
    if (!this.#behaviour.checks) {
      const body = { error: "This server does not check ownership." };
      sendJson(res, { status: 404, body });
      return;
    }
    const atMs = performance.now();
    const outcome = this.#grants.applyRequest(request, atMs);
    const reply: GrantReply = {
      ...outcome,
      incarnation: this.#incarnation,
      atMs,
      draining: this.#behaviour.draining,
      running: this.#running.size,
      busyUnits: [
        ...new Set(this.#running.values()),
      ] as GrantReply["busyUnits"],
      load: this.#getLoad(),
    };
    sendJson(res, { status: 200, body: reply });
  }

  #listBusyUnits(): UnitId[] {
    return [...new Set(this.#running.values())] as UnitId[];
  }

  #getLoad(): number {
    const { reportLoad, slots } = this.#behaviour;
    return reportLoad >= 0 ? reportLoad : this.#running.size / slots;
  }

  #sendHealth(res: ServerResponse): void {
    const { reportHealthy, slots, draining } = this.#behaviour;
    const body = {
      healthy: reportHealthy,
      load: this.#getLoad(),
      running: this.#running.size,
      slots,
      draining,
      busyUnits: this.#listBusyUnits(),
      connections: this.#sockets.size,
      atMs: performance.now(),
      incarnation: this.#incarnation,
      id: this.#options.id,
    };
    sendJson(res, { status: reportHealthy ? 200 : 503, body });
  }

  async #applyControl(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readJson(req) as Record<string, unknown>;
    this.#behaviour = applyBehaviour(this.#behaviour, body);
    this.#setDraining(this.#behaviour.draining);
    sendJson(res, { status: 200, body: this.#behaviour });
  }

  /**
   * Returns whether `fault` applies to the current request or response, and
   * decrements its count.
   */
  #consumeFault(fault: CountedFault): boolean {
    if (this.#behaviour[fault] <= 0) return false;
    this.#behaviour[fault] -= 1;
    return true;
  }

  /** Returns the rejection of work that may not start, or `undefined`. */
  #checkStart(work: WorkRequest): RequestRejection | undefined {
    const { checks, slots, shed, drainMs } = this.#behaviour;
    const nowMs = performance.now();
    const rejection = checks ? this.#grants.checkToken(work.token) : undefined;
    if (rejection) return rejection;
    const since = this.#drainingSinceMs;
    if (since !== undefined && nowMs - since >= drainMs) {
      return { status: 503, error: "The server is draining." };
    }
    if (shed > 0 && this.#random() < shed) {
      return { status: 503, error: "The server is shedding load." };
    }
    if (this.#running.size >= slots) {
      return { status: 503, error: `All ${slots} slots are in use.` };
    }
    return this.#checkEffect(work);
  }

  /**
   * Returns the rejection of work that may not take effect now, or `undefined`.
   * Called at the start and again before the effect, since the unit or lease may
   * be lost and the deadline may pass in between.
   */
  #checkEffect(work: WorkRequest): RequestRejection | undefined {
    if (this.#behaviour.checks) {
      const rejection = this.#grants.checkUnit(work.unit, performance.now()) ??
        this.#checkGrant(work);
      if (rejection) return rejection;
    }
    const late = work.deadlineMs === undefined
      ? -1
      : getUnixMs() - work.deadlineMs;
    if (late < 0) return undefined;
    const error = `The deadline passed ${late.toFixed(1)} ms ago.`;
    return { status: 503, error };
  }

  /**
   * Records the grant number on the first call and rejects the work if it has
   * changed. Work started under one grant must not take effect under a later
   * one.
   */
  #checkGrant(work: WorkRequest): RequestRejection | undefined {
    const grant = this.#grants.getGrantNumber(work.unit!);
    const first = this.#startGrantNumbers.get(work);
    if (first === undefined) this.#startGrantNumbers.set(work, grant!);
    if (first === undefined || first === grant) return undefined;
    return {
      status: 409,
      error: "The unit was granted again after the work started.",
    };
  }

  #sendRejection(res: ServerResponse, rejection: RequestRejection): void {
    sendJson(res, {
      status: rejection.status,
      body: { error: rejection.error },
      headers: { [SERVER_HEADER.notRun]: "1" },
    });
  }

  async #runWork(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#consumeFault("hang")) return;
    const work = parseWork(req);
    const rejection = this.#checkStart(work);
    if (rejection) return this.#sendRejection(res, rejection);
    const execution = `${this.#incarnation}:${++this.#executions}`;
    const { service, id: server } = this.#options;
    const startMs = getUnixMs();
    const record = createRecord(work, { service, server, startMs });
    this.#journal.write({ execution, at: "start", record });
    if (work.poison) process.exit(1);
    this.#running.set(work, work.unit ?? "");
    try {
      await this.#run(work, { req, res, execution });
    } finally {
      this.#journal.write({ execution, at: "end", endMs: getUnixMs() });
      this.#running.delete(work);
      if (this.#running.size === 0) this.#onIdle();
    }
  }

  #computeServiceMs(work: WorkRequest): number {
    const { serviceMs, coldMs, coldFactor } = this.#behaviour;
    const cold = performance.now() - this.#startedMs < coldMs;
    return (work.ms ?? serviceMs) * (cold ? coldFactor : 1);
  }

  async #run(
    work: WorkRequest,
    at: { req: IncomingMessage; res: ServerResponse; execution: string },
  ): Promise<void> {
    const { req, res, execution } = at;
    const closed = new AbortController();
    res.once("close", () => closed.abort());
    let body;
    try {
      body = await readBody(req, () => this.#behaviour.readPauseMs);
      const ms = this.#computeServiceMs(work);
      if (ms > 0) await delay(ms, undefined, { signal: closed.signal });
    } catch {
      return; // The client disconnected before the effect.
    }
    if (closed.signal.aborted) return;
    const rejection = this.#checkEffect(work);
    if (rejection) return this.#sendRejection(res, rejection);
    const effectMs = getUnixMs();
    this.#journal.write({
      execution,
      at: "effect",
      effectMs,
      bodyBytes: body.bytes,
      bodyDigest: body.digest,
    });
    if (this.#consumeFault("loseAnswers")) return;
    if (this.#consumeFault("late")) {
      await delay(this.#behaviour.lateMs, undefined, { signal: closed.signal })
        .catch(() => {});
    }
    const fields = {
      requestId: work.requestId,
      server: this.#options.id,
      service: this.#options.service,
      key: work.key,
      unit: work.unit,
      identity: work.identity,
      method: work.method,
      path: work.url.pathname,
      effectMs,
      bodyBytes: body.bytes,
      bodyDigest: body.digest,
    };
    const { requestId, bytes } = work;
    const consumeFault = (fault: CountedFault) => this.#consumeFault(fault);
    await sendResponse(res, { requestId, bytes, fields, consumeFault });
  }
}
