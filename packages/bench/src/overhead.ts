/**
 * Measures the overhead of the router: sends the same load to servers directly
 * and through entry VMs.
 * @module
 */
import {
  formatGroup,
  RequestClass,
  SERVER_HEADER,
  type VmId,
} from "@jaytiller/model";
import {
  createRandom,
  type Fleet,
  type FleetOptions,
  type ServiceSpec,
} from "@jaytiller/standins";
import type { ClusterState } from "@jaytiller/state";
import { randomUUID } from "node:crypto";
import type { Agent } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { makeArrivals, Phase } from "./arrivals.js";
import { findHolder, readState, withFleet } from "./bench_fleet.js";
import {
  ClientOutcome,
  makeAgent,
  runOpenLoop,
  sendTimedRequest,
} from "./open_loop_client.js";
import { computeLatency, isAnswered } from "./measures.js";
import { readProcessStats } from "./process_stats.js";
import { ZipfKeys } from "./zipf.js";

const ZONE = "alpha";
const SERVICE = "bench";
const DEADLINE_MS = 2000;
/** Connections per entry VM. */
const MAX_SOCKETS = 256;
/** Pause between blocks, in which the requests of the last one end. */
const BLOCK_PAUSE_MS = 200;
const START_DELAY_MS = 50;
const KEYS = 500;
/**
 * Requests that a server accepts beyond its slots, so that it does not refuse a
 * request that arrives while the previous one is ending.
 */
const SPARE_SLOTS = 2;

/** Paths of a request to a server. */
export enum RequestPath {
  /** Without a router. */
  Direct = "direct",
  /** Through the entry VM that holds the group. */
  Holder = "holder",
  /** Through another entry VM, which forwards to the holder. */
  OtherEntry = "otherEntry",
}

/** Options of the benchmark; times in ms. */
export interface OverheadOptions {
  readonly seeds: readonly number[];
  /** Number of blocks of each path per seed. */
  readonly rounds: number;
  readonly blockMs: number;
  /** Time at the start of each block whose requests are not measured. */
  readonly warmUpMs: number;
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Offered load as a share of the servers' capacity. */
  readonly share: number;
}

/** Measures of one path with one seed. */
export interface PathResult {
  readonly path: RequestPath;
  readonly seed: number;
  readonly answered: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Processor time of all routers per request. */
  readonly cpuMsPerRequest: number;
  /** `cpuMsPerRequest` without the idle usage, measured in direct blocks. */
  readonly netCpuMsPerRequest: number;
}

interface Block {
  readonly path: RequestPath;
  readonly latencies: readonly number[];
  readonly failed: number;
  readonly requests: number;
  readonly cpuMs: number;
  readonly elapsedMs: number;
}

interface Target {
  readonly url: string;
  readonly agent: Agent;
}

/** Creates the options of a fleet of one service in one zone. */
export function makeSingleServiceFleet(
  service: Pick<ServiceSpec, "checksOwner" | "slots" | "serviceMs" | "shards">,
  size: { servers: number; entries: number },
): FleetOptions {
  return {
    zones: [ZONE],
    entriesPerZone: size.entries,
    services: [{
      ...service,
      name: SERVICE,
      pathPrefix: "/bench",
      serversPerZone: size.servers,
      connections: 130,
      rules: [{
        prefix: "/",
        methods: ["GET"],
        idempotent: true,
        class: RequestClass.Urgent,
        deadlineMs: DEADLINE_MS,
        maxBodyBytes: 65_536,
      }],
    }],
    backend: { slots: service.slots + SPARE_SLOTS },
  };
}

/** The only group of a fleet from `makeSingleServiceFleet`. */
export const SINGLE_SERVICE_GROUP = formatGroup(SERVICE, ZONE);

/** Sends blocks of requests to one fleet. */
class BlockRunner {
  readonly #fleet: Fleet;
  readonly #options: OverheadOptions;
  readonly #state: ClusterState;
  readonly #entries: Readonly<
    Record<RequestPath.Holder | RequestPath.OtherEntry, Target>
  >;
  /**
   * Servers by id. Each agent has one connection per slot, so that requests
   * queue for slots as they do at the holder.
   */
  readonly #servers: ReadonlyMap<VmId, Target>;

