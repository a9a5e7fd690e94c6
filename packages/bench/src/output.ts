/** Writes result files. @module */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Writes text to a file in a folder, which is created if it is missing. */
export function writeOutput(
  text: string,
  to: { folder: string; name: string },
): void {
  mkdirSync(to.folder, { recursive: true });
  writeFileSync(join(to.folder, to.name), text);
}

/** Writes a value as `<name>.json` to a folder. */
export function writeJson(
  value: unknown,
  to: { folder: string; name: string },
): void {
  const name = `${to.name}.json`;
  writeOutput(`${JSON.stringify(value, null, 2)}\n`, { ...to, name });
}
