/** Finds a server for a request, now or after a wait. @module */
import {
  type Admission,
  chooseServer,
  computeRetryAfter,
  decideAdmission,
  estimateTime,
  Verdict,
  type Waiter,
  WaitingRoom,
} from "@jaytiller/placement";
import {
  type ServerEntry,
  ServerState,
  type ServiceSpec,
} from "@jaytiller/routing";
import type { ClientCall } from "./client_call.js";
import type { Knowledge } from "./knowledge.js";
import type { StatsBook } from "./stats_book.js";

/** Why a request gets no server. */
export enum RefusalReason {
  NoServer = "noServer",
  Overloaded = "overloaded",
  /** No server holds the key at the moment. */
  KeyMoving = "keyMoving",
  OwnerSilent = "ownerSilent",
  NoKey = "noKey",
  RoomFull = "roomFull",
  ClientLeft = "clientLeft",
}

/** A server that the request may be sent to; its stats count it already. */
export interface Place {
  readonly server: ServerEntry;
}

/** No server, why, and when to come back. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** Result of the search. */
export type Placement = Place | Refusal;

/** Bounds of one search. */
export interface PlaceOptions {
  readonly body: number;
  /** Earliest time to try, ms. */
  readonly notBeforeMs: number;
}

/** Requests that wait at one router at the most. */
const MAX_WAITING = 200;
/** A key that moves is held by its next owner within this time, ms. */
const MOVE_WAIT_MS = 700;
/** A request waits for a moving key for at most this share of its time. */
const MOVE_WAIT_SHARE = 0.35;
const SILENT_RETRY_MS = 400;
const ADVANCE_MS = 20;
/** Size of an answer that is assumed, bytes. */
const ANSWER_BYTES = 2_048;

type Attempt =
  | { readonly server: ServerEntry }
  | { readonly refusal: Refusal }
  | {
    readonly room: string;
    readonly waitMs: number;
    readonly reason: RefusalReason;
  };

/** Places requests with the servers that may run them. */
export class Placer {
  readonly #knowledge: Knowledge;
  readonly #stats: StatsBook;
  readonly #zone: string;
  readonly #room = WaitingRoom.create({ capacity: MAX_WAITING });
  #timer: NodeJS.Timeout | undefined;

  constructor(
    knowledge: Knowledge,
    stats: StatsBook,
    options: { zone: string },
  ) {
    this.#knowledge = knowledge;
    this.#stats = stats;
    this.#zone = options.zone;
    knowledge.onChange(() => this.advance());
  }

  get waiting(): number {
    return this.#room.size;
  }

  start(): void {
    this.#timer = setInterval(() => this.advance(), ADVANCE_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Tries the requests that wait; called when room may have become free. */
  advance(): void {
    if (this.#room.size > 0) this.#room.advance(performance.now());
  }

  /** Finds a server; waits for one if that pays. */
  find(call: ClientCall, options: PlaceOptions): Promise<Placement> {
    const nowMs = performance.now();
    const attempt = this.#attempt(call, {
      ...options,
      nowMs,
      ahead: undefined,
    });
    if (options.notBeforeMs <= nowMs) {
      if ("server" in attempt) return Promise.resolve(this.#take(attempt));
      if ("refusal" in attempt) return Promise.resolve(attempt.refusal);
    }
    const wait = "waitMs" in attempt ? attempt : {
      room: "later",
      waitMs: MOVE_WAIT_MS,
      reason: RefusalReason.Overloaded,
    };
    return this.#wait(call, { ...options, nowMs, ...wait });
  }

  #take({ server }: Place): Place {
    this.#stats.get(server.id).begin();
    return { server };
  }

