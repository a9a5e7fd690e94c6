/** Gets permits for requests to servers that name a limit. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  MIN_REQUESTS_PER_SECOND,
  type PermitGrant,
  PermitSlots,
  PermitStock,
  type ServerNotices,
} from "@jaytiller/placement";
import type { RouterRef } from "@jaytiller/ranges";
import {
  PeerMethod,
  type PermitReply,
  type PermitRequest,
} from "./peer_messages.js";
import { EXPECTED_ANSWER_MS, PermitLink } from "./permit_link.js";

/** Dependencies of a permit client. */
export interface PermitClientOptions {
  readonly notices: ServerNotices;
  readonly log: EventLog;
  /** Returns the coordinator that this router follows, if there is one. */
  readonly getCoordinator: () => RouterRef | undefined;
  /** Issues permits if this router is the coordinator. */
  readonly issuePermits: (request: PermitRequest) => PermitReply;
  /** Returns the number of routers that share a server's limit. */
  readonly countRouters: () => number;
  /** Called when permits have arrived from the coordinator. */
  readonly onPermits: () => void;
}

/** Longest time after which permits are asked for again, ms. */
const MAX_WAIT_MS = 1_000 / MIN_REQUESTS_PER_SECOND;
/** Part of a limit that is used while other servers have room. */
const IDLE_SHARE = 0.25;
/** Time for which permits are asked for in advance, s. */
const ADVANCE_S = 0.1;

/** What is known of the permits for a server. */
export interface PermitState {
  /** Requests per second from all routers; absent if it names no limit. */
  readonly requestsPerSecond?: number;
  /** Whether a request may be sent now as far as the limit. */
  readonly isAllowed: boolean;
  /** Time after which a permit may be there, ms; 0 if one is, or none needed. */
  readonly delayMs: number;
  /** Whether a request that needs a permit has to ask for one. */
  readonly isDue: boolean;
}

/** State of a server that names no limit. */
const NO_LIMIT: PermitState = { isAllowed: true, delayMs: 0, isDue: false };

interface ServerPermits {
  readonly stock: PermitStock;
  readonly slots: PermitSlots;
  isAsking: boolean;
  /** Monotonic time at which this router's share is asked for next, ms. */
  shareDueMs: number | undefined;
  /** Monotonic time before which no permit is expected, ms. */
  notBeforeMs: number;
}

/** This router's permits by server. */
export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #servers = new Map<string, ServerPermits>();
  readonly #link: PermitLink;

  constructor(options: PermitClientOptions) {
    this.#options = options;
    this.#link = new PermitLink({ ...options, method: PeerMethod.Permit });
  }

  stop(): void {
    this.#link.close();
  }

  /** Returns whether a request may be sent to a server as far as its limit. */
  isAllowed(server: string, nowMs: number): boolean {
    return this.#options.notices.getLimit(server) === undefined ||
      (this.#servers.get(server)?.stock.has(nowMs) ?? false);
  }

  /** Returns what is known of a server's permits, and asks for none. */
  read(server: string, nowMs: number): PermitState {
    const requestsPerSecond = this.#options.notices.getLimit(server);
    if (requestsPerSecond === undefined) return NO_LIMIT;
    const permits = this.#servers.get(server);
    if (permits?.stock.has(nowMs)) {
      return { requestsPerSecond, isAllowed: true, delayMs: 0, isDue: false };
    }
    const untilMs = permits?.notBeforeMs ?? -Infinity;
    const isDue = untilMs <= nowMs && !permits?.isAsking;
    const delayMs = nowMs < untilMs ? untilMs - nowMs : EXPECTED_ANSWER_MS;
    return { requestsPerSecond, isAllowed: false, delayMs, isDue };
  }

  /** Uses a permit for a request that is sent to a server with a limit. */
  use(server: string, nowMs: number): void {
    if (this.#options.notices.getLimit(server) === undefined) return;
    this.#get(server).stock.take(nowMs);
  }

  /**
   * Asks for permits for `waiting` requests, unless there was an answer just
   * now. Returns the time after which one may be there, ms; 0 if it is.
   */
  request(
    server: string,
    { waiting, nowMs }: { waiting: number; nowMs: number },
  ): number {
    const requestsPerSecond = this.#options.notices.getLimit(server);
    const permits = this.#get(server);
    if (requestsPerSecond === undefined) return 0;
    if (nowMs < permits.notBeforeMs) return permits.notBeforeMs - nowMs;
    if (permits.isAsking) return EXPECTED_ANSWER_MS;
    const routers = Math.max(1, this.#options.countRouters());
    const advance = Math.floor(ADVANCE_S * requestsPerSecond / routers);
    const request = { server, requestsPerSecond, count: waiting + advance };
    const reply = this.#options.issuePermits(request);
    if (reply.accepted) this.#add(permits, reply);
    else this.#askCoordinator(permits, request);
    if (permits.stock.has(nowMs)) return 0;
    return permits.isAsking
      ? EXPECTED_ANSWER_MS
      : Math.max(0, permits.notBeforeMs - nowMs);
  }

  /**
   * Asks for a permit now and then, as seldom as it falls to this router: other
   * servers have room, but whether the limit has ended shows only by requests.
   */
  requestShare(server: string, nowMs: number): void {
    const limit = this.#options.notices.getLimit(server);
    if (limit === undefined) return;
    const routers = Math.max(1, this.#options.countRouters());
    const rate = IDLE_SHARE * Math.max(MIN_REQUESTS_PER_SECOND, limit) /
      routers;
    const permits = this.#get(server);
    const periodMs = 1000 / rate;
    // At a random time of each period, as all routers hear of a limit at once.
    permits.shareDueMs ??= nowMs + Math.random() * periodMs;
    if (nowMs < permits.shareDueMs) return;
    permits.shareDueMs = nowMs + (0.5 + Math.random()) * periodMs;
    this.request(server, { waiting: 1, nowMs });
  }

  /** Forgets servers that are gone. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, { isAsking }] of this.#servers) {
      if (!isAsking && !isKnown(id)) this.#servers.delete(id);
    }
  }

  #get(server: string): ServerPermits {
    const known = this.#servers.get(server);
    if (known) return known;
    const permits = {
      stock: new PermitStock(),
      slots: new PermitSlots(),
      isAsking: false,
      shareDueMs: undefined,
      notBeforeMs: -Infinity,
    };
    this.#servers.set(server, permits);
    return permits;
  }

  #add(permits: ServerPermits, { granted, waitMs }: PermitGrant): void {
    const nowMs = performance.now();
    permits.stock.add(granted, nowMs);
    permits.notBeforeMs = granted > 0
      ? nowMs
      : nowMs + Math.min(waitMs, MAX_WAIT_MS);
  }

  #askCoordinator(permits: ServerPermits, request: PermitRequest): void {
    if (!this.#link.isUsable) return this.#takeSlot(permits, request);
    permits.isAsking = true;
    void this.#link.ask(request).then((reply) => {
      permits.isAsking = false;
      if (reply) {
        const granted = Math.min(request.count, reply.granted);
        this.#add(permits, { granted, waitMs: reply.waitMs });
      } else this.#takeSlot(permits, request);
      this.#options.onPermits();
    });
  }

  #takeSlot(
    permits: ServerPermits,
    { requestsPerSecond }: PermitRequest,
  ): void {
    const grant = permits.slots.take({
      nowMs: performance.now(),
      requestsPerSecond,
      routers: this.#options.countRouters(),
      random: Math.random,
    });
    this.#add(permits, grant);
  }
}
