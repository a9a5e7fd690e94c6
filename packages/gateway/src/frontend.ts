/** The HTTP server for clients. @module */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@jaytiller/kernel";
import { ClientPipeline } from "./client_pipeline.js";
import type { Dispatcher } from "./dispatcher.js";
import { RouterStatus } from "./client_call.js";
import { type ClusterState, ClusterStatePart } from "./cluster_state.js";
import { sleep } from "./sleep.js";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";

/** Largest request header, bytes; configured limits are lower. */
const MAX_HEADER_BYTES = 65_536;
/** Idle timeout until a configuration is known, ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
/** Ratio of the connections' idle timeout to the configured one. */
const IDLE_TIMEOUT_FACTOR = 1.1;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Accepts client connections and passes requests to the dispatcher. */
export class Frontend {
  readonly #server: Server;
  readonly #dispatcher: Dispatcher;
  readonly #listen: ListenAddress;
  readonly #log: EventLog;
  readonly #pipelines = new Map<Socket, ClientPipeline>();

  constructor(options: {
    dispatcher: Dispatcher;
    cluster: ClusterState;
    listen: ListenAddress;
    log: EventLog;
  }) {
    const { dispatcher, cluster, log } = options;
    this.#dispatcher = dispatcher;
    this.#listen = options.listen;
    this.#log = log;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    }, (request, response) => {
      const pipelined = this.#findPipeline(request).add(request, response);
      dispatcher.serve({ request, response, pipelined })
        .catch((error: unknown) => {
          log.record("serveFailed", { problem: formatError(error) });
          response.destroy();
        });
    });
    this.#server.on("connection", (socket) => this.#accept(socket));
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
    return this.#pipelines.size;
  }

  start(): Promise<void> {
    return bindServer(this.#server, this.#listen);
  }

  /**
   * Drains connections for a planned stop. Serves requests for `redirectMs`
   * while the load balancer redirects clients, then closes the port and idle
   * connections, and waits for open requests until `maxMs` after the start.
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
    while (this.#dispatcher.open > 0 && getElapsedMs() < options.maxMs) {
      // Connections whose request has not arrived count as idle.
      this.#server.closeIdleConnections();
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    // Later requests are refused: none may run after its connection is closed.
    this.#dispatcher.refuseAll();
    await sleep(DRAIN_POLL_INTERVAL_MS);
    this.#log.record("drained", {
      open: this.#dispatcher.open,
      connections: this.#pipelines.size,
      ms: Math.round(getElapsedMs()),
    });
    for (const socket of this.#pipelines.keys()) socket.destroySoon();
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #accept(socket: Socket): void {
    const pipeline = new ClientPipeline(
      socket,
      () => this.#dispatcher.isClosing,
    );
    this.#pipelines.set(socket, pipeline);
    // Each request that is in progress on the connection adds listeners.
    socket.setMaxListeners(0);
    socket.on("close", () => this.#pipelines.delete(socket));
  }

  #findPipeline({ socket }: IncomingMessage): ClientPipeline {
    const pipeline = this.#pipelines.get(socket);
    if (!pipeline) throw new Error("Request of an unknown connection");
    return pipeline;
  }

  #rejectInput(error: NodeJS.ErrnoException, socket: Socket): void {
    // Input behind a request that asks to close the connection is ignored.
    if (error.code === "HPE_CLOSED_CONNECTION") return;
    const isBroken = error.code === "ECONNRESET" || !socket.writable;
    if (isBroken) return void socket.destroy();
    const status = MALFORMED_INPUT_STATUSES[error.code ?? ""] ??
      RouterStatus.BadRequest;
    this.#log.record("malformedInput", { problem: error.code, status });
    this.#pipelines.get(socket)?.rejectInput(status);
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
