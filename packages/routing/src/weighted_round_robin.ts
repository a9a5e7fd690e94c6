/** Distributes a route's requests among its services by weight. @module */
import type { Route } from "./configuration.js";

/**
 * Smooth weighted round robin: chooses services in proportion to their weights.
 * Each route carries the error of earlier choices forward, so that even short
 * sequences keep the proportion, which random choices would not.
 */
export class WeightedRoundRobin {
  /** By route and service: the share of requests due, less those received. */
  readonly #credits = new Map<string, Map<string, number>>();

  /** Returns the service for the route's next request. */
  chooseService(route: Route): string {
    if (route.targets.length === 1) return route.targets[0]!.service;
    const credits = this.#computeCredits(route);
    const service = findHighest(credits);
    credits.set(service, credits.get(service)! - 1);
    this.#credits.set(route.name, credits);
    return service;
  }

  /** Returns what `chooseService` would return, without counting a request. */
  peekService(route: Route): string {
    return findHighest(this.#computeCredits(route));
  }

  /** Returns the credits after the next request; a route may list one twice. */
  #computeCredits({ name, targets }: Route): Map<string, number> {
    const credits = new Map(this.#credits.get(name));
    const total = targets.reduce((sum, t) => sum + t.weight, 0);
    for (const { service, weight } of targets) {
      credits.set(service, (credits.get(service) ?? 0) + weight / total);
    }
    for (const service of credits.keys()) {
      if (!targets.some((t) => t.service === service)) credits.delete(service);
    }
    return credits;
  }

  /** Removes the state of routes that are no longer configured. */
  retainRoutes(routes: readonly Route[]): void {
    const names = new Set(routes.map((r) => r.name));
    for (const name of this.#credits.keys()) {
      if (!names.has(name)) this.#credits.delete(name);
    }
  }
}

function findHighest(credits: ReadonlyMap<string, number>): string {
  const [service] = [...credits].reduce((a, b) => b[1] > a[1] ? b : a);
  return service;
}
