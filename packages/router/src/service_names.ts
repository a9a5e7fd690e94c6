/** Names by which the router's services look each other up. @module */

/** Names of the services that are registered with the kernel. */
export const SERVICE_NAME = {
  settings: "settings",
  clock: "clock",
  logTail: "logTail",
  vmList: "vmList",
  events: "events",
  peers: "peers",
  groups: "groups",
  crashes: "crashes",
  caller: "caller",
  dispatch: "dispatch",
  path: "path",
  entry: "entry",
  operatorApi: "operatorApi",
  metrics: "metrics",
  identities: "identities",
  forward: "forward",
  ports: "ports",
  pressure: "pressure",
} as const;
