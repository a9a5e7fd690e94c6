/** Idempotency store for at-most-once execution of requests. @module */
export * from "./admission.js";
export { IdempotencyStore } from "./idempotency_store.js";
