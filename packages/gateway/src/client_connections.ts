/** The clients' connections, and how many there may be. @module */
import type { Socket } from "node:net";
import { ChunkPacer, type PacedSource } from "./chunk_pacer.js";
import { ClientInput, InputHold } from "./client_input.js";
import { ClientPipeline } from "./client_pipeline.js";
import { InputScheduler } from "./input_scheduler.js";
import { ClientLimit, type LimitLog } from "./limit_log.js";
import { HeldKind, type MemoryBudget } from "./memory_budget.js";
import type { GatewaySettings } from "./settings.js";

/** Open requests of one connection above which it is not read. */
const MAX_OPEN = 64;
/** The same while too many requests of all connections are open. */
const MAX_OPEN_UNDER_LOAD = 1;
/** Descriptors that the system reserves. */
const SYSTEM_DESCRIPTORS = 200;
/** Part of the others for clients; the rest is for servers and the store. */
const CLIENT_SHARE = 2 / 3;
const MIN_CONNECTIONS = 16;
/** Part of the memory for connections, and for open requests. */
const MEMORY_SHARE = 1 / 8;
/** Memory that a connection with a large incomplete head takes, bytes. */
const CONNECTION_BYTES = 24 << 10;
/** Memory that an open request takes beside its body, bytes. */
const REQUEST_BYTES = 16 << 10;

/**
 * Requests that are read in a second from connections that have sent many
 * requests before earlier ones were answered. One takes 0.1 ms to 0.2 ms of a
 * core, also if it is refused.
 */
const PIPELINED_PER_SECOND = 500;
const MAX_PIPELINED_CREDIT = 1_000;

/** A connection and the number of its pipelined requests. */
interface CountedSource extends PacedSource {
  count: number;
}

/** Dependencies of the connections. */
export interface ConnectionsOptions {
  readonly settings: () => GatewaySettings;
  readonly limits: LimitLog;
  readonly budget: MemoryBudget;
  /** Returns whether responses should close their connections. */
  readonly isClosing: () => boolean;
}

/**
 * Part of the connections that may be idle after a response while others need
 * them. They are their clients' next requests, so those that have shown no
 * complete request are closed before them.
 */
const IDLE_SHARE = 1 / 2;

/**
 * Bounds the connections and their open requests. Above the bound, the one is
 * closed that has gone without a complete request for longest.
 */
export class ClientConnections {
  readonly #options: ConnectionsOptions;
  readonly #pipelines = new Map<Socket, ClientPipeline>();
  /**
   * Connections without an open request that were answered, in the order in
   * which they became idle.
   */
  readonly #idle = new Set<ClientPipeline>();
  /**
   * Connections that were not answered yet, or whose last request was incomplete
   * when it was begun, in the order in which they became so.
   */
  readonly #unproven = new Set<ClientPipeline>();
  /** Connections with pipelined requests, as sources of the pacer. */
  readonly #paced = new Map<ClientPipeline, CountedSource>();
  readonly #pacer: ChunkPacer;
  readonly #scheduler: InputScheduler;
  #open = 0;

