/** Dependency injection container for the services of a process. @module */
import "reflect-metadata";
import type { Finding } from "@jaytiller/model";
import { container, type DependencyContainer } from "tsyringe";
import { LifeCycle, type Service, type StopOptions } from "./life_cycle.js";

/**
 * An object that can be registered as a service. `object` is part of the type
 * because `Service` has only optional members, and the compiler rejects classes
 * that have none of them.
 */
export type ServiceInstance = Service | object;

/** Creates a service. It gets its dependencies from `kernel`. */
export type ServiceFactory<T extends ServiceInstance> = (kernel: Kernel) => T;

/** Container that creates, starts and stops singleton services by name. */
export class Kernel {
  readonly #container: DependencyContainer = container.createChildContainer();
  readonly #lifeCycle: LifeCycle = LifeCycle.create();
  readonly #names: string[] = [];
  readonly #instances = new Map<string, ServiceInstance>();
  /** Names of the services that are being created, outermost first. */
  readonly #path: string[] = [];
  #isStarted = false;

  static create(): Kernel {
    return new Kernel();
  }

  /**
   * Registers the factory of a service. Throws if the name is already
   * registered or the kernel has been started.
   */
  register<T extends ServiceInstance>(
    name: string,
    factory: ServiceFactory<T>,
  ): void {
    if (this.#names.includes(name)) {
      throw new Error(`Service "${name}" is registered twice`);
    }
    if (this.#isStarted) {
      throw new Error(`Service "${name}" was registered after the start`);
    }
    this.#names.push(name);
    this.#container.register<ServiceInstance>(name, {
      useFactory: () => this.#createInstance(name, factory),
    });
  }

  /**
   * Returns the service with this name, which the first call creates. Throws if
   * it isn't registered or if it depends on itself, directly or indirectly.
   */
  get<T extends ServiceInstance>(name: string): T {
    const instance = this.#instances.get(name);
    if (instance) return instance as T;
    if (!this.#container.isRegistered(name)) {
      const by = this.#path.at(-1);
      const neededBy = by === undefined ? "" : `, needed by "${by}"`;
      throw new Error(
        `Service "${name}" is not registered${neededBy}; registered are ${
          this.#names.join(", ") || "none"
        }`,
      );
    }
    const at = this.#path.indexOf(name);
    if (at >= 0) {
      const cycle = [...this.#path.slice(at), name].join(" -> ");
      throw new Error(
        `Circular dependency, services need each other: ${cycle}`,
      );
    }
    return this.#container.resolve<T>(name);
  }

  /**
   * Creates all services and starts them in the order of their creation, which
   * puts dependencies first.
   */
  async start(): Promise<void> {
    for (const name of this.#names) this.get(name);
    this.#isStarted = true;
    await this.#lifeCycle.startAll();
  }

  /** Stops the started services in reverse order. Returns what went wrong. */
  stop(options: StopOptions): Promise<readonly Finding[]> {
    return this.#lifeCycle.stopAll(options);
  }

  #createInstance<T extends ServiceInstance>(
    name: string,
    factory: ServiceFactory<T>,
  ): T {
    this.#path.push(name);
    try {
      const service = factory(this);
      this.#instances.set(name, service);
      this.#lifeCycle.add(name, service);
      return service;
    } finally {
      this.#path.pop();
    }
  }
}
