/**
 * What servers have said about themselves, and how old it is.
 *
 * Load pattern: a server in need names the requests per second that it takes
 * from all routers together, for as long as it says so. Each router hears some
 * of its responses only, so routers exchange what they heard; the newest word
 * counts.
 * @module
 */
import type { ServerNotice } from "./server_notice.js";

/** A run of a server's process. */
export interface NoticingServer {
  readonly id: string;
  /** Start time of its process, Unix ms. */
  readonly born: number;
}

/** A server's word as routers report it to each other. */
export interface NoticeReport {
  readonly server: string;
  readonly born: number;
  /** Requests per second from all routers; absent if it no longer limits them. */
  readonly requestsPerSecond?: number;
  /** Time since the response that said so, ms. */
  readonly ageMs: number;
}

/** Time for which the end of a limit is reported, ms. */
const ENDED_LIMIT_REPORT_MS = 5_000;
/** Age from which the word of a server that is not registered is dropped, ms. */
const MAX_UNKNOWN_AGE_MS = 60_000;

interface Word {
  readonly born: number;
  readonly requestsPerSecond: number | undefined;
  readonly atMs: number;
  /** Whether this router heard it itself and has not reported it yet. */
  readonly isUnreported: boolean;
}

/** The newest word of each server that has a limit, or had one recently. */
export class ServerNotices {
  readonly #words = new Map<string, Word>();

  /**
   * Records a response of a server; returns whether its limit has changed. A
   * response without a limit ends the limit.
   */
  record(server: NoticingServer, notice: ServerNotice, nowMs: number): boolean {
    const { id, born } = server;
    const { requestsPerSecond } = notice;
    const known = this.#words.get(id);
    if (!known && requestsPerSecond === undefined) return false;
    if (known && known.born > born) return false;
    const word = { born, requestsPerSecond, atMs: nowMs, isUnreported: true };
    this.#words.set(id, word);
    return known?.requestsPerSecond !== requestsPerSecond;
  }

  /** Adds what other routers report, as far as it is newer. */
  merge(reports: readonly NoticeReport[], nowMs: number): void {
    for (const { server, born, requestsPerSecond, ageMs } of reports) {
      const atMs = nowMs - ageMs;
      const known = this.#words.get(server);
      if (known && !isNewer({ born, atMs }, known)) continue;
      if (!known && requestsPerSecond === undefined) continue;
      const word = { born, requestsPerSecond, atMs, isUnreported: false };
      this.#words.set(server, word);
    }
  }

  /** Returns the requests per second that a server takes, if it limits them. */
  getLimit(server: string): number | undefined {
    return this.#words.get(server)?.requestsPerSecond;
  }

  /** Returns what this router has heard itself since the last call. */
  takeReports(nowMs: number): readonly NoticeReport[] {
    const reports: NoticeReport[] = [];
    for (const [server, word] of this.#words) {
      if (!word.isUnreported) continue;
      reports.push(makeReport(server, word, nowMs));
      this.#words.set(server, { ...word, isUnreported: false });
    }
    return reports;
  }

  /** Lists all limits, and those that ended recently. */
  listReports(nowMs: number): readonly NoticeReport[] {
    return [...this.#words]
      .filter(([, word]) =>
        word.requestsPerSecond !== undefined ||
        nowMs - word.atMs < ENDED_LIMIT_REPORT_MS
      )
      .map(([server, word]) => makeReport(server, word, nowMs));
  }

  /**
   * Drops what is no longer needed. `getBorn` returns the start time of a
   * registered server. The entry of a running server may be missing for a while.
   */
  retain(getBorn: (id: string) => number | undefined, nowMs: number): void {
    for (const [id, word] of this.#words) {
      const born = getBorn(id);
      const isReplaced = born !== undefined && born > word.born;
      const isOld = nowMs - word.atMs > MAX_UNKNOWN_AGE_MS;
      if (isReplaced || born === undefined && isOld) this.#words.delete(id);
    }
  }
}

function isNewer(
  a: { born: number; atMs: number },
  b: { born: number; atMs: number },
): boolean {
  return a.born > b.born || a.born === b.born && a.atMs > b.atMs;
}

function makeReport(server: string, word: Word, nowMs: number): NoticeReport {
  const { born, requestsPerSecond, atMs } = word;
  return {
    server,
    born,
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    ageMs: Math.max(0, Math.round(nowMs - atMs)),
  };
}
