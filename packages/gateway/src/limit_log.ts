/** Log lines and counters of limits that clients reach. @module */
import type { EventLog } from "@jaytiller/kernel";

/** Limits of what clients may take. */
export enum ClientLimit {
  /** A body was refused because its stated length has no room. */
  BodyRefused = "bodyRefused",
  /** A body was given up before it was sent to a server. */
  BodyGivenUp = "bodyGivenUp",
  /** A request was given up because heads take too much of the heap. */
  HeadsGivenUp = "headsGivenUp",
  /** A connection was closed because unparsed input takes too much memory. */
  InputGivenUp = "inputGivenUp",
  /** The limits of memory were lowered because the process has nearly all. */
  MemoryShort = "memoryShort",
  /** Input waits because reading others takes processor time. */
  InputDeferred = "inputDeferred",
  /** A response was cut off because its client reads too slowly. */
  SlowReader = "slowReader",
  /** A response in progress was ended because it takes the most memory. */
  ResponseEnded = "responseEnded",
  /** Body chunks wait because there are too many small ones. */
  ChunksPaced = "chunksPaced",
  /** A connection that pipelines many requests has to wait. */
  RequestsPaced = "requestsPaced",
  /** A connection was closed because there are too many. */
  Connections = "connections",
  /** A connection was closed because too many requests are open. */
  Requests = "requests",
}

/** Time between two lines about the same limit, ms. */
const LINE_INTERVAL_MS = 1_000;

interface LimitRecord {
  count: number;
  loggedCount: number;
  loggedAtMs: number;
}

/** Counts how often each limit was reached, and logs it once a second. */
export class LimitLog {
  readonly #log: EventLog;
  readonly #records = new Map<ClientLimit, LimitRecord>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Counts a limit; `fields` describe the latest case in the line. */
  record(
    limit: ClientLimit,
    fields: Readonly<Record<string, string | number | undefined>> = {},
  ): void {
    const nowMs = performance.now();
    let record = this.#records.get(limit);
    if (!record) {
      record = { count: 0, loggedCount: 0, loggedAtMs: -Infinity };
      this.#records.set(limit, record);
    }
    record.count += 1;
    if (nowMs - record.loggedAtMs < LINE_INTERVAL_MS) return;
    const count = record.count - record.loggedCount;
    this.#log.record("limitReached", { limit, count, ...fields });
    record.loggedCount = record.count;
    record.loggedAtMs = nowMs;
  }

  /** Formats the counters in the text format for metrics. */
  format(): string {
    return [...this.#records].map(([limit, { count }]) =>
      `jaytiller_limits_reached{limit="${limit}"} ${count}\n`
    ).join("");
  }
}
