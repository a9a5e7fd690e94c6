/** Validation of JSON values; errors name the path of the value. @module */

/** A JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Thrown for the first value that does not have the expected type. */
export class SchemaError extends Error {
  constructor(path: string, value: unknown, expected: string) {
    const found = JSON.stringify(value)?.slice(0, 80) ?? "nothing";
    super(`${path}: expected ${expected} (found ${found})`);
    this.name = "SchemaError";
  }
}

/** Returns `value` as an object. */
export function readObject(value: unknown, path: string): JsonObject {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as JsonObject;
  }
  throw new SchemaError(path, value, "an object");
}

/** Returns `value` as an array. */
export function readArray(value: unknown, path: string): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new SchemaError(path, value, "a list");
}

/** Returns `value` as a safe integer of at least `min`. */
export function readInteger(
  value: unknown,
  path: string,
  options: { min: number } = { min: 0 },
): number {
  if (Number.isSafeInteger(value) && (value as number) >= options.min) {
    return value as number;
  }
  throw new SchemaError(
    path,
    value,
    `a whole number from ${options.min}`,
  );
}

/** Returns `value` as a finite number. */
export function readNumber(value: unknown, path: string): number {
  if (Number.isFinite(value)) return value as number;
  throw new SchemaError(path, value, "a number");
}

/** Returns `value` as a string that is not empty and matches `pattern`. */
export function readString(
  value: unknown,
  path: string,
  options: { pattern?: RegExp } = {},
): string {
  const { pattern } = options;
  const isValid = typeof value === "string" && value !== "" &&
    (pattern?.test(value) ?? true);
  if (isValid) return value;
  const form = pattern ? ` that matches ${pattern.source}` : "";
  throw new SchemaError(path, value, `text${form}`);
}

/** Returns `value` as one of the values of an enum. */
export function readEnum<T extends string>(
  value: unknown,
  path: string,
  options: { choices: Readonly<Record<string, T>> },
): T {
  const choices = Object.values(options.choices);
  if (choices.includes(value as T)) return value as T;
  throw new SchemaError(path, value, `one of ${choices.join(", ")}`);
}
