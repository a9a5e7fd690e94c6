/** Explains in sentences the outcome of a request. @module */
import { EventKind, parseHlcMs, type TimelineEvent } from "@jaytiller/model";
import { mergeEvents } from "./event_ring.js";
import { endSentence, escapeText, formatTime, KIND_NAMES } from "./format.js";

/** The request to explain, and the events of all routers that answered. */
export interface RequestQuery {
  /** Request id, or the identity (idempotency key) of one or more attempts. */
  readonly requestId: string;
  readonly events: readonly TimelineEvent[];
}

type EventFormatter = (event: TimelineEvent) => string;

/** Sentences for the events of a request. Other kinds use a generic sentence. */
const EVENT_FORMATTERS: Partial<Readonly<Record<EventKind, EventFormatter>>> = {
  [EventKind.RequestReceived]: (e) =>
    `router ${e.node} received it${formatKeyClause(e)}: ${e.text}`,
  [EventKind.RequestForwarded]: (e) =>
    `router ${e.node} forwarded it: ${e.text}`,
  [EventKind.RequestSent]: (e) =>
    `holder ${e.node} sent it to server ${e.server ?? "unknown"}` +
    `${e.unit ? `, which owned unit ${e.unit}` : ""}` +
    `${e.token ? `, under token ${e.token}` : ""}: ${e.text}`,
  [EventKind.RequestAnswered]: (e) => `router ${e.node} answered it: ${e.text}`,
  [EventKind.RequestRefused]: (e) => `router ${e.node} refused it: ${e.text}`,
  [EventKind.RequestUnknown]: (e) =>
    `router ${e.node} lost track of its outcome: ${e.text}`,
};

/** State of an attempt after its concluding event, and what to do about it. */
const CONCLUSIONS: Partial<
  Readonly<Record<EventKind, { state: string; action: string }>>
> = {
  [EventKind.RequestReceived]: {
    state: "It is waiting, or its outcome is not among these events.",
    action: "Look at the owner of its key with `jaytiller explain key`.",
  },
  [EventKind.RequestForwarded]: {
    state: "It is at the holder, or its outcome is not among these events.",
    action: "Ask that holder, or look at the owner of its key with " +
      "`jaytiller explain key`.",
  },
  [EventKind.RequestSent]: {
    state: "It is running, or its outcome is not among these events.",
    action: "Wait for its deadline; then look at its server.",
  },
  [EventKind.RequestAnswered]: {
    state: "It was answered.",
    action: "Nothing needs to be done.",
  },
  [EventKind.RequestRefused]: {
    state: "It was not run and will not run under this attempt.",
    action: "The caller may retry; the reason above says what to change.",
  },
  [EventKind.RequestUnknown]: {
    state: "It may have run.",
    action: "The caller should retry with the same idempotency key; the " +
      "server's own records tell whether it ran.",
  },
};

/** Kinds of events recorded by the entry router, which the caller reached. */
const ENTRY_ROUTER_KINDS: readonly EventKind[] = [
  EventKind.RequestReceived,
  EventKind.RequestForwarded,
];

/** Kinds of events that end an attempt at one router. */
const FINAL_KINDS: readonly EventKind[] = [
  EventKind.RequestAnswered,
  EventKind.RequestRefused,
  EventKind.RequestUnknown,
];

/**
 * Explains in sentences the outcome of a request, or of all attempts with an
 * idempotency key. Control characters are replaced.
 */
export function explainRequest(query: RequestQuery): string[] {
  const { requestId } = query;
  const wantedId = requestId.toLowerCase();
  const events = mergeEvents([query.events]);
  const found = events.filter((e) =>
    e.requestId?.toLowerCase() === wantedId ||
    e.identity?.toLowerCase() === wantedId
  );
  if (found.length === 0) return describeMissingRequest(requestId);
  const attempts = groupAttempts(found);
  const lines = [...attempts].flatMap(([id, list], n) =>
    describeAttempt(list, { id, number: n + 1, count: attempts.size })
  );
  return [...lines, ...describeOtherAttempts(events, found)].map(escapeText);
}

function describeMissingRequest(requestId: string): string[] {
  return [
    `No event mentions ${requestId}.`,
    "It never arrived, or it is older than the events that the routers keep, " +
    "or the router that has them does not answer.",
    "Check the id, and ask again once all routers answer.",
  ].map(escapeText);
}

function groupAttempts(
  events: readonly TimelineEvent[],
): Map<string, TimelineEvent[]> {
  const attempts = new Map<string, TimelineEvent[]>();
  for (const event of events) {
    const id = event.requestId ?? "unknown";
    const list = attempts.get(id);
    if (list) list.push(event);
    else attempts.set(id, [event]);
  }
  return attempts;
}

function describeAttempt(
  events: readonly TimelineEvent[],
  attempt: { id: string; number: number; count: number },
): string[] {
  const identity = events.find((e) => e.identity !== undefined)?.identity;
  const order = attempt.count > 1
    ? `Attempt ${attempt.number} of ${attempt.count}, request`
    : "Request";
  const withKey = identity ? ` with idempotency key ${identity}` : "";
  const last = findConclusion(events);
  const conclusion = CONCLUSIONS[last.kind] ?? {
    state: `The last event is: ${KIND_NAMES[last.kind]}.`,
    action: "Look at the timeline with `jaytiller timeline`.",
  };
  return [
    `${order} ${attempt.id}${withKey}:`,
    ...events.map(describeEvent),
    conclusion.state,
    conclusion.action,
  ];
}

/**
 * Returns the event that decides the outcome: the final event of the entry
 * router, which matches the response that the caller received; else the final
 * event of another router, such as the holder; else the last event.
 */
function findConclusion(events: readonly TimelineEvent[]): TimelineEvent {
  const entry = events.find((e) => ENTRY_ROUTER_KINDS.includes(e.kind))?.node;
  const final = events.filter((e) => FINAL_KINDS.includes(e.kind));
  return final.filter((e) => e.node === entry).at(-1) ?? final.at(-1) ??
    events.at(-1)!;
}

function describeEvent(event: TimelineEvent): string {
  const format = EVENT_FORMATTERS[event.kind];
  const text = format
    ? format(event)
    : `${KIND_NAMES[event.kind] ?? event.kind} at ${event.node}: ${event.text}`;
  return `At ${formatTime(parseHlcMs(event.hlc))} ${endSentence(text)}`;
}

function formatKeyClause(event: TimelineEvent): string {
  if (event.key === undefined) return "";
  return ` for key ${event.key} of ${event.service ?? "an unknown service"}`;
}

/** Lists other attempts with the same identities as the events found. */
function describeOtherAttempts(
  events: readonly TimelineEvent[],
  found: readonly TimelineEvent[],
): string[] {
  const identities = new Set(found.flatMap((e) => e.identity ?? []));
  const known = new Set(found.map((e) => e.requestId));
  const others = new Set(
    events
      .filter((e) => e.identity !== undefined && identities.has(e.identity))
      .flatMap((e) => known.has(e.requestId) ? [] : e.requestId ?? []),
  );
  if (others.size === 0) return [];
  return [
    `Other attempts with the same idempotency key: ${[...others].join(", ")}.`,
  ];
}
