/**
 * Command line of the load generator and the benchmarks.
 *
 * Usage: node dist/src/main.js load|overhead|slopes|compare [flags]
 * @module
 */
import { runCompareCommand } from "./compare_command.js";
import { runLoadCommand } from "./load_command.js";
import { runOverheadCommand } from "./overhead_command.js";
import { runSlopesCommand } from "./slopes_command.js";

const COMMANDS: Readonly<
  Record<string, (args: readonly string[]) => Promise<void>>
> = {
  load: runLoadCommand,
  compare: runCompareCommand,
  overhead: runOverheadCommand,
  slopes: runSlopesCommand,
};

const [name = "", ...args] = process.argv.slice(2);
const command = COMMANDS[name];
if (!command) {
  const allowed = Object.keys(COMMANDS).join(", ");
  console.error(`Command: Expected one of ${allowed} (found ${name}).`);
  process.exitCode = 2;
} else {
  try {
    await command(args);
  } catch (e) {
    console.error(e instanceof Error ? e.message : String(e));
    process.exitCode = 1;
  }
}
