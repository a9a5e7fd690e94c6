/**
 * Checks that complete answers belong to the requests of their callers.
 * @module
 */
import { Outcome } from "@jaytiller/model";
import { type Fleet, makeReport, type ServiceSpec } from "@jaytiller/standins";
import { createHash } from "node:crypto";
import { type Attempt, createIdentity, sendRequest } from "./caller.js";

/** Time after which a caller gives up; longer than all deadlines. */
export const CALLER_TIMEOUT_MS = 20_000;

/** A request as sent, and the attempt as the caller saw it. */
export interface Exchange {
  readonly path: string;
  /** Length of the requested report. */
  readonly reportBytes?: number;
  /** SHA-256 of the sent body in hex. */
  readonly sentDigest: string;
  readonly attempt: Attempt;
}

function computeDigest(data: Buffer): string {
  return createHash("sha256").update(data).digest("hex");
}

/**
 * Sends one request with a unique path through the entry VM of index `entry`.
 * It is a POST if a body is given and a GET otherwise.
 */
export async function sendUniqueRequest(
  fleet: Fleet,
  spec: ServiceSpec,
  options: {
    entry: number;
    key: string;
    body?: Buffer;
    reportBytes?: number;
  },
): Promise<Exchange> {
  const { key, body, reportBytes } = options;
  const identity = createIdentity();
  const query = reportBytes === undefined ? "" : `?bytes=${reportBytes}`;
  const path = `/${spec.pathPrefix}/${key}/${identity}${query}`;
  const attempt = await sendRequest({
    entryUrl: fleet.entries[options.entry % fleet.entries.length]!.callerUrl,
    service: spec.name,
    key,
    path,
    identity,
    method: body ? "POST" : "GET",
    ...(body ? { body } : {}),
    timeoutMs: CALLER_TIMEOUT_MS,
  });
  const sentDigest = computeDigest(body ?? Buffer.alloc(0));
  const sent = { path, sentDigest, attempt };
  return reportBytes === undefined ? sent : { ...sent, reportBytes };
}

/**
 * Returns whether a caller would accept this response as the owner's answer.
 */
export function isAcceptedAnswer({ attempt }: Exchange): boolean {
  const { complete, outcome } = attempt;
  return complete && outcome !== Outcome.Refused && outcome !== Outcome.Unknown;
}

/**
 * Compares accepted answers with the execution records; returns the mismatches.
 */
export function checkAcceptedAnswers(
  fleet: Fleet,
  exchanges: readonly Exchange[],
): string[] {
  const records = fleet.readAllExecutions();
  return exchanges.filter(isAcceptedAnswer).flatMap((sent) => {
    const { path, attempt, sentDigest, reportBytes } = sent;
    const { requestId, key, identity, status } = attempt;
    const own = records.filter((r) => r.requestId === requestId);
    const effect = own.find((r) => r.effectMs !== null);
    const expected: unknown[] = [200, path, key, identity, sentDigest];
    const found: unknown[] = [
      status,
      effect?.path,
      effect?.key,
      effect?.identity,
      effect?.bodyDigest,
    ];
    if (reportBytes !== undefined) {
      const range = { from: 0, length: reportBytes };
      expected.push(reportBytes, computeDigest(makeReport(requestId!, range)));
      found.push(attempt.bodyBytes, attempt.bodyDigest);
    } else {
      const body = parseFields(attempt.body);
      expected.push(path, key, identity, requestId, sentDigest);
      found.push(body["path"], body["key"], body["identity"]);
      found.push(body["requestId"], body["bodyDigest"]);
    }
    const text = `${path}: expected ${expected.join()}; found ${found.join()}`;
    return expected.every((w, i) => w === found[i]) ? [] : [text];
  });
}

/**
 * Formats the number of exchanges per outcome; `none` means no headers arrived.
 */
export function formatOutcomes(exchanges: readonly Exchange[]): string {
  const counts = new Map<string, number>();
  for (const { attempt } of exchanges) {
    const { outcome = "none", reason = "" } = attempt;
    const outcomeText = `${outcome} ${reason}`.trim();
    counts.set(outcomeText, (counts.get(outcomeText) ?? 0) + 1);
  }
  return [...counts].map(([told, n]) => `${n} ${told}`).join(", ");
}

function parseFields(text = ""): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return { path: `not JSON: ${text.slice(0, 200)}` };
  }
}
