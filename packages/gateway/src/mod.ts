/**
 * Router that sends requests directly to the backend servers that may run them.
 * @module
 */
export { Gateway, type GatewayOptions } from "./gateway.js";
export * from "./ports.js";
export { BodyChunks } from "./body_chunks.js";
export { hasTooManyChunks, watchHead } from "./response_limits.js";
export * from "./explanation.js";
export * from "./explain_query.js";
export { RefusalReason } from "./placement_decision.js";
export { ServerAgent } from "./server_agents.js";
export { resetSocket } from "./socket_reset.js";
export type {
  GatewaySettings,
  HedgingSettings,
  ListenAddress,
} from "./settings.js";
