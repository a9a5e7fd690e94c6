/** Makes HTTP responses from results. @module */
import type { ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  type FailureOutcome,
  HEADER,
  Outcome,
  REASON_STATUS,
} from "@jaytiller/model";
import { type Result, ResultKind } from "./call.js";

/** Status of a router that does not hold the group. */
export const STATUS_MISDIRECTED = 421;

/** Makes the HTTP response for a result. */
export function makeResponse(
  h: ResponseToolkit,
  result: Result,
  requestId: string,
): ResponseObject {
  const response = RESPONSE_MAKERS[result.kind](h, result as never);
  response.header(HEADER.requestId, requestId);
  return response;
}

type ResponseMakers = {
  readonly [K in ResultKind]: (
    h: ResponseToolkit,
    result: Extract<Result, { kind: K }>,
  ) => ResponseObject;
};

const RESPONSE_MAKERS: ResponseMakers = {
  [ResultKind.Buffered]: (h, result) => {
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
    // With a content-length, a truncated response cannot look complete.
    if (length !== undefined) response.header("content-length", length);
    return response.header(HEADER.outcome, Outcome.Answered);
  },
  [ResultKind.Failure]: (h, { failure: failure }) =>
    makeFailureResponse(h, failure),
  [ResultKind.Misdirected]: (h, { holder, mayHaveRun }) => {
    const response = h.response().code(STATUS_MISDIRECTED);
    if (mayHaveRun) response.header(HEADER.mayHaveRun, "1");
    return holder === undefined
      ? response
      : response.header(HEADER.holder, holder);
  },
};

function makeFailureResponse(
  h: ResponseToolkit,
  failure: FailureOutcome,
): ResponseObject {
  const unknown = failure.outcome === Outcome.Unknown;
  const status = REASON_STATUS[failure.reason];
  const response = h.response({
    outcome: failure.outcome,
    reason: failure.reason,
    message: failure.text,
  }).code(unknown && status < 500 ? 502 : status);
  response.header(HEADER.outcome, failure.outcome);
  response.header(HEADER.reason, failure.reason);
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(failure.retryAfterMs / 1_000));
    response.header(HEADER.retryAfter, String(seconds));
  }
  return response;
}

/** Headers that apply to a single hop, or that hapi writes itself. */
const EXCLUDED_HEADERS = new Set([
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
  // hapi would add its own type to a response without one.
  if (headers["content-type"] === undefined) {
    response.type("application/octet-stream");
  }
  for (const [name, value] of Object.entries(headers)) {
    if (!EXCLUDED_HEADERS.has(name)) response.header(name, value);
  }
}
