/** Formats times, durations and events as text. @module */
import { EventKind, parseHlcMs, type TimelineEvent } from "@jaytiller/model";

/** Names of the event kinds in text for people. */
export const KIND_NAMES: Readonly<Record<EventKind, string>> = {
  [EventKind.ProcessStarted]: "process started",
  [EventKind.ProcessStopping]: "process stopping",
  [EventKind.ClaimAppended]: "claim appended",
  [EventKind.ClaimEffective]: "claim effective",
  [EventKind.ClaimLost]: "claim lost",
  [EventKind.Takeover]: "takeover",
  [EventKind.Superseded]: "superseded",
  [EventKind.PermitGiven]: "permit given",
  [EventKind.PermitUsed]: "permit used",
  [EventKind.PermitWithdrawn]: "permit withdrawn",
  [EventKind.GrantAccepted]: "grant accepted",
  [EventKind.GrantRefused]: "grant refused",
  [EventKind.LeaseLapsed]: "lease lapsed",
  [EventKind.MoveStarted]: "move started",
  [EventKind.MoveAppended]: "move appended",
  [EventKind.MoveEffective]: "move effective",
  [EventKind.ServerSuspected]: "server suspected",
  [EventKind.ServerHeard]: "server heard",
  [EventKind.ServerCrashed]: "server crashed",
  [EventKind.ServerLeaving]: "server leaving",
  [EventKind.RequestReceived]: "request received",
  [EventKind.RequestForwarded]: "request forwarded",
  [EventKind.RequestSent]: "request sent",
  [EventKind.RequestAnswered]: "request answered",
  [EventKind.RequestRefused]: "request refused",
  [EventKind.RequestUnknown]: "request unknown",
  [EventKind.PoisonSuspected]: "poison suspected",
  [EventKind.PoisonListed]: "poison listed",
  [EventKind.PoisonLifted]: "poison lifted",
  [EventKind.ConfigurationAccepted]: "configuration accepted",
  [EventKind.ConfigurationApplied]: "configuration applied",
  [EventKind.PeerSuspected]: "peer suspected",
  [EventKind.PeerHeard]: "peer heard",
  [EventKind.LogLost]: "log lost",
  [EventKind.LogHeard]: "log heard",
};

const DETAIL_FIELDS = [
  ["service", "service"],
  ["group", "group"],
  ["unit", "unit"],
  ["key", "key"],
  ["server", "server"],
  ["token", "token"],
  ["offset", "offset"],
  ["requestId", "request"],
  ["identity", "identity"],
] as const;

/** Formats an event as one line: time, node, kind, text and other fields. */
export function formatEvent(event: TimelineEvent): string {
  const details = DETAIL_FIELDS.flatMap(([field, name]) =>
    event[field] === undefined ? [] : [`${name}=${event[field]}`]
  );
  const label = KIND_NAMES[event.kind] ?? event.kind;
  const time = formatTime(parseHlcMs(event.hlc));
  const suffix = details.length > 0 ? ` [${details.join(" ")}]` : "";
  return escapeText(`${time} ${event.node} ${label}: ${event.text}${suffix}`);
}

/** Formats unix ms in UTC, such as `2026-12-04 06:41:07.123Z`. */
export function formatTime(ms: number): string {
  const date = new Date(ms);
  if (Number.isNaN(date.getTime())) return "an unknown time";
  return date.toISOString().replace("T", " ");
}

const DURATION_UNITS = [
  ["d", 86_400_000],
  ["h", 3_600_000],
  ["min", 60_000],
  ["s", 1_000],
] as const;

/** Formats a duration in its largest unit, rounded down, such as `3 min`. */
export function formatDuration(ms: number): string {
  for (const [name, size] of DURATION_UNITS) {
    if (ms >= size) return `${Math.floor(ms / size)} ${name}`;
  }
  return `${Math.max(0, Math.round(ms))} ms`;
}

/** Appends a full stop unless the text ends with `.`, `!` or `?`. */
export function endSentence(text: string): string {
  return /[.!?]$/.test(text) ? text : `${text}.`;
}

/**
 * Replaces control characters and line separators. Keys and paths come from
 * callers and could otherwise inject lines or terminal escape sequences.
 */
export function escapeText(text: string): string {
  // deno-lint-ignore no-control-regex
  return text.replace(/[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g, "\ufffd");
}
