/** Selects a server for a request, immediately or after a wait. @module */
import {
  chooseServer,
  ClientQuota,
  type ClientRequest,
  computeShare,
  DispatchResult,
  estimateLatency,
  estimateRoomByShare,
  type QueuedRequest,
  ShareGate,
  spreadRetryAfter,
  WaitQueue,
} from "@jaytiller/placement";
import { type ServerEntry, type ServiceSpec } from "@jaytiller/routing";
import type { ClientCall } from "./client_call.js";
import type { CapacityLeases } from "./capacity_leases.js";
import type { ClusterState } from "./cluster_state.js";
import {
  checkOwner,
  decideOwner,
  type EligibleOwner,
  MAX_MOVE_WAIT_MS,
} from "./owner_decision.js";
import {
  ASSUMED_ANSWER_BYTES,
  collectRetryFacts,
  DecisionKind,
  type Outcome,
  type PlacementRequest,
  type PlacementView,
  RefusalReason,
  type RefuseDecision,
  refuseRequest,
  type SendDecision,
} from "./placement_decision.js";
import type { ServerClearance } from "./server_clearance.js";
import {
  checkService,
  decideService,
  type EligibleService,
  type ServiceInputs,
} from "./service_decision.js";
import type { TrafficStats } from "./traffic_stats.js";

export { RefusalReason } from "./placement_decision.js";

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

/** An admission share and what it means for the next request. */
export interface AdmissionReading {
  /** Share of the requests that is admitted. */
  readonly share: number;
  /** Probability that the next request is admitted. */
  readonly probability: number;
  /** Time since the share was computed, ms; absent without a share. */
  readonly ageMs?: number;
}

/** Largest number of requests that wait at one router. */
const MAX_WAITING = 200;
/**
 * Time for which a service counts as short after a request found no room, ms.
 * Room that is free between two such requests is needed by the next one.
 */
const SHORTAGE_MS = 500;
/** Interval at which waiting requests are tried again, ms. */
const ADVANCE_INTERVAL_MS = 20;

/** Dependencies of a placer. */
export interface PlacerOptions {
  readonly zone: string;
  /** Returns the number of routers that share the servers. */
  readonly countRouters: () => number;
  /** What servers say about themselves. */
  readonly clearance: ServerClearance;
  readonly leases: CapacityLeases;
}

