/**
 * Ownership of the key ranges of sharded services. Pure: time is passed in.
 * @module
 */
export * from "./assignment.js";
export * from "./balance.js";
export * from "./first_division.js";
export * from "./key_load.js";
export * from "./lease_calls.js";
export * from "./owner_table.js";
export * from "./predecessors.js";
export * from "./range_keeper.js";
export * from "./record.js";
export * from "./term_guard.js";
