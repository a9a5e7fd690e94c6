/** Immutable cluster state, folded from the platform's log. @module */
export * from "./changes.js";
export * from "./cluster_state.js";
export type { Assignment, Claim, Effect, Owner, Poison } from "./state_data.js";
