/** Runs one attempt of a request at a server. @module */
import type { Agent } from "node:http";
import { RequestKind, type ServerEntry } from "@jaytiller/routing";
import type { Body } from "./body_chunks.js";
import { ChunkPacer } from "./chunk_pacer.js";
import type { ClientCall } from "./client_call.js";
import {
  copyEndToEndHeaders,
  type ExchangeResult,
  runExchange,
} from "./exchange.js";
import { ANSWERED_ELSEWHERE, type HedgedAttempt } from "./hedged_exchange.js";
import type { LoopMonitor } from "./loop_monitor.js";
import type { MemoryBudget } from "./memory_budget.js";
import type { Placer } from "./placer.js";
import type { RequestProtocol } from "./ports.js";
import { ResponseBuffers } from "./response_limits.js";
import { MAY_HAVE_RUN, NOT_WRITTEN } from "./retry_policy.js";
import type { ServerAgents } from "./server_agents.js";
import type { ServerEvidence } from "./server_evidence.js";

/** Dependencies of an attempt runner. */
export interface AttemptRunnerOptions {
  readonly placer: Placer;
  readonly agents: ServerAgents;
  readonly protocol: RequestProtocol;
  readonly loop: LoopMonitor;
  readonly budget: MemoryBudget;
  readonly evidence: ServerEvidence;
}

/** Time that a server's response may arrive after the deadline, ms. */
const ANSWER_GRACE_MS = 100;

/** Runs exchanges with reserved servers and records their evidence. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #buffers: ResponseBuffers;
  readonly #pacer = new ChunkPacer();

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
    this.#buffers = new ResponseBuffers(options.budget);
  }

  /** Sends a request to a server and records the evidence of the exchange. */
  async run(
    call: ClientCall,
    body: Body,
    { server, signal, written }: HedgedAttempt,
  ): Promise<ExchangeResult> {
    const { protocol, placer, evidence } = this.#options;
    const leftMs = Math.max(1, Math.floor(call.deadlineMs - performance.now()));
    const isRepeatable = call.route.kind === RequestKind.Idempotent;
    const result = await runExchange({
      agent: this.#chooseAgent(call, server),
      address: server.address,
      method: call.request.method ?? "GET",
      target: call.request.url ?? "/",
      headers: this.#makeHeaders(call, { server, body, leftMs }),
      body,
      attemptId: call.metadata.attemptId,
      timeoutMs: leftMs + ANSWER_GRACE_MS,
      buffers: this.#buffers,
      pacer: this.#pacer,
      signal,
      // Once written, a request that may run only once runs to its end.
      isRepeatable,
      readPendingInput: () => this.confirmClient(call),
      onWrite: () => {
        written.add(server.id);
        call.memory.lock();
        call.isSent = true;
        call.sentAtMs = performance.now();
      },
    }, protocol);
    written.delete(server.id);
    call.isSent = written.size > 0;
    if (!NOT_WRITTEN.has(result.end)) call.triedServers.push(server.id);
    if (MAY_HAVE_RUN.has(result.end)) call.mayHaveRun = true;
    const isAnsweredElsewhere = signal.reason === ANSWERED_ELSEWHERE;
    evidence.record(call, { server, body, result, isAnsweredElsewhere });
    placer.advance();
    return result;
  }

  /**
   * Makes sure that the client is known to have left if it has: input that
   * arrived while the event loop was behind is read first.
   */
  confirmClient(call: ClientCall): Promise<void> | undefined {
    const { loop } = this.#options;
    if (!loop.isInputOld()) return undefined;
    return loop.readPendingInput().then(() => call.checkConnection());
  }

  /**
   * A server that got an attempt before may send its earlier response once
   * more, with the id of that attempt. No kept connection is used for it again.
   */
  #chooseAgent(call: ClientCall, server: ServerEntry): Agent {
    const { agents } = this.#options;
    if (call.triedServers.includes(server.id)) return agents.singleUse;
    const isRepeatable = call.route.kind === RequestKind.Idempotent;
    return agents.get(server.id, { isRepeatable });
  }

  #makeHeaders(
    call: ClientCall,
    send: { server: ServerEntry; body: Body; leftMs: number },
  ): string[] {
    const { protocol } = this.#options;
    const raw = call.request.rawHeaders;
    const headers = copyEndToEndHeaders(
      raw,
      (name) => protocol.replacedHeaders.has(name) || name === "content-length",
    );
    const routerHeaders = protocol.makeServerHeaders({
      deadlineMs: send.leftMs,
      serverId: send.server.id,
    });
    for (const [name, value] of routerHeaders) headers.push(name, value);
    const { method } = call.request;
    const hasBody = send.body.size > 0 ||
      method !== "GET" && method !== "HEAD" && method !== "DELETE";
    if (hasBody) headers.push("Content-Length", String(send.body.size));
    headers.push("Connection", "keep-alive");
    return headers;
  }
}
