/** Reads the newest ownership record for a router that does not write. @module */
import {
  decodeRecord,
  getEra,
  getIncompleteMs,
  type OwnershipRecord,
  type RouterRef,
} from "@jaytiller/ranges";
import { type OwnershipEntry, type PlatformStore, StoreEnd } from "./ports.js";

/** The end of the ownership topic. */
export interface NewestRecord {
  readonly isAvailable: boolean;
  /** Position after the newest record. */
  readonly position: number;
  /** Offset of the record. */
  readonly offset?: number;
  readonly record?: OwnershipRecord;
  /**
   * Time since the claim after which records were lost, ms; absent if the
   * record names all grants.
   */
  readonly incompleteMs?: number;
}

/** Reads ownership records and tracks how long the newest is unchanged. */
export class RecordReader {
  readonly #store: PlatformStore;
  readonly #isFirstStart: boolean;
  /** Monotonic time at which the newest record was first read, ms. */
  #changedAt = -Infinity;
  /** Offset of the newest record. */
  #offset = -1;
  /** Node and incarnation of the coordinator that the newest record names. */
  #coordinator = "";
  /** Monotonic time at which a record of it was first read, ms. */
  #coordinatorSince = -Infinity;
  /** Era of the store at the first read of the ownership records. */
  #firstEra: number | undefined;

  constructor(options: { store: PlatformStore; isFirstStart: boolean }) {
    this.#store = options.store;
    this.#isFirstStart = options.isFirstStart;
  }

  /** Time since this router first read the newest record, ms. */
  get unchangedMs(): number {
    return performance.now() - this.#changedAt;
  }

  /**
   * Time since this router first read a record of the coordinator that the
   * newest one names, ms.
   */
  get coordinatorKnownMs(): number {
    return performance.now() - this.#coordinatorSince;
  }

  /** Reads the newest record. */
  async read(): Promise<NewestRecord> {
    const read = await this.#store.readOwnership({ waitMs: 0 });
    if (read.end !== StoreEnd.Done || !read.value) {
      return { isAvailable: false, position: 0 };
    }
    const { position, items } = read.value;
    const entry = items.at(-1);
    const record = entry && decodeRecord(entry.text);
    const era = getEra(position);
    this.#firstEra ??= era;
    const isFirstStart = this.#isFirstStart && era === this.#firstEra;
    const incompleteMs = getIncompleteMs(record, { era, isFirstStart });
    const newest = {
      isAvailable: true,
      position,
      ...(incompleteMs === undefined ? {} : { incompleteMs }),
    };
    if (!record) return newest;
    this.#track(entry);
    this.#trackCoordinator(record.coordinator);
    return { ...newest, record, offset: entry.offset };
  }

  /** Returns whether the record at a position has this text. */
  async isWritten(text: string, position: number): Promise<boolean> {
    const read = await this.#store.readOwnership({ position, waitMs: 0 });
    const found = read.value?.items.find((e) => e.offset === position);
    return found?.text === text;
  }

  #track({ offset }: OwnershipEntry): void {
    if (offset === this.#offset) return;
    this.#offset = offset;
    this.#changedAt = performance.now();
  }

  #trackCoordinator({ node, incarnation }: RouterRef): void {
    const coordinator = `${node}/${incarnation}`;
    if (coordinator === this.#coordinator) return;
    this.#coordinator = coordinator;
    this.#coordinatorSince = performance.now();
  }
}
