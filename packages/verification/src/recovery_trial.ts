/** Measures how long keys stay unserved after a fault. @module */
import { Token } from "@jaytiller/model";
import type { EntryHandle, Fleet } from "@jaytiller/standins";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { type Attempt, sendRequest } from "./caller.js";
import {
  checkAtMostOnce,
  checkOneOwner,
  type Effect,
  isAnswered,
  isRefused,
  listEffects,
} from "./checker.js";
import { createServiceSpec } from "./faults.js";
import { findHolder, listKeys, readState } from "./route_setup.js";
import { readUnixMs, waitFor } from "./wait.js";

/** Required time from the loss of a process to the next answer. */
const RECOVERY_LIMIT_MS = 1_000;
/**
 * Probes go on past the limit up to this time, so that late recoveries are
 * printed.
 */
const PROBE_TIMEOUT_MS = 8_000;
const DEADLINE_MS = 1_000;
const PROBE_INTERVAL_MS = 40;
const PLACEMENT_TIMEOUT_MS = 10_000;
/**
 * Owners must stay unchanged for this time. A planned move takes 50 ms and the
 * next one starts immediately after it.
 */
const PLACEMENT_STABLE_MS = 500;
/** Service that the trials use. */
export const RECOVERY_SPEC = createServiceSpec(
  { name: "orderdesk", pathPrefix: "orders", shards: 16 },
  {
    deadlineMs: DEADLINE_MS,
  },
);
/** One key per shard. */
export const RECOVERY_KEYS = listKeys(RECOVERY_SPEC, RECOVERY_SPEC.shards);
/** One idempotent and one non-idempotent method. */
export const METHODS = ["GET", "POST"] as const;

/** A method of `METHODS`. */
export type Method = typeof METHODS[number];

interface Probe {
  readonly key: string;
  readonly method: Method;
  readonly entries: readonly EntryHandle[];
  /** Start of the measurement, in unix ms. */
  readonly fromMs: number;
  /** Killed server, whose answers do not count. */
  readonly lost?: string;
}

/** Holder of a group, and the group's keys. */
export interface GroupTarget {
  readonly holder: EntryHandle;
  readonly keys: readonly string[];
}

function parseServer(attempt: Attempt): string {
  return (JSON.parse(attempt.body!) as { server: string }).server;
}

/** Sends requests to a fleet and records their outcomes. */
export class RecoveryTrial {
  readonly fleet: Fleet;
  readonly attempts: Attempt[] = [];
  readonly failures: string[] = [];
  /** Measurements above their limit, by method. */
  readonly late: Record<Method, string[]> = { GET: [], POST: [] };

  constructor(fleet: Fleet) {
    this.fleet = fleet;
  }

  listEntries(): EntryHandle[] {
    return this.fleet.entries.filter((e) => !e.child.exit);
  }

  async listKeysOf(matches: (server: string) => boolean): Promise<string[]> {
    const state = await readState(this.fleet);
    return RECOVERY_KEYS.filter((key) => {
      const unit = state.resolveUnit(RECOVERY_SPEC.name, key)!;
      return matches(state.getOwner(RECOVERY_SPEC.name, unit)!.server);
    });
  }

  async send(entry: EntryHandle, key: string, method: Method) {
    const attempt = await sendRequest({
      entryUrl: entry.callerUrl,
      service: RECOVERY_SPEC.name,
      key,
      path: `/${RECOVERY_SPEC.pathPrefix}/${key}`,
      method,
    });
    this.attempts.push(attempt);
    return attempt;
  }

  /** Waits until every server owns keys and the placement is stable. */
  async waitUntilPlaced(): Promise<void> {
    let last = "";
    let sinceMs = 0;
    await waitFor("placement of all keys", PLACEMENT_TIMEOUT_MS, async () => {
      const state = await readState(this.fleet);
      const owners = RECOVERY_KEYS.map((key) =>
        state.getOwner(
          RECOVERY_SPEC.name,
          state.resolveUnit(RECOVERY_SPEC.name, key)!,
        )?.server
      );
      if (owners.join() !== last) sinceMs = readUnixMs();
      last = owners.join();
      return this.fleet.backends.every((b) => owners.includes(b.id)) &&
        readUnixMs() - sinceMs >= PLACEMENT_STABLE_MS;
    });
  }

