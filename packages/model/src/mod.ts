/**
 * Types and values shared by all packages: identifiers, fencing tokens, log
 * records, messages between processes, outcomes, findings and the hybrid
 * logical clock. Does no I/O.
 * @module
 */
export * from "./ids.js";
export * from "./token.js";
export * from "./hlc.js";
export * from "./finding.js";
export * from "./outcome.js";
export * from "./records.js";
export * from "./vm.js";
export * from "./grants.js";
export * from "./event.js";
export * from "./peer.js";
export * from "./uuid7.js";
