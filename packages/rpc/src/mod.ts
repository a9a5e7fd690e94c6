/**
 * The operator service over gRPC: messages, typed server and client, and
 * validation of requests.
 * @module
 */
export * from "./calls.js";
export * from "./change_checks.js";
export * from "./client.js";
export * from "./errors.js";
export * from "./message_conversion.js";
export * from "./messages.js";
export * from "./route_checks.js";
export * from "./server.js";
