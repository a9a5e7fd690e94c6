/** Finds the route for a request. @module */
import type { Configuration, Route, ServiceSpec } from "./configuration.js";

/** Routes of one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Lengths of the prefixes, longest first. */
  lengths: readonly number[];
}

/** Immutable lookup table of one configuration's routes and services. */
export class RouteTable {
  readonly #configuration: Configuration;
  readonly #byHost = new Map<string, HostRoutes>();
  readonly #services = new Map<string, ServiceSpec>();

  private constructor(configuration: Configuration) {
    this.#configuration = configuration;
    for (const route of configuration.routes) {
      const host = this.#byHost.get(route.host) ??
        { byPrefix: new Map<string, Route>(), lengths: [] };
      host.byPrefix.set(route.prefix, route);
      this.#byHost.set(route.host, host);
    }
    for (const host of this.#byHost.values()) {
      host.lengths = listLengths(host.byPrefix.keys());
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
   * `target` is the request target, with or without a query. Only lengths that
   * some prefix has are looked up, because each lookup hashes its part of the
   * path, and clients choose how many slashes a path has.
   */
  match(host: string, target: string): Route | undefined {
    const routes = this.#byHost.get(normalizeHost(host));
    if (!routes) return undefined;
    const queryAt = target.indexOf("?");
    const pathEnd = queryAt < 0 ? target.length : queryAt;
    for (const length of routes.lengths) {
      if (length > pathEnd || target[length - 1] !== "/") continue;
      const route = routes.byPrefix.get(target.slice(0, length));
      if (route) return route;
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

/** Lists the different lengths of prefixes, longest first. */
function listLengths(prefixes: Iterable<string>): readonly number[] {
  const lengths = new Set([...prefixes].map((p) => p.length));
  return [...lengths].sort((a, b) => b - a);
}

function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
