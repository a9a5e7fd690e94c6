/** Limits of what a peer may send as a response. @module */
import type { ClientRequest } from "node:http";
import type { BodyChunks } from "./body_chunks.js";
import {
  HeldKind,
  type HeldMemory,
  type MemoryBudget,
} from "./memory_budget.js";

/**
 * Largest number of bytes before a response, with interim responses and empty
 * lines, for which the HTTP parser has no limit.
 */
const MAX_HEAD_BYTES = 65_536;
/** Chunks of a body that may have any size. */
const MAX_TINY_CHUNKS = 1_024;
/** Least mean size of the chunks beyond these, bytes. */
const MIN_CHUNK_BYTES = 4;
/** Memory that all responses in progress may take, bytes. */
const MAX_BUFFERED_BYTES = 48 << 20;

/** Calls `onExceeded` once if the head of the response is too large. */
export function watchHead(
  request: ClientRequest,
  onExceeded: () => void,
): void {
  request.once("socket", (socket) => {
    let bytes = 0;
    let isDone = false;
    const stop = () => {
      isDone = true;
      socket.removeListener("data", count);
    };
    const count = (chunk: Buffer) => {
      bytes += chunk.length;
      if (isDone || bytes <= MAX_HEAD_BYTES) return;
      stop();
      onExceeded();
    };
    socket.on("data", count);
    request.once("response", stop);
    request.once("close", stop);
  });
}

/**
 * Returns whether a body comes in more tiny chunks than any response has. They
 * cost time without end, and hardly add to the size of the body.
 */
export function hasTooManyChunks({ count, size }: BodyChunks): boolean {
  return count > MAX_TINY_CHUNKS + size / MIN_CHUNK_BYTES;
}

/** Body of a response in progress. */
export interface BufferedBody {
  /** Ends the exchange, because its body takes the most memory. */
  readonly discard: () => void;
}

/**
 * Bounds the memory of all response bodies that are being received. Above the
 * bound the largest is discarded, so that a server whose body does not end does
 * not take the responses of other servers with it. Their memory also counts in
 * the budget of the process, if there is one.
 */
export class ResponseBuffers {
  readonly #budget: MemoryBudget | undefined;
  readonly #sizes = new Map<BufferedBody, number>();
  readonly #held = new Map<BufferedBody, HeldMemory>();
  #totalBytes = 0;

  constructor(budget?: MemoryBudget) {
    this.#budget = budget;
  }

  /** Memory in use, bytes. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Adds memory that was taken for a body. */
  add(body: BufferedBody, bytes: number): void {
    this.#sizes.set(body, (this.#sizes.get(body) ?? 0) + bytes);
    this.#totalBytes += bytes;
    if (this.#totalBytes > MAX_BUFFERED_BYTES) this.#findLargest().discard();
    if (this.#sizes.has(body)) this.#hold(body)?.add(bytes);
  }

  /** Called once the body is complete or discarded. */
  remove(body: BufferedBody): void {
    this.#totalBytes -= this.#sizes.get(body) ?? 0;
    this.#sizes.delete(body);
    this.#held.get(body)?.release();
    this.#held.delete(body);
  }

  #hold(body: BufferedBody): HeldMemory | undefined {
    const known = this.#held.get(body);
    if (known || !this.#budget) return known;
    const held = this.#budget.open({
      kind: HeldKind.Response,
      address: "",
      giveUp: () => body.discard(),
    });
    this.#held.set(body, held);
    return held;
  }

  #findLargest(): BufferedBody {
    let [largest, most] = [undefined as BufferedBody | undefined, -1];
    for (const [body, bytes] of this.#sizes) {
      if (bytes > most) [largest, most] = [body, bytes];
    }
    return largest!;
  }
}
