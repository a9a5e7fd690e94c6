/** Ring buffer for the events of one process. @module */
import type {
  EventKind,
  GroupId,
  HybridClock,
  ServiceName,
  TimelineEvent,
  UnitId,
  VmId,
} from "@jaytiller/model";
import { parseHlcMs } from "@jaytiller/model";

/** Fields of an event that the caller of `EventRing.add` supplies. */
export type EventFields = Omit<TimelineEvent, "hlc" | "node">;

/** Selects events. An absent field matches every event. */
export interface EventFilter {
  readonly kinds?: readonly EventKind[];
  readonly service?: ServiceName;
  readonly group?: GroupId;
  readonly unit?: UnitId;
  readonly key?: string;
  readonly requestId?: string;
  readonly identity?: string;
  readonly server?: VmId;
  readonly node?: VmId;
  /** Events at or after this time, unix ms. */
  readonly sinceMs?: number;
  /** Events at or before this time, unix ms. */
  readonly untilMs?: number;
  /** Largest number of events to return, the newest ones. */
  readonly limit?: number;
}

const EXACT_MATCH_FIELDS = [
  "service",
  "group",
  "unit",
  "key",
  "requestId",
  "identity",
  "server",
  "node",
] as const;

/** Returns whether an event matches a filter, whose limit is ignored. */
export function matchEvent(event: TimelineEvent, filter: EventFilter): boolean {
  if (filter.kinds && !filter.kinds.includes(event.kind)) return false;
  const ms = parseHlcMs(event.hlc);
  if (filter.sinceMs !== undefined && ms < filter.sinceMs) return false;
  if (filter.untilMs !== undefined && ms > filter.untilMs) return false;
  return EXACT_MATCH_FIELDS.every((f) =>
    filter[f] === undefined || filter[f] === event[f]
  );
}

/** Keeps the newest events of one process, up to a fixed capacity. */
export class EventRing {
  readonly #node: VmId;
  readonly #clock: HybridClock;
  readonly #capacity: number;
  readonly #events: TimelineEvent[] = [];
  /** Index of the oldest event; 0 until the ring is full. */
  #start = 0;

  private constructor(options: EventRingOptions) {
    this.#node = options.node;
    this.#clock = options.clock;
    this.#capacity = options.capacity;
  }

  static create(options: EventRingOptions): EventRing {
    return new EventRing(options);
  }

  get size(): number {
    return this.#events.length;
  }

  /**
   * Assigns a hybrid clock timestamp to an event and stores it. `wallMs` is the
   * current time, unix ms.
   */
  add(fields: EventFields, wallMs: number): TimelineEvent {
    const hlc = this.#clock.issue(wallMs);
    const event: TimelineEvent = { ...fields, hlc, node: this.#node };
    if (this.#events.length < this.#capacity) {
      this.#events.push(event);
    } else if (this.#capacity > 0) {
      this.#events[this.#start] = event;
      this.#start = (this.#start + 1) % this.#capacity;
    }
    return event;
  }

  /** Returns the matching events, oldest first. */
  list(filter: EventFilter = {}): TimelineEvent[] {
    const limit = filter.limit ?? Infinity;
    const matches: TimelineEvent[] = [];
    for (let i = this.size - 1; i >= 0 && matches.length < limit; i--) {
      const event = this.#events[(this.#start + i) % this.size]!;
      if (matchEvent(event, filter)) matches.push(event);
    }
    return matches.reverse();
  }
}

/** Options of `EventRing.create`. */
export interface EventRingOptions {
  readonly node: VmId;
  readonly clock: HybridClock;
  /** Largest number of events to keep. */
  readonly capacity: number;
}

/**
 * Merges the events of several processes and sorts them in causal order. An
 * event that occurs in several lists is returned once.
 */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const unique = new Map<string, TimelineEvent>();
  for (const event of lists.flat()) {
    // A restarted process may reuse a timestamp, so it alone is not unique.
    unique.set(`${event.hlc}\u0000${event.kind}\u0000${event.text}`, event);
  }
  return [...unique.values()].sort((a, b) =>
    a.hlc < b.hlc ? -1 : a.hlc > b.hlc ? 1 : 0
  );
}
