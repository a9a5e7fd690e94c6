/** Binds servers to addresses. @module */
import type { Server } from "node:net";
import type { ListenAddress } from "./settings.js";

/** Largest number of connections that wait to be accepted. */
const BACKLOG = 1_024;

/** Starts listening. Rejects if the address cannot be bound. */
export function bindServer(
  server: Server,
  { host, port }: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}