  constructor(fleet: Fleet, state: ClusterState, options: OverheadOptions) {
    this.#fleet = fleet;
    this.#state = state;
    this.#options = options;
    const holder = findHolder(fleet, state, SINGLE_SERVICE_GROUP);
    const other = fleet.entries.find((e) => e.id !== holder.id)!;
    this.#entries = {
      [RequestPath.Holder]: {
        url: holder.callerUrl,
        agent: makeAgent(MAX_SOCKETS),
      },
      [RequestPath.OtherEntry]: {
        url: other.callerUrl,
        agent: makeAgent(MAX_SOCKETS),
      },
    };
    this.#servers = new Map(
      fleet.backends.map((b) => [
        b.id,
        { url: b.url, agent: makeAgent(options.slots) },
      ]),
    );
  }

  #findTarget(path: RequestPath, key: string): Target {
    if (path !== RequestPath.Direct) return this.#entries[path];
    const unit = this.#state.resolveUnit(SERVICE, key)!;
    return this.#servers.get(this.#state.getOwner(SERVICE, unit)!.server)!;
  }

  #readCpuMs(): number {
    return this.#fleet.entries
      .reduce(
        (sum, e) => sum + (readProcessStats(e.child.pid)?.cpuMs ?? NaN),
        0,
      );
  }

  /** Sends one block. The same seed gives the same requests on all paths. */
  async run(path: RequestPath, seed: number): Promise<Block> {
    const { blockMs, warmUpMs, servers, slots, serviceMs, share } =
      this.#options;
    const random = createRandom(seed);
    const perSecond = share * servers * slots * 1000 / serviceMs;
    const span = { phase: Phase.Before, fromMs: 0, toMs: blockMs, perSecond };
    const keys = ZipfKeys.create({
      keys: KEYS,
      exponent: 0,
      moveEveryMs: 0,
      moveBy: 0,
    });
    const items = makeArrivals([span], random)
      .map((atMs) => ({ atMs, key: `key-${keys.resolveKey(random(), atMs)}` }));
    const latencies: number[] = [];
    let failed = 0;
    const cpuMs = this.#readCpuMs();
    const startMs = performance.now();
    await runOpenLoop(
      items,
      startMs + START_DELAY_MS,
      async ({ atMs, key }, dueMs) => {
        const { url, agent } = this.#findTarget(path, key);
        const answer = await sendTimedRequest({
          dueMs,
          url: `${url}/bench/${key}`,
          method: "GET",
          deadlineMs: DEADLINE_MS,
          needsIdempotencyKey: false,
          headers: path === RequestPath.Direct
            ? { [SERVER_HEADER.requestId]: randomUUID() }
            : {},
        }, agent);
        if (atMs < warmUpMs) return;
        if (isAnswered(answer)) latencies.push(answer.latencyMs);
        if (answer.outcome !== ClientOutcome.InTime) failed += 1;
      },
    );
    await delay(BLOCK_PAUSE_MS);
    return {
      path,
      latencies,
      failed,
      requests: items.length,
      cpuMs: this.#readCpuMs() - cpuMs,
      elapsedMs: performance.now() - startMs,
    };
  }

  close(): void {
    for (const { agent } of Object.values(this.#entries)) agent.destroy();
    for (const { agent } of this.#servers.values()) agent.destroy();
  }
}

function makeResult(
  blocks: readonly Block[],
  at: { path: RequestPath; seed: number; idleCpuPerMs: number },
): PathResult {
  const { path, seed, idleCpuPerMs } = at;
  const pathBlocks = blocks.filter((b) => b.path === path);
  const sum = (get: (b: Block) => number) =>
    pathBlocks.reduce((total, b) => total + get(b), 0);
  const latencies = pathBlocks.flatMap((b) => b.latencies);
  const { p50Ms, p99Ms } = computeLatency(latencies);
  const requests = sum((b) => b.requests);
  const cpuMs = sum((b) => b.cpuMs);
  const idleMs = sum((b) => b.elapsedMs) * idleCpuPerMs;
  return {
    path,
    seed,
    answered: latencies.length,
    failed: sum((b) => b.failed),
    p50Ms,
    p99Ms,
    cpuMsPerRequest: path === RequestPath.Direct ? 0 : cpuMs / requests,
    netCpuMsPerRequest: path === RequestPath.Direct
      ? 0
      : (cpuMs - idleMs) / requests,
  };
}

async function runSeed(
  runner: BlockRunner,
  seed: number,
  rounds: number,
): Promise<PathResult[]> {
  const paths = Object.values(RequestPath);
  const blocks: Block[] = [];
  for (let round = 0; round < rounds; round++) {
    // Rotates the order, so that each path comes first, second and last equally
    // often if `rounds` is a multiple of three.
    const at = round % paths.length;
    for (const path of [...paths.slice(at), ...paths.slice(0, at)]) {
      blocks.push(await runner.run(path, seed * 1000 + round));
    }
  }
  const direct = blocks.filter((b) => b.path === RequestPath.Direct);
  const idleCpuPerMs = direct.reduce((sum, b) => sum + b.cpuMs, 0) /
    direct.reduce((sum, b) => sum + b.elapsedMs, 0);
  return paths.map((path) => makeResult(blocks, { path, seed, idleCpuPerMs }));
}

/**
 * Runs all seeds on one fleet. The servers do not check ownership, because
 * direct requests carry no owner token.
 */
export async function runOverhead(
  options: OverheadOptions,
): Promise<PathResult[]> {
  const { servers, slots, serviceMs, seeds, rounds } = options;
  const fleetOptions = makeSingleServiceFleet(
    { checksOwner: false, slots, serviceMs, shards: 64 },
    { servers, entries: 2 },
  );
  return await withFleet(fleetOptions, async (fleet) => {
    const runner = new BlockRunner(fleet, await readState(fleet), options);
    try {
      // Warms up: JIT compilation and connection setup are not measured.
      for (const path of Object.values(RequestPath)) await runner.run(path, 0);
      const results: PathResult[] = [];
      for (const seed of seeds) {
        results.push(...await runSeed(runner, seed, rounds));
      }
      return results;
    } finally {
      runner.close();
    }
  });
}
