/** Distributes the requests of a route among its services. @module */
import type { Route } from "./configuration.js";

/**
 * Chooses services in proportion to their weights. Each route carries the
 * error of earlier choices forward, so that short runs keep the proportion
 * too, where a random draw would stray from it.
 */
export class SplitChooser {
  readonly #credits = new Map<string, Map<string, number>>();

  /** Returns the service that the next request of the route goes to. */
  choose(route: Route): string {
    if (route.targets.length === 1) return route.targets[0]!.service;
    const credits = this.#credits.get(route.name) ?? new Map<string, number>();
    this.#credits.set(route.name, credits);
    const total = route.targets.reduce((sum, t) => sum + t.weight, 0);
    let best = route.targets[0]!.service;
    let most = -Infinity;
    for (const { service, weight } of route.targets) {
      const credit = (credits.get(service) ?? 0) + weight / total;
      credits.set(service, credit);
      if (credit > most) [best, most] = [service, credit];
    }
    credits.set(best, most - 1);
    return best;
  }

  /** Forgets routes that are no longer configured. */
  keep(routes: readonly Route[]): void {
    const names = new Set(routes.map((r) => r.name));
    for (const name of this.#credits.keys()) {
      if (!names.has(name)) this.#credits.delete(name);
    }
  }
}
