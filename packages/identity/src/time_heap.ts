/** Priority queue of identities by time. @module */

/** An identity and the time by which it is ordered, in Unix ms. */
export interface HeapItem {
  readonly identity: string;
  readonly timeMs: number;
}

/** Binary min-heap, ordered by time. */
export class TimeHeap {
  readonly #items: HeapItem[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** Returns the item with the lowest time without removing it. */
  peek(): HeapItem | undefined {
    return this.#items[0];
  }

  push(item: HeapItem): void {
    const items = this.#items;
    let at = items.push(item) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (items[parent]!.timeMs <= item.timeMs) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = item;
  }

  /** Removes and returns the item with the lowest time. */
  pop(): HeapItem | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (last && items.length > 0) this.#siftDown(last);
    return first;
  }

  /** Replaces all items. */
  reset(items: Iterable<HeapItem>): void {
    this.#items.length = 0;
    for (const item of items) this.push(item);
  }

  /** Places an item at the root and moves it down to restore the heap order. */
  #siftDown(item: HeapItem): void {
    const items = this.#items;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= items.length) break;
      const right = items[child + 1];
      if (right && right.timeMs < items[child]!.timeMs) child += 1;
      if (items[child]!.timeMs >= item.timeMs) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = item;
  }
}
