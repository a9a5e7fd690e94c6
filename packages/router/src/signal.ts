/** Change notification and delays. @module */

/** Wakes all current waiters after a change; later waiters are not woken. */
export class ChangeSignal {
  #waiters = new Set<() => void>();

  notify(): void {
    if (this.#waiters.size === 0) return;
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next call of `notify`, or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(0, timeoutMs));
      this.#waiters.add(wake);
    });
  }
}

/** Resolves after `ms` milliseconds. */
export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
