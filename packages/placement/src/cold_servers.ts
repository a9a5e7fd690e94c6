/**
 * Evidence that servers are cold.
 *
 * Load pattern: a server is cold for a while after each start. Its entry and its
 * responses say for how long. Between a restart under the same id and the next
 * entry nobody knows, so a server that refused or reset a connection counts as
 * cold for as long as a start takes. Routers report this to each other, because
 * those without a request there at that time would send on.
 *
 * A cut link looks the same to the routers beyond it. So a report counts only
 * until this router has heard from the server itself, in a way that a restarted
 * server could not have caused, and for a limited time.
 * @module
 */
import type { NoticeSender } from "./server_notices.js";

/** What the entry of a server says. */
export interface ColdEntry extends NoticeSender {
  /** Time for which it stays cold, ms; absent if it is warm. */
  readonly coldMs?: number;
}

/**
 * Time for which a server that refused a connection may start unnoticed, ms. By
 * then its entry has expired, after three missed heartbeats, or was replaced. A
 * link that is cut refuses connections as well, and says nothing of the server.
 */
const MAX_UNNOTICED_START_MS = 5_000;

/**
 * Time between two responses in which no server restarts, ms. A stop and a start
 * of a process together take longer.
 */
const MIN_RESTART_MS = 500;
/** Time after a restart by which the entry of the next process is known, ms. */
const MAX_ENTRY_DELAY_MS = 1_500;
/** Time for which a report is passed on, ms: some three heartbeats. */
const REPORT_LIFE_MS = 1_500;
/** Time without reports after which a further one is of another restart, ms. */
const REPORT_GAP_MS = MAX_UNNOTICED_START_MS;

/** Why a server counts as cold. */
export enum ColdCause {
  /** Its entry in the store. */
  Entry = "entry",
  /** One of its responses. */
  Response = "response",
  /** It reset a connection, or responded after it refused one. */
  Restart = "restart",
  /** It refused a connection. */
  Refusal = "refusal",
  /** Another router reported one of these. */
  Report = "report",
}

/** A refused or reset connection, which may be due to a restart. */
export interface RestartReport extends NoticeSender {
  /** Time since then, ms. */
  readonly ageMs: number;
}

/** Reports of what may be the same restart. */
interface Suspicion {
  readonly firstMs: number;
  lastMs: number;
  /** Whether this router knows that there was no restart. */
  isRefuted: boolean;
}

/** What is known of one run of a server. */
interface ColdFacts {
  readonly born: number;
  /** The last entry, which is counted once. */
  entry?: ColdEntry;
  entryEndMs: number;
  responseEndMs: number;
  /** Time of a refused connection, while there is no response since. */
  refusedMs: number | undefined;
  /** Time from which it may have started, ms. */
  startedMs: number;
  /** Time of its last response. */
  respondedMs: number;
  /** Time of the first response since the last gap of `MIN_RESTART_MS`. */
  contactMs: number;
  suspicion: Suspicion | undefined;
  /** Time of the last own observation that is not reported yet, ms. */
  unreportedMs: number | undefined;
  /** Time of the last observation of any router, ms. */
  observedMs: number;
}

/** Evidence of this router, by server. Times count from when it was heard. */
export class ColdServers {
  readonly #facts = new Map<string, ColdFacts>();
  #reported = 0;
  #suspected = 0;
  #refuted = 0;

  /**
   * Numbers of reports sent, of restarts suspected because of reports of other
   * routers, and of those that were refuted.
   */
  get counts(): { reported: number; suspected: number; refuted: number } {
    return {
      reported: this.#reported,
      suspected: this.#suspected,
      refuted: this.#refuted,
    };
  }

  /** Records entries. One that was recorded before is not counted again. */
  recordEntries(entries: readonly ColdEntry[], nowMs: number): void {
    for (const entry of entries) {
      const coldMs = entry.coldMs ?? 0;
      if (this.#facts.get(entry.id)?.entry === entry) continue;
      const facts = this.#find(entry);
      if (!facts) continue;
      facts.entry = entry;
      facts.entryEndMs = nowMs + coldMs;
      // What the entry says is newer than a report of a restart under its id.
      if (coldMs > 0) facts.refusedMs = facts.suspicion = undefined;
    }
  }

  /** Records a response of a server, which says for how long it stays cold. */
  recordResponse(
    server: NoticeSender,
    { coldMs, nowMs }: { coldMs: number; nowMs: number },
  ): void {
    const facts = this.#find(server);
    if (!facts) return this.#recordLaterRun(server, nowMs + coldMs);
    if (nowMs - facts.respondedMs >= MIN_RESTART_MS) facts.contactMs = nowMs;
    facts.respondedMs = nowMs;
    if (refuteSuspicion(facts)) this.#refuted += 1;
    facts.responseEndMs = Math.max(facts.responseEndMs, nowMs + coldMs);
    if (facts.refusedMs === undefined) return;
    facts.refusedMs = undefined;
    facts.startedMs = nowMs;
  }

  /**
   * Records a response while only the entry of an earlier run is here. It may be
   * of the later one: a cold period counts, and nothing else does.
   */
  #recordLaterRun({ id }: NoticeSender, endMs: number): void {
    const later = this.#facts.get(id);
    if (later) later.responseEndMs = Math.max(later.responseEndMs, endMs);
  }

  /** Records that a server has refused a connection. */
  recordRefusal(server: NoticeSender, nowMs: number): void {
    const facts = this.#find(server);
    if (!facts) return;
    facts.refusedMs = nowMs;
    facts.unreportedMs = facts.observedMs = nowMs;
  }

