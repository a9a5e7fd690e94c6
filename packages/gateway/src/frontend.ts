/** The HTTP server for clients. @module */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@jaytiller/kernel";
import type { Dispatcher } from "./dispatcher.js";
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
  readonly #sockets = new Set<Socket>();

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
      dispatcher.serve(request, response).catch((error: unknown) => {
        log.record("serveFailed", { problem: formatError(error) });
        response.destroy();
      });
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      // Each request that is in progress on the connection adds listeners.
      socket.setMaxListeners(0);
      socket.on("close", () => this.#sockets.delete(socket));
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
    return this.#sockets.size;
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
    this.#dispatcher.closeConnections();
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
      connections: this.#sockets.size,
      ms: Math.round(getElapsedMs()),
    });
    for (const socket of this.#sockets) socket.destroySoon();
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function formatError(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}
