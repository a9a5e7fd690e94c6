/**
 * Decides which server gets a request, and when a request is queued, refused or
 * retried. Pure: time is passed in.
 * @module
 */
export * from "./admission.js";
export * from "./admission_planner.js";
export * from "./admission_shares.js";
export * from "./client_quota.js";
export * from "./cold_permits.js";
export * from "./cold_servers.js";
export * from "./cold_share.js";
export * from "./concurrency_limit.js";
export * from "./demand_mix.js";
export * from "./occupancy_control.js";
export * from "./poison_requests.js";
export * from "./priority_shares.js";
export * from "./retry_after.js";
export * from "./retry_budget.js";
export * from "./server_choice.js";
export * from "./permits.js";
export * from "./server_notice.js";
export * from "./server_notices.js";
export * from "./server_stats.js";
export * from "./share_gate.js";
export * from "./wait_queue.js";
export * from "./zone_spillover.js";
export * from "./capacity_lender.js";
export * from "./capacity_units.js";
export * from "./demand_meter.js";
export * from "./lease_holder.js";
export * from "./rendezvous_order.js";
export * from "./hedge_budget.js";
export * from "./hedge_policy.js";
