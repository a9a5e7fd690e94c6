/** The memory that the process keeps for others. @module */
import type { BufferCollector } from "./buffer_collector.js";
import { ClientLimit, type LimitLog } from "./limit_log.js";

/** What is kept in memory. */
export enum HeldKind {
  /** Head and body of a client's request. */
  Request = "request",
  /** Input of a connection that was received and not parsed to a request. */
  Input = "input",
  /** Response that waits for its client to read it. */
  Delivery = "delivery",
  /** Response of a server that is being received. */
  Response = "response",
}

/** Who holds memory, and how to make them release it. */
export interface HolderOptions {
  readonly kind: HeldKind;
  /** Address of the client; empty for responses of servers. */
  readonly address: string;
  /** Gives up what is held. It has to call `release` before it returns. */
  readonly giveUp: () => void;
  /** Returns whether it may be given up now; always if absent. */
  readonly canGiveUp?: () => boolean;
}

/** Memory that is kept for one request or response. */
export interface HeldMemory {
  readonly bytes: number;
  /** Adds memory that was taken; may give up this or another holder. */
  add(bytes: number): void;
  /**
   * Adds memory that was taken of the JavaScript heap, which has a limit of its
   * own; may give up this or another holder.
   */
  addHeap(bytes: number): void;
  /** Returns all but the memory of the heap. */
  releaseBuffers(): void;
  /** Excludes the holder from being given up: a server may run its request. */
  lock(): void;
  /** Ends the use of the memory. */
  release(): void;
}

/** Size up to which a body may use the reserved part, bytes. */
const SMALL_BYTES = 64 << 10;
/** Part of the limit that is reserved for small bodies. */
const RESERVED_SHARE = 1 / 32;
/**
 * Memory that code, an idle heap and connections take, bytes. With it, a process
 * of 210 MiB still has room for one body of 64 MiB.
 */
const BASE_BYTES = 74 << 20;
/**
 * Part of the other memory that may be kept for others. The rest is for buffers
 * that are no longer in use or not counted yet, and for the heap under load.
 */
const HELD_SHARE = 0.5;
/**
 * Part of the limit of the JavaScript heap that parsed heads may take. The rest
 * is for code, connections, the view of the system, and garbage.
 */
const HEAP_SHARE = 0.35;
/** Part of the machine's memory from which the process is short of it. */
const SHORT_SHARE = 0.75;
/** Part of the limits that remains while the process is short of memory. */
const SHORT_LIMIT_SHARE = 0.5;
/** Time between two measurements of the process's memory, ms. */
const MEASURE_INTERVAL_MS = 20;
/** Least limit, bytes; a smaller one would refuse ordinary requests. */
const MIN_LIMIT_BYTES = 8 << 20;
/** Bytes by which a body has to grow to count as having made progress. */
const PROGRESS_BYTES = 64 << 10;
/** Time without progress after which a body makes room for others, ms. */
const STALLED_MS = 1_000;

class Holder implements HeldMemory {
  readonly options: HolderOptions;
  readonly #budget: MemoryBudget;
  bytes = 0;
  heapBytes = 0;
  isLocked = false;
  progressAtMs = performance.now();
  #progressBytes = 0;

  constructor(budget: MemoryBudget, options: HolderOptions) {
    this.#budget = budget;
    this.options = options;
  }

  get isLarge(): boolean {
    return this.bytes > SMALL_BYTES;
  }

  add(bytes: number): void {
    this.#budget.add(this, bytes);
  }

  addHeap(bytes: number): void {
    this.#budget.add(this, bytes, bytes);
  }

  releaseBuffers(): void {
    this.#budget.releaseBuffers(this);
  }

