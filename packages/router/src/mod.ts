/** The router process, for tests and tools that build one. @module */
export { buildRouter, type RouterPorts, stopRouter } from "./router.js";
export { getTiming, type RouterSettings, SETTINGS_SCHEMA } from "./settings.js";
