/** Formats tables and times for the terminal. @module */

/** Formats a table as lines with aligned columns. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly (string | number | boolean)[])[],
): string[] {
  const all = [head, ...rows.map((row) => row.map(formatCell))];
  const widths = head.map((_, i) =>
    Math.max(...all.map((row) => row[i]!.length))
  );
  return all.map((row) =>
    row.map((cell, i) => cell.padEnd(widths[i]!)).join("  ").trimEnd()
  );
}

function formatCell(value: string | number | boolean): string {
  if (typeof value === "boolean") return value ? "yes" : "no";
  return value === "" ? "-" : String(value);
}

/** Formats a section: a title, the indented table, and a blank line. */
export function formatSection(
  title: string,
  table: readonly string[],
): string[] {
  const rows = table.length > 1 ? table : ["none"];
  return [title, ...rows.map((line) => `  ${line}`), ""];
}

/** Formats unix ms as an ISO 8601 time, and 0 as `never`. */
export function formatTime(ms: number): string {
  if (ms === 0) return "never";
  const date = new Date(ms);
  return Number.isNaN(date.getTime()) ? String(ms) : date.toISOString();
}
