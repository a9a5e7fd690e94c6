/**
 * Detects poison requests, which crash the servers that process them.
 *
 * Fault pattern: a request crashes the server process that starts to run it,
 * and its client retries through any router, which sends it to the next server.
 * A single router may observe only one of these crashes. Therefore all routers
 * report to the coordinator, which counts the crashed servers and tells all
 * routers which requests to refuse.
 * @module
 */

/** A server process that ended, or is suspected to have, during a request. */
export interface Crash {
  /** Identifies the request by method, target, key and body. */
  readonly fingerprint: string;
  /** Identifies the server process by server id and start time. */
  readonly life: string;
  /** Whether the server was confirmed down; if not, the crash is suspected. */
  readonly isCertain: boolean;
}

/** A router's observations since its last report. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /** Suspected requests that a server answered; they do not crash servers. */
  readonly answered: readonly string[];
}

/**
 * A server found down this long after a broken exchange counts as crashed, ms.
 */
const SUSPICION_TIMEOUT_MS = 6_000;
const MAX_SUSPICIONS = 256;

interface Suspicion {
  readonly fingerprint: string;
  readonly server: string;
  readonly life: string;
  readonly atMs: number;
}

/** Collects the crashes and answers that one router observes. */
export class CrashDetector {
  #suspicions: Suspicion[] = [];
  #crashes: Crash[] = [];
  #answered: string[] = [];

  get hasSuspects(): boolean {
    return this.#suspicions.length > 0;
  }

  /** Records an exchange that broke before the server answered. */
  recordBroken(suspicion: Suspicion): void {
    const { fingerprint, life } = suspicion;
    this.#suspicions = [...this.#suspicions, suspicion].slice(-MAX_SUSPICIONS);
    this.#crashes.push({ fingerprint, life, isCertain: false });
  }

  /** Records that a server was found to be down or restarted. */
  markDown(server: string, nowMs: number): void {
    const isOnServer = (s: Suspicion) => s.server === server;
    for (const s of this.#suspicions.filter(isOnServer)) {
      if (nowMs - s.atMs > SUSPICION_TIMEOUT_MS) continue;
      const { fingerprint, life } = s;
      this.#crashes.push({ fingerprint, life, isCertain: true });
    }
    this.#suspicions = this.#suspicions.filter((s) => !isOnServer(s));
  }

  /**
   * Records as down the suspected servers that are gone or have restarted.
   * `getBorn` returns the start time of a server's newest known process.
   */
  markRestarted(
    getBorn: (server: string) => number | undefined,
    nowMs: number,
  ) {
    const servers = this.#suspicions
      .filter((s) => s.life !== `${s.server}/${getBorn(s.server)}`)
      .map((s) => s.server);
    for (const server of new Set(servers)) this.markDown(server, nowMs);
  }

  /** Records that a server answered a request; clears its suspicions. */
  markAnswered(fingerprint: string): void {
    const isOtherRequest = (s: Suspicion) => s.fingerprint !== fingerprint;
    if (this.#suspicions.every(isOtherRequest)) return;
    this.#suspicions = this.#suspicions.filter(isOtherRequest);
    this.#answered.push(fingerprint);
  }

  /** Drops expired suspicions; returns the observations since the last call. */
  takeReport(nowMs: number): CrashReport {
    this.#suspicions = this.#suspicions
      .filter((s) => nowMs - s.atMs <= SUSPICION_TIMEOUT_MS);
    const report = { crashes: this.#crashes, answered: this.#answered };
    [this.#crashes, this.#answered] = [[], []];
    return report;
  }
}

/** A request is refused after it may have crashed this many servers. */
const MIN_CRASHES = 3;
/** Number of these that must be confirmed down. */
const MIN_CONFIRMED_CRASHES = 2;
/** Time for which a request is refused after its last crash, ms. */
const POISON_EXPIRY_MS = 120_000;

interface CrashRecord {
  /** Server processes that the request crashed or may have crashed. */
  readonly incarnations: Set<string>;
  readonly confirmed: Set<string>;
  atMs: number;
}

/** Aggregates the reports of all routers at the coordinator. */
export class PoisonRequestTracker {
  readonly #records = new Map<string, CrashRecord>();

  add(report: CrashReport, nowMs: number): void {
    for (const fingerprint of report.answered) {
      this.#records.delete(fingerprint);
    }
    for (const { fingerprint, life, isCertain } of report.crashes) {
      const record = this.#getRecord(fingerprint);
      record.incarnations.add(life);
      if (isCertain) record.confirmed.add(life);
      record.atMs = nowMs;
    }
  }

  /** Returns the fingerprints of the requests to refuse. */
  listPoisonRequests(nowMs: number): readonly string[] {
    for (const [fingerprint, { atMs }] of this.#records) {
      if (nowMs - atMs > POISON_EXPIRY_MS) this.#records.delete(fingerprint);
    }
    return [...this.#records]
      .filter(([, r]) =>
        r.incarnations.size >= MIN_CRASHES &&
        r.confirmed.size >= MIN_CONFIRMED_CRASHES
      )
      .map(([fingerprint]) => fingerprint);
  }

  #getRecord(fingerprint: string): CrashRecord {
    const known = this.#records.get(fingerprint);
    if (known) return known;
    const record = {
      incarnations: new Set<string>(),
      confirmed: new Set<string>(),
      atMs: 0,
    };
    this.#records.set(fingerprint, record);
    return record;
  }
}
