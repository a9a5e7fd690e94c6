/** Events in causal order, and explanations of keys and requests. @module */
export * from "./event_ring.js";
export { explainKey } from "./explain_key.js";
export { explainRequest, type RequestQuery } from "./explain_request.js";
export {
  escapeText,
  formatDuration,
  formatEvent,
  formatTime,
} from "./format.js";
export type { KeyQuery } from "./key_facts.js";
