/**
 * Foundation of the processes: service container, service life cycle, settings
 * and logs.
 * @module
 */
export * from "./event_log.js";
export * from "./kernel.js";
export * from "./life_cycle.js";
export * from "./log.js";
export * from "./fields.js";
export * from "./settings.js";
export * from "./toml_lines.js";
export * from "./validation.js";
