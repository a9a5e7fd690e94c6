/** VM registration and proxy links of a fleet. @module */
import type { VmEntry } from "@jaytiller/model";
import { sendControl } from "./control_client.js";
import type { Latencies } from "./fleet_options.js";
import type { Child, Launcher } from "./launcher.js";
import {
  Direction,
  type LinkChange,
  type LinkFaults,
  type LinkSpec,
  type LinkStatus,
} from "./proxy_faults.js";

const HOST = "127.0.0.1";
/** Name of the source of links to the caller ports. */
export const CALLERS_SOURCE = "callers";

/** Target names of links to the platform's services. */
export enum PlatformTarget {
  Log = "log",
  VmList = "vmList",
}

/** URLs at which one entry VM reaches the platform's services and its peers. */
export interface PlatformUrls {
  readonly logUrl: string;
  readonly vmListUrl: string;
  /** Peer URLs of the other entry VMs. */
  readonly seeds: readonly string[];
}

/** Options of a fleet network. */
export interface NetworkOptions {
  readonly launcher: Launcher;
  readonly proxyScript: string;
  readonly proxies: boolean;
  readonly latencies: Latencies;
  readonly logUrl: string;
  readonly vmListUrl: string;
}

interface LinkSource {
  readonly zone: string;
  readonly proxy: Child;
  /** Port of the VM list view for this source. */
  readonly viewPort: number;
}

interface NewLink {
  readonly target: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly oneWayMs: number;
}

function getHost(url: string): string {
  return new URL(url).host;
}

/**
 * Splits a round trip into whole milliseconds of latency per direction. Timers
 * resolve 1 ms, so the round trip is rounded instead of each direction.
 */
export function computeLatency(oneWayMs: number): Record<Direction, number> {
  const roundTripMs = Math.round(2 * oneWayMs);
  const up = Math.floor(roundTripMs / 2);
  return { [Direction.Up]: up, [Direction.Down]: roundTripMs - up };
}

/**
 * Network of a fleet. With proxies, each entry VM is the source of links named
 * `<entry VM>><target>` to the log (`log`), the VM list (`vmList`), all backend
 * servers and the peer ports of all entry VMs. Its view of the VM list
 * contains the URLs of these links. Callers use links `callers><entry VM>`.
 */
export class FleetNetwork {
  readonly #options: NetworkOptions;
  readonly #sources = new Map<string, LinkSource>();
  readonly #targets = new Map<string, VmEntry>();
  /**
   * Last queued task. Sources and targets are connected one at a time, so that
   * no link between a new source and a new target is missed.
   */
  #lastTask: Promise<unknown> = Promise.resolve();

  constructor(options: NetworkOptions) {
    this.#options = options;
  }

