/** Writes a response body as fast as its client reads it. @module */
import type { ServerResponse } from "node:http";
import type { Body } from "./body_chunks.js";

/**
 * Writes the parts of a body one after the other, each once the connection has
 * room for it. A connection keeps what was written to it until its `close`
 * event, which follows all other events of its turn of the event loop. If the
 * whole body were written at once, none of it could be returned before then.
 */
export class ResponseWriter {
  readonly #response: ServerResponse;
  /** Parts that were not written, the next one last. */
  #rest: Buffer[];

  constructor(response: ServerResponse, body: Body) {
    this.#response = response;
    this.#rest = [...body.parts].reverse();
  }

  /** Writes what the connection has room for; ends the response at the end. */
  write(): void {
    const response = this.#response;
    if (response.destroyed) return this.drop();
    for (let part = this.#rest.pop(); part; part = this.#rest.pop()) {
      const hasRoom = response.write(part);
      if (hasRoom || this.#rest.length === 0) continue;
      response.once("drain", () => this.write());
      return;
    }
    response.end();
  }

  /** Drops what was not written, because the connection has been closed. */
  drop(): void {
    this.#rest = [];
  }
}
