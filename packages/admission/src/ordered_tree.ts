/** Order statistics tree of queue items. @module */

/** Sort key of an item: deadline first, then order of arrival. */
export interface OrderKey {
  /** Monotonic ms. */
  readonly deadlineAt: number;
  /** Unique sequence number of the arrival. */
  readonly seq: number;
}

interface Node<T extends OrderKey> {
  readonly item: T;
  /** Heap priority: no node has a lower weight than its parent. */
  readonly weight: number;
  left: Node<T> | null;
  right: Node<T> | null;
  /** Number of nodes in this subtree. */
  size: number;
}

type Subtree<T extends OrderKey> = Node<T> | null;

/**
 * Treap of items ordered by deadline, then by arrival. Insertion, removal and
 * rank queries take O(log n) steps on average. Weights are hashes of `seq`, so
 * the shape of the tree is deterministic.
 */
export class OrderedTree<T extends OrderKey> {
  #root: Subtree<T> = null;

  get size(): number {
    return getSize(this.#root);
  }

  /** Adds an item. Its key must not be in the tree. */
  insert(item: T): void {
    const [left, right] = split(this.#root, item);
    const node: Node<T> = {
      item,
      weight: hashNumber(item.seq),
      left: null,
      right: null,
      size: 1,
    };
    this.#root = merge(merge(left, node), right);
  }

  /** Removes the item with this key. Returns whether there was one. */
  remove(key: OrderKey): boolean {
    const before = this.size;
    this.#root = removeFrom(this.#root, key);
    return this.size < before;
  }

  getFirst(): T | undefined {
    let node = this.#root;
    while (node?.left) node = node.left;
    return node?.item;
  }

  getLast(): T | undefined {
    let node = this.#root;
    while (node?.right) node = node.right;
    return node?.item;
  }

  /** Returns the number of items ordered before `key`. */
  countBefore(key: OrderKey): number {
    let count = 0;
    let node = this.#root;
    while (node) {
      if (compareKeys(node.item, key) < 0) {
        count += getSize(node.left) + 1;
        node = node.right;
      } else {
        node = node.left;
      }
    }
    return count;
  }
}

/** Compares two keys; the result is negative if `a` is ordered first. */
export function compareKeys(a: OrderKey, b: OrderKey): number {
  return a.deadlineAt - b.deadlineAt || a.seq - b.seq;
}

function getSize<T extends OrderKey>(node: Subtree<T>): number {
  return node ? node.size : 0;
}

function updateSize<T extends OrderKey>(node: Node<T>): Node<T> {
  node.size = getSize(node.left) + getSize(node.right) + 1;
  return node;
}

/** Splits a subtree into the items ordered before `key` and the others. */
function split<T extends OrderKey>(
  node: Subtree<T>,
  key: OrderKey,
): [Subtree<T>, Subtree<T>] {
  if (!node) return [null, null];
  if (compareKeys(node.item, key) < 0) {
    const [left, right] = split(node.right, key);
    node.right = left;
    return [updateSize(node), right];
  }
  const [left, right] = split(node.left, key);
  node.left = right;
  return [left, updateSize(node)];
}

/** Joins two subtrees; all items of `a` must be ordered before those of `b`. */
function merge<T extends OrderKey>(a: Subtree<T>, b: Subtree<T>): Subtree<T> {
  if (!a || !b) return a ?? b;
  if (a.weight < b.weight) {
    a.right = merge(a.right, b);
    return updateSize(a);
  }
  b.left = merge(a, b.left);
  return updateSize(b);
}

function removeFrom<T extends OrderKey>(
  node: Subtree<T>,
  key: OrderKey,
): Subtree<T> {
  if (!node) return null;
  const order = compareKeys(key, node.item);
  if (order === 0) return merge(node.left, node.right);
  if (order < 0) node.left = removeFrom(node.left, key);
  else node.right = removeFrom(node.right, key);
  return updateSize(node);
}

/** Hashes a number, so that consecutive ones get unrelated weights. */
function hashNumber(value: number): number {
  let h = Math.imul(value ^ (value >>> 16), 0x45d9f3b);
  h = Math.imul(h ^ (h >>> 16), 0x45d9f3b);
  return (h ^ (h >>> 16)) >>> 0;
}
