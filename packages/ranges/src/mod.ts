/**
 * Ownership of the key ranges of sharded services. Pure: time is passed in.
 * @module
 */
export * from "./assignment.js";
export * from "./balance.js";
export * from "./era_claim.js";
export * from "./initial_split.js";
export * from "./key_distribution.js";
export * from "./key_load.js";
export * from "./lease_calls.js";
export * from "./owner_table.js";
export * from "./predecessors.js";
export * from "./assignment_manager.js";
export * from "./record.js";
export * from "./server_usage.js";
export * from "./store_position.js";
export * from "./term_guard.js";
export * from "./term_witnesses.js";
