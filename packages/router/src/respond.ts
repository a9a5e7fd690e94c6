/** Writes results as HTTP answers. @module */
import type { ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  type FailureOutcome,
  HEADER,
  Outcome,
  REASON_STATUS,
} from "@jaytiller/model";
import { type Result, ResultKind } from "./call.js";

/** Status by which a router says that it does not hold the group. */
export const MISDIRECTED = 421;

/** Makes the HTTP answer for a result. */
export function writeResult(
  h: ResponseToolkit,
  result: Result,
  requestId: string,
): ResponseObject {
  const response = WRITERS[result.kind](h, result as never);
  response.header(HEADER.requestId, requestId);
  return response;
}

type Writers = {
  readonly [K in ResultKind]: (
    h: ResponseToolkit,
    result: Extract<Result, { kind: K }>,
  ) => ResponseObject;
};

const WRITERS: Writers = {
  [ResultKind.Whole]: (h, result) => {
    const response = h.response(result.body).code(result.status);
    copyHeaders(response, result.headers);
    response.header(HEADER.outcome, Outcome.Answered);
    if (result.replayed) response.header(HEADER.replayed, "true");
    return response;
  },
  [ResultKind.Stream]: (h, result) => {
    const response = h.response(result.stream).code(result.status);
    copyHeaders(response, result.headers);
    const length = result.headers["content-length"];
    // With its length announced, a cut answer cannot look complete.
    if (length !== undefined) response.header("content-length", length);
    return response.header(HEADER.outcome, Outcome.Answered);
  },
  [ResultKind.Verdict]: (h, { verdict }) => writeVerdict(h, verdict),
  [ResultKind.Misdirected]: (h, { holder, mayHaveRun }) => {
    const response = h.response().code(MISDIRECTED);
    if (mayHaveRun) response.header(HEADER.mayHaveRun, "1");
    return holder === undefined
      ? response
      : response.header(HEADER.holder, holder);
  },
};

function writeVerdict(
  h: ResponseToolkit,
  verdict: FailureOutcome,
): ResponseObject {
  const unknown = verdict.outcome === Outcome.Unknown;
  const status = REASON_STATUS[verdict.reason];
  const response = h.response({
    outcome: verdict.outcome,
    reason: verdict.reason,
    message: verdict.text,
  }).code(unknown && status < 500 ? 502 : status);
  response.header(HEADER.outcome, verdict.outcome);
  response.header(HEADER.reason, verdict.reason);
  if (verdict.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(verdict.retryAfterMs / 1_000));
    response.header(HEADER.retryAfter, String(seconds));
  }
  return response;
}

/** Headers that belong to one hop, or that hapi writes itself. */
const OWN_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "date",
  "x-request-id",
]);

function copyHeaders(
  response: ResponseObject,
  headers: Readonly<Record<string, string>>,
) {
  // Without a type from the owner, hapi would add one of its own.
  if (headers["content-type"] === undefined) {
    response.type("application/octet-stream");
  }
  for (const [name, value] of Object.entries(headers)) {
    if (!OWN_HEADERS.has(name)) response.header(name, value);
  }
}
