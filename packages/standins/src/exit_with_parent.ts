/**
 * Preloaded into each child process. Exits the child when its stdin closes, which
 * happens when the launcher exits without stopping its children.
 * @module
 */
import { Socket } from "node:net";

process.stdin.on("end", () => process.exit(1)).resume();
// Unreferenced, so that stdin does not keep the child running.
if (process.stdin instanceof Socket) process.stdin.unref();
