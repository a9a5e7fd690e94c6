/**
 * Stand-ins for the platform and the backend servers, a fault-injecting proxy
 * and a launcher for fleets of processes.
 * @module
 */
export * from "./backend_options.js";
export * from "./backend_server.js";
export * from "./execution_journal.js";
export * from "./fenced_grants.js";
export * from "./launcher.js";
export * from "./log_service.js";
export * from "./log_store.js";
export * from "./random.js";
export * from "./report_body.js";
export * from "./service_faults.js";
export * from "./vm_list.js";
export * from "./control_client.js";
export * from "./fleet.js";
export * from "./fleet_options.js";
export * from "./proxy.js";
export * from "./proxy_faults.js";
export * from "./fleet_network.js";
export * from "./workload.js";
export * from "./route_command.js";
export { parseOptions } from "./main_support.js";
export * from "./load_generator.js";