  /** Records that a server has reset a connection. */
  recordReset(server: NoticeSender, nowMs: number): void {
    const facts = this.#find(server);
    if (!facts) return;
    facts.startedMs = nowMs;
    facts.unreportedMs = facts.observedMs = nowMs;
  }

  /** Records what other routers have observed. */
  recordReports(reports: readonly RestartReport[], nowMs: number): void {
    for (const report of reports) {
      const facts = this.#find(report);
      const atMs = nowMs - report.ageMs;
      if (!facts || report.ageMs >= MAX_UNNOTICED_START_MS) continue;
      facts.observedMs = Math.max(facts.observedMs, atMs);
      const known = facts.suspicion;
      if (known && atMs - known.lastMs < REPORT_GAP_MS) {
        known.lastMs = Math.max(known.lastMs, atMs);
      } else {
        facts.suspicion = { firstMs: atMs, lastMs: atMs, isRefuted: false };
        this.#suspected += 1;
      }
      if (refuteSuspicion(facts)) this.#refuted += 1;
    }
  }

  /** Returns this router's own observations since the last call. */
  takeReports(nowMs: number): readonly RestartReport[] {
    const reports: RestartReport[] = [];
    for (const [id, facts] of this.#facts) {
      const { born, unreportedMs } = facts;
      if (unreportedMs === undefined) continue;
      facts.unreportedMs = undefined;
      this.#reported += 1;
      reports.push({ id, born, ageMs: nowMs - unreportedMs });
    }
    return reports;
  }

  /** Lists the recent observations of all routers, the newest first. */
  listReports(nowMs: number): readonly RestartReport[] {
    return [...this.#facts]
      .map(([id, { born, observedMs }]) => ({
        id,
        born,
        ageMs: nowMs - observedMs,
      }))
      .filter(({ ageMs }) => ageMs < REPORT_LIFE_MS)
      .sort((a, b) => a.ageMs - b.ageMs);
  }

  /**
   * Returns for how long a server still counts as cold, ms; 0 if it is warm.
   * `startMs` is the time for which servers are cold after a start. What is
   * known of a later run counts before its entry is here, as requests already
   * reach that run.
   */
  computeColdMs(
    { id }: NoticeSender,
    { nowMs, startMs, ignoresReports = false }: {
      nowMs: number;
      startMs: number;
      /** Whether what other routers report does not count. */
      ignoresReports?: boolean;
    },
  ): number {
    const facts = this.#facts.get(id);
    if (!facts) return 0;
    const suspectEndMs = Math.max(
      computeRefusalEnd(facts),
      ignoresReports ? -Infinity : computeReportEnd(facts),
    );
    const endMs = Math.max(
      facts.entryEndMs,
      facts.responseEndMs,
      facts.startedMs + startMs,
      startMs === 0 ? -Infinity : suspectEndMs,
    );
    return Math.max(0, endMs - nowMs);
  }

  /** Returns what makes a server cold the longest, for the log. */
  findCause(
    { id }: NoticeSender,
    { nowMs, startMs }: { nowMs: number; startMs: number },
  ): ColdCause | undefined {
    const facts = this.#facts.get(id);
    if (!facts) return undefined;
    const ends: readonly (readonly [ColdCause, number])[] = [
      [ColdCause.Entry, facts.entryEndMs],
      [ColdCause.Response, facts.responseEndMs],
      [ColdCause.Restart, facts.startedMs + startMs],
      // A service without a cold start has nothing to suspect.
      ...(startMs === 0 ? [] : [
        [ColdCause.Refusal, computeRefusalEnd(facts)],
        [ColdCause.Report, computeReportEnd(facts)],
      ] as const),
    ];
    const [cause, endMs] = ends.reduce((a, b) => b[1] > a[1] ? b : a);
    return endMs > nowMs ? cause : undefined;
  }

  /** Forgets servers that are gone. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#facts.keys()) {
      if (!isKnown(id)) this.#facts.delete(id);
    }
  }

  /** Returns the facts of a run, or `undefined` if a later one is known. */
  #find({ id, born }: NoticeSender): ColdFacts | undefined {
    const known = this.#facts.get(id);
    if (known?.born === born) return known;
    if (known && known.born > born) return undefined;
    const facts: ColdFacts = {
      born,
      entryEndMs: -Infinity,
      responseEndMs: -Infinity,
      refusedMs: undefined,
      startedMs: -Infinity,
      respondedMs: -Infinity,
      contactMs: Infinity,
      suspicion: undefined,
      unreportedMs: undefined,
      observedMs: -Infinity,
    };
    this.#facts.set(id, facts);
    return facts;
  }
}

function computeRefusalEnd({ refusedMs = -Infinity }: ColdFacts): number {
  return refusedMs + MAX_UNNOTICED_START_MS;
}

function computeReportEnd({ suspicion }: ColdFacts): number {
  if (!suspicion || suspicion.isRefuted) return -Infinity;
  return suspicion.firstMs + MAX_UNNOTICED_START_MS;
}

/**
 * Ends a suspicion that a response to this router contradicts: one of a server
 * that has responded all the time, or one so late that the entry of a restarted
 * server would be here. Returns whether it did.
 */
function refuteSuspicion(
  { suspicion, respondedMs, contactMs }: ColdFacts,
): boolean {
  const isOpen = suspicion !== undefined && !suspicion.isRefuted;
  if (!isOpen || respondedMs < suspicion.lastMs) return false;
  const wasInContact = contactMs <= suspicion.firstMs;
  const isLate = respondedMs >= suspicion.lastMs + MAX_ENTRY_DELAY_MS;
  suspicion.isRefuted = wasInContact || isLate;
  return suspicion.isRefuted;
}
