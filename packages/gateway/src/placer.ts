/** Selects a server for a request, immediately or after a wait. @module */
import {
  type Admission,
  type Candidate,
  chooseServer,
  computeMaxWait,
  computeRetryAfter,
  computeShare,
  decideAdmission,
  estimateLatency,
  type QueuedRequest,
  Verdict,
  WaitQueue,
} from "@jaytiller/placement";
import {
  type ServerEntry,
  ServerState,
  type ServiceSpec,
} from "@jaytiller/routing";
import type { ClientCall } from "./client_call.js";
import type { ClusterState } from "./cluster_state.js";
import type { PermitClient } from "./permit_client.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Why no server was selected. */
export enum RefusalReason {
  NoServer = "noServer",
  Overloaded = "overloaded",
  /** The owner gets only a share of the requests for its keys. */
  OwnerOverloaded = "ownerOverloaded",
  /** The owner, or every server, has asked this router for a pause. */
  Paused = "paused",
  /** The owner names a limit that is used up. */
  OwnerLimited = "ownerLimited",
  /** No ready server owns the key, for example while the key moves. */
  KeyMoving = "keyMoving",
  /** The owner, or every server of the service, does not accept connections. */
  OwnerSilent = "ownerSilent",
  NoKey = "noKey",
  RoomFull = "roomFull",
  /** The process stops before the request would have to end. */
  Stopping = "stopping",
  ClientLeft = "clientLeft",
}

/** A selected server, whose statistics already count the request. */
export interface ReservedServer {
  readonly server: ServerEntry;
}

/** Why no server was selected, and when the client should retry. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** Result of a selection. */
export type Placement = ReservedServer | Refusal;

/** Options of one selection. */
export interface PlaceOptions {
  /** Size of the request body, bytes. */
  readonly body: number;
  /** Monotonic time before which no server is tried, ms. */
  readonly notBeforeMs: number;
}

/** Largest number of requests that wait at one router. */
const MAX_WAITING = 200;
/** Time within which a moving key is granted to its next owner, ms. */
const MAX_MOVE_WAIT_MS = 700;
/** Largest share of a request's remaining time to wait for a moving key. */
const MOVE_WAIT_SHARE = 0.35;
const UNREACHABLE_RETRY_AFTER_MS = 400;
/** `Retry-After` of a request that an overloaded server does not get, ms. */
const OVERLOAD_RETRY_AFTER_MS = 500;
const ADVANCE_INTERVAL_MS = 20;
/** Assumed size of a response, bytes. */
const ASSUMED_ANSWER_BYTES = 2_048;

/** Result of one attempt: a server, a refusal, or a wait in a queue. */
type Attempt =
  | { readonly server: ServerEntry }
  | { readonly refusal: Refusal }
  | {
    /** Names what the request would wait for, such as a server or a service. */
    readonly resource: string;
    readonly waitMs: number;
    readonly reason: RefusalReason;
  };

/** This router among the others. */
export interface PlacerOptions {
  readonly zone: string;
  /** Returns the number of routers that share the servers. */
  readonly countRouters: () => number;
  /** Returns how long a server that says that it leaves is still used, ms. */
  readonly getLeavingUseMs: () => number;
  /** Permits for servers that name a limit. */
  readonly permits: PermitClient;
}

/** Assigns requests to servers that may run them. */
export class Placer {
  readonly #cluster: ClusterState;
  readonly #stats: TrafficStats;
  readonly #zone: string;
  readonly #countRouters: () => number;
  readonly #permits: PermitClient;
  readonly #getLeavingUseMs: () => number;
  readonly #queue = WaitQueue.create({ capacity: MAX_WAITING });
  #timer: NodeJS.Timeout | undefined;

  constructor(
    cluster: ClusterState,
    stats: TrafficStats,
    options: PlacerOptions,
  ) {
    this.#cluster = cluster;
    this.#stats = stats;
    this.#zone = options.zone;
    this.#countRouters = options.countRouters;
    this.#permits = options.permits;
    this.#getLeavingUseMs = options.getLeavingUseMs;
    cluster.onChange(() => this.advance());
  }

