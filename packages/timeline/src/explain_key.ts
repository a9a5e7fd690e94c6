/** Explains in sentences who owns a key and why. @module */
import { parseHlcMs, type UnitId } from "@jaytiller/model";
import {
  endSentence,
  escapeText,
  formatDuration,
  formatTime,
  KIND_NAMES,
} from "./format.js";
import { findKeyFacts, type KeyFacts, type KeyQuery } from "./key_facts.js";

const MAX_PAST_EVENTS = 6;

/**
 * Explains in sentences who owns a key, since when and why, what happened
 * before, what will happen next and what an operator can do. Control characters
 * are replaced.
 */
export function explainKey(query: KeyQuery): string[] {
  const { service, key } = query;
  const facts = findKeyFacts(query);
  const lines = facts
    ? [
      describeUnit(facts, key),
      ...describeOwner(facts),
      ...describeHolder(facts),
      ...describePastEvents(facts),
      ...describeNext(facts),
    ]
    : [
      `Service ${service} has no route, so nobody owns key ${key}.`,
      "Requests for it are refused with noRoute.",
      "An operator can add a route with `jaytiller route put`.",
    ];
  return lines.map(escapeText);
}

function describeUnit({ service, unit }: KeyFacts, key: string): string {
  const kind = unit.startsWith("k:")
    ? "is split out of its shard and is a unit of its own"
    : `belongs to shard ${unit.slice(2)}`;
  return `Key ${key} of ${service} ${kind}.`;
}

function describeOwner(facts: KeyFacts): string[] {
  const { owner, nowMs } = facts;
  if (!owner) return ["No server owns it yet, so its requests are refused."];
  const age = formatDuration(nowMs - owner.sinceMs);
  const by = facts.effectiveMove
    ? `holder ${facts.effectiveMove.node}`
    : facts.claim && facts.claim.term < owner.since
    ? `holder ${facts.claim.node}`
    : "an earlier holder";
  const before = owner.previous === null
    ? "It had no owner before."
    : `Before that it belonged to server ${owner.previous}.`;
  return [
    `Server ${owner.server} of group ${owner.group} owns it since ` +
    `${formatTime(owner.sinceMs)} (${age} ago, log offset ${owner.since}).`,
    `Reason: ${endSentence(owner.reason)} It was moved there by ${by}.`,
    ...describeAssignment(facts),
    before,
  ];
}

function describeAssignment({ owner, assignment, change }: KeyFacts): string[] {
  if (!assignment || assignment.server !== owner?.server) return [];
  const by = change ? ` by ${change.operator}` : "";
  return [
    `An operator's assignment${by} keeps it there: ` +
    endSentence(assignment.reason),
  ];
}

function describeHolder({ claim, group, nowMs }: KeyFacts): string[] {
  if (!group) return [];
  if (!claim) return [`No entry VM holds group ${group}.`];
  const age = formatDuration(nowMs - claim.atMs);
  return [
    `Entry VM ${claim.node} holds group ${group} in term ${claim.term}, ` +
    `claimed ${age} ago.`,
  ];
}

function describePastEvents({ pastEvents }: KeyFacts): string[] {
  if (pastEvents.length === 0) return ["The routers have no events about it."];
  const events = pastEvents.slice(-MAX_PAST_EVENTS).map((e) => {
    const time = formatTime(parseHlcMs(e.hlc));
    return `At ${time} ${e.node}, ${KIND_NAMES[e.kind] ?? e.kind}: ` +
      endSentence(e.text);
  });
  const omittedCount = pastEvents.length - events.length;
  return omittedCount > 0
    ? [`${omittedCount} earlier events are omitted.`, ...events]
    : events;
}

/** What will happen next to a key in some state, and what operators can do. */
interface Advice {
  readonly isApplicable: (facts: KeyFacts) => boolean;
  readonly next: (facts: KeyFacts) => string;
  readonly action: (facts: KeyFacts) => string;
}

