/** Finds the route for a request. @module */
import type { Configuration, Route, ServiceSpec } from "./configuration.js";

/** Immutable lookup table of one configuration's routes and services. */
export class RouteTable {
  readonly #configuration: Configuration;
  readonly #byHost = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, ServiceSpec>();

  private constructor(configuration: Configuration) {
    this.#configuration = configuration;
    for (const route of configuration.routes) {
      const prefixes = this.#byHost.get(route.host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.#byHost.set(route.host, prefixes);
    }
    for (const s of configuration.services) this.#services.set(s.name, s);
  }

  static create(configuration: Configuration): RouteTable {
    return new RouteTable(configuration);
  }

  get configuration(): Configuration {
    return this.#configuration;
  }

  get version(): number {
    return this.#configuration.version;
  }

  /**
   * Returns the host's route whose prefix is the longest match for the path.
   * `target` is the request target, with or without a query.
   */
  match(host: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(normalizeHost(host));
    if (!prefixes) return undefined;
    const path = target.split("?", 1)[0]!;
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  findService(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  listServices(): readonly ServiceSpec[] {
    return this.#configuration.services;
  }
}

function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
