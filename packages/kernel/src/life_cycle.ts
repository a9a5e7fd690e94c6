/** Ordered startup and shutdown of services. @module */
import { type Finding, FindingList } from "@jaytiller/model";

/** A component of a process that may need to be started and stopped. */
export interface Service {
  start?(): Promise<void> | void;
  stop?(): Promise<void> | void;
}

/** Time limits of a shutdown. */
export interface StopOptions {
  /**
   * Maximum time to wait for each service to stop, and for a startup that is in
   * progress.
   */
  readonly timeoutMs: number;
}

interface NamedService {
  readonly name: string;
  readonly service: Service;
}

const START_FAILURE_STOP_TIMEOUT_MS = 5_000;

/** Starts a list of services in order and stops them in reverse order. */
export class LifeCycle {
  readonly #services: NamedService[] = [];
  readonly #started: NamedService[] = [];
  #starting: Promise<void> | undefined;
  #stopping: Promise<readonly Finding[]> | undefined;

  static create(): LifeCycle {
    return new LifeCycle();
  }

  /** Names of the services, in the order in which they start. */
  get names(): readonly string[] {
    return this.#services.map((m) => m.name);
  }

  /** Adds a service. Throws if `startAll` has been called. */
  add(name: string, service: Service): void {
    if (this.#starting) {
      throw new Error(`Service "${name}" was added after the start`);
    }
    this.#services.push({ name, service });
  }

  /**
   * Starts all services in order of addition. If one fails, or if `stopAll` is
   * called meanwhile, the started ones are stopped and the promise rejects.
   */
  startAll(): Promise<void> {
    this.#starting ??= this.#startInOrder();
    return this.#starting;
  }

  /**
   * Stops the started services in reverse order and returns one finding for
   * each stop that failed or took longer than `timeoutMs`. Further calls
   * return the result of the first.
   */
  stopAll(options: StopOptions): Promise<readonly Finding[]> {
    this.#stopping ??= this.#stopAfterStart(options);
    return this.#stopping;
  }

  async #startInOrder(): Promise<void> {
    try {
      for (const entry of this.#services) {
        if (this.#stopping) throw new Error("Stopped before startup finished");
        await entry.service.start?.();
        this.#started.push(entry);
      }
    } catch (e) {
      // A concurrent `stopAll` waits for this promise and stops them itself.
      if (!this.#stopping) {
        this.#stopping = this.#stopInReverseOrder({
          timeoutMs: START_FAILURE_STOP_TIMEOUT_MS,
        });
        await this.#stopping;
      }
      throw e;
    }
  }

  async #stopAfterStart(options: StopOptions): Promise<readonly Finding[]> {
    const starting = this.#starting?.catch(() => {});
    const ended = await waitWithTimeout(starting, options);
    const findings = await this.#stopInReverseOrder(options);
    if (ended) return findings;
    const list = new FindingList("life cycle");
    list.add("start", undefined, formatTimeoutMessage("The start", options));
    return [...list.items, ...findings];
  }

  async #stopInReverseOrder(options: StopOptions): Promise<readonly Finding[]> {
    const findings = new FindingList("life cycle");
    for (let m = this.#started.pop(); m; m = this.#started.pop()) {
      try {
        const ended = await waitWithTimeout(m.service.stop?.(), options);
        if (!ended) {
          findings.add(
            m.name,
            undefined,
            formatTimeoutMessage("The stop", options),
          );
        }
      } catch (e) {
        const text = e instanceof Error ? e.message : String(e);
        findings.add(m.name, text, "The stop failed");
      }
    }
    return findings.items;
  }
}

function formatTimeoutMessage(what: string, options: StopOptions): string {
  return `${what} took longer than ${options.timeoutMs} ms`;
}

/**
 * Waits for a promise and returns whether it was fulfilled within the timeout.
 * Rejects if the promise rejects in that time.
 */
async function waitWithTimeout(
  promise: Promise<void> | void,
  { timeoutMs }: StopOptions,
): Promise<boolean> {
  if (!promise) return true;
  let timer: NodeJS.Timeout | undefined;
  const timeoutPromise = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  try {
    return await Promise.race([promise.then(() => true), timeoutPromise]);
  } finally {
    clearTimeout(timer);
  }
}