  get waiting(): number {
    return this.#queue.size;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Retries waiting requests; called when a server may have free capacity. */
  advance(): void {
    if (this.#queue.size === 0) return;
    this.#queue.dispatchDue(performance.now());
    this.#scheduleAdvance();
  }

  /** Retries at short intervals, but only while requests wait. */
  #scheduleAdvance(): void {
    if (this.#queue.size === 0) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.advance();
    }, ADVANCE_INTERVAL_MS);
  }

  /**
   * Selects a server for a request. Waits until `notBeforeMs`, and longer for
   * capacity or for the next owner of a moving key; resolves to a refusal if the
   * wait ends without a server.
   */
  findServer(call: ClientCall, options: PlaceOptions): Promise<Placement> {
    const nowMs = performance.now();
    const attempt = this.#attempt(call, {
      ...options,
      nowMs,
      ahead: undefined,
    });
    if (options.notBeforeMs <= nowMs) {
      if ("server" in attempt) return Promise.resolve(this.#reserve(attempt));
      if ("refusal" in attempt) return Promise.resolve(attempt.refusal);
    }
    const wait = "waitMs" in attempt ? attempt : {
      resource: "later",
      waitMs: MAX_MOVE_WAIT_MS,
      reason: RefusalReason.Overloaded,
    };
    return this.#wait(call, { ...options, nowMs, ...wait });
  }

  #reserve({ server }: ReservedServer): ReservedServer {
    this.#permits.use(server.id, performance.now());
    this.#stats.get(server.id).begin(this.#computeShare(server));
    return { server };
  }

  #computeShare({ slots }: ServerEntry): number {
    return computeShare({ slots, routers: this.#countRouters() });
  }

  #wait(
    call: ClientCall,
    options: PlaceOptions & {
      nowMs: number;
      resource: string;
      waitMs: number;
      reason: RefusalReason;
    },
  ): Promise<Placement> {
    return new Promise((resolve) => {
      const refuse = (reason: RefusalReason) =>
        resolve({ reason, retryAfterMs: computeRetryAfter(options.waitMs) });
      const waiter: QueuedRequest = {
        resource: options.resource,
        priority: call.route.priority,
        deadlineMs: call.deadlineMs,
        untilMs: Math.max(options.notBeforeMs, options.nowMs + options.waitMs),
        notBeforeMs: options.notBeforeMs,
        tryDispatch: (nowMs) =>
          this.#tryDispatch(call, { ...options, nowMs, resolve }),
        expire: () => refuse(options.reason),
      };
      call.onClientLeft = () => {
        this.#queue.remove(waiter);
        refuse(RefusalReason.ClientLeft);
      };
      if (!this.#queue.enqueue(waiter)) refuse(RefusalReason.RoomFull);
      this.#scheduleAdvance();
    });
  }

  /**
   * Tries to select a server for a queued request; returns whether the request
   * leaves the queue. No request counts as ahead of it, because the queue tries
   * more urgent requests first.
   */
  #tryDispatch(
    call: ClientCall,
    options: PlaceOptions & {
      nowMs: number;
      resolve: (placement: Placement) => void;
    },
  ): boolean {
    const attempt = this.#attempt(call, { ...options, ahead: 0 });
    if ("server" in attempt) options.resolve(this.#reserve(attempt));
    if ("refusal" in attempt) options.resolve(attempt.refusal);
    return !("waitMs" in attempt);
  }

  #attempt(call: ClientCall, options: AttemptOptions): Attempt {
    const service = this.#cluster.routes?.findService(call.service);
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
    const { key } = call.metadata;
    if (key === undefined) return refuse(RefusalReason.NoKey);
    const { nowMs } = options;
    const leftMs = call.deadlineMs - nowMs;
    const id = this.#cluster.owners.get(service.name)?.find(key);
    const server = id === undefined
      ? undefined
      : this.#cluster.servers.find(id);
    if (!server || !this.#isUsable(server, nowMs)) {
      const waitMs = Math.min(MAX_MOVE_WAIT_MS, MOVE_WAIT_SHARE * leftMs);
      return { resource: "moving", waitMs, reason: RefusalReason.KeyMoving };
    }
    const pause = this.#attemptPaused(call, {
      entries: [server],
      resource: `server/${server.id}`,
      nowMs,
    });
    if (pause) return pause;
    const stats = this.#stats.get(server.id);
    if (stats.isUnreachable(nowMs)) {
      return refuse(RefusalReason.OwnerSilent, UNREACHABLE_RETRY_AFTER_MS);
    }
    if (options.ahead === undefined && !this.#isAdmitted(server.id, nowMs)) {
      return refuse(RefusalReason.OwnerOverloaded, OVERLOAD_RETRY_AFTER_MS);
    }
    const resource = `server/${server.id}`;
    const limited = this.#attemptLimited(call, {
      ...options,
      server,
      resource,
    });
    if (limited) return limited;
    const assumedMs = stats.measuredServiceMs ??
      this.#stats.computeMeanServiceMs(
        this.#cluster.servers.listReady(service.name),
      );
    const candidate = { entry: server, stats };
    const share = this.#computeShare(server);
    const admission = decideAdmission({
      hasCapacity: stats.hasRoom(nowMs, share),
      ahead: options.ahead ??
        this.#queue.countAhead(resource, call.route.priority),
      limit: stats.getLimit(nowMs, share),
      serviceMs: stats.getServiceMs(assumedMs),
      expectedMs: estimateLatency(candidate, { nowMs, assumedMs }),
      leftMs,
      targetMs: call.route.targetMs,
    });
    return makeAttempt(admission, { server, resource, leftMs });
  }

  /**
   * Returns how to go on while all servers want nothing from this router, or
   * `undefined` if some take requests.
   */
  #attemptPaused(
    call: ClientCall,
    { entries, resource, nowMs }: {
      entries: readonly ServerEntry[];
      resource: string;
      nowMs: number;
    },
  ): Attempt | undefined {
    const { notices } = this.#stats;
    const pauseMs = Math.min(
      ...entries.map((entry) => notices.getPauseMs(entry, nowMs)),
    );
    if (pauseMs === 0) return undefined;
    const leftMs = call.deadlineMs - nowMs;
    const waitMs = computeMaxWait({ leftMs, targetMs: call.route.targetMs });
    return pauseMs > waitMs
      ? refuse(RefusalReason.Paused, computeRetryAfter(pauseMs))
      : { resource, waitMs, reason: RefusalReason.Paused };
  }

  /**
   * Returns how to go on without a permit for a server that names a limit, or
   * `undefined` if there is one, or none is needed.
   */
  #attemptLimited(
    call: ClientCall,
    { nowMs, server, resource }: AttemptOptions & {
      server: ServerEntry;
      resource: string;
    },
  ): Attempt | undefined {
    if (this.#permits.isAllowed(server.id, nowMs)) return undefined;
    const ahead = this.#queue.countAhead(resource, call.route.priority);
    const permitMs = this.#permits.request(server.id, {
      waiting: ahead + 1,
      nowMs,
    });
    if (permitMs === 0) return undefined;
    const leftMs = call.deadlineMs - nowMs;
    const waitMs = computeMaxWait({ leftMs, targetMs: call.route.targetMs });
    return permitMs > waitMs
      ? refuse(RefusalReason.OwnerLimited, computeRetryAfter(permitMs))
      : { resource, waitMs, reason: RefusalReason.OwnerLimited };
  }

  /** Returns whether a server may get requests that only it can run. */
  #isUsable(server: ServerEntry, nowMs: number): boolean {
    const leavingMs = this.#stats.notices.getLeavingMs(server, nowMs);
    return server.state === ServerState.Ready &&
      (leavingMs ?? 0) <= this.#getLeavingUseMs();
  }

  /** Lists the servers of a service for new requests, if possible none leaving. */
  #listUsable(service: string, nowMs: number): readonly ServerEntry[] {
    const usable = this.#cluster.servers.listReady(service)
      .filter((entry) => this.#isUsable(entry, nowMs));
    const { notices } = this.#stats;
    const staying = usable.filter((entry) => !notices.isLeaving(entry));
    return staying.length > 0 ? staying : usable;
  }

  /** Draws whether an overloaded server gets a request. */
  #isAdmitted(server: string, nowMs: number): boolean {
    const share = this.#cluster.getAdmissionShare(server, nowMs);
    return share === 1 || Math.random() < share;
  }

  #makeCandidate(entry: ServerEntry, nowMs: number): Candidate {
    const stats = this.#stats.get(entry.id);
    const requestsPerSecond = this.#stats.notices.getLimit(entry.id);
    if (requestsPerSecond === undefined) return { entry, stats };
    const hasPermit = this.#permits.isAllowed(entry.id, nowMs);
    return { entry, stats, limit: { requestsPerSecond, hasPermit } };
  }

  /** Asks for permits for servers with a limit: all, or this router's share. */
  #requestPermits(
    candidates: readonly Candidate[],
    { isNeeded, nowMs }: { isNeeded: boolean; nowMs: number },
  ): void {
    for (const { entry: { id }, limit } of candidates) {
      if (!limit || limit.hasPermit) continue;
      if (isNeeded) this.#permits.request(id, { waiting: 1, nowMs });
      else this.#permits.requestShare(id, nowMs);
    }
  }

  #attemptAny(
    call: ClientCall,
    service: ServiceSpec,
    options: AttemptOptions,
  ): Attempt {
    const { nowMs } = options;
    const entries = this.#listUsable(service.name, nowMs);
    if (entries.length === 0) return refuse(RefusalReason.NoServer);
    const resource = `service/${service.name}`;
    const pause = this.#attemptPaused(call, { entries, resource, nowMs });
    if (pause) return pause;
    const serviceMs = this.#stats.computeMeanServiceMs(entries);
    const candidates = entries
      .filter((entry) => this.#stats.notices.getPauseMs(entry, nowMs) === 0)
      .map((entry) => this.#makeCandidate(entry, nowMs));
    const { best, heard, limit } = chooseServer(candidates, {
      nowMs,
      zone: this.#zone,
      routers: this.#countRouters(),
      bytes: options.body + ASSUMED_ANSWER_BYTES,
      tried: new Set(call.triedServers),
      assumedMs: serviceMs,
      random: Math.random,
    });
    const isNeeded = best === undefined;
    this.#requestPermits(candidates, { isNeeded, nowMs });
    if (heard === 0) {
      return refuse(RefusalReason.OwnerSilent, UNREACHABLE_RETRY_AFTER_MS);
    }
    const leftMs = call.deadlineMs - nowMs;
    const admission = decideAdmission({
      hasCapacity: best !== undefined,
      ahead: options.ahead ??
        this.#queue.countAhead(resource, call.route.priority),
      limit,
      serviceMs,
      expectedMs: best
        ? estimateLatency(best, { nowMs, assumedMs: serviceMs })
        : serviceMs,
      leftMs,
      targetMs: call.route.targetMs,
    });
    return makeAttempt(admission, { server: best?.entry, resource, leftMs });
  }
}

interface AttemptOptions {
  readonly body: number;
  readonly nowMs: number;
  /** Requests ahead in the queue; counted in the wait queue if absent. */
  readonly ahead: number | undefined;
}

function refuse(reason: RefusalReason, retryAfterMs = 300): Attempt {
  return { refusal: { reason, retryAfterMs } };
}

function makeAttempt(
  admission: Admission,
  options: {
    server: ServerEntry | undefined;
    resource: string;
    leftMs: number;
  },
): Attempt {
  const { server, resource, leftMs } = options;
  if (admission.verdict === Verdict.Send && server) return { server };
  if (admission.verdict === Verdict.Refuse) {
    return refuse(RefusalReason.Overloaded, admission.retryAfterMs);
  }
  const waitMs = Math.max(0, 0.4 * leftMs);
  return { resource, waitMs, reason: RefusalReason.Overloaded };
}
