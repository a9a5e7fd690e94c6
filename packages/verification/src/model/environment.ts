/** Shared context and remote calls of the simulated processes. @module */
import type { Timing } from "@jaytiller/ownership";
import type { Backend } from "./backend.js";
import type { Checker } from "./checker.js";
import type { LogService, VmRegistry } from "./log_service.js";
import type { Network } from "./network.js";
import type { Process } from "./process.js";
import type { Random } from "./random.js";
import type { SimulatedRouter } from "./router.js";

/** Name of the only simulated service. */
export const SERVICE = "desk";
/** Shards of the service. */
export const SHARDS = 8;
/** Keys from which requests choose. */
export const KEYS: readonly string[] = Array.from(
  { length: 24 },
  (_, i) => `key${i}`,
);

/** Components of the simulation that a process uses. */
export interface Environment {
  readonly random: Random;
  readonly network: Network;
  readonly log: LogService;
  readonly vms: VmRegistry;
  readonly checker: Checker;
  readonly timing: Timing;
  readonly checksOwner: boolean;
  readonly findRouter: (id: string) => SimulatedRouter | undefined;
  readonly findBackend: (id: string) => Backend | undefined;
  readonly trace: (text: string) => void;
  readonly newId: () => string;
}

/**
 * Probability that a message sent before a restart reaches the new process. It
 * is lost otherwise.
 */
const NEW_PROCESS_DELIVERY_PROBABILITY = 0.3;

/** Options of a remote call. */
export interface CallOptions<T> {
  readonly from: Process;
  readonly to: string;
  readonly timeoutMs: number;
  /** Looks up the target process; called on sending and again on arrival. */
  readonly find: () => Process | undefined;
  /** Handles the call at the target, which may call `answer` later. */
  readonly handle: (answer: (reply: T) => void) => void;
  /** Called once, with the reply, or with `undefined` after the timeout. */
  readonly finish: (reply: T | undefined) => void;
}

/** Sends a request to a process and passes its reply to `finish`. */
export function callProcess<T>(env: Environment, options: CallOptions<T>) {
  const { from, to } = options;
  let open = true;
  const finish = (reply: T | undefined) => {
    if (!open) return;
    open = false;
    options.finish(reply);
  };
  const addressed = options.find();
  env.network.send({ from: from.id, to }, () => {
    const target = options.find();
    if (!target) return;
    const isReached = target === addressed ||
      env.random.decide(NEW_PROCESS_DELIVERY_PROBABILITY);
    if (!isReached) return;
    target.receive(() =>
      options.handle((reply) =>
        env.network.send(
          { from: to, to: from.id },
          () => from.receive(() => finish(reply)),
        )
      )
    );
  });
  from.startTimer(options.timeoutMs, () => finish(undefined));
}
