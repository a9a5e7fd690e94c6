/**
 * Finds requests that crash the servers that run them.
 *
 * Fault pattern: a request ends the process that begins to run it, and its
 * client sends it again, through any router, to the next server. One router
 * may see one crash only, so routers report what they see to the coordinator,
 * which counts the servers and tells all routers what to refuse.
 * @module
 */

/** A server life that ended while it ran a request. */
export interface Crash {
  /** Identifies the request: same method, target, key and body. */
  readonly fingerprint: string;
  /** Identifies the life of the server: id and start. */
  readonly life: string;
  /** Whether the server was found to be down; otherwise only suspected. */
  readonly isCertain: boolean;
}

/** What a router has seen since its last report. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /** Suspects that a server has answered: they crash nobody. */
  readonly answered: readonly string[];
}

/** A broken exchange may be followed by news of its server for so long, ms. */
const SUSPICION_MS = 6_000;
const MAX_SUSPECTS = 256;

interface Suspicion {
  readonly fingerprint: string;
  readonly server: string;
  readonly life: string;
  readonly atMs: number;
}

/** What one router has seen. */
export class CrashWatch {
  #suspicions: Suspicion[] = [];
  #crashes: Crash[] = [];
  #answered: string[] = [];

  get hasSuspects(): boolean {
    return this.#suspicions.length > 0;
  }

  /** An exchange broke before the server had answered. */
  noteBroken(suspicion: Suspicion): void {
    const { fingerprint, life } = suspicion;
    this.#suspicions = [...this.#suspicions, suspicion].slice(-MAX_SUSPECTS);
    this.#crashes.push({ fingerprint, life, isCertain: false });
  }

  /** A server was found to be down, or to have started anew. */
  noteDown(server: string, nowMs: number): void {
    const isOver = (s: Suspicion) => s.server === server;
    for (const s of this.#suspicions.filter(isOver)) {
      if (nowMs - s.atMs > SUSPICION_MS) continue;
      const { fingerprint, life } = s;
      this.#crashes.push({ fingerprint, life, isCertain: true });
    }
    this.#suspicions = this.#suspicions.filter((s) => !isOver(s));
  }

  /** Servers that are gone, or live anew, were down; `getBorn` of the newest. */
  noteViewed(getBorn: (server: string) => number | undefined, nowMs: number) {
    const servers = this.#suspicions
      .filter((s) => s.life !== `${s.server}/${getBorn(s.server)}`)
      .map((s) => s.server);
    for (const server of new Set(servers)) this.noteDown(server, nowMs);
  }

  /** A server has answered the request. */
  noteAnswered(fingerprint: string): void {
    const isOther = (s: Suspicion) => s.fingerprint !== fingerprint;
    if (this.#suspicions.every(isOther)) return;
    this.#suspicions = this.#suspicions.filter(isOther);
    this.#answered.push(fingerprint);
  }

  /** Forgets old suspicions; returns what is news. */
  takeReport(nowMs: number): CrashReport {
    this.#suspicions = this.#suspicions
      .filter((s) => nowMs - s.atMs <= SUSPICION_MS);
    const report = { crashes: this.#crashes, answered: this.#answered };
    [this.#crashes, this.#answered] = [[], []];
    return report;
  }
}

/** Servers that a request may crash before it is refused. */
const MAX_CRASHES = 3;
/** Of these, servers that were certainly found to be down. */
const MIN_CERTAIN = 2;
/** A request is refused for this long after its last crash, ms. */
const BAR_MS = 120_000;

interface CrashRecord {
  readonly lives: Set<string>;
  readonly certain: Set<string>;
  atMs: number;
}

/** What all routers have reported, at the coordinator. */
export class CrashBook {
  readonly #records = new Map<string, CrashRecord>();

  add(report: CrashReport, nowMs: number): void {
    for (const fingerprint of report.answered) {
      this.#records.delete(fingerprint);
    }
    for (const { fingerprint, life, isCertain } of report.crashes) {
      const record = this.#get(fingerprint);
      record.lives.add(life);
      if (isCertain) record.certain.add(life);
      record.atMs = nowMs;
    }
  }

  /** Fingerprints of the requests that are to be refused. */
  listBarred(nowMs: number): readonly string[] {
    for (const [fingerprint, { atMs }] of this.#records) {
      if (nowMs - atMs > BAR_MS) this.#records.delete(fingerprint);
    }
    return [...this.#records]
      .filter(([, r]) =>
        r.lives.size >= MAX_CRASHES && r.certain.size >= MIN_CERTAIN
      )
      .map(([fingerprint]) => fingerprint);
  }

  #get(fingerprint: string): CrashRecord {
    const known = this.#records.get(fingerprint);
    if (known) return known;
    const record = {
      lives: new Set<string>(),
      certain: new Set<string>(),
      atMs: 0,
    };
    this.#records.set(fingerprint, record);
    return record;
  }
}