  constructor(options: ConnectionsOptions) {
    this.#options = options;
    this.#pacer = new ChunkPacer({
      perSecond: PIPELINED_PER_SECOND,
      maxCredit: MAX_PIPELINED_CREDIT,
      onPause: () => options.limits.record(ClientLimit.RequestsPaced),
    });
    this.#scheduler = new InputScheduler(
      () => options.limits.record(ClientLimit.InputDeferred),
    );
  }

  /** Number of connections whose input waits for processor time. */
  get deferred(): number {
    return this.#scheduler.waiting;
  }

  get size(): number {
    return this.#pipelines.size;
  }

  /** Largest number of connections. */
  get maxSize(): number {
    const { maxDescriptors, memoryBytes } = this.#options.settings();
    const descriptors = CLIENT_SHARE * (maxDescriptors - SYSTEM_DESCRIPTORS);
    const memory = MEMORY_SHARE * memoryBytes / CONNECTION_BYTES;
    return Math.max(MIN_CONNECTIONS, Math.floor(Math.min(descriptors, memory)));
  }

  find(socket: Socket): ClientPipeline | undefined {
    return this.#pipelines.get(socket);
  }

  list(): Iterable<Socket> {
    return this.#pipelines.keys();
  }

  /**
   * Number of requests whose responses were not handed to the network
   * completely, or have not begun.
   */
  get open(): number {
    return this.#open;
  }

  /** Closes connections on which nothing is sent and no request arrives. */
  closeIdle(): void {
    for (const pipeline of [...this.#idle, ...this.#unproven]) {
      const { socket, input, open } = pipeline;
      const isBusy = open > 0 || input.isInHead || input.hasPending;
      if (socket.writableLength === 0 && !isBusy) socket.destroy();
    }
  }

  /** Adds a connection that the HTTP server has accepted. */
  accept(socket: Socket): void {
    const { budget } = this.#options;
    const memory = budget.open({
      kind: HeldKind.Input,
      address: socket.remoteAddress ?? "",
      // What belongs to a request goes with it.
      canGiveUp: () => this.find(socket)?.hasNoRequest ?? false,
      giveUp: () => {
        this.find(socket)?.cutOff();
        memory.release();
      },
    });
    const pipeline = new ClientPipeline({
      socket,
      budget,
      input: new ClientInput(socket, { scheduler: this.#scheduler, memory }),
      isClosing: this.#options.isClosing,
      getMaxOpen: () => this.#isOverloaded() ? MAX_OPEN_UNDER_LOAD : MAX_OPEN,
      onOpenChange: (changed, change) => this.#countOpen(changed, change),
    });
    this.#pipelines.set(socket, pipeline);
    this.#unproven.add(pipeline);
    // Each request that is in progress on the connection adds listeners.
    socket.setMaxListeners(0);
    socket.on("close", () => {
      this.#pipelines.delete(socket);
      this.#idle.delete(pipeline);
      this.#unproven.delete(pipeline);
      const source = this.#paced.get(pipeline);
      if (source) this.#pacer.remove(source);
      this.#paced.delete(pipeline);
    });
    if (this.size > this.maxSize) this.#closeOldest();
  }

  #closeOldest(): void {
    const { maxSize } = this;
    const mayKeepIdle = this.#idle.size <= IDLE_SHARE * maxSize;
    const [idle] = this.#idle;
    // The newest is unproven itself, so there is always one.
    const oldest = mayKeepIdle ? this.#findUnproven() ?? idle : idle;
    if (!oldest) return;
    this.#idle.delete(oldest);
    this.#unproven.delete(oldest);
    this.#pipelines.delete(oldest.socket);
    oldest.socket.destroy();
    this.#options.limits.record(ClientLimit.Connections, {
      client: oldest.socket.remoteAddress,
      connections: this.size,
    });
  }

  /** Returns the oldest connection that has shown no complete request. */
  #findUnproven(): ClientPipeline | undefined {
    for (const pipeline of this.#unproven) {
      if (pipeline.open === 0 || pipeline.isReceiving) return pipeline;
      // Its request is complete now, and counts until it is answered.
      this.#unproven.delete(pipeline);
    }
    return undefined;
  }

  #countOpen(pipeline: ClientPipeline, change: number): void {
    this.#open += change;
    this.#sort(pipeline);
    if (change < 0 || pipeline.open === 1) return;
    this.#limitRequests(pipeline);
    this.#pace(pipeline);
  }

  /** Moves a connection whose number of open requests has changed. */
  #sort(pipeline: ClientPipeline): void {
    this.#idle.delete(pipeline);
    if (pipeline.socket.destroyed) return void this.#unproven.delete(pipeline);
    if (pipeline.open === 0 && pipeline.hasAnswered) {
      this.#unproven.delete(pipeline);
      this.#idle.add(pipeline);
    } else if (pipeline.isReceiving) this.#unproven.add(pipeline);
  }

  #pace(pipeline: ClientPipeline): void {
    const { input, socket } = pipeline;
    if (socket.destroyed) return;
    let source = this.#paced.get(pipeline);
    if (!source) {
      source = {
        count: 0,
        pause: () => input.hold(InputHold.Requests),
        resume: () => input.release(InputHold.Requests),
      };
      this.#paced.set(pipeline, source);
    }
    source.count += 1;
    this.#pacer.count(source, source.count);
  }

  /** Closes a connection that adds to more requests than memory allows. */
  #limitRequests({ socket }: ClientPipeline): void {
    if (this.#open <= this.#maxOpen || socket.destroyed) return;
    this.#options.limits.record(ClientLimit.Requests, {
      client: socket.remoteAddress,
      requests: this.#open,
    });
    socket.destroy();
  }

  get #maxOpen(): number {
    const { memoryBytes } = this.#options.settings();
    return MEMORY_SHARE * memoryBytes / REQUEST_BYTES;
  }

  #isOverloaded(): boolean {
    const { heapBytes, heapLimitBytes } = this.#options.budget;
    return this.#open > this.#maxOpen / 2 || heapBytes > heapLimitBytes / 2;
  }
}
