/**
 * Admits a share of the requests that arrive.
 *
 * Load pattern: hundreds of routers see a few requests a second each for an
 * overloaded server, and may send it one in thirty. Drawing for each request
 * would let bursts through. A router carries the error of its earlier decisions
 * forward instead, and starts at a random point, so that not all routers send
 * their first request at once.
 * @module
 */

/** One decision. */
export interface GateRequest {
  /** Share that is admitted, from 0 to 1. */
  readonly share: number;
  /** Whether requests of other clients come first. */
  readonly isDeferred: boolean;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/**
 * Credit that a deferred request needs, so that others go first. Credit that
 * they leave unused still admits it.
 */
const DEFERRED_COST = 1.5;
/** Largest credit that adds up while requests are deferred. */
const MAX_CREDIT = 2;
/** Largest number of resources with a credit; the oldest is dropped. */
const MAX_RESOURCES = 2_000;

/** Credits by resource, in requests. */
export class ShareGate {
  readonly #credits = new Map<string, number>();

  /** Returns whether a request is admitted. */
  admit(resource: string, { share, isDeferred, random }: GateRequest): boolean {
    if (share >= 1) return true;
    const credit = (this.#credits.get(resource) ?? random()) + share;
    const isAdmitted = credit >= (isDeferred ? DEFERRED_COST : 1);
    this.#set(resource, Math.min(MAX_CREDIT, isAdmitted ? credit - 1 : credit));
    return isAdmitted;
  }

  /**
   * Returns the probability that the next request is admitted that is not
   * deferred, and uses no credit. Only the first one of a resource is drawn at
   * random; the others follow from the credit.
   */
  computeProbability(resource: string, share: number): number {
    if (share >= 1) return 1;
    const credit = this.#credits.get(resource);
    if (credit === undefined) return share;
    return credit + share >= 1 ? 1 : 0;
  }

  #set(resource: string, credit: number): void {
    const oldest = this.#credits.keys().next().value;
    const isFull = this.#credits.size >= MAX_RESOURCES;
    if (isFull && oldest !== undefined && !this.#credits.has(resource)) {
      this.#credits.delete(oldest);
    }
    this.#credits.set(resource, credit);
  }
}
