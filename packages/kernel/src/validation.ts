/** Checks the types of decoded JSON and TOML values. @module */

/** An object whose keys and values haven't been checked yet. */
export type UnknownRecord = Readonly<Record<string, unknown>>;

/**
 * Reports a value of the wrong type or range, with its path in the document.
 */
export class FieldError extends Error {
  constructor(path: string, expected: string, value: unknown) {
    const text = JSON.stringify(value) ?? "nothing";
    super(`Expected ${expected} at ${path}, but found ${text.slice(0, 80)}`);
  }
}

export function readObject(value: unknown, path: string): UnknownRecord {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as UnknownRecord;
  }
  throw new FieldError(path, "an object", value);
}

export function readArray(value: unknown, path: string): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new FieldError(path, "an array", value);
}

/** Reads a string that isn't empty. */
export function readString(value: unknown, path: string): string {
  if (typeof value === "string" && value !== "") return value;
  throw new FieldError(path, "a non-empty string", value);
}

/** Reads a finite number that isn't negative. */
export function readNumber(value: unknown, path: string): number {
  if (typeof value === "number" && Number.isFinite(value) && value >= 0) {
    return value;
  }
  throw new FieldError(path, "a non-negative number", value);
}

/** Reads an integer that isn't negative, and can be told from its neighbours. */
export function readInteger(value: unknown, path: string): number {
  if (Number.isSafeInteger(value) && Number(value) >= 0) return Number(value);
  throw new FieldError(path, "a non-negative integer", value);
}

const MAX_PORT = 65_535;

/** Reads an address to which connections can be made, `host:port`. */
export function readAddress(value: unknown, path: string): string {
  const address = readString(value, path);
  const port = Number(/^[A-Za-z0-9.-]+:(\d{1,5})$/.exec(address)?.[1]);
  if (port >= 1 && port <= MAX_PORT) return address;
  throw new FieldError(path, "host:port", address);
}

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/** Reads an identifier that may stand in a header: visible ASCII characters. */
export function readIdentifier(value: unknown, path: string): string {
  const text = readString(value, path);
  if (VISIBLE_ASCII.test(text)) return text;
  throw new FieldError(path, "visible ASCII characters", text);
}

const UTF8 = new TextDecoder("utf-8", { fatal: true });

/**
 * Decodes UTF-8. Throws a `TypeError` if the bytes are none: replaced
 * characters would make a value that nobody has written.
 */
export function decodeText(bytes: Uint8Array): string {
  return UTF8.decode(bytes);
}

/** Reads a boolean; an absent value is `false`. */
export function readBoolean(value: unknown, path: string): boolean {
  if (value === undefined) return false;
  if (typeof value === "boolean") return value;
  throw new FieldError(path, "a boolean", value);
}