  /** Adds to `bytes` and notes progress. */
  grow(bytes: number): void {
    if (this.bytes === 0) this.progressAtMs = performance.now();
    this.bytes += bytes;
    if (this.bytes < this.#progressBytes + PROGRESS_BYTES) return;
    this.#progressBytes = this.bytes;
    this.progressAtMs = performance.now();
  }

  lock(): void {
    this.isLocked = true;
  }

  release(): void {
    this.#budget.remove(this);
  }
}

/** What a budget needs of its process. */
export interface BudgetOptions {
  readonly limits: LimitLog;
  readonly collector?: BufferCollector;
  /** Limit of the JavaScript heap, bytes; none if absent. */
  readonly heapLimitBytes?: number;
  /** Measures the memory of the process, bytes; not measured if absent. */
  readonly getResidentBytes?: () => number;
}

/**
 * Bounds all that is kept for clients, from the first byte of a request to the
 * last of its response: unparsed input, heads and bodies, responses in progress
 * and responses that wait for slow readers. A part is reserved for small
 * holders, so that ordinary requests are served while large ones have used up
 * the rest.
 */
export class MemoryBudget {
  /** Memory that may be kept, bytes. */
  readonly limitBytes: number;
  /** Part of it that may be on the JavaScript heap, bytes. */
  readonly heapLimitBytes: number;
  readonly #largeLimitBytes: number;
  readonly #memoryBytes: number;
  readonly #getResidentBytes: (() => number) | undefined;
  /** Part of the limits that is in force. */
  #limitShare = 1;
  #measuredAtMs = -Infinity;
  readonly #limits: LimitLog;
  readonly #collector: BufferCollector | undefined;
  readonly #holders = new Set<Holder>();
  /** Memory by client address, without responses in progress, bytes. */
  readonly #addressBytes = new Map<string, number>();
  #usedBytes = 0;
  #largeBytes = 0;
  #heapBytes = 0;
  /** What the last search found and is left of it. */
  #victims: { shortage?: Shortage; holders: Candidate[] } = { holders: [] };

  /** `memoryBytes` is the memory of the machine for this process. */
  constructor(memoryBytes: number, options: BudgetOptions) {
    this.limitBytes = computeLimit(memoryBytes);
    this.heapLimitBytes = HEAP_SHARE * (options.heapLimitBytes ?? Infinity);
    this.#largeLimitBytes = (1 - RESERVED_SHARE) * this.limitBytes;
    this.#memoryBytes = memoryBytes;
    this.#getResidentBytes = options.getResidentBytes;
    this.#limits = options.limits;
    this.#collector = options.collector;
  }

  /** Memory in use, bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Part of it that is on the JavaScript heap, bytes. */
  get heapBytes(): number {
    return this.#heapBytes;
  }

  /** Opens a holder, which has no memory yet. */
  open(options: HolderOptions): HeldMemory {
    return new Holder(this, options);
  }

  /**
   * Returns whether a body of this length fits now, without bodies that make no
   * progress. Nothing is reserved for it: its bytes count as they arrive.
   */
  hasRoom(bytes: number): boolean {
    if (bytes <= SMALL_BYTES) return true;
    // A single body gets the whole limit also while memory is short.
    const share = this.#largeBytes === 0 ? 1 : this.#limitShare;
    const free = share * this.#largeLimitBytes - this.#largeBytes;
    if (bytes <= free) return true;
    const before = performance.now() - STALLED_MS;
    let stalled = 0;
    for (const holder of this.#holders) {
      const isStalled = holder.progressAtMs < before;
      if (isStalled && holder.isLarge && canMakeRoom(holder)) {
        stalled += holder.bytes;
      }
    }
    return bytes <= free + stalled;
  }

