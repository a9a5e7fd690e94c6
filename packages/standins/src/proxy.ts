/** Fault-injecting TCP proxy with one listener per link. @module */
import { HttpService } from "./http_service.js";
import {
  checkLinkChange,
  type LinkChange,
  type LinkSpec,
  type LinkStatus,
  type ProxyChange,
} from "./proxy_faults.js";
import { ProxyLink } from "./proxy_link.js";
import { createRandom } from "./random.js";

/** Options of a proxy process. `port` is the port of its control interface. */
export interface ProxyOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  /** Seed for the random latency of connections. */
  readonly seed: number;
}

/** Defaults of a proxy. */
export const PROXY_DEFAULTS: ProxyOptions = {
  host: "127.0.0.1",
  port: 0,
  maxBodyBytes: 1024 * 1024,
  seed: 1,
};

function createMatcher(pattern: string): (name: string) => boolean {
  const parts = pattern.split("*");
  if (parts.length === 1) return (name) => name === pattern;
  const source = parts
    .map((part) => part.replace(/[.+?^${}()|[\]\\]/g, "\\$&")).join(".*");
  const expression = new RegExp(`^${source}$`);
  return (name) => expression.test(name);
}

/** TCP proxy that injects faults into the connections of its links. */
export class FaultProxy {
  readonly #http: HttpService;
  readonly #links = new Map<string, ProxyLink>();
  readonly #random: () => number;

  private constructor(options: ProxyOptions) {
    this.#random = createRandom(options.seed);
    this.#http = new HttpService(options);
    this.#http.addRoute("GET /links", () => ({ links: this.listLinks() }));
    this.#http.addControl(async (change) => ({
      links: await this.apply(change as ProxyChange),
    }));
  }

  /** Starts a proxy without links. */
  static async start(options: ProxyOptions): Promise<FaultProxy> {
    const proxy = new FaultProxy(options);
    await proxy.#http.start();
    return proxy;
  }

  get port(): number {
    return this.#http.port;
  }

  listLinks(): LinkStatus[] {
    return [...this.#links.values()].map((link) => link.status);
  }

  /**
   * Applies a change and returns the links that it added or changed. Throws an
   * `Error` that names the invalid value or the name that matches no link.
   */
  async apply(change: ProxyChange): Promise<LinkStatus[]> {
    const changed = new Set<ProxyLink>();
    for (const spec of change.add ?? []) changed.add(await this.#add(spec));
    for (const name of change.remove ?? []) {
      for (const link of this.#findLinks(name, change.optional)) {
        this.#links.delete(link.name);
        await link.close();
      }
    }
    const changes = [change.set ?? []].flat() as LinkChange[];
    for (const c of changes) checkLinkChange(c);
    for (const c of changes) {
      for (const link of this.#findLinks(c.link, change.optional)) {
        link.change(c);
        changed.add(link);
      }
    }
    return [...changed].map((link) => link.status);
  }

  async #add(spec: LinkSpec): Promise<ProxyLink> {
    const existing = this.#links.get(spec.name);
    if (existing) {
      existing.setTarget(spec.target);
      return existing;
    }
    const link = new ProxyLink(spec, this.#random);
    await link.listen(spec.listenPort ?? 0);
    this.#links.set(spec.name, link);
    return link;
  }

  #findLinks(pattern: string, optional = false): ProxyLink[] {
    const matches = createMatcher(pattern);
    const links = [...this.#links.values()].filter((l) => matches(l.name));
    if (links.length === 0 && !optional) {
      throw new Error(`link: Expected the name of a link (found ${pattern}).`);
    }
    return links;
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.close()));
    await this.#http.stop();
  }
}
