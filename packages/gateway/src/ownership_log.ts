/** Appends the coordinator's records and verifies its term. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  getEra,
  readWriter,
  type RouterRef,
  TermGuard,
} from "@jaytiller/ranges";
import { sleep } from "./sleep.js";
import { type PlatformStore, StoreEnd } from "./ports.js";
import { STORE_RETRY_DELAY_MS } from "./timing.js";

/** Options of an ownership log. */
export interface OwnershipLogOptions {
  readonly self: RouterRef;
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Position of the claim that began the term. */
  readonly term: number;
  /** Monotonic time at which the claim was sent, ms. */
  readonly claimSentMs: number;
  /** Routers of the claim's record. */
  readonly routers: readonly RouterRef[];
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
    this.#options = options;
    this.#termGuard = TermGuard.create(options.claimSentMs, options);
    this.#position = options.term + 1;
    this.#writtenAt = performance.now();
  }

  /** Position of the next record. */
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

  /** Returns whether the store has to confirm the term at short intervals. */
  isMajorityUncertain(nowMs: number): boolean {
    return this.#termGuard.isMajorityUncertain(nowMs);
  }

  /** Records that a router has accepted the term, at `atMs` or later. */
  recordWitness(router: RouterRef, atMs: number): void {
    this.#termGuard.witnesses.record(router, atMs);
  }

  /**
   * Time at which, or later, a majority has accepted the term, ms;
   * `-Infinity` if none has.
   */
  getMajorityMs(): number {
    return this.#termGuard.witnesses.getMajorityMs();
  }

  /** Suspends grants until the store confirms the term. */
  suspend(): void {
    this.#termGuard.suspend(performance.now());
  }

  /** Continues after a claim of a newer era that was sent at `sentMs`. */
  renewTerm(
    term: number,
    { sentMs, routers }: { sentMs: number; routers: readonly RouterRef[] },
  ): void {
    this.#position = term + 1;
    this.#writtenAt = performance.now();
    this.#termGuard.witnesses.confirm(routers);
    this.#termGuard.confirm(sentMs);
  }

  /** Stops retries. */
  end(): void {
    this.#hasEnded = true;
  }

  /**
   * Appends a record that lists `routers` at the position; returns whether it
   * was stored.
   */
  async append(
    text: string,
    routers: readonly RouterRef[],
  ): Promise<boolean> {
    const at = this.#position;
    this.#termGuard.witnesses.propose(routers);
    while (!this.#hasEnded) {
      const sentAt = performance.now();
      const result = await this.#options.store.appendOwnership(text, at);
      const isDone = result.end === StoreEnd.Done ||
        result.end === StoreEnd.WrongEnd &&
          await this.#isRecordWritten(text, at);
      if (isDone) {
        this.#position = at + 1;
        this.#termGuard.confirm(sentAt);
        this.#termGuard.witnesses.confirm(routers);
        this.#writtenAt = performance.now();
        return true;
      }
      this.#options.log.record("appendFailed", {
        end: result.end,
        problem: result.problem,
      });
      if (result.end === StoreEnd.EraChanged) return false;
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
    // The term has to be claimed again before the store can confirm it.
    if (getEra(read.value.position) !== getEra(position)) return false;
    const isSuperseded = read.value.items
      .some((e) => e.offset >= position && this.#isSuccessor(e.text));
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
    if (read.end !== StoreEnd.Done || !read.value) return false;
    if (getEra(read.value.position) !== getEra(at)) return false;
    const items = read.value.items.filter((e) => e.offset >= at);
    if (items.some((e) => this.#isSuccessor(e.text))) {
      // The successor has read the record, if it was stored, and acts on it.
      this.#options.onSuperseded();
      return false;
    }
    const found = items[0];
    if (found?.text === text) return true;
    // This is an earlier record of this router, from a call without a response,
    // or a late one of an earlier era. Its changes were never granted, and the
    // next record replaces it.
    if (found) this.#position = found.offset + 1;
    return false;
  }

  /**
   * Returns whether a record ends the term. One of an earlier era was appended
   * late; its writer does not take it for stored.
   */
  #isSuccessor(text: string): boolean {
    const writer = readWriter(text);
    if (!writer) return true;
    return writer.incarnation !== this.#options.self.incarnation &&
      writer.era >= getEra(this.#position);
  }
}
