/** Maps setting keys to their names and lines in a TOML file. @module */

/**
 * Converts a camel-case name to snake case: `heartbeatMs` to `heartbeat_ms`.
 */
export function formatKey(name: string): string {
  return name.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
}

/**
 * Converts a snake-case name to camel case: `heartbeat_ms` to `heartbeatMs`.
 */
export function parseKey(key: string): string {
  return key.replace(/_([a-z])/g, (_, c: string) => c.toUpperCase());
}

const TABLE_HEADER = /^\s*\[(\[)?\s*([^\]]+?)\s*\]/;
const KEY_ASSIGNMENT = /^\s*([^=#\s][^=#]*?)\s*=/;

/**
 * Returns the 1-based line on which the key at `path` is set, or the line of
 * the innermost enclosing table that is found, or `undefined`. Paths have the
 * form `timing.renew_ms` or `rules[1].prefix`. The search matches single lines
 * and doesn't parse TOML, so a line of a multi-line string that looks like a
 * key can produce a wrong result.
 */
export function findLine(text: string, path: string): number | undefined {
  const tableCounts = new Map<string, number>();
  const lineOf = new Map<string, number>();
  let table = "";
  text.split(/\r?\n/).forEach((line, at) => {
    const header = TABLE_HEADER.exec(line);
    const key = KEY_ASSIGNMENT.exec(line);
    if (header) {
      const name = normalizeKeyPath(header[2]!);
      const index = tableCounts.get(name) ?? 0;
      tableCounts.set(name, index + 1);
      table = header[1] ? `${name}[${index}]` : name;
      lineOf.set(table, at + 1);
    } else if (key) {
      const name = normalizeKeyPath(key[1]!);
      const fullPath = table === "" ? name : `${table}.${name}`;
      if (!lineOf.has(fullPath)) lineOf.set(fullPath, at + 1);
    }
  });
  for (
    let p = path;
    p !== "";
    p = p.replace(/(\.[^.[]*|\[\d+\]|[^.[]+)$/, "")
  ) {
    const line = lineOf.get(p);
    if (line !== undefined) return line;
  }
  return undefined;
}

/** Removes whitespace and quotes around the parts of a dotted key. */
function normalizeKeyPath(key: string): string {
  return key.split(".").map((k) => k.trim().replace(/^(["'])(.*)\1$/, "$2"))
    .join(".");
}
