/** HTTP server of a stand-in, with fault injection. @module */
import Hapi from "@hapi/hapi";
import type {
  Lifecycle,
  Request,
  ResponseToolkit,
  RouteOptions,
  Server,
} from "@hapi/hapi";
import type { Socket } from "node:net";
import { ServiceFaults } from "./service_faults.js";

/** Keep-alive timeout in ms; clients keep connections open between polls. */
const KEEP_ALIVE_MS = 75_000;

/** Address and request size limit of a service. */
export interface HttpServiceOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
}

/** Method and path of an endpoint. */
export type Endpoint = `${"GET" | "POST"} /${string}`;

/** Handles a call to an endpoint. */
export type CallHandler = (
  request: Request,
  h: ResponseToolkit,
) => Promise<Lifecycle.ReturnValue> | Lifecycle.ReturnValue;

/** Hapi server that applies `ServiceFaults` to selected endpoints. */
export class HttpService {
  readonly faults = new ServiceFaults();
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #maxBodyBytes: number;

  constructor(options: HttpServiceOptions) {
    this.#maxBodyBytes = options.maxBodyBytes;
    this.#server = Hapi.server({
      host: options.host,
      port: options.port,
      compression: false,
      routes: { cache: false, json: { space: 0 } },
    });
    const listener = this.#server.listener;
    if ("keepAliveTimeout" in listener) {
      listener.keepAliveTimeout = KEEP_ALIVE_MS;
    }
    listener.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  get port(): number {
    return Number(this.#server.info.port);
  }

  /** Adds an endpoint to which faults apply. */
  addRouteWithFaults(name: Endpoint, call: CallHandler): void {
    this.addRoute(name, async (request, h) => {
      await this.faults.delayBefore();
      const outageResponse = this.faults.getOutageResponse(request, h);
      if (outageResponse !== undefined) return outageResponse;
      const answer = await call(request, h);
      await this.faults.delayAfter();
      return this.faults.getOutageResponse(request, h) ?? answer;
    });
  }

  /**
   * Adds `POST /control`, to which faults do not apply. If `apply` throws an
   * `Error`, the response is 400 with its message.
   */
  addControl(apply: (body: Record<string, unknown>) => unknown): void {
    this.addRoute("POST /control", async (request, h) => {
      try {
        const body = request.payload ?? {};
        return h.response(
          await apply(body as Record<string, unknown>) as object,
        );
      } catch (e) {
        return h.response({ error: (e as Error).message }).code(400);
      }
    });
  }

  /** Adds an endpoint to which faults do not apply. */
  addRoute(name: Endpoint, handler: CallHandler): void {
    const [method, path] = name.split(" ") as ["GET" | "POST", string];
    const payload: RouteOptions["payload"] = {
      maxBytes: this.#maxBodyBytes,
      allow: "application/json",
      parse: true,
    };
    this.#server.route({
      method,
      path,
      options: method === "POST" ? { payload } : {},
      handler,
    });
  }

  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Stops immediately and destroys all connections. */
  async stop(): Promise<void> {
    const stopped = this.#server.stop({ timeout: 0 });
    for (const socket of this.#sockets) socket.destroy();
    await stopped;
  }
}
