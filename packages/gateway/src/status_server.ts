/** Readiness and metrics over HTTP. @module */
import { createServer, type Server } from "node:http";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";

/** Status and body of a response. */
export interface StatusAnswer {
  readonly status: number;
  readonly text: string;
}

/** Response functions by path; other paths return 404. */
export type StatusPages = Readonly<Record<string, () => StatusAnswer>>;

/** Serves a few plain-text pages on one port. */
export class StatusServer {
  readonly #server: Server;
  readonly #listen: ListenAddress;

  constructor(listen: ListenAddress, pages: StatusPages) {
    this.#listen = listen;
    this.#server = createServer((request, response) => {
      const path = (request.url ?? "/").split("?", 1)[0]!;
      const page = Object.hasOwn(pages, path) ? pages[path] : undefined;
      const answer = page?.() ?? { status: 404, text: "not found\n" };
      response.writeHead(answer.status, {
        "Content-Type": "text/plain; charset=utf-8",
        "Content-Length": Buffer.byteLength(answer.text),
      });
      response.end(answer.text);
    });
  }

  start(): Promise<void> {
    return bindServer(this.#server, this.#listen);
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
