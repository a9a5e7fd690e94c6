/** Injected faults of the platform's HTTP services. @module */
import type { Lifecycle, Request, ResponseToolkit } from "@hapi/hapi";
import { setTimeout as delay } from "node:timers/promises";

/** Kinds of service outage. */
export enum Outage {
  None = "none",
  /** Every call receives a 503 response. */
  Down = "down",
  /** Calls are accepted and never receive a response. */
  Silent = "silent",
  /** The connection is destroyed when a call arrives. */
  Refuse = "refuse",
}

/** Body of `POST /control`. Absent keys keep their values. */
export interface FaultChange {
  /** Clears all faults before the other keys are applied. */
  readonly clear?: boolean;
  readonly outage?: Outage;
  /** Delay before a call takes effect, in ms. */
  readonly beforeMs?: number;
  /** Delay between the effect of a call and its response, in ms. */
  readonly afterMs?: number;
  /** Number of upcoming appends that take effect without a response. */
  readonly loseAnswers?: number;
}

type Handler = (
  request: Request,
  h: ResponseToolkit,
) => Lifecycle.ReturnValue | undefined;

const OUTAGE_HANDLERS: Readonly<Record<Outage, Handler>> = {
  [Outage.None]: () => undefined,
  [Outage.Down]: (_, h) =>
    h.response({ error: "Service is down." }).code(503).takeover(),
  [Outage.Silent]: (_, h) => h.abandon,
  [Outage.Refuse]: (request, h) => {
    request.raw.req.socket.destroy();
    return h.abandon;
  },
};

/** Active faults of one service. */
export class ServiceFaults {
  #outage = Outage.None;
  #beforeMs = 0;
  #afterMs = 0;
  #loseAnswers = 0;
  readonly #listeners: (() => void)[] = [];

  /** Adds a listener that is called after each change. */
  addListener(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Applies a change. Throws an `Error` that names the invalid value. */
  update(change: FaultChange): void {
    const outages = Object.values(Outage);
    if (change.outage !== undefined && !outages.includes(change.outage)) {
      throw new Error(
        `outage: Expected one of ${outages.join(", ")} (found ${
          JSON.stringify(change.outage)
        })`,
      );
    }
    for (const key of ["beforeMs", "afterMs", "loseAnswers"] as const) {
      const value = change[key];
      if (value !== undefined && !(Number.isFinite(value) && value >= 0)) {
        throw new Error(
          `${key}: Expected a number from 0 (found ${JSON.stringify(value)})`,
        );
      }
    }
    const from = change.clear ? new ServiceFaults() : this;
    this.#outage = change.outage ?? from.#outage;
    this.#beforeMs = change.beforeMs ?? from.#beforeMs;
    this.#afterMs = change.afterMs ?? from.#afterMs;
    this.#loseAnswers = change.loseAnswers ?? from.#loseAnswers;
    for (const listener of this.#listeners) listener();
  }

  /** Returns the faults in the format of `POST /control`. */
  toJSON(): FaultChange {
    return {
      outage: this.#outage,
      beforeMs: this.#beforeMs,
      afterMs: this.#afterMs,
      loseAnswers: this.#loseAnswers,
    };
  }

  /** Returns the response for the current outage, or `undefined` without one. */
  getOutageResponse(
    request: Request,
    h: ResponseToolkit,
  ): Lifecycle.ReturnValue | undefined {
    return OUTAGE_HANDLERS[this.#outage](request, h);
  }

  /**
   * Returns whether the next response is to be dropped, and decrements the
   * number of responses to drop.
   */
  consumeLostResponse(): boolean {
    if (this.#loseAnswers <= 0) return false;
    this.#loseAnswers -= 1;
    return true;
  }

  async delayBefore(): Promise<void> {
    if (this.#beforeMs > 0) await delay(this.#beforeMs);
  }

  async delayAfter(): Promise<void> {
    if (this.#afterMs > 0) await delay(this.#afterMs);
  }
}
