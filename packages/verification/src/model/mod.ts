/** Deterministic simulation of routers, backend servers and the log. @module */
export * from "./checker.js";
export * from "./faults.js";
export * from "./fault_schedule.js";
export * from "./simulation.js";
export * from "./simulated_cluster.js";