/** Assigns requests to servers that may run them. */
export class Placer {
  readonly #cluster: ClusterState;
  readonly #stats: TrafficStats;
  readonly #zone: string;
  readonly #countRouters: () => number;
  readonly #clearance: ServerClearance;
  readonly #leases: CapacityLeases;
  readonly #queue = WaitQueue.create({ capacity: MAX_WAITING });
  readonly #gate = new ShareGate();
  readonly #quota = new ClientQuota();
  /** What decisions read. */
  readonly #view: PlacementView;
  /** Requests that have passed the admission share of their resource. */
  readonly #passed = new WeakSet<ClientCall>();
  /** Monotonic times at which requests for services found no room, ms. */
  readonly #shortMs = new Map<string, number>();
  #evicted = 0;
  #deferred = 0;
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
    this.#clearance = options.clearance;
    this.#leases = options.leases;
    this.#view = {
      ...options,
      cluster,
      stats,
      countAhead: (resource, priority) =>
        this.#queue.countAhead(resource, priority),
      random: Math.random,
    };
    cluster.onChange(() => this.advance());
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Number of waiting requests that gave their places to more urgent ones. */
  get evicted(): number {
    return this.#evicted;
  }

  /** Number of requests that came after those of other clients. */
  get deferred(): number {
    return this.#deferred;
  }

  /** Number of client addresses that are counted because of a shortage. */
  get countedClients(): number {
    return this.#quota.countClients(performance.now());
  }

  /** Removes the state of routes that are no longer configured. */
  retainRoutes(isKnown: (route: string) => boolean): void {
    this.#quota.retainRoutes(isKnown);
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
  async findServer(
    call: ClientCall,
    options: PlaceOptions,
  ): Promise<Placement> {
    const { service } = call;
    const isShared =
      this.#cluster.routes?.findService(service)?.sharded === false;
    if (isShared) this.#stats.demand.begin(service, performance.now());
    const placement = await this.#findServer(call, options);
    // The end of the exchange ends the demand of a request that is sent.
    if (isShared && !("server" in placement)) {
      this.#stats.demand.end(service, performance.now());
    }
    return placement;
  }

  /** What decisions read, for an explanation. */
  get view(): PlacementView {
    return this.#view;
  }

  /**
   * Returns the share of a resource that is admitted, and the probability that
   * the next request of a priority is; draws nothing.
   */
  readAdmission(
    resource: string,
    { priority, nowMs }: { priority: number; nowMs: number },
  ): AdmissionReading {
    const { admission } = this.#cluster;
    const share = admission.get(resource, priority, nowMs);
    const ageMs = admission.getAgeMs(resource, nowMs);
    const probability = this.#gate.computeProbability(
      `${resource}/${priority}`,
      share,
    );
    return {
      share,
      probability,
      ...(ageMs === undefined ? {} : { ageMs }),
    };
  }

  /** Returns whether the wait queue has a place for a request. */
  hasPlace(request: { priority: number; deadlineMs: number }): boolean {
    return this.#queue.accepts(request);
  }

  /** Returns whether requests wait for a service, or found no room lately. */
  isShort(resource: string, nowMs: number): boolean {
    const shortMs = this.#shortMs.get(resource) ?? -Infinity;
    return nowMs - shortMs <= SHORTAGE_MS ||
      this.#queue.countAhead(resource, Infinity) > 0;
  }

  /**
   * Reserves a server for a second attempt of a call of an undivided service,
   * if one has room now, may get such work and `isAllowed` then agrees.
   */
  reserveSecond(
    call: ClientCall,
    { body, first, isAllowed }: {
      /** Size of the request body, bytes. */
      body: number;
      /** Id of the server that has the first attempt. */
      first: string;
      isAllowed: () => boolean;
    },
  ): ServerEntry | undefined {
    const nowMs = performance.now();
    const { service } = call;
    const entries = this.#clearance.listUsable(service, nowMs);
    const serviceMs = this.#stats.computeMeanServiceMs(entries);
    this.#clearance.advanceCold(service, entries, nowMs);
    const allowed = this.#leases.listServers(service, entries, nowMs);
    const candidates = this.#clearance.listCandidates(allowed, nowMs);
    const { best, share } = chooseServer(
      this.#clearance.listUnrestricted(candidates),
      {
        nowMs,
        zone: this.#zone,
        routers: this.#countRouters(),
        bytes: body + ASSUMED_ANSWER_BYTES,
        tried: new Set([...call.triedServers, first]),
        assumedMs: serviceMs,
        random: Math.random,
      },
    );
    if (!best) return undefined;
    const expectedMs = estimateLatency(best, { nowMs, assumedMs: serviceMs });
    if (expectedMs >= call.deadlineMs - nowMs || !isAllowed()) return undefined;
    this.#stats.demand.begin(service, nowMs);
    return this.#reserve(best.entry, share).server;
  }

  #findServer(call: ClientCall, options: PlaceOptions): Promise<Placement> {
    const nowMs = performance.now();
    const outcome = this.#decide(call, {
      ...options,
      nowMs,
      ahead: undefined,
    });
    if (options.notBeforeMs <= nowMs && outcome.kind !== DecisionKind.Wait) {
      return Promise.resolve(this.#finish(call, outcome));
    }
    const wait = outcome.kind === DecisionKind.Wait ? outcome : {
      resource: "later",
      waitMs: MAX_MOVE_WAIT_MS,
      reason: RefusalReason.Overloaded,
    };
    return this.#wait(call, { ...options, nowMs, ...wait });
  }

  /** Reserves the server of a request that is sent, or refuses the request. */
  #finish(call: ClientCall, outcome: SendDecision | RefuseDecision): Placement {
    return outcome.kind === DecisionKind.Send
      ? this.#reserve(outcome.server, outcome.share)
      : this.#refuse(call, outcome);
  }

  /** Makes the refusal that a client is told. */
  #refuse(
    call: ClientCall,
    { reason, roomMs }: Omit<RefuseDecision, "kind">,
  ): Refusal {
    const nowMs = performance.now();
    const retryAfterMs = spreadRetryAfter({
      ...collectRetryFacts(this.#view, call.service, {
        roomMs,
        leftMs: call.deadlineMs - nowMs,
      }),
      random: Math.random,
    });
    if (SHARE_REASONS.has(reason)) {
      const client = makeClientRequest(call);
      this.#quota.recordRefusal(client, { nowMs, retryAfterMs });
    }
    return { reason, retryAfterMs };
  }

  #reserve(server: ServerEntry, share: number | undefined): ReservedServer {
    this.#clearance.use(server, performance.now());
    const { slots } = server;
    this.#stats.get(server.id).begin(
      share ?? computeShare({ slots, routers: this.#countRouters() }),
    );
    return { server };
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
        resolve(this.#refuse(call, { reason, roomMs: options.waitMs }));
      const waiter: QueuedRequest = {
        resource: options.resource,
        priority: call.route.priority,
        deadlineMs: call.deadlineMs,
        untilMs: Math.max(options.notBeforeMs, options.nowMs + options.waitMs),
        notBeforeMs: options.notBeforeMs,
        tryDispatch: (nowMs) =>
          this.#tryDispatch(call, { ...options, nowMs, resolve, waiter }),
        expire: () => refuse(options.reason),
        evict: () => {
          this.#evicted += 1;
          refuse(RefusalReason.RoomFull);
        },
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
   * Tries to select a server for a queued request. No request counts as ahead of
   * it, because the queue tries more urgent requests first.
   */
  #tryDispatch(
    call: ClientCall,
    options: PlaceOptions & {
      nowMs: number;
      resolve: (placement: Placement) => void;
      waiter: QueuedRequest;
    },
  ): DispatchResult {
    const outcome = this.#decide(call, { ...options, ahead: 0 });
    if (outcome.kind === DecisionKind.Wait) {
      options.waiter.resource = outcome.resource;
      return this.#isHeld(call) ? DispatchResult.Held : DispatchResult.NoRoom;
    }
    options.resolve(this.#finish(call, outcome));
    return DispatchResult.Done;
  }

  /** Returns whether a request may wait only because it avoids servers. */
  #isHeld(call: ClientCall): boolean {
    const service = this.#cluster.routes?.findService(call.service);
    return call.triedServers.length > 0 && !service?.sharded;
  }

  #decide(call: ClientCall, options: AttemptOptions): Outcome {
    const service = this.#cluster.routes?.findService(call.service);
    if (!service) return refuseRequest(RefusalReason.NoServer);
    const request = makeRequest(call, options);
    return service.sharded
      ? this.#decideOwner(call, service, { ...options, request })
      : this.#decideService(call, service, { ...options, request });
  }

  #decideOwner(
    call: ClientCall,
    service: ServiceSpec,
    options: RequestOptions,
  ): Outcome {
    const { nowMs, request } = options;
    const owner = checkOwner(this.#view, service, request);
    if (owner.kind !== DecisionKind.Eligible) return owner;
    const refused = this.#drawAdmission(call, owner, options);
    if (refused) return refused;
    const { server } = owner;
    this.#clearance.advanceCold(service.name, [server], nowMs);
    let decision = decideOwner(this.#view, owner, request);
    const { waiting, coldDelayMs } = decision.inputs;
    const asked = { waiting, nowMs };
    // Permits may be there at once, if this router is the coordinator.
    if (
      coldDelayMs > 0 && this.#clearance.requestColdPermit([server], asked)
    ) decision = decideOwner(this.#view, owner, request);
    if (!decision.inputs.permit?.isDue) return decision.outcome;
    this.#clearance.requestPermit(server, asked);
    return decideOwner(this.#view, owner, request).outcome;
  }

  #decideService(
    call: ClientCall,
    service: ServiceSpec,
    options: RequestOptions,
  ): Outcome {
    const { nowMs, request } = options;
    const eligible = checkService(this.#view, service, request);
    if (eligible.kind !== DecisionKind.Eligible) return eligible;
    const refused = this.#drawAdmission(call, eligible, options);
    if (refused) return refused;
    this.#clearance.advanceCold(service.name, eligible.entries, nowMs);
    const { outcome, inputs } = decideService(this.#view, eligible, request);
    // A request that is sent again may find none because it avoids servers.
    const isNoneFound = inputs.selection?.choice.best === undefined;
    if (inputs.selection && isNoneFound && call.triedServers.length === 0) {
      this.#shortMs.set(eligible.resource, nowMs);
    }
    if (!this.#requestPermits(eligible, inputs, nowMs)) return outcome;
    // A permit for a cold server is there: this router is the coordinator.
    const second = decideService(this.#view, eligible, request);
    const { selection } = second.inputs;
    if (selection) this.#leases.recordUse(service.name, selection.leased);
    return second.outcome;
  }

  /**
   * Asks for the permits that a decision lacked. Returns whether one for a cold
   * server is there now.
   */
  #requestPermits(
    { service, entries }: EligibleService,
    { selection, pauseMs }: ServiceInputs,
    nowMs: number,
  ): boolean {
    if (!selection) {
      return pauseMs > 0 &&
        this.#clearance.requestColdPermit(entries, { waiting: 1, nowMs });
    }
    const { leased, candidates, choice } = selection;
    this.#leases.recordUse(service, leased);
    const isNeeded = choice.best === undefined;
    return this.#clearance.requestPermits(candidates, { isNeeded, nowMs });
  }

  /**
   * Returns the refusal of a request beyond the share that its resource admits,
   * or `undefined`. A request passes once; it is not tried before it is due,
   * because its attempt does not count then.
   */
  #drawAdmission(
    call: ClientCall,
    { resource, reason }: EligibleOwner | EligibleService,
    { nowMs, notBeforeMs }: AttemptOptions,
  ): RefuseDecision | undefined {
    if (notBeforeMs > nowMs || this.#passed.has(call)) return undefined;
    const { priority } = call.route;
    const share = this.#cluster.admission.get(resource, priority, nowMs);
    if (share < 1) {
      call.admissionShare = share;
      const isDeferred = this.#quota.record(makeClientRequest(call), nowMs);
      if (isDeferred) this.#deferred += 1;
      const isAdmitted = this.#gate.admit(`${resource}/${priority}`, {
        share,
        isDeferred,
        random: Math.random,
      });
      if (!isAdmitted) return refuseRequest(reason, estimateRoomByShare(share));
    }
    this.#passed.add(call);
    return undefined;
  }
}

interface AttemptOptions extends PlaceOptions {
  readonly nowMs: number;
  /** Requests ahead in the queue; counted in the wait queue if absent. */
  readonly ahead: number | undefined;
}

interface RequestOptions extends AttemptOptions {
  readonly request: PlacementRequest;
}

/** Reasons of requests beyond an admission share. */
const SHARE_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.OwnerOverloaded,
  RefusalReason.ServiceOverloaded,
]);

function makeClientRequest(call: ClientCall): ClientRequest {
  const address = call.request.socket.remoteAddress ?? "";
  return { route: call.route.name, address };
}

function makeRequest(
  call: ClientCall,
  { body, nowMs, ahead }: AttemptOptions,
): PlacementRequest {
  const { key } = call.metadata;
  return {
    route: call.route,
    ...(key === undefined ? {} : { key }),
    body,
    tried: call.triedServers,
    nowMs,
    leftMs: call.deadlineMs - nowMs,
    ...(ahead === undefined ? {} : { ahead }),
  };
}
