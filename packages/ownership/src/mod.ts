/**
 * Ownership decisions. The package uses no sockets, timers or clock: its inputs
 * come in as values, and its effects are returned as actions.
 * @module
 */
export * from "./timing.js";
export * from "./messages.js";
export * from "./peer_table.js";
export * from "./placement.js";
export * from "./group_holder.js";
