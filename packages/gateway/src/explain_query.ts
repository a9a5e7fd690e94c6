/** The request that an explanation is about, in a query string. @module */
import { KEY_COUNT } from "@jaytiller/routing";

/** A request that is not sent. */
export interface ExplainQuery {
  readonly method: string;
  readonly host: string;
  /** Path, with or without a query. */
  readonly path: string;
  readonly key?: number;
  /** Size of the request body, bytes. */
  readonly bodyBytes: number;
  /** Zone from which it is sent; that of the gateway if absent. */
  readonly zone?: string;
}

/** A query, or one line that says what is wrong with it. */
export type ParsedQuery =
  | { readonly query: ExplainQuery }
  | { readonly problem: string };

/** What a parameter may be. */
interface ParameterSpec {
  readonly isRequired: boolean;
  readonly expected: string;
  readonly isValid: (value: string) => boolean;
}

/** Longest value of a parameter, characters. */
const MAX_VALUE_LENGTH = 8_192;
/** Longest value that an error repeats, characters. */
const MAX_SHOWN_LENGTH = 80;

/** Parameters of the query string by name. */
const PARAMETERS: Readonly<Record<keyof ExplainQuery, ParameterSpec>> = {
  method: {
    isRequired: true,
    expected: "an HTTP method in upper case",
    isValid: (value) => /^[A-Z]{1,20}$/.test(value),
  },
  host: {
    isRequired: true,
    expected: "a host name, with or without a port",
    isValid: (value) => /^[A-Za-z0-9._-]+(:\d{1,5})?$/.test(value),
  },
  path: {
    isRequired: true,
    expected: "a path that begins with / and has no spaces",
    isValid: (value) => /^\/[\x21-\x7e]*$/.test(value),
  },
  key: {
    isRequired: false,
    expected: `an integer from 0 to ${KEY_COUNT - 1}`,
    isValid: (value) => isInteger(value, KEY_COUNT - 1),
  },
  bodyBytes: {
    isRequired: false,
    expected: "an integer from 0",
    isValid: (value) => isInteger(value, Number.MAX_SAFE_INTEGER),
  },
  zone: {
    isRequired: false,
    expected: "the name of a zone",
    isValid: (value) => /^[\x21-\x7e]{1,100}$/.test(value),
  },
};

/**
 * Parses a query string. The first problem is reported; `formatName` makes the
 * name in it from that of the parameter.
 */
export function parseExplainQuery(
  params: URLSearchParams,
  formatName: (name: string) => string = (name) => name,
): ParsedQuery {
  for (const name of params.keys()) {
    if (Object.hasOwn(PARAMETERS, name)) continue;
    return { problem: `Unknown parameter ${quoteValue(formatName(name))}` };
  }
  for (const [name, spec] of Object.entries(PARAMETERS)) {
    const problem = checkParameter(params.getAll(name), spec);
    if (problem) return { problem: `${formatName(name)}: ${problem}` };
  }
  const key = params.get("key");
  const zone = params.get("zone");
  const query = {
    method: params.get("method")!,
    host: params.get("host")!,
    path: params.get("path")!,
    ...(key === null ? {} : { key: Number(key) }),
    bodyBytes: Number(params.get("bodyBytes") ?? 0),
    ...(zone === null ? {} : { zone }),
  };
  return { query };
}

/** Returns what is wrong with the values of a parameter, if anything is. */
function checkParameter(
  values: readonly string[],
  { isRequired, expected, isValid }: ParameterSpec,
): string | undefined {
  const [value] = values;
  if (value === undefined) {
    return isRequired ? `Missing; expected ${expected}` : undefined;
  }
  if (values.length > 1) return "Given more than once";
  if (value.length <= MAX_VALUE_LENGTH && isValid(value)) return undefined;
  return `Found ${quoteValue(value)}; expected ${expected}`;
}

function isInteger(value: string, max: number): boolean {
  return /^\d{1,16}$/.test(value) && Number(value) <= max;
}

/** Quotes a value so that it stays on one line. */
function quoteValue(value: string): string {
  return JSON.stringify(value.slice(0, MAX_SHOWN_LENGTH));
}
