/** Takes the requests of clients. @module */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@jaytiller/kernel";
import type { Dispatcher } from "./dispatcher.js";
import { type Knowledge, KnowledgePart } from "./knowledge.js";
import { pause } from "./pause.js";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";

/** Largest header of a request, bytes; configured limits are below it. */
const MAX_HEADER_BYTES = 65_536;
/** Used until a configuration is known, ms. */
const FIRST_IDLE_MS = 60_000;
/** A connection stays open for this share of the configured idle time. */
const IDLE_FACTOR = 1.1;
const STOP_POLL_MS = 50;

/** The port for clients. */
export class Front {
  readonly #server: Server;
  readonly #dispatcher: Dispatcher;
  readonly #listen: ListenAddress;
  readonly #log: EventLog;
  readonly #sockets = new Set<Socket>();

  constructor(options: {
    dispatcher: Dispatcher;
    knowledge: Knowledge;
    listen: ListenAddress;
    log: EventLog;
  }) {
    const { dispatcher, knowledge, log } = options;
    this.#dispatcher = dispatcher;
    this.#listen = options.listen;
    this.#log = log;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: FIRST_IDLE_MS,
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
      socket.on("close", () => this.#sockets.delete(socket));
    });
    knowledge.onChange((part) => {
      if (part !== KnowledgePart.Routes) return;
      const { limits, routes } = knowledge.routes!.configuration;
      this.#server.keepAliveTimeout = limits.idleTimeoutMs * IDLE_FACTOR;
      this.#server.headersTimeout = limits.headerTimeoutMs;
      dispatcher.keepRoutes(routes);
    });
  }

  get connections(): number {
    return this.#sockets.size;
  }

  start(): Promise<void> {
    return bindServer(this.#server, this.#listen);
  }

  /**
   * Serves on while the balancer leads clients elsewhere, then closes the port
   * and idle connections, and ends when all requests are answered.
   */
  async drain(options: { leadMs: number; maxMs: number }): Promise<void> {
    const startedAt = performance.now();
    this.#dispatcher.closeConnections();
    await pause(options.leadMs);
    this.#server.close();
    const getMs = () => performance.now() - startedAt;
    while (this.#dispatcher.open > 0 && getMs() < options.maxMs) {
      // A connection whose request has not arrived is idle, too.
      this.#server.closeIdleConnections();
      await pause(STOP_POLL_MS);
    }
    // What still arrives is refused: nothing may run once its connection ends.
    this.#dispatcher.refuseAll();
    await pause(STOP_POLL_MS);
    this.#log.record("drained", {
      open: this.#dispatcher.open,
      connections: this.#sockets.size,
      ms: Math.round(getMs()),
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
