/** Checks of routes, for files and for messages. @module */
import {
  type CallRule,
  type Finding,
  FindingList,
  RequestClass,
  type Route,
} from "@jaytiller/model";
import { type Either, Left, Right } from "purify-ts";

/** Where a route comes from. */
export interface RouteOrigin {
  /** File or message, for findings. */
  readonly source: string;
  /** Path of the route in it, such as `route.`; empty for a file. */
  readonly prefix?: string;
}

/** Form of the names of services. */
export const SERVICE_NAME: RegExp = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Checks one value. `expected` ends a sentence that begins with "Expected". */
interface Check {
  readonly expected: string;
  readonly accept: (value: unknown) => boolean;
}

function makeTextCheck(expected: string, form: RegExp): Check {
  return { expected, accept: (v) => typeof v === "string" && form.test(v) };
}

function makeIntegerCheck(min: number, max: number): Check {
  const accept = (v: unknown) =>
    Number.isInteger(v) && (v as number) >= min && (v as number) <= max;
  return { expected: `a whole number from ${min} to ${max}`, accept };
}

const FLAG: Check = {
  expected: "true or false",
  accept: (v) => typeof v === "boolean",
};

const CLASSES = Object.values(RequestClass);
const MAX_BODY_BYTES = 2 ** 40;
const MAX_CONNECTIONS = 65_535;
const MAX_RULES = 1_000;

const RULES: Check = {
  expected: `a list of 1 to ${MAX_RULES} rules`,
  accept: (v) => Array.isArray(v) && v.length > 0 && v.length <= MAX_RULES,
};

const ROUTE_CHECKS: Readonly<Record<keyof Route, Check>> = {
  service: makeTextCheck(
    "1 to 63 letters, digits, dots, hyphens or underscores",
    SERVICE_NAME,
  ),
  pathPrefix: makeTextCheck(
    "one path segment with a leading slash, such as /orders",
    /^\/[^/?#%\s]+$/,
  ),
  shards: makeIntegerCheck(1, 65_536),
  checksOwner: FLAG,
  slots: makeIntegerCheck(1, 1_000),
  connections: makeIntegerCheck(1, MAX_CONNECTIONS),
  rules: RULES,
};

const RULE_CHECKS: Readonly<Record<keyof CallRule, Check>> = {
  prefix: makeTextCheck("a path with a leading slash", /^\/[^?#\s]*$/),
  methods: {
    expected: "a list of methods in upper case, each once",
    accept: (v) =>
      Array.isArray(v) && new Set(v).size === v.length &&
      v.every((m) => typeof m === "string" && /^[A-Z]+$/.test(m)),
  },
  idempotent: FLAG,
  class: {
    expected: `one of ${CLASSES.join(", ")}`,
    accept: (v) => CLASSES.includes(v as RequestClass),
  },
  deadlineMs: makeIntegerCheck(1, 600_000),
  maxBodyBytes: makeIntegerCheck(0, MAX_BODY_BYTES),
};

/**
 * Checks a value in the form of a `Route`. Returns the route, or all findings
 * at once. Paths in findings are in snake case, as in files and messages.
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
  checkDuplicates(rules, { list, prefix });
  checkConnections(value, { list, prefix });
  return list.isEmpty ? Right(value as unknown as Route) : Left(list.items);
}

interface Place {
  readonly list: FindingList;
  readonly prefix: string;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function formatName(name: string): string {
  return name.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
}

function checkFields(
  value: Record<string, unknown>,
  checks: Readonly<Record<string, Check>>,
  { list, prefix }: Place,
): void {
  for (const [name, { expected, accept }] of Object.entries(checks)) {
    if (accept(value[name])) continue;
    list.add(
      `${prefix}${formatName(name)}`,
      value[name],
      `Expected ${expected}`,
    );
  }
  const known = Object.keys(checks).map(formatName).join(", ");
  for (const name of Object.keys(value)) {
    if (Object.hasOwn(checks, name)) continue;
    const path = `${prefix}${formatName(name)}`;
    list.add(path, value[name], `Unknown key; expected one of ${known}`);
  }
}

const ALL_METHODS = "all methods";

/** The first of several rules for one prefix and method hides the others. */
function checkDuplicates(
  rules: readonly unknown[],
  { list, prefix }: Place,
): void {
  const first = new Map<string, number>();
  rules.forEach((rule, i) => {
    if (!isObject(rule) || !Array.isArray(rule.methods)) return;
    const all = first.get(`${ALL_METHODS} ${rule.prefix}`);
    for (
      const method of rule.methods.length > 0 ? rule.methods : [ALL_METHODS]
    ) {
      const name = `${method} ${rule.prefix}`;
      const before = all ?? first.get(name);
      if (before !== undefined && before !== i) {
        list.add(
          `${prefix}rules[${i}]`,
          name,
          `Expected a prefix and method that rules[${before}] does not cover`,
        );
      } else first.set(name, i);
    }
  });
}

/** Each running request occupies a connection. */
function checkConnections(
  value: Record<string, unknown>,
  { list, prefix }: Place,
): void {
  const { slots, connections } = value;
  const valid = ROUTE_CHECKS.slots.accept(slots) &&
    ROUTE_CHECKS.connections.accept(connections);
  if (!valid || (connections as number) >= (slots as number)) return;
  list.add(
    `${prefix}connections`,
    connections,
    `Expected at least as many connections as slots, ${slots}`,
  );
}
