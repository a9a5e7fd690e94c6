/** Conversions between RPC messages and model values. @module */
import type {
  EventKind,
  GroupId,
  RequestClass,
  Route,
  TimelineEvent,
  UnitId,
} from "@jaytiller/model";
import type * as m from "./messages.js";

/** Converts a route to its message. */
export function formatRoute(route: Route): m.RouteInput {
  const rules = route.rules.map((r) => ({ ...r, methods: [...r.methods] }));
  return { ...route, rules };
}

/** Converts a message to a route. `checkChange` must have accepted it. */
export function parseRoute(message: m.Route): Route {
  const rules = message.rules.map((r) => ({
    ...r,
    class: r.class as RequestClass,
  }));
  return { ...message, rules };
}

/** Converts an event to its message, whose optional fields are strings. */
export function formatEvent(event: TimelineEvent): m.EventInput {
  const { hlc, node, kind, text, ...rest } = event;
  const fields: Record<string, string> = {};
  for (const [name, value] of Object.entries(rest)) {
    if (value !== undefined) fields[name] = String(value);
  }
  return { hlc, node, kind, text, fields };
}

/** Converts a message to an event. */
export function parseEvent(message: m.Event): TimelineEvent {
  const { fields, ...event } = message;
  const { offset, group, unit, ...rest } = fields;
  return {
    ...rest,
    ...event,
    kind: event.kind as EventKind,
    ...(group === undefined ? {} : { group: group as GroupId }),
    ...(unit === undefined ? {} : { unit: unit as UnitId }),
    ...(offset === undefined ? {} : { offset: Number(offset) }),
  };
}