  /**
   * Adds memory to a holder, `heapBytes` of it on the heap; used by
   * `HeldMemory`.
   */
  add(holder: Holder, bytes: number, heapBytes = 0): void {
    this.#change(holder, () => {
      holder.grow(bytes);
      holder.heapBytes += heapBytes;
    });
    this.#holders.add(holder);
    this.#makeRoom();
    this.#collector?.count(bytes, this.#usedBytes);
  }

  /** Returns what a holder has beside the heap; used by `HeldMemory`. */
  releaseBuffers(holder: Holder): void {
    if (!this.#holders.has(holder)) return;
    const released = holder.bytes - holder.heapBytes;
    this.#change(holder, () => holder.bytes = holder.heapBytes);
    if (holder.bytes === 0) this.#holders.delete(holder);
    this.#collector?.countReleased(released, () => this.#usedBytes);
  }

  /** Removes a holder; used by `HeldMemory`. */
  remove(holder: Holder): void {
    if (!this.#holders.delete(holder)) return;
    this.#forgetVictim(holder);
    const released = holder.bytes;
    this.#change(holder, () => holder.bytes = holder.heapBytes = 0);
    this.#collector?.countReleased(released, () => this.#usedBytes);
  }

  /** Changes the figures of a holder, and with them the sums. */
  #change(holder: Holder, apply: () => void): void {
    this.#count(holder, -1);
    apply();
    this.#count(holder, 1);
  }

  #count(holder: Holder, sign: 1 | -1): void {
    const bytes = sign * holder.bytes;
    this.#usedBytes += bytes;
    this.#heapBytes += sign * holder.heapBytes;
    if (holder.isLarge) this.#largeBytes += bytes;
    const { kind, address } = holder.options;
    if (kind === HeldKind.Response || bytes === 0) return;
    const sum = (this.#addressBytes.get(address) ?? 0) + bytes;
    if (sum > 0) this.#addressBytes.set(address, sum);
    else this.#addressBytes.delete(address);
  }

  /**
   * Lowers the limits while the process has nearly all memory of its machine.
   * Buffers that come and go by turns of many connections fragment it, so that
   * it takes up to twice what is counted.
   */
  #adaptLimits(): void {
    const nowMs = performance.now();
    if (nowMs - this.#measuredAtMs < MEASURE_INTERVAL_MS) return;
    this.#measuredAtMs = nowMs;
    const isInUse = this.#usedBytes > this.limitBytes / 2;
    const resident = isInUse ? this.#getResidentBytes?.() ?? 0 : 0;
    const isShort = resident > SHORT_SHARE * this.#memoryBytes;
    this.#limitShare = isShort ? SHORT_LIMIT_SHARE : 1;
    if (!isShort) return;
    this.#limits.record(ClientLimit.MemoryShort, {
      residentBytes: resident,
      usedBytes: this.#usedBytes,
    });
  }

  #makeRoom(): void {
    this.#adaptLimits();
    for (;;) {
      const shortage = this.#findShortage();
      if (!shortage) return;
      const victim = this.#findVictim(shortage);
      if (!victim) return;
      const { kind, address } = victim.options;
      const limit = shortage === Shortage.Heap
        ? ClientLimit.HeadsGivenUp
        : GIVE_UP_LIMITS[kind];
      this.#limits.record(limit, {
        client: address,
        bytes: victim.bytes,
        usedBytes: this.#usedBytes,
        heapBytes: this.#heapBytes,
      });
      // Without this, a holder that is not released would be chosen for ever.
      victim.lock();
      victim.options.giveUp();
    }
  }

  #findShortage(): Shortage | undefined {
    if (this.#heapBytes > this.heapLimitBytes) return Shortage.Heap;
    const share = this.#limitShare;
    if (this.#largeBytes > this.#largeLimitBytes) return Shortage.Large;
    if (this.#largeBytes > share * this.#largeLimitBytes) {
      return Shortage.Several;
    }
    return this.#usedBytes > this.limitBytes ? Shortage.All : undefined;
  }

  /**
   * Returns the next holder to give up. Several are looked for at a time, as
   * each search takes time in proportion to the number of holders.
   */
  #findVictim(shortage: Shortage): Holder | undefined {
    for (let isNew = false;; isNew = true) {
      if (isNew || this.#victims.shortage !== shortage) {
        this.#victims = { shortage, holders: this.#listVictims(shortage) };
        isNew = true;
      }
      const { holders } = this.#victims;
      for (let next = holders.pop(); next; next = holders.pop()) {
        if (this.#isCurrent(next) && this.#isVictim(next.holder, shortage)) {
          return next.holder;
        }
      }
      if (isNew) return undefined;
    }
  }

  /**
   * Lists holders to give up, the first one last: of the client address that
   * has the most memory, the one that has made no progress for longest.
   * Responses that wait for slow readers follow requests, and those in progress
   * are the last.
   */
  #listVictims(shortage: Shortage): Candidate[] {
    const candidates: Candidate[] = [];
    for (const holder of this.#holders) {
      if (!this.#isVictim(holder, shortage)) continue;
      const { options, progressAtMs } = holder;
      const rank = GIVE_UP_RANKS[options.kind];
      const weight = options.kind === HeldKind.Response
        ? holder.bytes
        : this.#addressBytes.get(options.address) ?? 0;
      candidates.push({ holder, rank, weight, progressAtMs });
    }
    candidates.sort((a, b) =>
      a.rank - b.rank || b.weight - a.weight || a.progressAtMs - b.progressAtMs
    );
    return candidates.slice(0, MAX_VICTIMS).reverse();
  }

  /** Drops a candidate, which would keep what it has in memory. */
  #forgetVictim(holder: Holder): void {
    const { holders } = this.#victims;
    const index = holders.findIndex((c) => c.holder === holder);
    if (index >= 0) holders.splice(index, 1);
  }

  /** Returns whether what a search has found of a holder still holds. */
  #isCurrent({ holder, weight, progressAtMs }: Candidate): boolean {
    if (holder.progressAtMs !== progressAtMs) return false;
    const { kind, address } = holder.options;
    return kind === HeldKind.Response ||
      (this.#addressBytes.get(address) ?? 0) >= weight / 2;
  }

  #isVictim(holder: Holder, shortage: Shortage): boolean {
    return !holder.isLocked && this.#holders.has(holder) &&
      CAN_RELIEVE[shortage](holder, this.#largeBytes) &&
      holder.options.canGiveUp?.() !== false;
  }
}

