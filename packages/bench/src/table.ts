/** Formats numbers and plain-text tables. @module */
import type { Spread } from "./statistics.js";

/** Formats a number with `digits` decimals, or `-` if it is not finite. */
export function formatNumber(value: number, digits = 1): string {
  if (!Number.isFinite(value)) return "-";
  return value.toFixed(digits);
}

/** Formats a median with its range, such as `2.1 [1.9 to 2.4]`. */
export function formatSpread(spread: Spread, digits = 1): string {
  const [median, min, max] = [spread.median, spread.min, spread.max]
    .map((v) => formatNumber(v, digits));
  return `${median} [${min} to ${max}]`;
}

/** Formats a table. The first column is left-aligned, others right-aligned. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, i) =>
    Math.max(...all.map((row) => (row[i] ?? "").length))
  );
  return all.map((row) =>
    header.map((_, i) => {
      const cell = row[i] ?? "";
      return i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!);
    }).join("  ").trimEnd()
  ).join("\n");
}
