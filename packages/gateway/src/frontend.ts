/** The HTTP server for clients. @module */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import { type EventLog, EventPriority } from "@jaytiller/kernel";
import { ClientConnections } from "./client_connections.js";
import type { ClientPipeline } from "./client_pipeline.js";
import type { Dispatcher } from "./dispatcher.js";
import { RouterStatus } from "./client_call.js";
import { type ClusterState, ClusterStatePart } from "./cluster_state.js";
import { sleep } from "./sleep.js";
import { bindServer } from "./listen.js";
import type { LimitLog } from "./limit_log.js";
import type { MemoryBudget } from "./memory_budget.js";
import type { GatewaySettings, ListenAddress } from "./settings.js";

/** Largest request header, bytes; configured limits are lower. */
const MAX_HEADER_BYTES = 65_536;
/** Idle timeout until a configuration is known, ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
/** Ratio of the connections' idle timeout to the configured one. */
const IDLE_TIMEOUT_FACTOR = 1.1;
/** Interval at which incomplete heads that are too old are looked for, ms. */
const HEAD_CHECK_INTERVAL_MS = 5_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Accepts client connections and passes requests to the dispatcher. */
export class Frontend {
  readonly #server: Server;
  readonly #dispatcher: Dispatcher;
  readonly #listen: ListenAddress;
  readonly #log: EventLog;
  readonly #connections: ClientConnections;

  constructor(options: {
    dispatcher: Dispatcher;
    cluster: ClusterState;
    settings: () => GatewaySettings;
    limits: LimitLog;
    budget: MemoryBudget;
    log: EventLog;
  }) {
    const { dispatcher, cluster, log } = options;
    this.#dispatcher = dispatcher;
    this.#listen = options.settings().listen.front;
    this.#connections = new ClientConnections({
      settings: options.settings,
      limits: options.limits,
      budget: options.budget,
      isClosing: () => dispatcher.isClosing,
    });
    this.#log = log;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
      noDelay: true,
    }, (request, response) => {
      const pipelined = this.#findPipeline(request).add(request, response);
      dispatcher.serve({ request, response, pipelined })
        .catch((error: unknown) => {
          log.record("serveFailed", { problem: formatError(error) });
          response.destroy();
        });
    });
    // The server's own method, which its `close` calls, destroys connections
    // whose response was passed to them but not handed to the network.
    this.#server.closeIdleConnections = () => this.#connections.closeIdle();
    this.#server.on(
      "connection",
      (socket) => this.#connections.accept(socket),
    );
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#rejectInput(error, socket as Socket);
    });
    cluster.onChange((part) => {
      if (part !== ClusterStatePart.Routes) return;
      const { limits, routes } = cluster.routes!.configuration;
      this.#server.keepAliveTimeout = limits.idleTimeoutMs *
        IDLE_TIMEOUT_FACTOR;
      this.#server.headersTimeout = limits.headerTimeoutMs;
      dispatcher.retainRoutes(routes);
    });
  }

  get connections(): number {
    return this.#connections.size;
  }

  /** Number of connections whose input waits for processor time. */
  get deferredInputs(): number {
    return this.#connections.deferred;
  }

  start(): Promise<void> {
    return bindServer(this.#server, this.#listen);
  }

  /**
   * Drains connections for a planned stop. Serves requests for `redirectMs`
   * while the load balancer redirects clients, then closes the port and idle
   * connections. Waits until `maxMs` after the start for open requests and for
   * responses that are still being sent.
   */
  async drain(options: { redirectMs: number; maxMs: number }): Promise<void> {
    const startedAt = performance.now();
    this.#dispatcher.beginDrain({
      lateMs: startedAt + options.redirectMs,
      endMs: startedAt + options.maxMs,
    });
    await sleep(options.redirectMs);
    this.#server.close();
    const getElapsedMs = () => performance.now() - startedAt;
    while (this.#isBusy() && getElapsedMs() < options.maxMs) {
      this.#connections.closeIdle();
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    // Later requests are refused: none may run after its connection is closed.
    this.#dispatcher.refuseAll();
    await sleep(DRAIN_POLL_INTERVAL_MS);
    this.#log.record("drained", {
      open: this.#dispatcher.open,
      sending: this.#connections.open,
      connections: this.#connections.size,
      ms: Math.round(getElapsedMs()),
    });
    for (const socket of this.#connections.list()) socket.destroySoon();
  }

  #isBusy(): boolean {
    return this.#dispatcher.open > 0 || this.#connections.open > 0;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #findPipeline({ socket }: IncomingMessage): ClientPipeline {
    const pipeline = this.#connections.find(socket);
    if (!pipeline) throw new Error("Request of an unknown connection");
    return pipeline;
  }

  #rejectInput(error: NodeJS.ErrnoException, socket: Socket): void {
    // Input behind a request that asks to close the connection is ignored.
    if (error.code === "HPE_CLOSED_CONNECTION") return;
    const isBroken = error.code === "ECONNRESET" || !socket.writable;
    if (isBroken) return void socket.destroy();
    const pipeline = this.#connections.find(socket);
    const isTimeout = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
    // What follows an error is dropped, and a held head was not read on purpose.
    if (!pipeline || pipeline.input.isDropping) return;
    if (isTimeout && pipeline.input.isHeld) return;
    if (isTimeout && socket.bytesRead === 0) return this.#limitUnused(socket);
    const status = MALFORMED_INPUT_STATUSES[error.code ?? ""] ??
      RouterStatus.BadRequest;
    this.#log.write(
      "malformedInput",
      { problem: error.code, status },
      EventPriority.Routine,
    );
    pipeline.rejectInput(status);
  }

  /**
   * Applies the idle timeout to a connection on which nothing has arrived. The
   * HTTP server counts the time for its first head from its start.
   */
  #limitUnused(socket: Socket): void {
    socket.setTimeout(this.#server.keepAliveTimeout);
    socket.once("data", () => socket.setTimeout(0));
  }
}

/** Statuses of malformed input by error code; 400 for all others. */
const MALFORMED_INPUT_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

function formatError(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}
