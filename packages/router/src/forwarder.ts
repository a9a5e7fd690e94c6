/** Forwards requests to the group's holder, and accepts them there. @module */
import type { Request, ResponseToolkit } from "@hapi/hapi";
import type { Service } from "@jaytiller/kernel";
import {
  type CallRule,
  HEADER,
  Outcome,
  Reason,
  RequestClass,
  type VmId,
} from "@jaytiller/model";
import { readBody } from "./body.js";
import {
  BodyKind,
  type Call,
  type CallBody,
  filterHeaders,
  makeRefusal,
  makeUnknown,
  type Result,
  ResultKind,
} from "./call.js";
import type { Clock } from "./clock.js";
import type { Dispatcher } from "./dispatcher.js";
import { createAgent, HopKind, sendHop } from "./http_call.js";
import type { LogTail } from "./log_tail.js";
import type { Peers } from "./peers.js";
import { makeResponse, STATUS_MISDIRECTED } from "./respond.js";
import { findRule } from "./rules.js";
import type { VmListPoller } from "./vm_list_poller.js";

const FORWARD_PREFIX = "/forward";
/** Time after the deadline in which the holder can still report the outcome. */
const OUTCOME_GRACE_MS = 150;
/** Share of the remaining time that an attempt that can be retried may take. */
const MAX_ATTEMPT_SHARE = 0.8;
const MIN_ATTEMPT_TIMEOUT_MS = 250;

/** How forwarding a request ended. */
export enum ForwardResultKind {
  Result = "result",
  /** No byte of the request was sent. */
  NotSent = "notSent",
  /** The request was sent, and no complete response arrived. */
  Lost = "lost",
}

export type ForwardResult =
  | { readonly kind: ForwardResultKind.Result; readonly result: Result }
  | {
    readonly kind: ForwardResultKind.NotSent | ForwardResultKind.Lost;
    text: string;
  };

/** Forwards requests between the entry router and the holder. */
export class Forwarder implements Service {
  readonly #peers: Peers;
  readonly #dispatcher: Dispatcher;
  readonly #tail: LogTail;
  readonly #vms: VmListPoller;
  readonly #clock: Clock;
  readonly #limits: { bufferedAnswerBytes: number; bodyIdleTimeoutMs: number };
  readonly #agent = createAgent({ maxSockets: 256 });

  constructor(options: {
    peers: Peers;
    dispatcher: Dispatcher;
    tail: LogTail;
    vms: VmListPoller;
    clock: Clock;
    limits: { bufferedAnswerBytes: number; bodyIdleTimeoutMs: number };
  }) {
    this.#peers = options.peers;
    this.#dispatcher = options.dispatcher;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#clock = options.clock;
    this.#limits = options.limits;
    this.#peers.server.route({
      method: "*",
      path: `${FORWARD_PREFIX}/{path*}`,
      options: {
        payload: { output: "stream", parse: false, maxBytes: 2 ** 40 },
      },
      handler: (request, h) => this.#handleForwarded(request, h),
    });
  }

  stop(): void {
    this.#agent.destroy();
  }

  /**
   * Forwards a request to the group's holder or, with `relay`, to a router that
   * forwards it to the holder.
   */
  async send(
    call: Call,
    to: VmId,
    options: { relay?: boolean } = {},
  ): Promise<ForwardResult> {
    const url = this.#vms.get(to)?.peerUrl;
    if (url === undefined) {
      return {
        kind: ForwardResultKind.NotSent,
        text: `${to} is not in the VM list`,
      };
    }
    const hop = await sendHop({
      method: call.method,
      url: `${url}${FORWARD_PREFIX}${call.path}`,
      headers: {
        ...this.#makeHeaders(call),
        ...(options.relay ? { [HEADER.relay]: "1" } : {}),
      },
      body: call.body,
      agent: this.#agent,
      timeoutMs: this.#computeAttemptTimeout(call),
      maxBufferedBytes: this.#limits.bufferedAnswerBytes,
      bodyIdleTimeoutMs: this.#limits.bodyIdleTimeoutMs,
      signal: call.signal,
      findHeaderProblem: (headers) =>
        headers[HEADER.requestId] === call.requestId
          ? undefined
          : "The response belongs to another request",
    });
    switch (hop.kind) {
      case HopKind.NotSent:
        return { kind: ForwardResultKind.NotSent, text: hop.text };
      case HopKind.Lost:
        return { kind: ForwardResultKind.Lost, text: hop.text };
      case HopKind.Stream: {
        const result: Result = { ...hop, kind: ResultKind.Stream };
        return { kind: ForwardResultKind.Result, result };
      }
      case HopKind.Buffered:
        return {
          kind: ForwardResultKind.Result,
          result: parseHolderResponse(hop),
        };
    }
  }

  /**
   * Returns the timeout of an attempt, in ms. If the attempt can be retried, it
   * is a share of the remaining time, so that a connection without a response
   * can be replaced.
   */
  #computeAttemptTimeout(call: Call): number {
    const remainingMs = call.deadlineMs - this.#clock.unixMs();
    const repeated = call.rule.idempotent &&
      call.rule.class !== RequestClass.Bulk &&
      call.body.kind === BodyKind.Buffered;
    return repeated
      ? Math.max(MIN_ATTEMPT_TIMEOUT_MS, remainingMs * MAX_ATTEMPT_SHARE)
      : remainingMs + OUTCOME_GRACE_MS;
  }

  #makeHeaders(call: Call): Record<string, string> {
    return {
      ...call.headers,
      [HEADER.requestId]: call.requestId,
      [HEADER.service]: call.service,
      [HEADER.key]: encodeURIComponent(call.key),
      [HEADER.deadline]: String(Math.floor(call.deadlineMs)),
      [HEADER.hlc]: this.#clock.issueTimestamp(),
    };
  }

  /** Forwards a request for a router that cannot reach the holder itself. */
  async #relay(call: Call, result: Result): Promise<Result> {
    if (result.kind !== ResultKind.Misdirected || !result.holder) return result;
    const sent = await this.send(call, result.holder);
    if (sent.kind === ForwardResultKind.Result) return sent.result;
    return sent.kind === ForwardResultKind.NotSent
      ? { kind: ResultKind.Misdirected }
      : makeUnknown(
        Reason.ConnectionLost,
        `The relay lost the connection to the holder: ${sent.text}`,
      );
  }

  async #handleForwarded(request: Request, h: ResponseToolkit) {
    const { req } = request.raw;
    const head = parseForwardHeaders(req.headers);
    const service = head?.service ?? "";
    const route = this.#tail.state.getRoute(service);
    const path = (req.url ?? "").slice(FORWARD_PREFIX.length);
    const rule = route && findRule(route, request.method, path);
    if (!head || !route || !rule) {
      // The sender may have a newer configuration than this router.
      const result = { kind: ResultKind.Misdirected } as const;
      return makeResponse(h, result, head?.requestId ?? "");
    }
    this.#clock.observe(req.headers[HEADER.hlc]);
    const read = await readBody(req, {
      maxBytes: rule.maxBodyBytes,
      idleTimeoutMs: this.#limits.bodyIdleTimeoutMs,
    });
    if ("refusal" in read) return makeResponse(h, read.refusal, head.requestId);
    const identity = req.headers[HEADER.identity];
    const call: Call = {
      requestId: head.requestId,
      service,
      key: head.key,
      route,
      rule,
      method: request.method.toUpperCase(),
      path,
      headers: filterHeaders(req.headers),
      identity: typeof identity === "string" ? identity : undefined,
      body: read.body,
      deadlineMs: head.deadlineMs,
      signal: makeCancelSignal(request, { rule, body: read.body }),
    };
    const result = await this.#dispatcher.run(call);
    const relay = req.headers[HEADER.relay] === "1";
    return makeResponse(
      h,
      relay ? await this.#relay(call, result) : result,
      head.requestId,
    );
  }
}

