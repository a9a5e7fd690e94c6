/** Load generator and benchmarks. @module */
export * from "./arrivals.js";
export * from "./incidents.js";
export * from "./load.js";
export * from "./measures.js";
export * from "./overhead.js";
export * from "./plan.js";
export * from "./slopes.js";
export * from "./statistics.js";
export * from "./zipf.js";
