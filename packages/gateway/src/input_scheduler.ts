/** Shares processor time among the inputs of clients. @module */

/** Input that is parsed part by part. */
export interface InputSource {
  /** Whether a part can be parsed now. */
  readonly isReady: boolean;
  /** Whether the next part costs no more than its bytes. */
  readonly isCheap: boolean;
  /** Whether what was parsed has to be taken before the next part. */
  readonly mustYield: boolean;
  /** Parses the next part. */
  parseNext(): void;
}

/** Processor time for input between two turns of the event loop, ms. */
export const MAX_TURN_MS = 5;
/** Time in which the processor time that an input has used counts half, ms. */
const HALF_LIFE_MS = 1_000;
/** Processor time from which an input leaves the first level, ms. */
const FIRST_LEVEL_MS = 1;
const LEVELS = 8;
/** One in so many parts goes to the level that has used the most. */
const COSTLY_INTERVAL = 8;

/** Processor time that an input has used, with decay. */
interface InputCost {
  ms: number;
  atMs: number;
}

/**
 * Bounds the processor time for input in a turn of the event loop, whatever the
 * input costs: small chunks, heads, long paths. Above the bound inputs wait, and
 * those that have used the least time are parsed first, so that an ordinary
 * request isn't kept waiting by many costly ones.
 */
export class InputScheduler {
  readonly #onDefer: () => void;
  /** Waiting inputs by the time that they have used, least first. */
  readonly #levels = Array.from(
    { length: LEVELS },
    () => new Set<InputSource>(),
  );
  readonly #costs = new WeakMap<InputSource, InputCost>();
  #waiting = 0;
  #turnMs = 0;
  #parts = 0;
  #isParsing = false;
  #immediate: NodeJS.Immediate | undefined;

  /** `onDefer` is called each time that an input has to wait for a turn. */
  constructor(onDefer: () => void = () => {}) {
    this.#onDefer = onDefer;
  }

  /** Number of inputs that wait. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Parses the input now if there is time, and otherwise in a later turn. */
  schedule(source: InputSource): void {
    if (!source.isReady || this.#isWaiting(source)) return;
    if (!this.#isParsing) this.#parseSome(source);
    if (source.isReady) this.#defer(source);
  }

  /** Parses what is cheap, and the rest if there is time and nothing waits. */
  #parseSome(source: InputSource): void {
    this.#parseCheap(source);
    if (!source.isReady || this.#waiting > 0 || !this.#hasTime()) return;
    do {
      this.#parse(source);
      this.#parseCheap(source);
    } while (source.isReady && !source.mustYield && this.#hasTime());
  }

  /**
   * Parses parts that are no list of small ones. Read buffers that are kept for
   * a later turn fragment the memory of the process, by up to a third.
   */
  #parseCheap(source: InputSource): void {
    while (source.isReady && source.isCheap) this.#parse(source);
  }

  /** Forgets an input whose connection has closed. */
  remove(source: InputSource): void {
    for (const level of this.#levels) {
      if (level.delete(source)) this.#waiting -= 1;
    }
  }

  #hasTime(): boolean {
    return this.#turnMs < MAX_TURN_MS;
  }

  #isWaiting(source: InputSource): boolean {
    return this.#waiting > 0 && this.#levels.some((l) => l.has(source));
  }

  #parse(source: InputSource): void {
    const startMs = performance.now();
    this.#isParsing = true;
    try {
      source.parseNext();
    } finally {
      this.#isParsing = false;
      const nowMs = performance.now();
      this.#turnMs += nowMs - startMs;
      this.#addCost(source, nowMs - startMs, nowMs);
    }
  }

  #addCost(source: InputSource, ms: number, nowMs: number): void {
    const cost = this.#costs.get(source);
    if (!cost) return void this.#costs.set(source, { ms, atMs: nowMs });
    cost.ms = decay(cost, nowMs) + ms;
    cost.atMs = nowMs;
  }

  #defer(source: InputSource): void {
    this.#levels[this.#findLevel(source)]!.add(source);
    this.#waiting += 1;
    this.#immediate ??= setImmediate(() => this.#runTurn());
  }

  #findLevel(source: InputSource): number {
    const cost = this.#costs.get(source);
    const ms = cost ? decay(cost, performance.now()) : 0;
    const level = Math.ceil(Math.log2(Math.max(1, ms / FIRST_LEVEL_MS)));
    return Math.min(level, LEVELS - 1);
  }

  #runTurn(): void {
    this.#immediate = undefined;
    this.#turnMs = 0;
    // Each input gets one part, so that what it has parsed is taken meanwhile.
    const later: InputSource[] = [];
    while (this.#waiting > 0 && this.#hasTime()) {
      const source = this.#takeNext();
      if (!source.isReady) continue;
      this.#parse(source);
      this.#parseCheap(source);
      if (source.isReady) later.push(source);
    }
    if (this.#waiting > 0) this.#onDefer();
    for (const source of later) this.#defer(source);
    if (this.#waiting > 0) {
      this.#immediate ??= setImmediate(() => this.#runTurn());
    }
  }

  #takeNext(): InputSource {
    this.#parts += 1;
    const isCostly = this.#parts % COSTLY_INTERVAL === 0;
    const filled = this.#levels.filter((l) => l.size > 0);
    const level = filled.at(isCostly ? -1 : 0)!;
    const [source] = level as Set<InputSource>;
    level.delete(source!);
    this.#waiting -= 1;
    return source!;
  }
}

/** Returns how much of a cost still counts, ms. */
function decay({ ms, atMs }: InputCost, nowMs: number): number {
  return ms * 2 ** ((atMs - nowMs) / HALF_LIFE_MS);
}
