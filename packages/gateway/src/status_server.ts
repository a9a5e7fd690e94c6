/** Readiness and metrics over HTTP. @module */
import { createServer, type Server } from "node:http";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";

/** Status and body of a response. */
export interface StatusAnswer {
  readonly status: number;
  readonly text: string;
  /** Media type; plain text if absent. */
  readonly type?: string;
}

/**
 * Response functions by path; other paths return 404. `query` is the part of the
 * request target after the question mark.
 */
export type StatusPages = Readonly<
  Record<string, (query: string) => StatusAnswer>
>;

/** Serves a few short pages on one port. */
export class StatusServer {
  readonly #server: Server;
  readonly #listen: ListenAddress;

  constructor(listen: ListenAddress, pages: StatusPages) {
    this.#listen = listen;
    this.#server = createServer((request, response) => {
      const target = request.url ?? "/";
      const path = target.split("?", 1)[0]!;
      const page = Object.hasOwn(pages, path) ? pages[path] : undefined;
      const answer = page?.(target.slice(path.length + 1)) ??
        { status: 404, text: "not found\n" };
      response.writeHead(answer.status, {
        "Content-Type": answer.type ?? "text/plain; charset=utf-8",
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
