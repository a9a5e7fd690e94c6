/** Timeline events of this process. @module */
import type { TimelineEvent } from "@jaytiller/model";
import { type EventFilter, EventRing } from "@jaytiller/timeline";
import type { Clock } from "./clock.js";

const MAX_EVENTS = 20_000;

/** Fields of an event that its source sets. */
export type EventFields = Omit<TimelineEvent, "hlc" | "node">;

/** Records timeline events in a ring buffer. */
export class Events {
  readonly #ring: EventRing;

  constructor(node: string, clock: Clock) {
    this.#ring = EventRing.create({
      node,
      clock: clock.hlc,
      capacity: MAX_EVENTS,
    });
  }

  add(fields: EventFields): void {
    this.#ring.add(fields, Date.now());
  }

  list(filter: EventFilter): TimelineEvent[] {
    return this.#ring.list(filter);
  }
}