/** A holder that may be given up, as it was when it was looked for. */
interface Candidate {
  readonly holder: Holder;
  /** Order of its kind. */
  readonly rank: number;
  /** Memory of its client address, or of a response in progress, bytes. */
  readonly weight: number;
  readonly progressAtMs: number;
}

/** Holders that are looked for in one search. */
const MAX_VICTIMS = 32;

/** Which part of a budget is used up. */
enum Shortage {
  /** The JavaScript heap. */
  Heap = "heap",
  /** The part for large holders. */
  Large = "large",
  /** The part for large holders that remains while memory is short. */
  Several = "several",
  All = "all",
}

/** Least memory on the heap that is given up for others, bytes. */
const MIN_HEAP_VICTIM_BYTES = 4 << 10;

/** Whether giving up a holder ends a shortage or brings its end closer. */
const CAN_RELIEVE: Readonly<
  Record<Shortage, (holder: Holder, largeBytes: number) => boolean>
> = {
  [Shortage.Heap]: (h) => h.heapBytes >= MIN_HEAP_VICTIM_BYTES,
  [Shortage.Large]: (h) => h.isLarge,
  // A single one is served.
  [Shortage.Several]: (h, largeBytes) => h.isLarge && h.bytes < largeBytes,
  [Shortage.All]: () => true,
};

/** Order in which kinds are given up, lowest first. */
const GIVE_UP_RANKS: Readonly<Record<HeldKind, number>> = {
  [HeldKind.Request]: 0,
  [HeldKind.Input]: 0,
  [HeldKind.Delivery]: 1,
  [HeldKind.Response]: 2,
};

/** Limit by which each kind is given up. */
const GIVE_UP_LIMITS: Readonly<Record<HeldKind, ClientLimit>> = {
  [HeldKind.Request]: ClientLimit.BodyGivenUp,
  [HeldKind.Input]: ClientLimit.InputGivenUp,
  [HeldKind.Delivery]: ClientLimit.SlowReader,
  [HeldKind.Response]: ClientLimit.ResponseEnded,
};

function canMakeRoom({ isLocked, options }: Holder): boolean {
  return !isLocked && options.kind === HeldKind.Request;
}

function computeLimit(memoryBytes: number): number {
  const limit = HELD_SHARE * (memoryBytes - BASE_BYTES);
  return Math.max(MIN_LIMIT_BYTES, Math.floor(limit));
}
