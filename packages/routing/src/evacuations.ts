/** The zones that the operator has evacuated. @module */

/** A record of the operator that evacuates a zone or takes it back. */
export interface EvacuationChange {
  readonly zone: string;
  /** Offset of the record in the operator's feed. */
  readonly offset: number;
  /** Whether the zone is evacuated from then on. */
  readonly isEvacuated: boolean;
}

/** A zone whose servers have to be without requests soon. */
export interface Evacuation {
  readonly zone: string;
  /** Offset of the newest record that evacuates it. */
  readonly offset: number;
  /** Monotonic time at which this router learned of it, ms. */
  readonly learnedMs: number;
  /**
   * Monotonic time at which it was not in force yet, ms; `-Infinity` if this
   * router knows of none.
   */
  readonly earliestMs: number;
  /**
   * Monotonic time up to which it is kept without a record, because the store
   * was restored from a copy that may lack it, ms.
   */
  readonly unconfirmedUntilMs?: number;
}

/** A zone that is no longer evacuated. */
export interface ReturnedZone {
  readonly zone: string;
  /** Monotonic time at which this became known, ms. */
  readonly atMs: number;
}

/** Position and time of a read or message. */
export interface EvacuationSource {
  /** Offset up to which all records of the operator are included. */
  readonly position: number;
  readonly nowMs: number;
  /** Time at which the earlier state was known to be in force, ms. */
  readonly earliestMs: number;
  /** Whether the store was restored from an older copy since. */
  readonly isRestored?: boolean;
}

/** Complete state of another router or of a snapshot. */
export interface EvacuationState {
  readonly evacuated: readonly Omit<Evacuation, "earliestMs">[];
  readonly returned: readonly ReturnedZone[];
}

/** Time for which the return of a zone is remembered, ms. */
const MAX_RETURN_AGE_MS = 600_000;
/**
 * Time between the choice of a server and the arrival of the request, ms. A
 * connection that is not made within 400 ms is given up.
 */
const DELIVERY_MS = 500;
/**
 * Time in which the operator writes records again that a restored store has
 * lost, ms. A zone that stays evacuated for longer only costs capacity.
 */
const REWRITE_MS = 10_000;
/** Position before the first read. */
const UNREAD_POSITION = -1;

/**
 * Immutable set of evacuated zones as of a position in the operator's feed. Only
 * a read or message whose position is not lower changes it, so a late message
 * never brings back an earlier state.
 */
export class EvacuationSet {
  readonly #evacuated: ReadonlyMap<string, Evacuation>;
  readonly #returned: ReadonlyMap<string, number>;
  /** Offset up to which all records are included; negative before a read. */
  readonly position: number;

  private constructor(
    evacuated: ReadonlyMap<string, Evacuation>,
    returned: ReadonlyMap<string, number>,
    position: number,
  ) {
    this.#evacuated = evacuated;
    this.#returned = returned;
    this.position = position;
  }

  static create(): EvacuationSet {
    return new EvacuationSet(new Map(), new Map(), UNREAD_POSITION);
  }

  get hasPosition(): boolean {
    return this.position !== UNREAD_POSITION;
  }

  /** Returns the set after records that follow an earlier position. */
  apply(
    changes: readonly EvacuationChange[],
    { position, nowMs, earliestMs }: EvacuationSource,
  ): EvacuationSet {
    const lapsed = this.list().filter((e) =>
      (e.unconfirmedUntilMs ?? Infinity) <= nowMs
    );
    const isKnown = position <= this.position;
    if (isKnown && lapsed.length === 0) return this;
    const evacuated = new Map(this.#evacuated);
    const returned = new Map(this.#returned);
    for (const { zone } of lapsed) {
      evacuated.delete(zone);
      returned.set(zone, nowMs);
    }
    for (const { zone, offset, isEvacuated } of changes) {
      if (offset < this.position) continue;
      const known = evacuated.get(zone);
      if (isEvacuated) {
        const times = known ?? { learnedMs: nowMs, earliestMs };
        evacuated.set(zone, {
          zone,
          offset,
          learnedMs: times.learnedMs,
          earliestMs: times.earliestMs,
        });
        returned.delete(zone);
      } else if (known) {
        evacuated.delete(zone);
        returned.set(zone, nowMs);
      }
    }
    const end = Math.max(position, this.position);
    return new EvacuationSet(evacuated, returned, end);
  }

  /**
   * Returns the set that a snapshot or another router's state replaces this one
   * with. A zone that it does not contain is not evacuated any more.
   */
  replace(state: EvacuationState, source: EvacuationSource): EvacuationSet {
    const { position, nowMs, earliestMs, isRestored = false } = source;
    if (position < this.position) return this;
    const unconfirmedUntilMs = nowMs + (isRestored ? REWRITE_MS : 0);
    const evacuated = new Map<string, Evacuation>();
    const returned = new Map(this.#returned);
    for (const { zone, atMs } of state.returned) {
      returned.set(zone, Math.max(atMs, returned.get(zone) ?? -Infinity));
    }
    for (const { zone, offset, learnedMs } of state.evacuated) {
      const known = this.#evacuated.get(zone);
      evacuated.set(zone, {
        zone,
        offset: Math.max(offset, known?.offset ?? offset),
        learnedMs: Math.min(learnedMs, known?.learnedMs ?? learnedMs),
        earliestMs: known?.earliestMs ?? earliestMs,
      });
    }
    for (const known of this.#evacuated.values()) {
      if (evacuated.has(known.zone)) continue;
      const untilMs = known.unconfirmedUntilMs ?? unconfirmedUntilMs;
      // Its record is newer than what is replaced.
      if (known.offset >= position) evacuated.set(known.zone, known);
      else if (untilMs > nowMs) {
        evacuated.set(known.zone, { ...known, unconfirmedUntilMs: untilMs });
      } else if (!returned.has(known.zone)) returned.set(known.zone, nowMs);
    }
    for (const zone of evacuated.keys()) returned.delete(zone);
    return new EvacuationSet(evacuated, returned, position);
  }

  find(zone: string): Evacuation | undefined {
    return this.#evacuated.get(zone);
  }

  list(): readonly Evacuation[] {
    return [...this.#evacuated.values()];
  }

  /** Returns the time at which a zone was found to be taken back, ms. */
  getReturnedMs(zone: string): number | undefined {
    return this.#returned.get(zone);
  }

  /** Lists the zones that were taken back within the last minutes. */
  listReturned(nowMs: number): readonly ReturnedZone[] {
    return [...this.#returned]
      .filter(([, atMs]) => nowMs - atMs <= MAX_RETURN_AGE_MS)
      .map(([zone, atMs]) => ({ zone, atMs }));
  }

  /**
   * Returns whether a server of a zone may still get a request that no other
   * server can run. No request may arrive from `evacuateMs` after the record on,
   * which is at most as old as `earliestMs` says.
   */
  isUsable(
    zone: string,
    { nowMs, evacuateMs }: { nowMs: number; evacuateMs: number },
  ): boolean {
    const evacuation = this.#evacuated.get(zone);
    if (!evacuation) return true;
    const { learnedMs, earliestMs } = evacuation;
    return nowMs < Math.min(
      learnedMs + evacuateMs / 2,
      earliestMs + evacuateMs - DELIVERY_MS,
    );
  }
}
