/**
 * HTTP clients of the platform's log service and VM list.
 * @module
 */
export * from "./failure.js";
export * from "./log_client.js";
export * from "./vm_list_client.js";
