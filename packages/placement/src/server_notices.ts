/**
 * What servers have said about themselves, and how old it is.
 *
 * Load pattern: a server in need names the requests per second that it takes
 * from all routers together, for as long as it says so. A server that leaves
 * says so until its process ends, also while it cannot reach the store. Each
 * router gets some of its responses only, so routers exchange the notices, and
 * the newest one counts.
 * @module
 */
import type { ServerNotice } from "./server_notice.js";

/** A run of a server's process. */
export interface NoticeSender {
  readonly id: string;
  /** Start time of its process, Unix ms. */
  readonly born: number;
}

/** A notice of a server as routers report it to each other. */
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
/** Age from which the notice of a server that is not registered is dropped, ms. */
const MAX_UNKNOWN_AGE_MS = 60_000;

interface KnownNotice {
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

/** The newest notice of each server that has a limit, had one, or leaves. */
export class ServerNotices {
  readonly #known = new Map<string, KnownNotice>();
  readonly #pauses = new Map<string, Pause>();

  /** Records a response of a server. One without a limit ends the limit. */
  record(
    server: NoticeSender,
    notice: ServerNotice,
    nowMs: number,
  ): NoticeChange {
    const { id, born } = server;
    const { requestsPerSecond, isLeaving } = notice;
    const known = this.#known.get(id);
    const isSilent = requestsPerSecond === undefined && !isLeaving;
    if (!known && isSilent || known && known.born > born) return NO_CHANGE;
    const earlier = known?.born === born ? known : undefined;
    const leavingSinceMs = earlier?.leavingSinceMs ??
      (isLeaving ? nowMs : undefined);
    const current = { born, requestsPerSecond, leavingSinceMs, atMs: nowMs };
    this.#known.set(id, { ...current, isUnreported: true });
    return {
      isLimitChanged: earlier?.requestsPerSecond !== requestsPerSecond,
      isLeavingNew: earlier?.leavingSinceMs !== leavingSinceMs,
    };
  }

  /** Records that a server wants nothing from this router for `pauseMs`. */
  recordPause(
    { id, born }: NoticeSender,
    { pauseMs, nowMs }: { pauseMs: number; nowMs: number },
  ): void {
    const known = this.#pauses.get(id);
    const knownEndMs = known?.born === born ? known.endMs : -Infinity;
    const endMs = Math.max(knownEndMs, nowMs + pauseMs);
    this.#pauses.set(id, { born, endMs });
  }

  /** Returns how long a server still wants nothing from this router, ms. */
  getPauseMs({ id, born }: NoticeSender, nowMs: number): number {
    const pause = this.#pauses.get(id);
    return pause?.born === born ? Math.max(0, pause.endMs - nowMs) : 0;
  }

  /** Adds what other routers report, as far as it is newer. */
  merge(reports: readonly NoticeReport[], nowMs: number): void {
    for (const report of reports) {
      const known = this.#known.get(report.server);
      const merged = mergeNotices(known, makeKnownNotice(report, nowMs));
      const isEmpty = merged.requestsPerSecond === undefined &&
        merged.leavingSinceMs === undefined;
      if (known || !isEmpty) this.#known.set(report.server, merged);
    }
  }

  /** Returns the requests per second that a server takes, if it limits them. */
  getLimit(server: string): number | undefined {
    return this.#known.get(server)?.requestsPerSecond;
  }

  /** Time since the newest notice of a server, ms; absent without one. */
  getAgeMs(server: string, nowMs: number): number | undefined {
    const notice = this.#known.get(server);
    return notice && nowMs - notice.atMs;
  }

  /**
   * Returns how long ago a server first said that it leaves, ms, or `undefined`
   * if it has not.
   */
  getLeavingMs(server: NoticeSender, nowMs: number): number | undefined {
    const notice = this.#known.get(server.id);
    return notice?.leavingSinceMs === undefined || notice.born !== server.born
      ? undefined
      : nowMs - notice.leavingSinceMs;
  }

  isLeaving(server: NoticeSender): boolean {
    return this.getLeavingMs(server, 0) !== undefined;
  }

  /** Lists the ids of all servers that leave. */
  listLeaving(): readonly string[] {
    return [...this.#known]
      .filter(([, notice]) => notice.leavingSinceMs !== undefined)
      .map(([id]) => id);
  }

  /** Makes the next report complete, for a coordinator that may know nothing. */
  reportAgain(): void {
    for (const [server, notice] of this.#known) {
      this.#known.set(server, { ...notice, isUnreported: true });
    }
  }

  /**
   * Returns what this router has heard itself since the last call, or all that
   * it knows after `reportAgain`.
   */
  takeReports(nowMs: number): readonly NoticeReport[] {
    const reports: NoticeReport[] = [];
    for (const [server, notice] of this.#known) {
      if (!notice.isUnreported) continue;
      reports.push(makeReport(server, notice, nowMs));
      this.#known.set(server, { ...notice, isUnreported: false });
    }
    return reports;
  }

  /** Lists the servers that leave, all limits, and those that ended recently. */
  listReports(nowMs: number): readonly NoticeReport[] {
    return [...this.#known]
      .filter(([, notice]) =>
        notice.requestsPerSecond !== undefined ||
        notice.leavingSinceMs !== undefined ||
        nowMs - notice.atMs < ENDED_LIMIT_REPORT_MS
      )
      .map(([server, notice]) => makeReport(server, notice, nowMs));
  }

  /**
   * Drops what is no longer needed. `getBorn` returns the start time of a
   * registered server. The entry of a running server may be missing for a while.
   */
  retain(getBorn: (id: string) => number | undefined, nowMs: number): void {
    for (const [id, notice] of this.#known) {
      const born = getBorn(id);
      const isReplaced = born !== undefined && born > notice.born;
      const isOld = nowMs - notice.atMs > MAX_UNKNOWN_AGE_MS;
      if (isReplaced || born === undefined && isOld) this.#known.delete(id);
    }
    for (const [id, { endMs }] of this.#pauses) {
      if (endMs < nowMs) this.#pauses.delete(id);
    }
  }
}

const NO_CHANGE: NoticeChange = { isLimitChanged: false, isLeavingNew: false };

/** Returns the newer notice, and the earlier time at which a process leaves. */
function mergeNotices(
  known: KnownNotice | undefined,
  reported: KnownNotice,
): KnownNotice {
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

function makeKnownNotice(report: NoticeReport, nowMs: number): KnownNotice {
  const { born, requestsPerSecond, ageMs, leavingMs } = report;
  return {
    born,
    requestsPerSecond,
    atMs: nowMs - ageMs,
    leavingSinceMs: leavingMs === undefined ? undefined : nowMs - leavingMs,
    isUnreported: false,
  };
}

function makeReport(
  server: string,
  notice: KnownNotice,
  nowMs: number,
): NoticeReport {
  const { born, requestsPerSecond, atMs, leavingSinceMs } = notice;
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