  #wait(
    call: ClientCall,
    options: PlaceOptions & {
      nowMs: number;
      room: string;
      waitMs: number;
      reason: RefusalReason;
    },
  ): Promise<Placement> {
    return new Promise((resolve) => {
      const refuse = (reason: RefusalReason) =>
        resolve({ reason, retryAfterMs: computeRetryAfter(options.waitMs) });
      const waiter: Waiter = {
        room: options.room,
        priority: call.route.priority,
        deadlineMs: call.deadlineMs,
        untilMs: Math.max(options.notBeforeMs, options.nowMs + options.waitMs),
        notBeforeMs: options.notBeforeMs,
        tryPlace: (nowMs) =>
          this.#tryPlace(call, { ...options, nowMs, resolve }),
        giveUp: () => refuse(options.reason),
      };
      call.onClientLeft = () => {
        this.#room.leave(waiter);
        refuse(RefusalReason.ClientLeft);
      };
      if (!this.#room.enter(waiter)) refuse(RefusalReason.RoomFull);
    });
  }

  /** Rank in the room decides: nobody is ahead of the one that is tried. */
  #tryPlace(
    call: ClientCall,
    options: PlaceOptions & {
      nowMs: number;
      resolve: (placement: Placement) => void;
    },
  ): boolean {
    const attempt = this.#attempt(call, { ...options, ahead: 0 });
    if ("server" in attempt) options.resolve(this.#take(attempt));
    if ("refusal" in attempt) options.resolve(attempt.refusal);
    return !("waitMs" in attempt);
  }

  #attempt(call: ClientCall, options: AttemptOptions): Attempt {
    const service = this.#knowledge.routes?.findService(call.service);
    if (!service) return refuse(RefusalReason.NoServer);
    return service.sharded
      ? this.#attemptOwner(call, service, options)
      : this.#attemptAny(call, service, options);
  }

  #attemptOwner(
    call: ClientCall,
    service: ServiceSpec,
    options: AttemptOptions,
  ): Attempt {
    const { key } = call.facts;
    if (key === undefined) return refuse(RefusalReason.NoKey);
    const { nowMs } = options;
    const leftMs = call.deadlineMs - nowMs;
    const id = this.#knowledge.owners.get(service.name)?.find(key);
    const server = id === undefined
      ? undefined
      : this.#knowledge.servers.find(id);
    if (!server || server.state !== ServerState.Ready) {
      const waitMs = Math.min(MOVE_WAIT_MS, MOVE_WAIT_SHARE * leftMs);
      return { room: "moving", waitMs, reason: RefusalReason.KeyMoving };
    }
    const stats = this.#stats.get(server.id);
    if (stats.isSilent(nowMs)) {
      return refuse(RefusalReason.OwnerSilent, SILENT_RETRY_MS);
    }
    const room = `server/${server.id}`;
    const assumedMs = stats.measuredServiceMs ??
      this.#stats.computeMeanServiceMs(
        this.#knowledge.servers.listReady(service.name),
      );
    const candidate = { entry: server, stats };
    const admission = decideAdmission({
      hasRoom: stats.inFlight < stats.limit,
      ahead: options.ahead ?? this.#room.countAhead(room, call.route.priority),
      limit: stats.limit,
      serviceMs: stats.getServiceMs(assumedMs),
      expectedMs: estimateTime(candidate, { nowMs, assumedMs }),
      leftMs,
      targetMs: call.route.targetMs,
    });
    return toAttempt(admission, { server, room, leftMs });
  }

  #attemptAny(
    call: ClientCall,
    service: ServiceSpec,
    options: AttemptOptions,
  ): Attempt {
    const { nowMs } = options;
    const entries = this.#knowledge.servers.listReady(service.name);
    if (entries.length === 0) return refuse(RefusalReason.NoServer);
    const serviceMs = this.#stats.computeMeanServiceMs(entries);
    const candidates = entries
      .map((entry) => ({ entry, stats: this.#stats.get(entry.id) }));
    const { best, heard, limit } = chooseServer(candidates, {
      nowMs,
      zone: this.#zone,
      bytes: options.body + ANSWER_BYTES,
      tried: new Set(call.tried),
      assumedMs: serviceMs,
      random: Math.random,
    });
    if (heard === 0) {
      return refuse(RefusalReason.OwnerSilent, SILENT_RETRY_MS);
    }
    const room = `service/${service.name}`;
    const leftMs = call.deadlineMs - nowMs;
    const admission = decideAdmission({
      hasRoom: best !== undefined,
      ahead: options.ahead ?? this.#room.countAhead(room, call.route.priority),
      limit,
      serviceMs,
      expectedMs: best
        ? estimateTime(best, { nowMs, assumedMs: serviceMs })
        : serviceMs,
      leftMs,
      targetMs: call.route.targetMs,
    });
    return toAttempt(admission, { server: best?.entry, room, leftMs });
  }
}

interface AttemptOptions {
  readonly body: number;
  readonly nowMs: number;
  /** Requests ahead; absent: those in the room. */
  readonly ahead: number | undefined;
}

function refuse(reason: RefusalReason, retryAfterMs = 300): Attempt {
  return { refusal: { reason, retryAfterMs } };
}

function toAttempt(
  admission: Admission,
  options: { server: ServerEntry | undefined; room: string; leftMs: number },
): Attempt {
  const { server, room, leftMs } = options;
  if (admission.verdict === Verdict.Send && server) return { server };
  if (admission.verdict === Verdict.Refuse) {
    return refuse(RefusalReason.Overloaded, admission.retryAfterMs);
  }
  const waitMs = Math.max(0, 0.4 * leftMs);
  return { room, waitMs, reason: RefusalReason.Overloaded };
}
