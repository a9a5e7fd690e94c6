/** Descriptors that define which values a setting accepts. @module */

/**
 * Reports an invalid value. `path` is relative to the field and empty for the
 * field itself.
 */
export type ProblemReporter = (
  path: string,
  value: unknown,
  message: string,
) => void;

/** Describes the values of one setting. */
export interface Field<T> {
  /** Value to use if the key is absent. A key without a default is required. */
  readonly default?: T;
  /**
   * Description of the accepted values, for messages of the form "Expected …".
   */
  readonly allowed: string;
  /** Returns the value, or reports what is wrong and returns `undefined`. */
  readonly read: (value: unknown, report: ProblemReporter) => T | undefined;
}

/** Value type of a field descriptor. */
export type FieldValue<F> = F extends Field<infer T> ? T : never;

function makeField<T>(
  allowed: string,
  isValid: (value: unknown) => value is T,
  options: { default?: T | undefined },
): Field<T> {
  const read = (value: unknown, report: ProblemReporter) => {
    if (isValid(value)) return value;
    report("", value, `Expected ${allowed}`);
    return undefined;
  };
  return options.default === undefined
    ? { allowed, read }
    : { allowed, read, default: options.default };
}

/** Describes a text that is not empty and matches `pattern`. */
export function describeString(
  options: { pattern?: RegExp; default?: string } = {},
): Field<string> {
  const { pattern } = options;
  return makeField(
    pattern ? `a string that matches ${pattern.source}` : "a non-empty string",
    (v): v is string =>
      typeof v === "string" && (pattern ? pattern.test(v) : v !== ""),
    options,
  );
}

/** Describes an integer from `min` to `max`, both inclusive. */
export function describeInteger(
  options: { min: number; max: number; default?: number },
): Field<number> {
  const { min, max } = options;
  return makeField(
    `a whole number from ${min} to ${max}`,
    (v): v is number => Number.isInteger(v) && +v! >= min && +v! <= max,
    options,
  );
}

/** Describes a string that is one of `choices`. */
export function describeEnum<const T extends string>(
  choices: readonly T[],
  options: { default?: NoInfer<T> } = {},
): Field<T> {
  return makeField(
    `one of ${choices.join(", ")}`,
    (v): v is T => choices.includes(v as T),
    options,
  );
}

/** Describes an `http:` or `https:` URL. */
export function describeUrl(
  options: { default?: string } = {},
): Field<string> {
  return makeField(
    "a URL that begins with http:// or https://",
    (v): v is string =>
      typeof v === "string" && /^https?:\/\//.test(v) && URL.canParse(v),
    options,
  );
}

/** Describes a boolean. */
export function describeBoolean(
  options: { default?: boolean } = {},
): Field<boolean> {
  return makeField(
    "a boolean",
    (v): v is boolean => typeof v === "boolean",
    options,
  );
}

/** Describes an array of at least `min` items, each described by `item`. */
export function describeList<T>(
  item: Field<T>,
  options: { default?: readonly T[]; min?: number } = {},
): Field<readonly T[]> {
  const min = options.min ?? 0;
  const count = min === 0 ? "an array" : `an array of at least ${min} items`;
  const allowed = `${count}, each item ${item.allowed}`;
  const read = (value: unknown, report: ProblemReporter) => {
    if (!Array.isArray(value) || value.length < min) {
      report("", value, `Expected ${allowed}`);
      return undefined;
    }
    const items = value.map((v: unknown, i) =>
      item.read(v, (path, found, text) => report(`[${i}]${path}`, found, text))
    );
    return items.includes(undefined) ? undefined : items as T[];
  };
  return options.default === undefined
    ? { allowed, read }
    : { allowed, read, default: options.default };
}
