/** Appends the coordinator's records and verifies its term. @module */
import type { EventLog } from "@jaytiller/kernel";
import { readCoordinator, type RouterRef, TermGuard } from "@jaytiller/ranges";
import { sleep } from "./sleep.js";
import { type PlatformStore, StoreEnd } from "./ports.js";
import { STORE_RETRY_DELAY_MS } from "./timing.js";

/** Options of an ownership log. */
export interface OwnershipLogOptions {
  readonly self: RouterRef;
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Offset of the claim that began the term. */
  readonly term: number;
  /** Called when another router's record is found. */
  readonly onSuperseded: () => void;
}

/** Appends ownership records to the store and detects a successor. */
export class OwnershipLog {
  readonly #options: OwnershipLogOptions;
  readonly #termGuard: TermGuard;
  #position: number;
  #writtenAt: number;
  #hasEnded = false;

  constructor(options: OwnershipLogOptions) {
    const nowMs = performance.now();
    this.#options = options;
    this.#termGuard = TermGuard.create(nowMs);
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

  /** Returns whether grants may be sent: no successor is known or suspected. */
  isGrantAllowed(nowMs: number): boolean {
    return this.#termGuard.mayGrant(nowMs);
  }

  /** Stops retries. */
  end(): void {
    this.#hasEnded = true;
  }

  /** Appends a record at the position; returns whether it was stored. */
  async append(text: string): Promise<boolean> {
    const at = this.#position;
    while (!this.#hasEnded) {
      const sentAt = performance.now();
      const result = await this.#options.store.appendOwnership(text, at);
      const isDone = result.end === StoreEnd.Done ||
        result.end === StoreEnd.WrongEnd &&
          await this.#isRecordWritten(text, at);
      if (isDone) {
        this.#position = at + 1;
        this.#termGuard.confirm(sentAt);
        this.#writtenAt = performance.now();
        return true;
      }
      this.#options.log.record("appendFailed", {
        end: result.end,
        problem: result.problem,
      });
      await sleep(STORE_RETRY_DELAY_MS);
      // Only a call without a response must be repeated with the same record.
      if (result.end !== StoreEnd.Unknown) return false;
    }
    return false;
  }

  /** Reads records of other routers; returns whether the read succeeded. */
  async read(waitMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const position = this.#position;
    const read = await this.#options.store.readOwnership({ position, waitMs });
    if (read.end !== StoreEnd.Done || !read.value) return false;
    const isSuperseded = read.value.items
      .some((e) => e.offset >= position && !this.#isOwnRecord(e.text));
    if (isSuperseded) this.#options.onSuperseded();
    else this.#termGuard.confirm(sentAt);
    return true;
  }

  /** Suspends grants until a read shows that the term is still the newest. */
  async verifyTerm(): Promise<void> {
    const isVerifying = this.#termGuard.isSuspended;
    // A read that was sent before this moment proves nothing.
    this.#termGuard.suspend(performance.now());
    if (isVerifying) return;
    while (this.#termGuard.isSuspended && !this.#hasEnded) {
      await this.read(0);
      if (this.#termGuard.isSuspended) await sleep(STORE_RETRY_DELAY_MS);
    }
  }

  /** Returns whether the record at a position is this one. */
  async #isRecordWritten(text: string, at: number): Promise<boolean> {
    const read = await this.#options.store.readOwnership({
      position: at,
      waitMs: 0,
    });
    if (read.end !== StoreEnd.Done) return false;
    const items = read.value?.items.filter((e) => e.offset >= at) ?? [];
    if (items.some((e) => !this.#isOwnRecord(e.text))) {
      // The successor has read the record, if it was stored, and acts on it.
      this.#options.onSuperseded();
      return false;
    }
    const found = items[0];
    if (found?.text === text) return true;
    // This is an earlier record of this router, from a call without a response.
    // Its changes were never granted, and the next record replaces it.
    if (found) this.#position = found.offset + 1;
    return false;
  }

  #isOwnRecord(text: string): boolean {
    const { incarnation } = this.#options.self;
    return readCoordinator(text)?.incarnation === incarnation;
  }
}
