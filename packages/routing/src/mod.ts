/**
 * A router's knowledge of the deployment: routes, services and servers.
 * @module
 */
export * from "./configuration.js";
export * from "./evacuations.js";
export * from "./route_table.js";
export * from "./server_view.js";
export * from "./weighted_round_robin.js";
