/** Closing of connections whose data must not arrive any more. @module */
import type { Socket } from "node:net";

/**
 * Closes a connection with a reset. A reset discards unsent data, which the
 * kernel could otherwise deliver once a network partition ends. A connection
 * whose sending side has been closed is only destroyed: a reset would be
 * rejected, and its descriptor would stay open. One that is still being made is
 * destroyed as well, as its reset would wait until it is made.
 */
export function resetSocket(socket: Socket): void {
  if (socket.destroyed) return;
  if (socket.writableEnded || socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
}
