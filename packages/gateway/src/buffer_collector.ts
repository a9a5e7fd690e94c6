/** Bounds the memory of buffers that are no longer in use. @module */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * V8's function for collections. Without an argument it runs a full collection.
 * V8 11 (Node.js 20) takes any object for a request of a minor one.
 */
type CollectGarbage = (options?: { type: "minor" }) => void;

/** Bytes that are kept, or released, between two measurements. */
const CHECK_BYTES = 4 << 20;
/** Memory of buffers that are not in use, above which they are collected. */
const MAX_UNUSED_BYTES = 10 << 20;
/** Part of the machine's memory from which collections have no pause. */
const URGENT_SHARE = 0.95;

/**
 * Collects buffers that are no longer in use. V8 decides on a collection mostly
 * by its own heap, of which a buffer of 64 KiB takes some hundred bytes: with
 * 74 MiB in use, 59 MiB more were allocated before it collected any.
 */
export class BufferCollector {
  readonly #collect: CollectGarbage;
  #keptBytes = 0;
  #releasedBytes = 0;
  #check: NodeJS.Immediate | undefined;
  #collections = 0;
  readonly #memoryBytes: number;
  /** Monotonic time before which nothing is collected, ms. */
  #pauseEndMs = -Infinity;

  /**
   * `memoryBytes` is the memory of the machine for this process; without it,
   * collections have no pause.
   */
  constructor(memoryBytes = 0) {
    this.#memoryBytes = memoryBytes;
    setFlagsFromString("--expose-gc");
    this.#collect = runInNewContext("gc") as CollectGarbage;
  }

  /** Number of collections of old buffers. */
  get collections(): number {
    return this.#collections;
  }

  /** Counts bytes that are kept from now on, of `usedBytes` in all. */
  count(bytes: number, usedBytes: number): void {
    this.#keptBytes += bytes;
    if (this.#keptBytes < CHECK_BYTES) return;
    this.#keptBytes = 0;
    this.#collectUnused(usedBytes);
  }

  /**
   * Counts bytes that are no longer kept. Their buffers are collected in the
   * next turn of the event loop, when nothing refers to them any more, so that
   * the next large body finds their memory.
   */
  countReleased(bytes: number, getUsedBytes: () => number): void {
    this.#releasedBytes += bytes;
    if (this.#releasedBytes < CHECK_BYTES) return;
    this.#releasedBytes = 0;
    this.#check ??= setImmediate(() => {
      this.#check = undefined;
      this.#collectUnused(getUsedBytes());
    });
  }

  #collectUnused(usedBytes: number): void {
    if (!hasTooManyUnused(usedBytes) || this.#isPausing()) return;
    const startMs = performance.now();
    // Most of them have just been read, and collecting these takes about 1 ms.
    this.#collect({ type: "minor" });
    if (hasTooManyUnused(usedBytes)) {
      this.#collections += 1;
      this.#collect();
    }
    const endMs = performance.now();
    this.#pauseEndMs = endMs + (endMs - startMs);
  }

  /**
   * Collections take at most half of the processor's time, unless memory is
   * about to run out: a crowd that sends large bodies asks for them all the time.
   */
  #isPausing(): boolean {
    return performance.now() < this.#pauseEndMs &&
      process.memoryUsage.rss() < URGENT_SHARE * this.#memoryBytes;
  }
}

function hasTooManyUnused(usedBytes: number): boolean {
  return process.memoryUsage().arrayBuffers - usedBytes > MAX_UNUSED_BYTES;
}
