/** Detection of requests that crash the servers that run them. @module */

/** Options of `PoisonTracker.create`. */
export interface PoisonTrackerOptions {
  /** Number of crashes after which a request counts as poison. */
  readonly limit: number;
  /** Largest number of suspects that are remembered. */
  readonly capacity: number;
}

/** Result of `PoisonTracker.recordCrash`. */
export interface CrashReport {
  /** Fingerprints of requests that must run alone from now on. */
  readonly suspected: readonly string[];
  /** Fingerprints of requests to add to the poison list. */
  readonly poisoned: readonly string[];
}

/**
 * Counts for each request the server crashes during which it was in flight. A
 * request is reported as poison only after a crash during which it ran alone:
 * if several requests were in flight, any of them may have caused the crash.
 */
export class PoisonTracker {
  readonly #limit: number;
  readonly #capacity: number;
  /** Crashes by fingerprint, least recently started or crashed first. */
  readonly #crashes = new Map<string, number>();

  private constructor({ limit, capacity }: PoisonTrackerOptions) {
    this.#limit = limit;
    this.#capacity = capacity;
  }

  static create(options: PoisonTrackerOptions): PoisonTracker {
    return new PoisonTracker(options);
  }

  /**
   * Records that a request is about to run. Returns whether it must run alone.
   */
  recordStart(fingerprint: string): boolean {
    const crashes = this.#crashes.get(fingerprint);
    if (crashes === undefined) return false;
    this.#set(fingerprint, crashes);
    return true;
  }

  /** Records a server crash and the fingerprints that were in flight there. */
  recordCrash(inFlight: readonly string[]): CrashReport {
    // Several copies of a request count as one suspect.
    const fingerprints = new Set(inFlight);
    const suspected: string[] = [];
    const poisoned: string[] = [];
    for (const fingerprint of fingerprints) {
      const crashes = (this.#crashes.get(fingerprint) ?? 0) + 1;
      if (fingerprints.size === 1 && crashes >= this.#limit) {
        this.#crashes.delete(fingerprint);
        poisoned.push(fingerprint);
      } else {
        this.#set(fingerprint, crashes);
        suspected.push(fingerprint);
      }
    }
    return { suspected, poisoned };
  }

  /** Returns whether a request must run alone. */
  isSuspect(fingerprint: string): boolean {
    return this.#crashes.has(fingerprint);
  }

  /** Removes a suspect, after the server sent a complete response to it. */
  clear(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
  }

  /** Updates a suspect and evicts the least recently used ones. */
  #set(fingerprint: string, crashes: number): void {
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, crashes);
    for (const oldest of this.#crashes.keys()) {
      if (this.#crashes.size <= this.#capacity) break;
      this.#crashes.delete(oldest);
    }
  }
}