/** Returns the signal that cancels a call when its caller disconnects. */
export function makeCancelSignal(
  request: Request,
  { rule, body }: { rule: CallRule; body: CallBody },
): AbortSignal {
  const continuesAfterDisconnect = !rule.idempotent &&
    body.kind === BodyKind.Buffered;
  return continuesAfterDisconnect
    ? new AbortController().signal
    : makeDisconnectSignal(request);
}

/** Returns a signal that fires if the caller disconnects early. */
function makeDisconnectSignal(request: Request): AbortSignal {
  const controller = new AbortController();
  const { req, res } = request.raw;
  const abort = () => {
    if (!res.writableFinished) controller.abort();
  };
  res.once("close", abort);
  req.once("aborted", abort);
  // The caller may have left while its body was read.
  if (req.socket.destroyed) abort();
  return controller.signal;
}

/** Parses the holder's HTTP response. */
function parseHolderResponse(
  hop: {
    status: number;
    headers: Readonly<Record<string, string>>;
    body: Buffer;
  },
): Result {
  const outcome = hop.headers[HEADER.outcome];
  if (hop.status === STATUS_MISDIRECTED && outcome === undefined) {
    const holder = hop.headers[HEADER.holder];
    return {
      kind: ResultKind.Misdirected,
      mayHaveRun: hop.headers[HEADER.mayHaveRun] === "1",
      ...(holder === undefined ? {} : { holder }),
    };
  }
  if (outcome === Outcome.Answered) {
    return {
      ...hop,
      kind: ResultKind.Buffered,
      replayed: hop.headers[HEADER.replayed] === "true",
    };
  }
  if (outcome !== Outcome.Refused && outcome !== Outcome.Unknown) {
    return makeRefusal(Reason.NotReady, "The holder cannot accept the request");
  }
  const retry = Number(hop.headers[HEADER.retryAfter] ?? NaN);
  const { message } = JSON.parse(hop.body.toString()) as { message: string };
  return {
    kind: ResultKind.Failure,
    failure: {
      outcome,
      reason: hop.headers[HEADER.reason] as Reason,
      text: message,
      ...(Number.isNaN(retry) ? {} : { retryAfterMs: retry * 1_000 }),
    },
  };
}

interface ForwardHeaders {
  readonly requestId: string;
  readonly service: string;
  readonly key: string;
  readonly deadlineMs: number;
}

function parseForwardHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ForwardHeaders | undefined {
  const requestId = headers[HEADER.requestId];
  const service = headers[HEADER.service];
  const key = headers[HEADER.key];
  const deadlineMs = Number(headers[HEADER.deadline]);
  const required = [requestId, service, key];
  if (required.some((t) => typeof t !== "string" || t === "")) return undefined;
  if (!Number.isFinite(deadlineMs)) return undefined;
  return {
    requestId: requestId as string,
    service: service as string,
    key: decodeURIComponent(key as string),
    deadlineMs,
  };
}
