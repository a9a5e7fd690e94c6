/** Invariant checks of the simulation. @module */
import {
  type GrantRequest,
  type GroupId,
  type LogEntry,
  type MoveRecord,
  RecordKind,
  Token,
  type UnitId,
} from "@jaytiller/model";
import { ClusterState } from "@jaytiller/state";
import type { Backend, WorkRequest } from "./backend.js";
import type { Scheduler } from "./scheduler.js";

/** A violated invariant, with the time in real ms. */
export class Violation extends Error {
  constructor(readonly invariant: string, text: string) {
    super(`${invariant}: ${text}`);
    this.name = "Violation";
  }
}

interface Execution {
  readonly server: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly text: string;
}

/** Executions that ended longer ago than this cannot overlap a later one. */
const EXECUTION_RETENTION_MS = 8_000;

/**
 * Checks every grant, effect and log record; throws a `Violation` on failure.
 */
export class Checker {
  /** State folded from the log directly, independent of the routers. */
  state = ClusterState.empty;
  readonly #scheduler: Scheduler;
  readonly #trace: (text: string) => void;
  readonly #listBackends: () => readonly Backend[];
  readonly #listHolders: (
    group: GroupId,
  ) => readonly { id: string; token: string }[];
  readonly #executions = new Map<string, Execution[]>();
  readonly #grantTokens = new WeakMap<Backend, Token>();
  readonly #owners = new Map<UnitId, string>();
  /** Last token of each group used to send to a server that does not check. */
  readonly #sendTokens = new Map<GroupId, Token>();
  readonly #terms = new Map<GroupId, number>();

  constructor(options: {
    scheduler: Scheduler;
    trace: (text: string) => void;
    listBackends: () => readonly Backend[];
    listHolders: (group: GroupId) => readonly { id: string; token: string }[];
  }) {
    this.#scheduler = options.scheduler;
    this.#trace = options.trace;
    this.#listBackends = options.listBackends;
    this.#listHolders = options.listHolders;
  }

  get now(): number {
    return this.#scheduler.now;
  }

  /**
   * Checks an accepted grant: no other server may hold a lease on its units.
   */
  checkGrant(backend: Backend, request: GrantRequest): void {
    const token = Token.parse(request.token)!;
    const last = this.#grantTokens.get(backend);
    if (last && last.compare(token) > 0) {
      throw new Violation("token order", `${last} then ${token}`);
    }
    this.#grantTokens.set(backend, token);
    const same = this.#listHolders(request.group)
      .filter((h) => h.token === request.token);
    if (same.length > 1) {
      const ids = same.map((h) => h.id).join(" and ");
      throw new Violation("one holder per token", `${ids} hold ${token}`);
    }
    const { units, endsAt } = backend.getLease();
    if (endsAt <= this.now) return;
    for (const other of this.#listBackends()) {
      if (other === backend) continue;
      const lease = other.getLease();
      if (lease.endsAt <= this.now) continue;
      const shared = [...units].find((u) => lease.units.has(u));
      if (shared === undefined) continue;
      throw new Violation(
        "one lease per unit",
        `${backend.process.id} is granted ${shared} with ${token} by ` +
          `${request.holder}, while ${other.process.id} holds it for ` +
          `${(lease.endsAt - this.now).toFixed(1)} ms more`,
      );
    }
  }

  /**
   * Checks a request to a server that does not check ownership: no holder with
   * a higher token may have sent one before.
   */
  checkSend(group: GroupId, token: Token): void {
    const last = this.#sendTokens.get(group);
    if (last && last.compare(token) > 0) {
      throw new Violation("one sender", `${group}: ${last} then ${token}`);
    }
    this.#sendTokens.set(group, token);
  }

  /**
   * Checks an effect: no other server may have run its unit or key meanwhile.
   */
  checkEffect(
    backend: Backend,
    { work, startedAt }: { work: WorkRequest; startedAt: number },
  ): void {
    const execution: Execution = {
      server: backend.process.id,
      startedAt,
      endedAt: this.now,
      text: `${work.id} (key ${work.key}, unit ${work.unit}, token ` +
        `${work.token}) on ${backend.process.id} from ` +
        `${startedAt.toFixed(1)} to ${this.now.toFixed(1)}`,
    };
    for (const subject of [work.unit, `key ${work.key}`]) {
      const known = this.#executions.get(subject) ?? [];
      const kept = known.filter((e) =>
        e.endedAt > this.now - EXECUTION_RETENTION_MS
      );
      const other = kept.find((e) =>
        e.server !== execution.server && e.endedAt > startedAt
      );
      if (other) {
        throw new Violation(
          "one server at a time",
          `${other.text} and ${execution.text}`,
        );
      }
      kept.push(execution);
      this.#executions.set(subject, kept);
    }
  }

  /** Applies a log entry and checks claim terms and successive owners. */
  checkEntry(entry: LogEntry): void {
    const { state, effect } = this.state.apply(entry);
    this.state = state;
    const { record, offset } = entry;
    if (record.kind === RecordKind.Claim) {
      const outcome = effect.applied ? "in force" : "without effect";
      this.#trace(`log ${offset}: claim by ${record.node}, ${outcome}`);
      if (!effect.applied) return;
      const term = this.#terms.get(record.group) ?? -1;
      if (record.supersedes !== term) {
        throw new Violation("one claim per term", `term ${term} at ${offset}`);
      }
      this.#terms.set(record.group, offset);
    } else if (record.kind === RecordKind.Move) {
      this.#checkMoves(record, entry, effect.moves ?? []);
    } else this.#trace(`log ${offset}: ${record.kind}`);
  }

  #checkMoves(
    record: MoveRecord,
    { offset }: LogEntry,
    applied: MoveRecord["moves"],
  ) {
    const term = Token.parse(record.token)!.term;
    const list = applied.map((m) => `${m.unit} ${m.from}>${m.to}`);
    this.#trace(
      `log ${offset}: move ${record.token} by ${record.node}: ` +
        `${list.join(", ") || "without effect"}`,
    );
    for (const m of applied) {
      if (this.#terms.get(record.group) !== term) {
        throw new Violation("moves under the current term", `${m.unit}`);
      }
      const before = this.#owners.get(m.unit) ?? null;
      // A key split out of its shard comes from the shard's owner and has no
      // recorded owner of its own before.
      const split = before === null && m.unit.startsWith("k:");
      if (!split && before !== m.from) {
        throw new Violation("chain of owners", `${m.unit}: ${before}`);
      }
      this.#owners.set(m.unit, m.to);
    }
  }
}
