/** Events of all entry VMs, merged by their stamps. @module */
import { setTimeout as sleep } from "node:timers/promises";
import { parseHlcMs } from "@jaytiller/model";
import {
  type Event,
  type GetTimelineRequestInput,
  OperatorError,
} from "@jaytiller/rpc";
import { readFirst, useRouter } from "./connections.js";
import {
  type Context,
  writeFindings,
  writeLines,
  writeNotes,
} from "./context.js";
import { ExitCode } from "./exit_code.js";
import { OptionKind, type OptionSpec } from "./options.js";
import { formatTime } from "./tables.js";

const DEFAULT_LIMIT = 200;
const MAX_LIMIT = 20_000;
/** Events of one poll; about 1 MiB of the 4 MiB that a message may have. */
const FOLLOW_LIMIT = 2_000;
const FOLLOW_MS = 500;

const FILTERS = ["service", "key", "unit", "server", "group"] as const;

function describeOption(name: string, description: string): OptionSpec {
  return { name, kind: OptionKind.Text, description };
}

/** Options of the command. */
export const TIMELINE_OPTIONS: readonly OptionSpec[] = [
  describeOption("service", "Only events of this service"),
  describeOption("key", "Only events of this key"),
  describeOption("unit", "Only events of this unit, such as s:12"),
  describeOption("request", "Only events of this request or idempotency key"),
  describeOption("server", "Only events of this backend server"),
  describeOption(
    "group",
    "Only events of this group, such as orderdesk/toledo",
  ),
  describeOption(
    "since",
    "From this time on: unix ms, ISO 8601, or an age (5m)",
  ),
  describeOption("until", "Up to this time"),
  describeOption(
    "limit",
    `Only the newest so many, ${DEFAULT_LIMIT} if not given`,
  ),
  {
    name: "follow",
    kind: OptionKind.Flag,
    description: "Go on with new events until interrupted",
  },
];

/** Returns the line for an event. */
export function formatEventLine(event: Event): string {
  const { hlc, node, kind, fields, text } = event;
  const pairs = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
  const time = formatTime(parseHlcMs(hlc));
  return [`${time}.${hlc.slice(14, 20)}`, node, kind, ...pairs, text].join(" ");
}

/** Runs the command. A router that gives no events is named in a note. */
export async function runTimeline(context: Context): Promise<ExitCode> {
  const request = readFilter(context);
  if (context.options.findings.length > 0) {
    writeFindings(context.io, context.options.findings);
    return ExitCode.BadInput;
  }
  const addresses = await listAddresses(context);
  if (!Array.isArray(addresses)) return addresses;
  const reader = TimelineReader.create(context, { addresses });
  const events = await reader.read(request);
  if (reader.answered === 0) return ExitCode.Unreachable;
  const limit = Number(request.limit);
  writeEvents(context, mergeEvents(events).slice(-limit));
  if (context.options.getFlag("follow")) {
    await writeNewEvents(context, reader, { request });
  }
  return ExitCode.Done;
}

function readFilter({ options }: Context): GetTimelineRequestInput {
  const nowMs = Date.now();
  const limits = { min: 1, max: MAX_LIMIT };
  const filter: GetTimelineRequestInput = {
    limit: options.getInteger("limit", limits) ?? DEFAULT_LIMIT,
  };
  for (const name of FILTERS) {
    const value = options.getText(name);
    if (value !== undefined) filter[name] = value;
  }
  const requestId = options.getText("request");
  const fromMs = options.getTime("since", nowMs);
  const toMs = options.getTime("until", nowMs);
  return {
    ...filter,
    ...(requestId === undefined ? {} : { requestId }),
    ...(fromMs === undefined ? {} : { fromMs }),
    ...(toMs === undefined ? {} : { toMs }),
  };
}

/**
 * Returns the routers to ask: those of a repeated `--at`, otherwise those that
 * the first router knows.
 */
async function listAddresses(context: Context): Promise<string[] | ExitCode> {
  if (context.options.getList("at").length > 1) return [...context.addresses];
  const found = await readFirst(context, async (client) => {
    const { node, routers } = await client.getState();
    const known = routers.filter((r) => r.id !== node && r.operatorAddress)
      .map((r) => r.operatorAddress);
    return [client.address, ...known];
  });
  return "code" in found ? found.code : [...new Set(found.value)];
}

/** Sorts events by stamp. An event that came twice is returned once. */
export function mergeEvents(events: readonly Event[]): Event[] {
  const unique = new Map<string, Event>();
  for (const event of events) {
    // A restarted router may issue a stamp again, so the stamp is not enough.
    unique.set(`${event.hlc} ${event.kind} ${event.text}`, event);
  }
  return [...unique.values()].sort((a, b) =>
    a.hlc < b.hlc ? -1 : a.hlc > b.hlc ? 1 : 0
  );
}

function writeEvents(context: Context, events: readonly Event[]): void {
  if (context.json) {
    for (const e of events) context.io.writeLine(JSON.stringify(e));
  } else writeLines(context.io, events.map(formatEventLine));
}

/** Reads events from several routers and remembers how far it has read. */
class TimelineReader {
  readonly #context: Context;
  readonly #addresses: readonly string[];
  /** Highest stamp that each router has returned. */
  readonly #last = new Map<string, string>();
  readonly #silent = new Set<string>();
  /** Routers that answered the last read. */
  answered = 0;

  private constructor(context: Context, addresses: readonly string[]) {
    this.#context = context;
    this.#addresses = addresses;
  }

  static create(
    context: Context,
    options: { addresses: readonly string[] },
  ): TimelineReader {
    return new TimelineReader(context, options.addresses);
  }

  /** Returns the events that no earlier read has returned, unsorted. */
  async read(request: GetTimelineRequestInput): Promise<Event[]> {
    this.answered = 0;
    const lists = await Promise.all(
      this.#addresses.map((address) => this.#readOne(address, request)),
    );
    return lists.flat();
  }

  async #readOne(
    address: string,
    request: GetTimelineRequestInput,
  ): Promise<Event[]> {
    const afterHlc = this.#last.get(address);
    const asked = afterHlc === undefined ? request : { ...request, afterHlc };
    try {
      const { events } = await useRouter(this.#context, address, {
        work: (client) => client.getTimeline(asked),
      });
      this.answered += 1;
      this.#silent.delete(address);
      const last = events.at(-1)?.hlc;
      if (last !== undefined) this.#last.set(address, last);
      return events;
    } catch (e) {
      if (!(e instanceof OperatorError)) throw e;
      const known = this.#silent.has(address);
      if (!known) writeNotes(this.#context.io, [`No events: ${e.message}`]);
      this.#silent.add(address);
      return [];
    }
  }
}

/**
 * Writes new events until the command is interrupted. Each event waits for one
 * more poll, so that an earlier event of a slower router comes before it.
 */
async function writeNewEvents(
  context: Context,
  reader: TimelineReader,
  { request }: { request: GetTimelineRequestInput },
): Promise<void> {
  const { signal } = context.io;
  let held: Event[] = [];
  while (!signal.aborted) {
    await sleep(FOLLOW_MS, undefined, { signal }).catch(() => {});
    const fresh = await reader.read({ ...request, limit: FOLLOW_LIMIT });
    const newest = held.reduce((max, e) => e.hlc > max ? e.hlc : max, "");
    const all = mergeEvents([...held, ...fresh]);
    writeEvents(context, all.filter((e) => e.hlc <= newest));
    held = all.filter((e) => e.hlc > newest);
  }
  writeEvents(context, held);
}
