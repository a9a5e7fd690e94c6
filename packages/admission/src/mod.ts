/** Admission queues, retry budgets and poison request detection. @module */
export * from "./types.js";
export { ServerQueue, type ServerQueueOptions } from "./server_queue.js";
export { FifoQueue, type FifoQueueOptions } from "./fifo_queue.js";
export { RetryBudget, type RetryBudgetOptions } from "./retry_budget.js";
export {
  type CrashReport,
  PoisonTracker,
  type PoisonTrackerOptions,
} from "./poison_tracker.js";
