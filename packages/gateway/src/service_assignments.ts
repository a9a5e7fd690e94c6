/** The assignments of all sharded services at the coordinator. @module */
import {
  type Assignment,
  AssignmentManager,
  type LeaseTimes,
  type OwnerTable,
} from "@jaytiller/ranges";
import type { ServiceSpec } from "@jaytiller/routing";

/** One assignment manager for each sharded service. */
export class ServiceAssignments {
  readonly #times: LeaseTimes;
  readonly #managers = new Map<string, AssignmentManager>();

  constructor(times: LeaseTimes) {
    this.#times = times;
  }

  /** Managers by the names of their services. */
  get managers(): ReadonlyMap<string, AssignmentManager> {
    return this.#managers;
  }

  /**
   * Restores the assignments of a record, whose leases expire at
   * `inheritedLeaseExpiryMs`.
   */
  restore(
    services: Readonly<Record<string, readonly Assignment[]>>,
    inheritedLeaseExpiryMs: number,
  ): void {
    const options = { times: this.#times, inheritedLeaseExpiryMs };
    for (const [service, list] of Object.entries(services)) {
      const manager = AssignmentManager.restore(service, list, options);
      this.#managers.set(service, manager);
    }
  }

  /** Adds the sharded services that are not known yet. */
  addServices(services: readonly ServiceSpec[]): void {
    for (const { name, sharded } of services) {
      if (!sharded || this.#managers.has(name)) continue;
      this.#managers.set(name, AssignmentManager.create(name, this.#times));
    }
  }

  /** Limits the leases of predecessors to `untilMs`. */
  limitInherited(untilMs: number): void {
    for (const manager of this.#managers.values()) {
      manager.limitInherited(untilMs);
    }
  }

  /** Returns the tables of services whose owners have changed since. */
  takeChangedTables(): ReadonlyMap<string, OwnerTable> {
    const changed = [...this.#managers].filter(([, m]) => m.takeChanged());
    return new Map(changed.map(([name, m]) => [name, m.makeTable()]));
  }
}
