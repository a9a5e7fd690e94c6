/** Gets permits for requests to cold servers. @module */
import type { EventLog } from "@jaytiller/kernel";
import { COLD_PERMIT_LIFE_MS, PermitStock } from "@jaytiller/placement";
import type { RouterRef } from "@jaytiller/ranges";
import {
  PeerMethod,
  type PermitReply,
  type PermitRequest,
} from "./peer_messages.js";
import { EXPECTED_ANSWER_MS, PermitLink } from "./permit_link.js";

/** Dependencies of a client. */
export interface ColdPermitClientOptions {
  readonly log: EventLog;
  /** Returns the coordinator that this router follows, if there is one. */
  readonly getCoordinator: () => RouterRef | undefined;
  /** Issues permits if this router is the coordinator. */
  readonly issuePermits: (request: PermitRequest) => PermitReply;
  /** Called when permits have arrived from the coordinator. */
  readonly onPermits: () => void;
}

/** Time after which a coordinator that did not answer is asked again, ms. */
const RETRY_DELAY_MS = 200;
/** Longest time after which permits are asked for again, ms. */
const MAX_WAIT_MS = 1_000;
/** Most permits that are asked for at once; more would lapse unused. */
const MAX_COUNT = 100;

interface ServerPermits {
  readonly stock: PermitStock;
  isAsking: boolean;
  /** Monotonic time before which no permit is expected, ms. */
  notBeforeMs: number;
}

/** This router's permits for cold servers. */
export class ColdPermitClient {
  readonly #options: ColdPermitClientOptions;
  readonly #servers = new Map<string, ServerPermits>();
  readonly #link: PermitLink;

  constructor(options: ColdPermitClientOptions) {
    this.#options = options;
    this.#link = new PermitLink({ ...options, method: PeerMethod.ColdPermit });
  }

  stop(): void {
    this.#link.close();
  }

  /** Uses a permit for a request that is sent. */
  use(server: string, nowMs: number): void {
    this.#servers.get(server)?.stock.take(nowMs);
  }

  /** Returns when a permit may be there, ms; 0 if there is one. Asks for none. */
  computeDelay(server: string, nowMs: number): number {
    const permits = this.#servers.get(server);
    if (permits?.stock.has(nowMs)) return 0;
    const waitMs = (permits?.notBeforeMs ?? nowMs) - nowMs;
    return Math.max(EXPECTED_ANSWER_MS, waitMs);
  }

  /**
   * Asks for permits for `waiting` requests, unless there was an answer just
   * now. Returns the time after which one may be there, ms; 0 if it is.
   */
  request(
    server: string,
    { waiting, requestsPerSecond, nowMs }: {
      waiting: number;
      requestsPerSecond: number;
      nowMs: number;
    },
  ): number {
    const permits = this.#get(server);
    const isDue = nowMs >= permits.notBeforeMs && !permits.isAsking;
    if (permits.stock.has(nowMs)) return 0;
    if (isDue) {
      const count = Math.min(MAX_COUNT, waiting);
      this.#ask(permits, { server, requestsPerSecond, count });
    }
    return this.computeDelay(server, nowMs);
  }

  /** Forgets servers that are gone. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#servers.keys()) {
      if (!isKnown(id)) this.#servers.delete(id);
    }
  }

  #ask(permits: ServerPermits, request: PermitRequest): void {
    const askedMs = performance.now();
    const own = this.#options.issuePermits(request);
    if (own.accepted) return this.#add(permits, own, askedMs);
    if (!this.#link.isUsable) {
      permits.notBeforeMs = askedMs + RETRY_DELAY_MS;
      return;
    }
    permits.isAsking = true;
    void this.#link.ask(request).then((reply) => {
      permits.isAsking = false;
      const { granted, waitMs } = reply ??
        { granted: 0, waitMs: RETRY_DELAY_MS };
      const most = Math.min(request.count, granted);
      this.#add(permits, { granted: most, waitMs }, askedMs);
      this.#options.onPermits();
    });
  }

  /** Adds permits, whose life began when they were asked for. */
  #add(
    permits: ServerPermits,
    { granted, waitMs }: { granted: number; waitMs: number },
    askedMs: number,
  ): void {
    permits.stock.add(granted, askedMs, COLD_PERMIT_LIFE_MS);
    permits.notBeforeMs = granted > 0
      ? askedMs
      : performance.now() + Math.min(waitMs, MAX_WAIT_MS);
  }

  #get(server: string): ServerPermits {
    const known = this.#servers.get(server);
    if (known) return known;
    const permits = {
      stock: new PermitStock(),
      isAsking: false,
      notBeforeMs: -Infinity,
    };
    this.#servers.set(server, permits);
    return permits;
  }
}
