/**
 * The command line interface for operators.
 * @module
 */
export * from "./cli.js";
export * from "./context.js";
export * from "./exit_code.js";
export * from "./route_file.js";
