/** Starts and stops fleets of separate processes. @module */
import { VmKind, VmState } from "@jaytiller/model";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import { sendControl } from "./control_client.js";
import { readExecutions } from "./execution_journal.js";
import { FleetNetwork } from "./fleet_network.js";
import type { FleetOptions, ServiceSpec } from "./fleet_options.js";
import { type Child, Launcher } from "./launcher.js";

const HOST = "127.0.0.1";
/** Number of processes to start concurrently. */
const START_BATCH_SIZE = 8;

function resolveScript(name: string): string {
  return fileURLToPath(new URL(`./${name}`, import.meta.url));
}

const ROUTER_SCRIPT = fileURLToPath(
  new URL("../../../router/dist/src/main.js", import.meta.url),
);

/** A running log service or VM list. */
export interface ServiceHandle {
  readonly child: Child;
  readonly url: string;
}

/** A running entry VM. */
export interface EntryHandle {
  readonly id: string;
  readonly zone: string;
  readonly child: Child;
  /** URL of the caller port, through a proxy link if the fleet has proxies. */
  readonly callerUrl: string;
  /** URL of the peer port, bypassing proxy links. */
  readonly peerUrl: string;
  /** Address of the operator port as `ip:port`. */
  readonly operatorAddress: string;
  readonly settingsFile: string;
}

/** A running backend server. */
export interface BackendHandle {
  readonly id: string;
  readonly zone: string;
  readonly service: ServiceSpec;
  readonly child: Child;
  /** URL of the work port, bypassing proxy links. */
  readonly url: string;
  /** URL for `/control`, `/health` and `/records`. */
  readonly controlUrl: string;
  readonly recordsFile: string;
}

async function mapInBatches<T, R>(
  items: readonly T[],
  map: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  for (let i = 0; i < items.length; i += START_BATCH_SIZE) {
    const batch = items.slice(i, i + START_BATCH_SIZE);
    results.push(...await Promise.all(batch.map(map)));
  }
  return results;
}

interface Entity {
  readonly id: string;
}

/**
 * Sorts handles by the position of their ids in `order`, since they are added in
 * the order in which processes become ready.
 */
function sortByIdOrder(handles: Entity[], order: readonly Entity[]): void {
  const positions = new Map(order.map(({ id }, i) => [id, i]));
  handles.sort((a, b) => positions.get(a.id)! - positions.get(b.id)!);
}

/** A fleet of platform services, backend servers and entry VMs. */
export class Fleet {
  readonly launcher = new Launcher();
  readonly options: FleetOptions;
  /** Temporary directory for settings and records; `stop` removes it. */
  readonly directory = mkdtempSync(join(tmpdir(), "fleet-"));
  readonly entries: EntryHandle[] = [];
  readonly backends: BackendHandle[] = [];
  #log: ServiceHandle | undefined;
  #vmList: ServiceHandle | undefined;
  #network: FleetNetwork | undefined;

  constructor(options: FleetOptions) {
    this.options = options;
    this.launcher.addCleanUp(() =>
      rmSync(this.directory, { recursive: true, force: true })
    );
  }

