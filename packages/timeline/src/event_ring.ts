/** Ring buffer of events of one process. @module */
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

/** Fields of an event that its writer states. */
export type EventFields = Omit<TimelineEvent, "hlc" | "node">;

/** Which events to return. Fields that are absent match everything. */
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
  /** Return the newest events only, at most this many. */
  readonly limit?: number;
}

const EQUAL_FIELDS = [
  "service",
  "group",
  "unit",
  "key",
  "requestId",
  "identity",
  "server",
  "node",
] as const;

/** Does an event match a filter? The limit is not considered. */
export function matchEvent(event: TimelineEvent, filter: EventFilter): boolean {
  if (filter.kinds && !filter.kinds.includes(event.kind)) return false;
  const ms = parseHlcMs(event.hlc);
  if (filter.sinceMs !== undefined && ms < filter.sinceMs) return false;
  if (filter.untilMs !== undefined && ms > filter.untilMs) return false;
  return EQUAL_FIELDS.every((f) =>
    filter[f] === undefined || filter[f] === event[f]
  );
}

/** The newest events of one process, oldest first. */
export class EventRing {
  readonly #node: VmId;
  readonly #clock: HybridClock;
  readonly #capacity: number;
  readonly #events: TimelineEvent[] = [];
  /** Index of the oldest event once the ring is full. */
  #start = 0;

  private constructor(options: RingOptions) {
    this.#node = options.node;
    this.#clock = options.clock;
    this.#capacity = options.capacity;
  }

  static create(options: RingOptions): EventRing {
    return new EventRing(options);
  }

  get size(): number {
    return this.#events.length;
  }

  /** Stamps an event at `wallMs`, unix ms, and keeps it. */
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
    const found: TimelineEvent[] = [];
    for (let i = this.size - 1; i >= 0 && found.length < limit; i--) {
      const event = this.#events[(this.#start + i) % this.size]!;
      if (matchEvent(event, filter)) found.push(event);
    }
    return found.reverse();
  }
}

/** Options of an event ring. */
export interface RingOptions {
  readonly node: VmId;
  readonly clock: HybridClock;
  /** Number of events that are kept. */
  readonly capacity: number;
}

/**
 * Merges events of several processes in causal order. An event that occurs in
 * several lists is returned once.
 */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const unique = new Map<string, TimelineEvent>();
  for (const event of lists.flat()) {
    // A restarted process may issue a stamp again, so the stamp is not enough.
    unique.set(`${event.hlc}\u0000${event.kind}\u0000${event.text}`, event);
  }
  return [...unique.values()].sort((a, b) =>
    a.hlc < b.hlc ? -1 : a.hlc > b.hlc ? 1 : 0
  );
}
