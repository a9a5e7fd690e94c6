/** HTTP server with configurable responses for tests. @module */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { ServerResponse } from "node:http";

/** Handles one request. */
export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** A server on a free port of the loopback interface. */
export class TestServer {
  readonly #server: Server;
  readonly sockets: Socket[] = [];
  respond: RequestHandler = (_, res) => res.end();

  private constructor() {
    this.#server = createServer((req, res) => {
      req.resume();
      req.on("end", () => this.respond(req, res));
    });
    this.#server.on("connection", (socket) => this.sockets.push(socket));
  }

  static async start(): Promise<TestServer> {
    const testServer = new TestServer();
    await new Promise<void>((resolve) =>
      testServer.#server.listen(0, "127.0.0.1", resolve)
    );
    return testServer;
  }

  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Responds to all further requests with this status, body and headers. */
  answer(
    status: number,
    body: unknown,
    options: { headers?: Record<string, string> } = {},
  ): void {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    this.respond = (_, res) => res.writeHead(status, options.headers).end(text);
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
