/** Reads TOML settings and reports all problems at once. @module */
import { readFile } from "node:fs/promises";
import { type Finding, FindingList } from "@jaytiller/model";
import { type Either, Left, Right } from "purify-ts";
import { parse, TomlError } from "smol-toml";
import type { Field, FieldValue } from "./fields.js";
import { findLine, formatKey } from "./toml_lines.js";

/**
 * Sections and their keys. Names are in camel case in the schema and in snake
 * case in the file: `heartbeatMs` is read from `heartbeat_ms`.
 */
export type Schema = Readonly<Record<string, Section>>;

/** Keys of one section. */
export type Section = Readonly<Record<string, Field<unknown>>>;

/** Type of the settings that a schema describes. */
export type SettingsOf<S extends Schema> = {
  readonly [A in keyof S]: {
    readonly [K in keyof S[A]]: FieldValue<S[A][K]>;
  };
};

/** A TOML document and the findings about it. */
interface SettingsDocument {
  readonly text: string;
  readonly source: string;
  readonly items: Finding[];
}

type TomlTable = Readonly<Record<string, unknown>>;

/**
 * Parses TOML text. A syntax error is returned as a finding whose source is
 * `<source>:<line>:<column>`.
 */
export function parseToml(
  text: string,
  source: string,
): Either<readonly Finding[], TomlTable> {
  try {
    return Right(parse(text));
  } catch (e) {
    if (!(e instanceof TomlError)) throw e;
    const at = `${source}:${e.line}:${e.column}`;
    const list = new FindingList(at);
    const line = text.split(/\r?\n/)[e.line - 1] ?? "";
    const cause = e.message.split("\n")[0]!.replace(/^Invalid TOML \S+: /, "");
    list.add(
      `line ${e.line}`,
      line.trim(),
      `Expected valid TOML, but at column ${e.column}: ${cause}`,
    );
    return Left(list.items);
  }
}

/**
 * Reads settings from TOML text and fills in the defaults. Returns all findings
 * if there are any. `source` is the name of the text in findings.
 */
export function readSettings<S extends Schema>(
  text: string,
  source: string,
  schema: S,
): Either<readonly Finding[], SettingsOf<S>> {
  return parseToml(text, source).chain((table) => {
    const doc: SettingsDocument = { text, source, items: [] };
    const settings = readSections(table, schema, doc);
    return doc.items.length > 0
      ? Left(doc.items)
      : Right(settings as SettingsOf<S>);
  });
}

/**
 * Reads settings from a file like `readSettings`. An unreadable file is
 * returned as a finding.
 */
export async function readSettingsFile<S extends Schema>(
  path: string,
  schema: S,
): Promise<Either<readonly Finding[], SettingsOf<S>>> {
  try {
    return readSettings(await readFile(path, "utf8"), path, schema);
  } catch (e) {
    const list = new FindingList(path);
    list.add("file", (e as Error).message, "Expected a file that can be read");
    return Left(list.items);
  }
}

/** Adds a finding with the line of the key, if it can be found. */
function addFinding(
  doc: SettingsDocument,
  path: string,
  problem: { value: unknown; message: string },
): void {
  const line = findLine(doc.text, path);
  const at = line === undefined ? doc.source : `${doc.source}:${line}`;
  const list = new FindingList(at);
  list.add(path, problem.value, problem.message);
  doc.items.push(...list.items);
}

function isTable(value: unknown): value is TomlTable {
  return typeof value === "object" && value !== null &&
    !Array.isArray(value) && !(value instanceof Date);
}

/** Adds a finding for each name in a table that the schema doesn't define. */
function reportUnknownNames(
  table: TomlTable,
  known: readonly string[],
  options: { doc: SettingsDocument; prefix: string; what: string },
): void {
  for (const [name, value] of Object.entries(table)) {
    if (known.includes(name)) continue;
    addFinding(options.doc, `${options.prefix}${name}`, {
      value,
      message: `Unknown ${options.what}; expected one of ${known.join(", ")}`,
    });
  }
}

function readSections(
  table: TomlTable,
  schema: Schema,
  doc: SettingsDocument,
): TomlTable {
  const names = Object.keys(schema).map(formatKey);
  reportUnknownNames(table, names, { doc, prefix: "", what: "section" });
  const settings: Record<string, unknown> = {};
  for (const [name, section] of Object.entries(schema)) {
    const key = formatKey(name);
    const value = Object.hasOwn(table, key) ? table[key] : {};
    if (isTable(value)) {
      settings[name] = readSection(value, section, { doc, prefix: `${key}.` });
    } else {
      addFinding(doc, key, { value, message: `Expected a section [${key}]` });
    }
  }
  return settings;
}

function readSection(
  table: TomlTable,
  section: Section,
  options: { doc: SettingsDocument; prefix: string },
): TomlTable {
  const { doc, prefix } = options;
  const names = Object.keys(section).map(formatKey);
  reportUnknownNames(table, names, { doc, prefix, what: "key" });
  const values: Record<string, unknown> = {};
  for (const [name, field] of Object.entries(section)) {
    const key = formatKey(name);
    const path = `${prefix}${key}`;
    if (Object.hasOwn(table, key)) {
      values[name] = field.read(
        table[key],
        (subPath, value, message) =>
          addFinding(doc, `${path}${subPath}`, { value, message }),
      );
    } else if (field.default !== undefined) {
      values[name] = field.default;
    } else {
      const message = `The key is required; expected ${field.allowed}`;
      addFinding(doc, path, { value: undefined, message });
    }
  }
  return values;
}
