/** Stops and starts the reading of a connection at once. @module */
import type { Socket } from "node:net";

/** Members of a socket that its type declaration lacks. */
interface ReadingSocket {
  readonly _handle?: {
    reading?: boolean;
    readStop(): void;
    readStart(): void;
  } | null;
}

/**
 * Stops the reading of a connection. A paused socket goes on reading until its
 * own buffer is full, which takes one more read of up to 64 KiB that no limit
 * counts.
 */
export function stopReading(socket: Socket): void {
  const handle = (socket as unknown as ReadingSocket)._handle;
  if (!handle?.reading) return;
  handle.reading = false;
  handle.readStop();
}

/** Reads on after `stopReading`; a paused socket keeps what arrives. */
export function startReading(socket: Socket): void {
  const handle = (socket as unknown as ReadingSocket)._handle;
  if (!handle || handle.reading) return;
  handle.reading = true;
  handle.readStart();
}
