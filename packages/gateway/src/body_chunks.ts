/** Collects the chunks of a body. @module */

/** Smallest chunk after the first that is kept instead of being copied, bytes. */
const MIN_KEPT_BYTES = 4_096;
/** Size of the first block that smaller chunks are copied into, bytes. */
const FIRST_BLOCK_BYTES = 1_024;
/** Size of the further blocks, bytes. */
const BLOCK_BYTES = 16_384;

/** A complete body in the parts in which it is kept. */
export class Body {
  static readonly empty: Body = new Body([], 0);
  readonly parts: readonly Buffer[];
  /** Size of all parts, bytes. */
  readonly size: number;

  private constructor(parts: readonly Buffer[], size: number) {
    this.parts = parts;
    this.size = size;
  }

  static create(parts: readonly Buffer[]): Body {
    return new Body(parts, parts.reduce((sum, p) => sum + p.length, 0));
  }

  /** Writes all parts; the stream refers to them and makes no copy. */
  writeTo(stream: { write(part: Buffer): unknown }): void {
    for (const part of this.parts) stream.write(part);
  }

  toString(): string {
    return Buffer.concat(this.parts).toString();
  }
}

/**
 * Chunks of one body. Small ones are copied together: each is a view of the
 * block that was read from the connection, and would keep all of it.
 */
export class BodyChunks {
  readonly #parts: Buffer[] = [];
  #block: Buffer | undefined;
  #blockUsed = 0;
  #size = 0;
  #count = 0;

  /** Size of the body so far, bytes. */
  get size(): number {
    return this.#size;
  }

  /** Number of chunks so far. */
  get count(): number {
    return this.#count;
  }

  /** Adds a chunk; returns the memory that was taken for it, bytes. */
  add(chunk: Buffer): number {
    this.#size += chunk.length;
    this.#count += 1;
    const isLarge = this.#count === 1 || chunk.length >= MIN_KEPT_BYTES;
    // A chunk that is kept keeps all that was read with it.
    const isKept = isLarge && 2 * chunk.length >= chunk.buffer.byteLength;
    if (!isKept) return this.#copy(chunk);
    this.#closeBlock();
    this.#parts.push(chunk);
    return chunk.buffer.byteLength;
  }

  /** Returns the body so far without a copy. No chunk is added after this. */
  finish(): Body {
    this.#closeBlock();
    return this.#size === 0 ? Body.empty : Body.create(this.#parts);
  }

  /** Returns the body so far as one buffer. */
  concat(): Buffer {
    this.#closeBlock();
    return this.#parts.length === 1
      ? this.#parts[0]!
      : Buffer.concat(this.#parts);
  }

  #copy(chunk: Buffer): number {
    let taken = 0;
    for (let at = 0; at < chunk.length;) {
      if (!this.#block) {
        const isFirst = this.#parts.length === 0;
        const bytes = isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES;
        this.#block = Buffer.allocUnsafeSlow(bytes);
        taken += bytes;
      }
      const copied = chunk.copy(this.#block, this.#blockUsed, at);
      this.#blockUsed += copied;
      at += copied;
      if (this.#blockUsed === this.#block.length) this.#closeBlock();
    }
    return taken;
  }

  #closeBlock(): void {
    if (!this.#block) return;
    this.#parts.push(this.#block.subarray(0, this.#blockUsed));
    this.#block = undefined;
    this.#blockUsed = 0;
  }
}
