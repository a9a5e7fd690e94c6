/** Shows the events of all entry VMs in causal order. @module */
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
/** Largest number of events per poll, about 1 MiB; messages may have 4 MiB. */
const POLL_LIMIT = 2_000;
const POLL_INTERVAL_MS = 500;

const FILTER_OPTIONS = ["service", "key", "unit", "server", "group"] as const;

function makeTextOption(name: string, description: string): OptionSpec {
  return { name, kind: OptionKind.Text, description };
}

/** Options of the `timeline` command. */
export const TIMELINE_OPTIONS: readonly OptionSpec[] = [
  makeTextOption("service", "Only events of this service"),
  makeTextOption("key", "Only events of this key"),
  makeTextOption("unit", "Only events of this unit, such as s:12"),
  makeTextOption("request", "Only events of this request or idempotency key"),
  makeTextOption("server", "Only events of this backend server"),
  makeTextOption(
    "group",
    "Only events of this group, such as orderdesk/toledo",
  ),
  makeTextOption(
    "since",
    "From this time on: unix ms, ISO 8601, or an age (5m)",
  ),
  makeTextOption("until", "Up to this time"),
  makeTextOption(
    "limit",
    `Largest number of events to show, the newest; ${DEFAULT_LIMIT} by default`,
  ),
  {
    name: "follow",
    kind: OptionKind.Flag,
    description: "Keep showing new events until interrupted",
  },
];

/** Formats an event as one line. */
export function formatEventLine(event: Event): string {
  const { hlc, node, kind, fields, text } = event;
  const pairs = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
  const time = formatTime(parseHlcMs(hlc));
  return [`${time}.${hlc.slice(14, 20)}`, node, kind, ...pairs, text].join(" ");
}

/** Runs the `timeline` command. Routers that fail are reported on stderr. */
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
  for (const name of FILTER_OPTIONS) {
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
 * Returns the addresses of the routers to query: those of a repeated `--at`,
 * otherwise the first router that answers and those that it knows.
 */
async function listAddresses(context: Context): Promise<string[] | ExitCode> {
  if (context.options.getList("at").length > 1) return [...context.addresses];
  const found = await readFirst(context, async (client) => {
    const { node, routers } = await client.getState();
    const peers = routers.filter((r) => r.id !== node && r.operatorAddress)
      .map((r) => r.operatorAddress);
    return [client.address, ...peers];
  });
  return "code" in found ? found.code : [...new Set(found.value)];
}

/** Sorts events by timestamp and removes duplicates. */
export function mergeEvents(events: readonly Event[]): Event[] {
  const unique = new Map<string, Event>();
  for (const event of events) {
    // A restarted router may reuse a timestamp, so it alone is not unique.
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

/** Reads events from several routers and tracks the position in each. */
class TimelineReader {
  readonly #context: Context;
  readonly #addresses: readonly string[];
  /** Timestamp of the last event that each router returned, by address. */
  readonly #lastHlcs = new Map<string, string>();
  /** Addresses of routers whose last read failed, each reported once. */
  readonly #silent = new Set<string>();
  /** Number of routers that answered the last read. */
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

  /** Returns the events that no earlier read returned, unsorted. */
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
    const afterHlc = this.#lastHlcs.get(address);
    const query = afterHlc === undefined ? request : { ...request, afterHlc };
    try {
      const { events } = await useRouter(this.#context, address, {
        work: (client) => client.getTimeline(query),
      });
      this.answered += 1;
      this.#silent.delete(address);
      const last = events.at(-1)?.hlc;
      if (last !== undefined) this.#lastHlcs.set(address, last);
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
 * Writes new events until the command is interrupted. Each event is held back
 * for one more poll, so that earlier events of slower routers precede it.
 */
async function writeNewEvents(
  context: Context,
  reader: TimelineReader,
  { request }: { request: GetTimelineRequestInput },
): Promise<void> {
  const { signal } = context.io;
  let pending: Event[] = [];
  while (!signal.aborted) {
    await sleep(POLL_INTERVAL_MS, undefined, { signal }).catch(() => {});
    const received = await reader.read({ ...request, limit: POLL_LIMIT });
    const newest = pending.reduce((max, e) => e.hlc > max ? e.hlc : max, "");
    const all = mergeEvents([...pending, ...received]);
    writeEvents(context, all.filter((e) => e.hlc <= newest));
    pending = all.filter((e) => e.hlc > newest);
  }
  writeEvents(context, pending);
}
