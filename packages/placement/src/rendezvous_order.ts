/**
 * Orders servers for one gateway by rendezvous hashing.
 *
 * Load pattern: many gateways each use only a few servers. The order needs no
 * message, differs from gateway to gateway, and changes little when servers
 * join or leave.
 * @module
 */
import { createHash } from "node:crypto";

/** Number of hashes of names that are kept; more than a deployment has. */
const MAX_HASHES = 20_000;

/** Orders servers by node. Keeps the hashes of names, which are costly. */
export class RendezvousOrder {
  readonly #hashes = new Map<string, number>();

  /** Returns the ids in the order in which a node prefers them. */
  order(node: string, ids: readonly string[]): readonly string[] {
    const seed = this.#hash(node);
    const weighted = ids.map((id) => ({
      id,
      weight: mix(seed ^ this.#hash(id)),
    }));
    weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
    return weighted.map(({ id }) => id);
  }

  #hash(name: string): number {
    const known = this.#hashes.get(name);
    if (known !== undefined) return known;
    if (this.#hashes.size >= MAX_HASHES) this.#hashes.clear();
    const hash = createHash("sha256").update(name).digest().readInt32BE();
    this.#hashes.set(name, hash);
    return hash;
  }
}

/** Mixes all bits of a 32-bit integer: the last step of MurmurHash3. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
  return (hash ^ hash >>> 16) >>> 0;
}
