/**
 * Decisions on which server gets a request, when it waits, when it is refused
 * and when it is sent a second time. Pure: time is passed in.
 * @module
 */
export * from "./admission.js";
export * from "./crash_suspects.js";
export * from "./retry_budget.js";
export * from "./server_choice.js";
export * from "./server_stats.js";
export * from "./waiting_room.js";
