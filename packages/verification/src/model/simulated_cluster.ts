/**
 * Simulated deployment with two availability zones, one service and one log.
 * @module
 */
import {
  formatGroup,
  type GroupId,
  type LogRecord,
  RecordKind,
  RequestClass,
  type Route,
  VmKind,
  VmState,
  type Zone,
} from "@jaytiller/model";
import {
  DEFAULT_TIMING,
  Role,
  RoutingDecisionKind,
  type Timing,
} from "@jaytiller/ownership";
import { Backend } from "./backend.js";
import { Checker } from "./checker.js";
import { MAX_DEADLINE_MS } from "./dispatcher.js";
import { type Environment, KEYS, SERVICE, SHARDS } from "./environment.js";
import { LogService, VmRegistry } from "./log_service.js";
import { Network } from "./network.js";
import { Process } from "./process.js";
import { Random } from "./random.js";
import { SimulatedRouter } from "./router.js";
import { Scheduler } from "./scheduler.js";

/** Availability zones of the simulation. */
export const ZONES: readonly Zone[] = ["za", "zb"];
/** Limits the memory that the trace of one run takes. */
const MAX_TRACE_LINES = 100_000;

/** Options of a simulated cluster. */
export interface SimulatedClusterOptions {
  readonly seed: number;
  readonly checksOwner: boolean;
  readonly routersPerZone: number;
  readonly serversPerZone: number;
  /**
   * Overrides of the default timing, used to prove that the checks can fail.
   */
  readonly timing?: Partial<Timing>;
}

/** Simulates all processes, the network between them and the platform. */
export class SimulatedCluster {
  readonly options: SimulatedClusterOptions;
  readonly scheduler = new Scheduler();
  readonly random: Random;
  readonly network: Network;
  readonly vms: VmRegistry;
  readonly log: LogService;
  readonly checker: Checker;
  readonly routerIds: readonly string[];
  readonly serverIds: readonly string[];
  readonly #routers = new Map<string, SimulatedRouter>();
  readonly #backends = new Map<string, Backend>();
  readonly #env: Environment;
  readonly #lines: string[] = [];
  #idCount = 0;

  constructor(options: SimulatedClusterOptions) {
    this.options = options;
    const { scheduler } = this;
    const random = this.random = Random.create(options.seed);
    this.network = new Network({ scheduler, random });
    this.vms = new VmRegistry(scheduler);
    this.checker = new Checker({
      scheduler,
      trace: (text) => this.trace(text),
      listBackends: () => [...this.#backends.values()],
      listHolders: (group) => this.#listHolders(group),
    });
    this.log = new LogService({ scheduler, random, checker: this.checker });
    this.#env = {
      random,
      network: this.network,
      log: this.log,
      vms: this.vms,
      checker: this.checker,
      timing: { ...DEFAULT_TIMING, ...options.timing },
      checksOwner: options.checksOwner,
      findRouter: (id) => this.#routers.get(id),
      findBackend: (id) => this.#backends.get(id),
      trace: (text) => this.trace(text),
      newId: () => `id${this.#idCount += 1}`,
    };
    const listIds = (kind: string, count: number) =>
      ZONES.flatMap((zone) =>
        Array.from({ length: count }, (_, i) => `${zone}-${kind}${i}`)
      );
    this.routerIds = listIds("r", options.routersPerZone);
    this.serverIds = listIds("s", options.serversPerZone);
    this.append({
      kind: RecordKind.PutRoute,
      change: { operator: "op", reason: "start", expectVersion: 0 },
      route: this.#makeRoute(),
    });
    for (const id of this.serverIds) this.startServer(id);
    for (const id of this.routerIds) this.startRouter(id);
  }

  /** Trace lines, each prefixed with its simulated time in ms. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  trace(text: string): void {
    if (this.#lines.length >= MAX_TRACE_LINES) return;
    this.#lines.push(
      `${this.scheduler.now.toFixed(1).padStart(9)} ${text}`,
    );
  }

  getRouter(id: string): SimulatedRouter {
    return this.#routers.get(id)!;
  }

  getBackend(id: string): Backend {
    return this.#backends.get(id)!;
  }

  getProcess(id: string): Process {
    const found = this.#routers.get(id) ?? this.#backends.get(id);
    return found!.process;
  }

  /** Appends a record on behalf of an operator. */
  append(record: object): void {
    const stamps = { id: `op${this.#idCount += 1}`, hlc: "", node: "operator" };
    this.log.append({ ...record, ...stamps } as LogRecord);
  }