  #runSequentially<T>(task: () => Promise<T>): Promise<T> {
    const result = this.#lastTask.then(task);
    this.#lastTask = result.catch(() => {});
    return result;
  }

  /** Creates the links of an entry VM before it starts; returns their URLs. */
  async connectSource(id: string, zone: string): Promise<PlatformUrls> {
    if (this.#options.proxies) await this.#startSource(id, zone);
    return await this.#runSequentially(() => this.#connectSource(id));
  }

  async #connectSource(id: string): Promise<PlatformUrls> {
    const { logUrl, vmListUrl, proxies } = this.#options;
    const peers = [...this.#targets.values()]
      .filter((vm) => vm.peerUrl && vm.id !== id);
    if (!proxies) {
      return { logUrl, vmListUrl, seeds: peers.map((vm) => vm.peerUrl!) };
    }
    const { viewPort } = this.#sources.get(id)!;
    const { betweenZonesMs } = this.#options.latencies;
    const [log, vmList] = await this.#addLinks(id, [
      {
        target: PlatformTarget.Log,
        address: getHost(logUrl),
        oneWayMs: betweenZonesMs,
      },
      {
        target: PlatformTarget.VmList,
        address: `${HOST}:${viewPort}`,
        oneWayMs: betweenZonesMs,
      },
    ]);
    const others = [...this.#targets.values()].filter((vm) => vm.id !== id);
    const urls = await this.#link(id, others);
    const seeds = urls.filter((_, i) => others[i]!.peerUrl);
    return { logUrl: log!, vmListUrl: vmList!, seeds };
  }

  /** Starts the proxy of a source and adds a view of the VM list for it. */
  async #startSource(id: string, zone: string): Promise<void> {
    if (this.#sources.has(id)) return;
    const proxy = await this.#options.launcher.start({
      name: `proxy of ${id}`,
      script: this.#options.proxyScript,
    });
    const { views } = await sendControl<{ views: Record<string, number> }>(
      this.#options.vmListUrl,
      { addViews: [id] },
    );
    this.#sources.set(id, { zone, proxy, viewPort: views[id]! });
  }

  /** Adds links from a source and returns their URLs. */
  async #addLinks(id: string, links: readonly NewLink[]): Promise<string[]> {
    const { proxy } = this.#sources.get(id)!;
    const add = links.map(({ target, address }): LinkSpec => (
      { name: `${id}>${target}`, target: address }
    ));
    const set = links.flatMap(({ target, oneWayMs }) => {
      const latency = computeLatency(oneWayMs);
      return [Direction.Up, Direction.Down].map((direction) => (
        { link: `${id}>${target}`, direction, delayMs: latency[direction] }
      ));
    });
    const answer = await sendControl<{ links: LinkStatus[] }>(
      `http://${HOST}:${proxy.ready.port}`,
      { add, set },
    );
    const ports = new Map(answer.links.map((l) => [l.name, l.port]));
    return add.map(({ name }) => `http://${HOST}:${ports.get(name)}`);
  }

  /**
   * Adds links from a source to VMs, publishes them in the source's view of the
   * VM list and returns their URLs.
   */
  async #link(id: string, vms: readonly VmEntry[]): Promise<string[]> {
    const { zone } = this.#sources.get(id)!;
    const { betweenZonesMs } = this.#options.latencies;
    const links = vms.map((vm) => ({
      target: vm.id,
      address: getHost(vm.peerUrl ?? vm.url),
      oneWayMs: zone === vm.zone ? 0 : betweenZonesMs,
    }));
    const urls = await this.#addLinks(id, links);
    const viewUrls = vms.map((vm, i) => [
      vm.id,
      vm.peerUrl ? { peerUrl: urls[i] } : { url: urls[i] },
    ]);
    await sendControl(this.#options.vmListUrl, {
      rewrite: { [id]: Object.fromEntries(viewUrls) },
    });
    return urls;
  }

  /** Adds links to a VM and adds the VM to the list; returns the list entry. */
  async registerVm(vm: VmEntry): Promise<VmEntry> {
    return await this.#runSequentially(async () => {
      const listedVm = this.#options.proxies
        ? await this.#connectTarget(vm)
        : vm;
      this.#targets.set(vm.id, vm);
      await sendControl(this.#options.vmListUrl, { put: listedVm });
      return listedVm;
    });
  }

  async #connectTarget(vm: VmEntry): Promise<VmEntry> {
    const sources = [...this.#sources.keys()]
      .filter((id) => id !== CALLERS_SOURCE && id !== vm.id);
    await Promise.all(sources.map((id) => this.#link(id, [vm])));
    if (!vm.peerUrl) return vm;
    await this.#startSource(CALLERS_SOURCE, "");
    const [url] = await this.#addLinks(CALLERS_SOURCE, [{
      target: vm.id,
      address: getHost(vm.url),
      oneWayMs: this.#options.latencies.clientMs,
    }]);
    return { ...vm, url: url! };
  }

  /**
   * Changes the faults of all links whose names match, where `*` matches any
   * text. Throws an `Error` if no link matches.
   */
  async setLinks(...set: readonly LinkChange[]): Promise<void> {
    const proxies = [...this.#sources.values()].map((s) => s.proxy);
    const answers = await Promise.all(
      proxies.map((proxy) =>
        sendControl<{ links: LinkStatus[] }>(
          `http://${HOST}:${proxy.ready.port}`,
          { set, optional: true },
        )
      ),
    );
    if (answers.every((a) => a.links.length === 0)) {
      const names = set.map((change) => change.link).join(", ");
      throw new Error(`link: Expected the name of a link (found ${names}).`);
    }
  }

  /**
   * Applies faults to data sent from VMs matching `from` to VMs matching `to`,
   * but not to data in the opposite direction.
   */
  async setOneWay(
    from: string,
    to: string,
    faults: Partial<LinkFaults>,
  ): Promise<void> {
    await this.setLinks(
      { ...faults, link: `${from}>${to}`, direction: Direction.Up },
      { ...faults, link: `${to}>${from}`, direction: Direction.Down },
    );
  }
}
