/** Event queue of the simulation. @module */

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Runs events in order of simulated time, in ms; ties run in order of
 * insertion.
 */
export class Scheduler {
  readonly #heap: ScheduledEvent[] = [];
  #now = 0;
  #order = 0;

  get now(): number {
    return this.#now;
  }

  /** Schedules `run` after `delayMs` of simulated time. */
  schedule(delayMs: number, run: () => void): void {
    const heap = this.#heap;
    const at = this.#now + Math.max(0, delayMs);
    let i = heap.push({ at, order: this.#order++, run }) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.#isBefore(i, parent)) break;
      this.#swap(i, parent);
      i = parent;
    }
  }

  /**
   * Runs the next event up to `end`. If there is none, advances the time to
   * `end` and returns false.
   */
  step(end: number): boolean {
    const next = this.#heap[0];
    if (!next || next.at > end) {
      this.#now = Math.max(this.#now, end);
      return false;
    }
    const last = this.#heap.pop()!;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    this.#now = next.at;
    next.run();
    return true;
  }

  #siftDown() {
    const size = this.#heap.length;
    for (let i = 0;;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < size && this.#isBefore(child, least)) least = child;
      }
      if (least === i) return;
      this.#swap(i, least);
      i = least;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const [x, y] = [this.#heap[a]!, this.#heap[b]!];
    return x.at < y.at || (x.at === y.at && x.order < y.order);
  }

  #swap(a: number, b: number) {
    const heap = this.#heap;
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }
}
