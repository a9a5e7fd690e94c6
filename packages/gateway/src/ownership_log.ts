/** The coordinator's records in the store, and the proof of its term. @module */
import type { EventLog } from "@jaytiller/kernel";
import { readCoordinator, type RouterRef, TermGuard } from "@jaytiller/ranges";
import { pause } from "./pause.js";
import { type PlatformStore, StoreEnd } from "./ports.js";
import { STORE_RETRY_MS } from "./timing.js";

/** What the log works with. */
export interface OwnershipLogOptions {
  readonly self: RouterRef;
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Offset of the claim that began the term. */
  readonly term: number;
  /** Called once another router has written a record. */
  readonly onFollowed: () => void;
}

/** Appends records in the order of the store and notices a successor. */
export class OwnershipLog {
  readonly #options: OwnershipLogOptions;
  readonly #guard: TermGuard;
  #position: number;
  #writtenAt: number;
  #hasEnded = false;

  constructor(options: OwnershipLogOptions) {
    const nowMs = performance.now();
    this.#options = options;
    this.#guard = TermGuard.create(nowMs);
    this.#position = options.term + 1;
    this.#writtenAt = nowMs;
  }

  /** Offset of the next record. */
  get position(): number {
    return this.#position;
  }

  /** Monotonic time of the last record of this term, ms. */
  get writtenAt(): number {
    return this.#writtenAt;
  }

  /** Whether grants may be sent: nobody has followed for all that is known. */
  mayGrant(nowMs: number): boolean {
    return this.#guard.mayGrant(nowMs);
  }

  /** Ends waits and repetitions. */
  end(): void {
    this.#hasEnded = true;
  }

  /** Appends a record at the position; returns whether it is in the store. */
  async append(text: string): Promise<boolean> {
    const at = this.#position;
    while (!this.#hasEnded) {
      const sentAt = performance.now();
      const result = await this.#options.store.appendOwnership(text, at);
      const isDone = result.end === StoreEnd.Done ||
        result.end === StoreEnd.WrongEnd && await this.#isWritten(text, at);
      if (isDone) {
        this.#position = at + 1;
        this.#guard.prove(sentAt);
        this.#writtenAt = performance.now();
        return true;
      }
      this.#options.log.record("appendFailed", {
        end: result.end,
        problem: result.problem,
      });
      await pause(STORE_RETRY_MS);
      // Only a call without an answer has to be sent again as it was.
      if (result.end !== StoreEnd.Unknown) return false;
    }
    return false;
  }

  /** Reads what others have written; returns whether the store has answered. */
  async read(waitMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const position = this.#position;
    const read = await this.#options.store.readOwnership({ position, waitMs });
    if (read.end !== StoreEnd.Done || !read.value) return false;
    const isFollowed = read.value.items
      .some((e) => e.offset >= position && !this.#isOwn(e.text));
    if (isFollowed) this.#options.onFollowed();
    else this.#guard.prove(sentAt);
    return true;
  }

  /** The term is in doubt: finds out whether it is still the newest. */
  async doubt(): Promise<void> {
    const isLooking = this.#guard.isInDoubt;
    // An answer to a read from before this moment proves nothing.
    this.#guard.doubt(performance.now());
    if (isLooking) return;
    while (this.#guard.isInDoubt && !this.#hasEnded) {
      await this.read(0);
      if (this.#guard.isInDoubt) await pause(STORE_RETRY_MS);
    }
  }

  /** Whether the record at a position is this one. */
  async #isWritten(text: string, at: number): Promise<boolean> {
    const read = await this.#options.store.readOwnership({
      position: at,
      waitMs: 0,
    });
    if (read.end !== StoreEnd.Done) return false;
    const items = read.value?.items.filter((e) => e.offset >= at) ?? [];
    if (items.some((e) => !this.#isOwn(e.text))) {
      // Whoever came after has read the record, if it is there, and acts on it.
      this.#options.onFollowed();
      return false;
    }
    const found = items[0];
    if (found?.text === text) return true;
    // An earlier record of ours, from a call that had no answer. It names
    // changes that were never granted; the next record replaces it.
    if (found) this.#position = found.offset + 1;
    return false;
  }

  #isOwn(text: string): boolean {
    const { incarnation } = this.#options.self;
    return readCoordinator(text)?.incarnation === incarnation;
  }
}