  startRouter(id: string): void {
    const zone = id.split("-")[0]!;
    const process = this.#startProcess(id);
    const env = this.#env;
    this.vms.put(describeVm(id, VmKind.Entry));
    this.#routers.set(id, new SimulatedRouter({ process, zone, env }));
  }

  startServer(id: string): void {
    const process = this.#startProcess(id);
    const { checker, random } = this;
    const checks = this.options.checksOwner;
    this.vms.put(describeVm(id, VmKind.Backend));
    this.#backends.set(
      id,
      new Backend({ process, checks, checker, random }),
    );
  }

  /** Restarts all killed processes and resumes all paused ones. */
  restoreAll(): void {
    for (const id of [...this.routerIds, ...this.serverIds]) {
      const process = this.getProcess(id);
      if (process.alive) process.resume();
      else if (this.routerIds.includes(id)) this.startRouter(id);
      else this.startServer(id);
    }
  }

  /**
   * Returns the holder of a zone's group; with several, the one with the
   * highest token.
   */
  findHolder(zone: Zone): string | undefined {
    return this.#listHolders(formatGroup(SERVICE, zone)).at(-1)?.id;
  }

  /**
   * Returns why the cluster has not recovered yet, or `undefined` if it has.
   */
  findUnsettledReason(): string | undefined {
    for (const zone of ZONES) {
      const group = formatGroup(SERVICE, zone);
      const holders = this.#listHolders(group);
      if (holders.length !== 1) return `${holders.length} hold ${group}`;
      for (const router of this.#routers.values()) {
        const view = router.getView(group);
        const isSame = view?.holder === holders[0]!.id &&
          view.token.toString() === holders[0]!.token;
        if (!isSame) return `${router.id} takes ${view?.holder} for the holder`;
      }
    }
    for (const router of this.#routers.values()) {
      if (router.tail.state.position !== this.log.end) {
        return `${router.id} lags behind the log`;
      }
    }
    return this.#findUnservedReason();
  }

  #findUnservedReason(): string | undefined {
    const { state } = this.checker;
    for (let i = 0; i < SHARDS; i++) {
      if (!state.getOwner(SERVICE, `s:${i}`)) return `s:${i} has no owner`;
    }
    for (const key of KEYS) {
      const unit = state.resolveUnit(SERVICE, key)!;
      const owner = state.getOwner(SERVICE, unit)!;
      const zone = owner.group.split("/")[1]!;
      const holder = this.getRouter(this.findHolder(zone)!);
      const direction = holder.direct(key);
      const isServed = direction?.kind === RoutingDecisionKind.Forward &&
        direction.server === owner.server;
      if (!isServed) {
        return `${key} (${unit}, ${owner.server}) is not served by ` +
          `${holder.id}: ${JSON.stringify(direction)} ` +
          `${holder.holder?.describeMoves().join("; ")}`;
      }
      if (this.options.checksOwner) {
        const lease = this.getBackend(owner.server).getLease();
        if (!lease.units.has(unit)) return `${owner.server} lacks ${unit}`;
      }
    }
    return undefined;
  }

  #listHolders(group: GroupId): { id: string; token: string }[] {
    return [...this.#routers.values()]
      .filter((r) => r.process.alive && r.group === group)
      .flatMap(({ id, holder }) =>
        holder?.role === Role.Holder ? [{ id, token: holder.token }] : []
      )
      .sort((a, b) => a.token.compare(b.token))
      .map(({ id, token }) => ({ id, token: token.toString() }));
  }

  #startProcess(id: string): Process {
    return new Process({
      id,
      incarnation: `${id}#${this.#idCount += 1}`,
      scheduler: this.scheduler,
      random: this.random,
      clockErrorMs: DEFAULT_TIMING.clockErrorMs,
    });
  }

  #makeRoute(): Route {
    return {
      service: SERVICE,
      pathPrefix: `/${SERVICE}`,
      shards: SHARDS,
      checksOwner: this.options.checksOwner,
      slots: 8,
      connections: 100,
      rules: [{
        prefix: "/",
        methods: [],
        idempotent: true,
        class: RequestClass.Normal,
        deadlineMs: MAX_DEADLINE_MS,
        maxBodyBytes: 1_000,
      }],
    };
  }
}

/** Returns the VM list entry of a simulated VM. */
export function describeVm(id: string, kind: VmKind, state = VmState.Live) {
  const zone = id.split("-")[0]!;
  const service = kind === VmKind.Backend ? { service: SERVICE } : {};
  return { id, kind, zone, state, url: `sim:${id}`, ...service };
}
