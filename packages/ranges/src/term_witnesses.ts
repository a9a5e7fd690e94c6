/**
 * Tracks which routers have accepted a coordinator's term lately.
 *
 * Fault pattern: a coordinator is lost for good, and its successor cannot tell
 * that from one that is partitioned and still renews leases. A router that has
 * accepted the successor's term no longer accepts the earlier one. Once a
 * majority of the routers has done so, the earlier coordinator has no majority.
 * @module
 */
import type { RouterRef } from "./record.js";

/** Routers whose replies prove that a term has not been superseded. */
export class TermWitnesses {
  readonly #self: string;
  #lists: readonly (readonly RouterRef[])[];
  /** Time of each router's last acceptance, ms, by incarnation. */
  readonly #acceptedMs = new Map<string, number>();

  /** `routers` are those of the newest record. */
  constructor(self: RouterRef, routers: readonly RouterRef[]) {
    this.#self = self.node;
    this.#lists = [routers];
  }

  /**
   * Adds the routers of a record that is being written. Until it is known to
   * be stored, a successor may count the routers of either record.
   */
  propose(routers: readonly RouterRef[]): void {
    if (this.#lists.at(-1) !== routers) this.#lists = [...this.#lists, routers];
  }

  /** Called once the record with these routers is stored. */
  confirm(routers: readonly RouterRef[]): void {
    this.#lists = [routers];
  }

  /** Records that a router has accepted the term, at `atMs` or later. */
  record({ incarnation }: RouterRef, atMs: number): void {
    const known = this.#acceptedMs.get(incarnation) ?? -Infinity;
    this.#acceptedMs.set(incarnation, Math.max(known, atMs));
  }

  /**
   * Returns the latest time at which, or later, a majority of the routers of
   * each record has accepted the term, ms; `-Infinity` if none has.
   */
  getMajorityMs(): number {
    return Math.min(...this.#lists.map((list) => this.#findMajority(list)));
  }

  #findMajority(routers: readonly RouterRef[]): number {
    const times = routers.map((r) =>
      r.node === this.#self
        ? Infinity
        : this.#acceptedMs.get(r.incarnation) ?? -Infinity
    ).sort((a, b) => b - a);
    return times[Math.floor(routers.length / 2)] ?? -Infinity;
  }
}
