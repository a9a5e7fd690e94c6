/**
 * What servers have said about themselves, and how old it is.
 *
 * Load pattern: a server in need names the requests per second that it takes
 * from all routers together, for as long as it says so. A server that leaves
 * says so until its process ends, also while it cannot reach the store. Each
 * router hears some of its responses only, so routers exchange what they heard;
 * the newest word counts.
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
  /** Time since it first said that it leaves, ms; absent if it has not. */
  readonly leavingMs?: number;
}

/** Time for which the end of a limit is reported, ms. */
const ENDED_LIMIT_REPORT_MS = 5_000;
/** Age from which the word of a server that is not registered is dropped, ms. */
const MAX_UNKNOWN_AGE_MS = 60_000;

interface Word {
  readonly born: number;
  readonly requestsPerSecond: number | undefined;
  readonly atMs: number;
  /** Time at which the server first said that it leaves, ms. */
  readonly leavingSinceMs: number | undefined;
  /** Whether the coordinator has to be told. */
  readonly isUnreported: boolean;
}

/** A pause that a server has asked this router for. */
interface Pause {
  readonly born: number;
  readonly endMs: number;
}

/** What a response of a server has changed. */
export interface NoticeChange {
  readonly isLimitChanged: boolean;
  readonly isLeavingNew: boolean;
}

/** The newest word of each server that has a limit, had one, or leaves. */
export class ServerNotices {
  readonly #words = new Map<string, Word>();
  readonly #pauses = new Map<string, Pause>();

  /** Records a response of a server. One without a limit ends the limit. */
  record(
    server: NoticingServer,
    notice: ServerNotice,
    nowMs: number,
  ): NoticeChange {
    const { id, born } = server;
    const { requestsPerSecond, isLeaving } = notice;
    const known = this.#words.get(id);
    const isSilent = requestsPerSecond === undefined && !isLeaving;
    if (!known && isSilent || known && known.born > born) return NO_CHANGE;
    const earlier = known?.born === born ? known : undefined;
    const leavingSinceMs = earlier?.leavingSinceMs ??
      (isLeaving ? nowMs : undefined);
    const word = { born, requestsPerSecond, leavingSinceMs, atMs: nowMs };
    this.#words.set(id, { ...word, isUnreported: true });
    return {
      isLimitChanged: earlier?.requestsPerSecond !== requestsPerSecond,
      isLeavingNew: earlier?.leavingSinceMs !== leavingSinceMs,
    };
  }

  /** Records that a server wants nothing from this router for `pauseMs`. */
  recordPause(
    { id, born }: NoticingServer,
    { pauseMs, nowMs }: { pauseMs: number; nowMs: number },
  ): void {
    const known = this.#pauses.get(id);
    const knownEndMs = known?.born === born ? known.endMs : -Infinity;
    const endMs = Math.max(knownEndMs, nowMs + pauseMs);
    this.#pauses.set(id, { born, endMs });
  }

  /** Returns how long a server still wants nothing from this router, ms. */
  getPauseMs({ id, born }: NoticingServer, nowMs: number): number {
    const pause = this.#pauses.get(id);
    return pause?.born === born ? Math.max(0, pause.endMs - nowMs) : 0;
  }

  /** Adds what other routers report, as far as it is newer. */
  merge(reports: readonly NoticeReport[], nowMs: number): void {
    for (const report of reports) {
      const known = this.#words.get(report.server);
      const word = mergeWords(known, makeWord(report, nowMs));
      const isEmpty = word.requestsPerSecond === undefined &&
        word.leavingSinceMs === undefined;
      if (known || !isEmpty) this.#words.set(report.server, word);
    }
  }

  /** Returns the requests per second that a server takes, if it limits them. */
  getLimit(server: string): number | undefined {
    return this.#words.get(server)?.requestsPerSecond;
  }

  /**
   * Returns how long ago a server first said that it leaves, ms, or `undefined`
   * if it has not.
   */
  getLeavingMs(server: NoticingServer, nowMs: number): number | undefined {
    const word = this.#words.get(server.id);
    return word?.leavingSinceMs === undefined || word.born !== server.born
      ? undefined
      : nowMs - word.leavingSinceMs;
  }

  isLeaving(server: NoticingServer): boolean {
    return this.getLeavingMs(server, 0) !== undefined;
  }

  /** Lists the ids of all servers that leave. */
  listLeaving(): readonly string[] {
    return [...this.#words]
      .filter(([, word]) => word.leavingSinceMs !== undefined)
      .map(([id]) => id);
  }

  /** Makes the next report complete, for a coordinator that may know nothing. */
  reportAgain(): void {
    for (const [server, word] of this.#words) {
      this.#words.set(server, { ...word, isUnreported: true });
    }
  }

  /**
   * Returns what this router has heard itself since the last call, or all that
   * it knows after `reportAgain`.
   */
  takeReports(nowMs: number): readonly NoticeReport[] {
    const reports: NoticeReport[] = [];
    for (const [server, word] of this.#words) {
      if (!word.isUnreported) continue;
      reports.push(makeReport(server, word, nowMs));
      this.#words.set(server, { ...word, isUnreported: false });
    }
    return reports;
  }

  /** Lists the servers that leave, all limits, and those that ended recently. */
  listReports(nowMs: number): readonly NoticeReport[] {
    return [...this.#words]
      .filter(([, word]) =>
        word.requestsPerSecond !== undefined ||
        word.leavingSinceMs !== undefined ||
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
    for (const [id, { endMs }] of this.#pauses) {
      if (endMs < nowMs) this.#pauses.delete(id);
    }
  }
}

const NO_CHANGE: NoticeChange = { isLimitChanged: false, isLeavingNew: false };

/** Returns the newer word, and the earlier time at which a process leaves. */
function mergeWords(known: Word | undefined, reported: Word): Word {
  if (!known || reported.born > known.born) return reported;
  if (reported.born < known.born) return known;
  const newer = reported.atMs > known.atMs ? reported : known;
  const knownMs = known.leavingSinceMs ?? Infinity;
  const reportedMs = reported.leavingSinceMs ?? Infinity;
  const leavingSinceMs = Math.min(knownMs, reportedMs);
  return {
    ...newer,
    leavingSinceMs: leavingSinceMs === Infinity ? undefined : leavingSinceMs,
    isUnreported: known.isUnreported &&
      (newer === known || knownMs < reportedMs),
  };
}

function makeWord(report: NoticeReport, nowMs: number): Word {
  const { born, requestsPerSecond, ageMs, leavingMs } = report;
  return {
    born,
    requestsPerSecond,
    atMs: nowMs - ageMs,
    leavingSinceMs: leavingMs === undefined ? undefined : nowMs - leavingMs,
    isUnreported: false,
  };
}

function makeReport(server: string, word: Word, nowMs: number): NoticeReport {
  const { born, requestsPerSecond, atMs, leavingSinceMs } = word;
  const computeAge = (ms: number) => Math.max(0, Math.round(nowMs - ms));
  return {
    server,
    born,
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    ageMs: computeAge(atMs),
    ...(leavingSinceMs === undefined
      ? {}
      : { leavingMs: computeAge(leavingSinceMs) }),
  };
}