  get log(): ServiceHandle {
    if (!this.#log) throw new Error("The log service is not started.");
    return this.#log;
  }

  get vmList(): ServiceHandle {
    if (!this.#vmList) throw new Error("The VM list is not started.");
    return this.#vmList;
  }

  /** Manages proxy links and registration; see `FleetNetwork`. */
  get network(): FleetNetwork {
    if (!this.#network) throw new Error("The network is not started.");
    return this.#network;
  }

  /** Starts all processes that the options describe and registers the VMs. */
  async start(): Promise<void> {
    const { zones, services, entriesPerZone } = this.options;
    this.#log = await this.#startService("log", this.options.log ?? {});
    this.#vmList = await this.#startService("vm_list", {
      lagMs: this.options.vmListLagMs ?? 0,
    });
    this.#network = new FleetNetwork({
      launcher: this.launcher,
      proxyScript: resolveScript("proxy_main.js"),
      proxies: this.options.proxies ?? false,
      latencies: this.options.latencies ?? { betweenZonesMs: 0, clientMs: 0 },
      logUrl: this.#log.url,
      vmListUrl: this.#vmList.url,
    });
    const servers = zones.flatMap((zone) =>
      services.flatMap((service) =>
        Array.from({ length: service.serversPerZone }, (_, i) => ({
          id: `${service.name}-${zone}-${i + 1}`,
          zone,
          service,
        }))
      )
    );
    await mapInBatches(servers, (s) => this.startBackend(s));
    sortByIdOrder(this.backends, servers);
    if (this.options.routers === false) return;
    const entries = zones.flatMap((zone) =>
      Array.from({ length: entriesPerZone }, (_, i) => ({
        id: `entry-${zone}-${i + 1}`,
        zone,
      }))
    );
    await mapInBatches(entries, (e) => this.startEntry(e));
    sortByIdOrder(this.entries, entries);
  }

  async #startService(
    name: "log" | "vm_list",
    options: Readonly<Record<string, unknown>>,
  ): Promise<ServiceHandle> {
    const script = name === "log" ? "log_service_main" : "vm_list_main";
    const child = await this.launcher.start({
      name,
      script: resolveScript(`${script}.js`),
      args: [JSON.stringify(options)],
    });
    return { child, url: `http://${HOST}:${child.ready.port}` };
  }

  /**
   * Starts a backend server and registers it. An existing handle and list entry
   * with the same id are replaced.
   */
  async startBackend(
    server: { id: string; zone: string; service: ServiceSpec },
    extraOptions: Readonly<Record<string, unknown>> = {},
  ): Promise<BackendHandle> {
    const { id, zone, service } = server;
    const recordsFile = join(this.directory, `${id}.records.jsonl`);
    const child = await this.launcher.start({
      name: id,
      script: resolveScript("backend_server_main.js"),
      args: [JSON.stringify({
        id,
        zone,
        service: service.name,
        recordsFile,
        checks: service.checksOwner,
        slots: service.slots,
        connections: service.connections,
        serviceMs: service.serviceMs,
        ...this.options.backend,
        ...extraOptions,
      })],
    });
    const { port, controlPort } = child.ready;
    const handle: BackendHandle = {
      ...server,
      child,
      url: `http://${HOST}:${port}`,
      controlUrl: `http://${HOST}:${controlPort}`,
      recordsFile,
    };
    this.#addOrReplace(this.backends, handle);
    await this.network.registerVm({
      id,
      kind: VmKind.Backend,
      zone,
      state: VmState.Live,
      service: service.name,
      url: handle.url,
    });
    return handle;
  }

  /**
   * Starts an entry VM and registers it. An existing handle and list entry with
   * the same id are replaced.
   */
  async startEntry(
    entry: { id: string; zone: string },
  ): Promise<EntryHandle> {
    const { id, zone } = entry;
    const settingsFile = join(this.directory, `${id}.toml`);
    const { settings } = this.options;
    const urls = await this.network.connectSource(id, zone);
    writeFileSync(
      settingsFile,
      stringify({
        ...settings,
        node: { id, zone, ...settings?.node },
        listen: {
          host: HOST,
          caller_port: 0,
          peer_port: 0,
          operator_port: 0,
          ...settings?.listen,
        },
        platform: {
          log_url: urls.logUrl,
          vm_list_url: urls.vmListUrl,
          seeds: urls.seeds,
          ...settings?.platform,
        },
      }),
    );
    const child = await this.launcher.start({
      name: id,
      script: this.options.routerScript ?? ROUTER_SCRIPT,
      args: ["--settings", settingsFile],
    });
    const { callerPort, peerPort, operatorPort } = child.ready;
    const operatorAddress = `${HOST}:${operatorPort}`;
    const peerUrl = `http://${HOST}:${peerPort}`;
    const vm = await this.network.registerVm({
      id,
      kind: VmKind.Entry,
      zone,
      state: VmState.Live,
      url: `http://${HOST}:${callerPort}`,
      peerUrl,
      operatorAddress,
    });
    const handle: EntryHandle = {
      id,
      zone,
      child,
      callerUrl: vm.url,
      peerUrl,
      operatorAddress,
      settingsFile,
    };
    this.#addOrReplace(this.entries, handle);
    return handle;
  }

  #addOrReplace<T extends Entity>(list: T[], item: T): void {
    const at = list.findIndex((other) => other.id === item.id);
    if (at < 0) list.push(item);
    else list[at] = item;
  }

  /** Applies a change to the VM list; see `VmListChange`. */
  async changeVmList(change: Readonly<Record<string, unknown>>): Promise<void> {
    await sendControl(this.vmList.url, change);
  }

  /** Reads the execution records of all backend servers from their files. */
  readAllExecutions() {
    return this.backends.flatMap((b) => readExecutions(b.recordsFile));
  }

  /**
   * Stops all processes and removes the directory. Entry VMs get `graceMs` to
   * finish their requests; all other processes are killed.
   */
  async stop(graceMs = 0): Promise<void> {
    if (graceMs > 0) {
      await Promise.all(this.entries.map(async ({ child }) => {
        child.kill("SIGTERM");
        await child.waitForExit(graceMs).catch(() => {});
      }));
    }
    await this.launcher.stop();
  }
}

/** Starts a fleet. If a process fails to start, stops all others and throws. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = new Fleet(options);
  try {
    await fleet.start();
    return fleet;
  } catch (e) {
    await fleet.stop();
    throw e;
  }
}