  /** Sends one request per key and method through each entry VM. */
  async sendSequentially(
    entries: readonly EntryHandle[],
    keys: readonly string[],
  ) {
    const attempts = await Promise.all(entries.map(async (entry) => {
      const own: Attempt[] = [];
      // Requests run one at a time, so that the checks themselves fill no
      // queue.
      for (const key of keys) {
        for (const method of METHODS) {
          own.push(await this.send(entry, key, method));
        }
      }
      return own;
    }));
    return attempts.flat();
  }

  /** Sends overlapping requests at fixed intervals to avoid a burst. */
  async sendSpaced(entry: EntryHandle, keys: readonly string[]) {
    const sent: Promise<Attempt>[] = [];
    for (const key of keys) {
      for (const method of METHODS) {
        sent.push(this.send(entry, key, method));
        await delay(PROBE_INTERVAL_MS);
      }
    }
    return await Promise.all(sent);
  }

  /**
   * Sends overlapping requests until one is answered. Returns the time from
   * `fromMs` in ms, or `Infinity` if none was answered.
   */
  async #probe({ key, method, entries, fromMs, lost }: Probe) {
    const sent: Promise<unknown>[] = [];
    let servedMs = Infinity;
    for (let i = 0; servedMs === Infinity; i++) {
      if (readUnixMs() > fromMs + PROBE_TIMEOUT_MS) break;
      const entry = entries[i % entries.length]!;
      sent.push(
        this.send(entry, key, method).then((a) => {
          if (!isAnswered(a) || a.status !== 200) return;
          if (parseServer(a) === lost) return;
          servedMs = Math.min(servedMs, a.endMs - fromMs);
        }),
      );
      await delay(PROBE_INTERVAL_MS);
    }
    await Promise.all(sent);
    return servedMs;
  }

  /**
   * Measures the time until all keys are answered again. Prints the time of the
   * slowest key per method and records it in `late` if it exceeds `limitMs`.
   */
  async measureRecovery(
    description: string,
    probe: Omit<Probe, "method" | "key"> & { keys: readonly string[] },
    limitMs = RECOVERY_LIMIT_MS,
  ): Promise<void> {
    assert.ok(
      probe.keys.length > 0,
      `${description}: Expected keys to measure.`,
    );
    const slowest = await Promise.all(METHODS.map(async (method) => {
      const times = await Promise.all(
        probe.keys.map((key) => this.#probe({ ...probe, key, method })),
      );
      return Math.max(...times);
    }));
    const text = METHODS.map((m, i) => `${m} ${slowest[i]!.toFixed()} ms`);
    const line = `${description}: ${probe.keys.length} keys, ${
      text.join(", ")
    }`;
    console.log(`served again: ${line}`);
    for (const [i, method] of METHODS.entries()) {
      if (slowest[i]! > limitMs) this.late[method].push(line);
    }
  }

  /**
   * Waits until all keys are answered through every entry VM and prints the
   * longest time. Each entry VM gets one request at a time, so that the checks
   * themselves fill no queue.
   */
  async measureSequentially(
    description: string,
    keys: readonly string[],
    lost?: string,
  ) {
    const fromMs = readUnixMs();
    const isServed = (a: Attempt) =>
      isAnswered(a) && a.status === 200 && parseServer(a) !== lost;
    const times = await Promise.all(
      this.listEntries().map(async (entry) => {
        for (const key of keys) {
          for (const method of METHODS) {
            while (!isServed(await this.send(entry, key, method))) {
              if (readUnixMs() > fromMs + PROBE_TIMEOUT_MS) return Infinity;
              await delay(PROBE_INTERVAL_MS);
            }
          }
        }
        return readUnixMs() - fromMs;
      }),
    );
    const line =
      `${description}: ${keys.length} keys through ${times.length} entry ` +
      `VMs, ${Math.max(...times).toFixed()} ms`;
    console.log(`served again: ${line}`);
    if (times.includes(Infinity)) this.failures.push(line);
  }

  checkAttempts(
    description: string,
    attempts: readonly Attempt[],
    check: (attempt: Attempt) => boolean,
  ): void {
    const wrong = attempts.filter((a) => !check(a)).map((a) =>
      `${description}: ${a.method} ${a.key} through ${a.entryUrl}: ` +
      `${a.outcome ?? a.error} ${a.reason ?? ""} after ` +
      `${(a.endMs - a.sentMs).toFixed()} ms`
    );
    console.log(
      `served again: ${description}: ${attempts.length} requests, ` +
        `${wrong.length} not as expected`,
    );
    this.failures.push(...wrong);
  }

  listKeyEffects(key: string): Effect[] {
    return listEffects(this.fleet.readAllExecutions())
      .filter((e) => e.key === key);
  }

  /**
   * Returns the token of the last execution for a key, by the servers' records.
   */
  readToken(key: string): Token {
    const effects = this.listKeyEffects(key)
      .sort((a, b) => a.effectMs - b.effectMs);
    return Token.parse(effects.at(-1)!.token)!;
  }

  /** Reads the holder of a zone's group, and its keys, from the log. */
  async findTarget(zone: string): Promise<GroupTarget> {
    return {
      holder: await findHolder(this.fleet, `${RECOVERY_SPEC.name}/${zone}`),
      keys: await this.listKeysOf((id) => id.includes(`-${zone}-`)),
    };
  }

  /**
   * Kills the holder of a zone's group and measures when the group's keys are
   * answered again. Returns the tokens before and after.
   */
  async killHolder(
    description: string,
    { holder, keys }: GroupTarget,
  ): Promise<[Token, Token]> {
    const before = this.readToken(keys[0]!);
    const fromMs = readUnixMs();
    holder.child.kill("SIGKILL");
    const entries = this.fleet.entries.filter((e) =>
      e !== holder && !e.child.exit
    );
    await this.measureRecovery(`${description}, ${holder.id}`, {
      keys,
      entries,
      fromMs,
    });
    const after = this.readToken(keys[0]!);
    // An unchanged token means that the killed process was not the holder.
    if (after.compare(before) <= 0) {
      this.failures.push(`${description}: token ${before}, then ${after}`);
    }
    return [before, after];
  }

  /**
   * Asserts that all answers match the servers' records and no check has
   * failed.
   */
  check(methods: readonly Method[] = METHODS): void {
    const late = methods.flatMap((m) => this.late[m]);
    const executions = this.fleet.readAllExecutions();
    const posts = this.attempts.filter((a) => a.method === "POST");
    const report = checkAtMostOnce(executions, posts);
    const effects = new Map(
      listEffects(executions).map((e) => [e.requestId, e]),
    );
    const unmatched = this.attempts.filter(isAnswered).filter((a) => {
      const body = JSON.parse(a.body!) as { requestId: string };
      const effect = effects.get(body.requestId);
      return effect?.key !== a.key || effect.server !== parseServer(a);
    });
    const violations = [
      ...report.violations,
      ...checkOneOwner(executions),
      ...unmatched.map((a) => `${a.key}: no execution for ${a.body}`),
    ];
    const refused = this.attempts.filter(isRefused).length;
    const answered = this.attempts.filter(isAnswered).length;
    console.log(
      `served again: ${this.attempts.length} requests, ${answered} answered, ` +
        `${refused} refused, ${violations.length} violations, ` +
        `${this.failures.length} failures, ${late.length} late`,
    );
    assert.deepEqual([...this.failures, ...late, ...violations], []);
  }
}
