/** Closing of connections whose data must not arrive any more. @module */
import { readSync } from "node:fs";
import type { Socket } from "node:net";

/** Member of a socket that its type declaration lacks. */
interface SocketHandle {
  readonly _handle?: { readonly fd?: number } | null;
}

/**
 * Returns whether the peer has reset a connection that is at its end. A reset
 * that arrives together with data is reported as an end, without an error: the
 * event loop takes a hang-up after the data for the end of the input. Only a
 * further read shows the difference.
 */
export function wasReset(socket: Socket): boolean {
  const fd = (socket as unknown as SocketHandle)._handle?.fd ?? -1;
  if (fd < 0) return false;
  try {
    readSync(fd, Buffer.alloc(1));
    return false;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code !== "EAGAIN";
  }
}

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
