/** Open-loop HTTP client: sends requests at their intended times. @module */
import { formatUuid7, HEADER, Outcome } from "@jaytiller/model";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const REQUEST_BODY = Buffer.alloc(512, "x");
/**
 * Shorter than the keep-alive timeout of an entry VM, so that no connection is
 * reused that the entry VM is about to close.
 */
const SOCKET_TIMEOUT_MS = 2000;
/** Time for which the client waits for a response after the deadline. */
const RESPONSE_GRACE_MS = 1000;
const TIMEOUT_HEADER = "jaytiller-timeout-ms";

/** Outcome of a request as seen by the load generator. */
export enum ClientOutcome {
  InTime = "inTime",
  /** Answered after the deadline, measured from the intended time. */
  Late = "late",
  Refused = "refused",
  Unknown = "unknown",
  /** A connection was assigned, but no complete response was received. */
  Broken = "broken",
  /** No connection of the generator became free before the timeout. */
  Unsent = "unsent",
}

/** A request to be sent. */
export interface TimedRequest {
  /** `performance.now()` at which it should be sent. */
  readonly dueMs: number;
  readonly url: string;
  readonly method: string;
  readonly deadlineMs: number;
  /** Whether the request must carry an idempotency key. */
  readonly needsIdempotencyKey: boolean;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Result of a request. */
export interface RequestResult {
  readonly outcome: ClientOutcome;
  /** From the intended time to the end of the response, in ms. */
  readonly latencyMs: number;
  /** `performance.now()` at the end of the response. */
  readonly endMs: number;
  readonly status: number;
  /** Reason of a refusal, or an error code such as `ECONNRESET`. */
  readonly cause: string;
}

const CLIENT_OUTCOMES: Readonly<Record<string, ClientOutcome>> = {
  [Outcome.Answered]: ClientOutcome.InTime,
  [Outcome.Refused]: ClientOutcome.Refused,
  [Outcome.Unknown]: ClientOutcome.Unknown,
};

/** Creates an agent that reuses connections. */
export function makeAgent(maxSockets: number): Agent {
  return new Agent({ keepAlive: true, maxSockets, timeout: SOCKET_TIMEOUT_MS });
}

/**
 * Sends a request immediately. The latency is measured from the intended time,
 * so that it includes any delay of the generator.
 */
export function sendTimedRequest(
  r: TimedRequest,
  agent: Agent,
): Promise<RequestResult> {
  return new Promise((resolve) => {
    const finish = (outcome: ClientOutcome, status: number, cause: string) => {
      const endMs = performance.now();
      const latencyMs = endMs - r.dueMs;
      const late = outcome === ClientOutcome.InTime && latencyMs > r.deadlineMs;
      const finalOutcome = late ? ClientOutcome.Late : outcome;
      resolve({ outcome: finalOutcome, latencyMs, endMs, status, cause });
    };
    const headers: Record<string, string> = {
      ...r.headers,
      [TIMEOUT_HEADER]: String(Math.ceil(r.deadlineMs)),
    };
    if (r.needsIdempotencyKey) {
      headers[HEADER.identity] = formatUuid7(Date.now(), randomBytes(10));
    }
    const timeout = AbortSignal.timeout(
      Math.ceil(r.deadlineMs) + RESPONSE_GRACE_MS,
    );
    const req = request(r.url, {
      method: r.method,
      agent,
      headers,
      signal: timeout,
    });
    let sent = false;
    req.on("socket", () => sent = true);
    const fail = (e: NodeJS.ErrnoException) => {
      // The error of an aborted request does not state why it was aborted.
      const cause = timeout.aborted ? "timeout" : e.code ?? e.name;
      finish(sent ? ClientOutcome.Broken : ClientOutcome.Unsent, 0, cause);
    };
    req.on("error", fail);
    req.on("response", (res) => {
      res.resume();
      res.on("error", fail);
      res.on("end", () => {
        const status = res.statusCode ?? 0;
        // A backend server that is called directly sends no outcome header.
        const fallback = status === 200
          ? ClientOutcome.InTime
          : ClientOutcome.Refused;
        const outcome = res.headers[HEADER.outcome];
        const known = CLIENT_OUTCOMES[String(outcome)] ?? ClientOutcome.Broken;
        const cause = String(res.headers[HEADER.reason] ?? "");
        finish(outcome === undefined ? fallback : known, status, cause);
      });
    });
    req.end(r.method === "GET" ? undefined : REQUEST_BODY);
  });
}

/**
 * Calls `send` for each item at its time, whether or not earlier calls have
 * finished, and waits for all calls. Items must be sorted by time. `originMs`
 * is the `performance.now()` that corresponds to `atMs` 0.
 */
export async function runOpenLoop<T extends { readonly atMs: number }>(
  items: readonly T[],
  originMs: number,
  send: (item: T, dueMs: number) => Promise<void>,
): Promise<void> {
  const open = new Set<Promise<void>>();
  for (let i = 0; i < items.length;) {
    const nowMs = performance.now() - originMs;
    for (; i < items.length && items[i]!.atMs <= nowMs; i++) {
      const item = items[i]!;
      const task = send(item, originMs + item.atMs).finally(() =>
        open.delete(task)
      );
      open.add(task);
    }
    const next = items[i];
    if (next) await delay(Math.max(0, next.atMs - nowMs));
  }
  await Promise.all(open);
}
