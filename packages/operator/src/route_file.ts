/** Reads routes from TOML files. @module */
import { readFile } from "node:fs/promises";
import { findLine, formatKey, parseKey, parseToml } from "@jaytiller/kernel";
import {
  type Finding,
  FindingList,
  RequestClass,
  type Route,
} from "@jaytiller/model";
import { checkRoute } from "@jaytiller/rpc";
import { type Either, Left } from "purify-ts";

const RULE_DEFAULTS = { methods: [], class: RequestClass.Normal };

/**
 * Parses a route from TOML text. Keys are those of `Route` in snake case, with
 * a table `[[rules]]` for each call rule. Returns the route, or all findings
 * with their line numbers.
 */
export function readRoute(
  text: string,
  source: string,
): Either<readonly Finding[], Route> {
  return parseToml(text, source).chain((table) => {
    const list = new FindingList(source);
    const route = parseKeys(table, "", { list });
    const rules = Array.isArray(route.rules)
      ? route.rules.map((rule: unknown, i) =>
        isTable(rule)
          ? { ...RULE_DEFAULTS, ...parseKeys(rule, `rules[${i}].`, { list }) }
          : rule
      )
      : route.rules;
    const checked = checkRoute({ ...route, rules }, { source });
    const found = checked.swap().toMaybe().orDefault([]);
    const findings = [...list.items, ...found];
    return findings.length > 0
      ? Left(findings.map((f) => addLine(f, text)))
      : checked;
  });
}

/** Reads a route from a file, whose text `readRoute` parses. */
export async function readRouteFile(
  path: string,
): Promise<Either<readonly Finding[], Route>> {
  try {
    return readRoute(await readFile(path, "utf8"), path);
  } catch (e) {
    const list = new FindingList(path);
    list.add("file", (e as Error).message, "Expected a file that can be read");
    return Left(list.items);
  }
}

type Table = Readonly<Record<string, unknown>>;

function isTable(value: unknown): value is Table {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function parseKeys(
  table: Table,
  prefix: string,
  { list }: { list: FindingList },
): Table {
  return Object.fromEntries(
    Object.entries(table).map(([key, value]) => {
      const name = parseKey(key);
      const expected = formatKey(name);
      if (expected !== key) {
        list.add(`${prefix}${key}`, key, `Expected the key ${expected}`);
      }
      return [name, value];
    }),
  );
}

function addLine(finding: Finding, text: string): Finding {
  const line = findLine(text, finding.path);
  return line === undefined
    ? finding
    : { ...finding, source: `${finding.source}:${line}` };
}
