/** Validation of routes from files and messages. @module */
import {
  type CallRule,
  type Finding,
  FindingList,
  RequestClass,
  type Route,
} from "@jaytiller/model";
import { type Either, Left, Right } from "purify-ts";

/** Source of a route, for the findings about it. */
export interface RouteOrigin {
  /** Name of the file or message. */
  readonly source: string;
  /** Path prefix of the route's fields, such as `route.`; empty for a file. */
  readonly prefix?: string;
}

/** Matches a service name. */
export const SERVICE_NAME_PATTERN: RegExp = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Check of one value. `expected` completes the message "Expected ...". */
interface ValueCheck {
  readonly expected: string;
  readonly isValid: (value: unknown) => boolean;
}

function makeTextCheck(expected: string, pattern: RegExp): ValueCheck {
  return { expected, isValid: (v) => typeof v === "string" && pattern.test(v) };
}

function makeIntegerCheck(min: number, max: number): ValueCheck {
  const isValid = (v: unknown) =>
    Number.isInteger(v) && (v as number) >= min && (v as number) <= max;
  return { expected: `a whole number from ${min} to ${max}`, isValid };
}

const BOOLEAN_CHECK: ValueCheck = {
  expected: "true or false",
  isValid: (v) => typeof v === "boolean",
};

const REQUEST_CLASSES = Object.values(RequestClass);
const MAX_BODY_BYTES = 2 ** 40;
const MAX_CONNECTIONS = 65_535;
const MAX_RULES = 1_000;

const RULES_CHECK: ValueCheck = {
  expected: `a list of 1 to ${MAX_RULES} rules`,
  isValid: (v) => Array.isArray(v) && v.length > 0 && v.length <= MAX_RULES,
};

const ROUTE_CHECKS: Readonly<Record<keyof Route, ValueCheck>> = {
  service: makeTextCheck(
    "1 to 63 letters, digits, dots, hyphens or underscores",
    SERVICE_NAME_PATTERN,
  ),
  pathPrefix: makeTextCheck(
    "one path segment with a leading slash, such as /orders",
    /^\/[^/?#%\s]+$/,
  ),
  shards: makeIntegerCheck(1, 65_536),
  checksOwner: BOOLEAN_CHECK,
  slots: makeIntegerCheck(1, 1_000),
  connections: makeIntegerCheck(1, MAX_CONNECTIONS),
  rules: RULES_CHECK,
};

const RULE_CHECKS: Readonly<Record<keyof CallRule, ValueCheck>> = {
  prefix: makeTextCheck("a path with a leading slash", /^\/[^?#\s]*$/),
  methods: {
    expected: "a list of methods in upper case, each once",
    isValid: (v) =>
      Array.isArray(v) && new Set(v).size === v.length &&
      v.every((m) => typeof m === "string" && /^[A-Z]+$/.test(m)),
  },
  idempotent: BOOLEAN_CHECK,
  class: {
    expected: `one of ${REQUEST_CLASSES.join(", ")}`,
    isValid: (v) => REQUEST_CLASSES.includes(v as RequestClass),
  },
  deadlineMs: makeIntegerCheck(1, 600_000),
  maxBodyBytes: makeIntegerCheck(0, MAX_BODY_BYTES),
};

/**
 * Validates an object with the fields of a `Route`. Returns the route, or all
 * findings. Their paths are in snake case, as in files and messages.
 */
export function checkRoute(
  value: unknown,
  origin: RouteOrigin,
): Either<readonly Finding[], Route> {
  const list = new FindingList(origin.source);
  const prefix = origin.prefix ?? "";
  if (!isObject(value)) {
    list.add(prefix.replace(/\.$/, "") || "route", value, "Expected a route");
    return Left(list.items);
  }
  checkFields(value, ROUTE_CHECKS, { list, prefix });
  const rules = Array.isArray(value.rules) ? value.rules as unknown[] : [];
  rules.forEach((rule, i) => {
    const path = `${prefix}rules[${i}]`;
    if (isObject(rule)) {
      checkFields(rule, RULE_CHECKS, { list, prefix: `${path}.` });
    } else list.add(path, rule, "Expected a rule");
  });
  checkDuplicateRules(rules, { list, prefix });
  checkConnectionLimit(value, { list, prefix });
  return list.isEmpty ? Right(value as unknown as Route) : Left(list.items);
}

/** Where to add findings, and the prefix of their paths. */
interface FindingContext {
  readonly list: FindingList;
  readonly prefix: string;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function formatSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
}

function checkFields(
  value: Record<string, unknown>,
  checks: Readonly<Record<string, ValueCheck>>,
  { list, prefix }: FindingContext,
): void {
  for (const [name, { expected, isValid }] of Object.entries(checks)) {
    if (isValid(value[name])) continue;
    list.add(
      `${prefix}${formatSnakeCase(name)}`,
      value[name],
      `Expected ${expected}`,
    );
  }
  const knownKeys = Object.keys(checks).map(formatSnakeCase).join(", ");
  for (const name of Object.keys(value)) {
    if (Object.hasOwn(checks, name)) continue;
    const path = `${prefix}${formatSnakeCase(name)}`;
    list.add(path, value[name], `Unknown key; expected one of ${knownKeys}`);
  }
}

const ALL_METHODS = "all methods";

/**
 * Reports rules whose prefix and method an earlier rule covers. Among rules with
 * the same prefix only the first that covers the method applies.
 */
function checkDuplicateRules(
  rules: readonly unknown[],
  { list, prefix }: FindingContext,
): void {
  const firstIndexes = new Map<string, number>();
  rules.forEach((rule, i) => {
    if (!isObject(rule) || !Array.isArray(rule.methods)) return;
    const allMethodsIndex = firstIndexes.get(`${ALL_METHODS} ${rule.prefix}`);
    for (
      const method of rule.methods.length > 0 ? rule.methods : [ALL_METHODS]
    ) {
      const name = `${method} ${rule.prefix}`;
      const before = allMethodsIndex ?? firstIndexes.get(name);
      if (before !== undefined && before !== i) {
        list.add(
          `${prefix}rules[${i}]`,
          name,
          `Expected a prefix and method that rules[${before}] does not cover`,
        );
      } else firstIndexes.set(name, i);
    }
  });
}

/**
 * Reports a connection limit below the number of slots. Each running request
 * occupies a connection.
 */
function checkConnectionLimit(
  value: Record<string, unknown>,
  { list, prefix }: FindingContext,
): void {
  const { slots, connections } = value;
  const hasValidLimits = ROUTE_CHECKS.slots.isValid(slots) &&
    ROUTE_CHECKS.connections.isValid(connections);
  if (!hasValidLimits || (connections as number) >= (slots as number)) return;
  list.add(
    `${prefix}connections`,
    connections,
    `Expected at least as many connections as slots, ${slots}`,
  );
}
