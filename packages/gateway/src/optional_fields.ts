/** Reads optional fields of messages between routers. @module */
import { FieldError } from "@jaytiller/kernel";

/**
 * Returns the value that `read` returns, or `undefined` if it throws a
 * `FieldError`, whose message is added to `malformed`.
 */
export function readOptional<T>(
  read: () => T,
  malformed: string[],
): T | undefined {
  try {
    return read();
  } catch (error) {
    if (!(error instanceof FieldError)) throw error;
    malformed.push(error.message);
    return undefined;
  }
}