/** All applicable entries are reported, in this order. */
const ADVICE: readonly Advice[] = [
  {
    isApplicable: (f) => f.logLost !== undefined,
    next: (f) =>
      `Router ${f.logLost!.node} has had no answer from the log since ` +
      `${formatTime(parseHlcMs(f.logLost!.hlc))}; nothing moves without the ` +
      "log, and a live owner continues to serve.",
    action: () => "An operator can only restore the log.",
  },
  {
    isApplicable: (f) => f.owner === undefined,
    next: () => "A holder of the service gives it to a live server.",
    action: (f) =>
      "If that does not happen, check with `jaytiller state` that the " +
      "service has live servers and holders, or assign it with " +
      `\`jaytiller assign ${f.service} ${formatUnit(f.unit)} --to SERVER\`.`,
  },
  {
    isApplicable: (f) => f.owner !== undefined && f.claim === undefined,
    next: (f) => `An entry VM of the zone is to claim group ${f.group}.`,
    action: () => "Check that the zone has live entry VMs and reads the log.",
  },
  {
    isApplicable: (f) => f.openMove !== undefined,
    next: (f) =>
      `A move is under way since ${formatTime(parseHlcMs(f.openMove!.hlc))}: ` +
      endSentence(f.openMove!.text),
    action: () => "Wait; a planned move takes about 50 ms.",
  },
  {
    isApplicable: (f) => isOwnerUnavailable(f) && f.silentPeers.length === 0,
    next: (f) =>
      `Server ${f.owner!.server} ${describeOutage(f)}; the holder moves the ` +
      "unit once the server's lease has expired.",
    action: () =>
      "Nothing needs to be done; if it lasts longer than a few seconds, " +
      "check the holder.",
  },
  {
    isApplicable: (f) => isOwnerUnavailable(f) && f.silentPeers.length > 0,
    next: (f) =>
      `Server ${f.owner!.server} ${describeOutage(f)}, and entry VM ` +
      `${f.silentPeers.join(", ")} is silent too; the unit waits, because ` +
      "that entry VM could still renew the server's lease.",
    action: (f) =>
      "If it is certain that the entry VM no longer runs, confirm it with " +
      `\`jaytiller confirm-lost ${f.silentPeers[0]}\`; a wrong confirmation ` +
      "gives keys two owners.",
  },
  {
    isApplicable: (f) => f.drained || f.leaving,
    next: (f) =>
      `Server ${f.owner!.server} is ${f.drained ? "drained" : "leaving"}, so ` +
      "the unit moves away when it is idle.",
    action: (f) =>
      f.drained
        ? `\`jaytiller undrain ${f.owner!.server}\` ends that.`
        : "Nothing needs to be done.",
  },
  {
    isApplicable: (f) =>
      f.owner !== undefined && f.assignment !== undefined &&
      f.assignment.server !== f.owner.server,
    next: (f) =>
      `${f.change?.operator ?? "An operator"} assigned it to server ` +
      `${f.assignment!.server} (${f.assignment!.reason}); the holder moves ` +
      "it there when that server is reachable.",
    action: (f) =>
      `\`jaytiller unassign ${f.service} ${formatUnit(f.unit)}\` withdraws ` +
      "the assignment.",
  },
];

function describeNext(facts: KeyFacts): string[] {
  const lines = ADVICE.filter((o) => o.isApplicable(facts))
    .flatMap((o) => [`Next: ${o.next(facts)}`, `To do: ${o.action(facts)}`]);
  if (lines.length > 0) return lines;
  const command = `jaytiller assign ${facts.service} ${formatUnit(facts.unit)}`;
  return [
    "Next: nothing is pending; it stays while its server is live and " +
    "balanced.",
    `To do: nothing; \`${command} --to SERVER\` would move it.`,
  ];
}

function isOwnerUnavailable(f: KeyFacts): boolean {
  return f.owner !== undefined && (f.ownerSilent !== undefined || f.isUnlisted);
}

function describeOutage(f: KeyFacts): string {
  return f.ownerSilent
    ? `is silent since ${formatTime(parseHlcMs(f.ownerSilent.hlc))}`
    : "is not on the VM list";
}

/** Returns the command line options that select a unit, quoted for a shell. */
function formatUnit(unit: UnitId): string {
  if (unit.startsWith("s:")) return `--shard ${unit.slice(2)}`;
  const key = unit.slice(2);
  const plain = /^[\w.:@/-]+$/.test(key);
  return `--key ${plain ? key : `'${key.replaceAll("'", `'\\''`)}'`}`;
}
