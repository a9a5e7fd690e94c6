/**
 * Callers and checkers for fault tests on real processes, and a deterministic
 * simulation that tests the ownership code.
 * @module
 */
export * from "./agreement.js";
export * from "./caller.js";
export * from "./checker.js";
export * from "./faults.js";
export * from "./load.js";
export * from "./model/mod.js";
export * from "./route_setup.js";
export * from "./recovery_trial.js";
export * from "./wait.js";
export * from "./answer_checker.js";
