/**
 * Checks executions and answers against the correctness requirements.
 * @module
 */
import { type ExecutionRecord, Outcome, Reason } from "@jaytiller/model";
import type { Attempt } from "./caller.js";

/** Execution record of a request that took effect. */
export type Effect = ExecutionRecord & { readonly effectMs: number };

/** Number of identities by outcome, and the violations found. */
export interface AtMostOnceReport {
  /** Identities with at least one complete answer. */
  readonly answered: number;
  /** Identities whose attempts were all refused. */
  readonly refused: number;
  /** All other identities. */
  readonly unknown: number;
  /** Identities with an unknown outcome that took effect. */
  readonly unknownWithEffect: number;
  readonly violations: readonly string[];
}

/** Returns the executions that took effect. */
export function listEffects(executions: readonly ExecutionRecord[]): Effect[] {
  return executions.filter((e): e is Effect => e.effectMs !== null);
}

function groupBy<T>(
  items: readonly T[],
  readKey: (item: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = readKey(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

/** Returns whether the caller received the complete answer of an execution. */
export function isAnswered(attempt: Attempt): boolean {
  return attempt.outcome === Outcome.Answered && attempt.complete;
}

/**
 * Returns whether the caller was told that the request did not and will not
 * run.
 */
export function isRefused(attempt: Attempt): boolean {
  return attempt.outcome === Outcome.Refused;
}

/**
 * Returns how an answer contradicts the effects of its identity, if it does.
 */
function checkAnswer(
  attempt: Attempt,
  effects: readonly Effect[],
): string | undefined {
  if (effects.length !== 1) {
    return `answered, but it took effect ${effects.length} times`;
  }
  if (attempt.reason === Reason.AnswerNotKept) return undefined;
  if (attempt.status !== 200) return `answered with status ${attempt.status}`;
  const effect = effects[0]!;
  const body = JSON.parse(attempt.body ?? "{}") as Record<string, unknown>;
  const expected: Record<string, unknown> = {
    identity: attempt.identity,
    key: attempt.key,
    service: attempt.service,
    server: effect.server,
    requestId: effect.requestId,
    effectMs: effect.effectMs,
    bodyDigest: effect.bodyDigest,
  };
  const wrong = Object.keys(expected).filter((k) => body[k] !== expected[k]);
  if (wrong.length === 0) return undefined;
  return `the answer differs from the execution in ${wrong.join(", ")}`;
}

/**
 * Checks non-idempotent requests: at most one effect per identity, none if all
 * attempts were refused, and exactly one, which matches the body, if answered.
 */
export function checkAtMostOnce(
  executions: readonly ExecutionRecord[],
  attempts: readonly Attempt[],
): AtMostOnceReport {
  const effects = groupBy(listEffects(executions), (e) => e.identity ?? "");
  const violations: string[] = [];
  const count = { answered: 0, refused: 0, unknown: 0, unknownWithEffect: 0 };
  for (const [identity, ownAttempts] of groupBy(attempts, (a) => a.identity)) {
    const ownEffects = effects.get(identity) ?? [];
    const add = (text: string) =>
      violations.push(
        `${identity}: ${text}; ${describeIdentity(ownEffects, ownAttempts)}`,
      );
    if (ownEffects.length > 1) add(`took effect ${ownEffects.length} times`);
    const answers = ownAttempts.filter(isAnswered);
    if (answers.length > 0) {
      count.answered += 1;
      for (const answer of answers) {
        const wrong = checkAnswer(answer, ownEffects);
        if (wrong) add(wrong);
      }
    } else if (ownAttempts.every(isRefused)) {
      count.refused += 1;
      if (ownEffects.length > 0) add("refused, but it took effect");
    } else {
      count.unknown += 1;
      if (ownEffects.length > 0) count.unknownWithEffect += 1;
    }
  }
  return { ...count, violations };
}

function describeIdentity(
  effects: readonly Effect[],
  attempts: readonly Attempt[],
): string {
  const runs = effects.map((e) =>
    `${e.server} unit ${e.unit} token ${e.token} at ${e.effectMs.toFixed(1)}`
  );
  const results = attempts.map((a) =>
    `${a.entryUrl} ${a.outcome ?? a.error} ${a.reason ?? ""} ` +
    `${a.sentMs.toFixed(1)}-${a.endMs.toFixed(1)}`
  );
  return `effects: ${runs.join(", ")}; told: ${results.join(", ")}`;
}

/**
 * Checks that executions of the same unit or key on different servers never
 * overlap between their start and their effect.
 */
export function checkOneOwner(
  executions: readonly ExecutionRecord[],
): string[] {
  const effects = listEffects(executions);
  return [
    ...findOverlaps(groupBy(effects, (e) => `${e.service} key ${e.key}`)),
    ...findOverlaps(groupBy(effects, (e) => `${e.service} unit ${e.unit}`)),
  ];
}

function findOverlaps(groups: ReadonlyMap<string, Effect[]>): string[] {
  const violations: string[] = [];
  for (const [name, effects] of groups) {
    effects.sort((a, b) => a.startMs - b.startMs);
    // Latest effect per server; an execution elsewhere must not start before
    // it.
    const latest = new Map<string, Effect>();
    for (const e of effects) {
      for (const [server, other] of latest) {
        if (server === e.server || e.startMs >= other.effectMs) continue;
        violations.push(
          `${name}: ${server} [${other.startMs}, ${other.effectMs}] token ` +
            `${other.token} overlaps ${e.server} [${e.startMs}, ` +
            `${e.effectMs}] token ${e.token}`,
        );
      }
      const before = latest.get(e.server);
      if (!before || before.effectMs < e.effectMs) latest.set(e.server, e);
    }
  }
  return violations;
}
