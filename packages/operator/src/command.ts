/** Definition of a command. @module */
import type { Context } from "./context.js";
import type { ExitCode } from "./exit_code.js";
import type { OptionSpec } from "./options.js";

/** Groups of commands that share options. */
export enum CommandGroup {
  /** Changes the cluster configuration and takes `CHANGE_OPTIONS`. */
  Change = "change",
  /** Reads from routers. */
  Read = "read",
  /** Runs without a router. */
  Local = "local",
}

/** A command of the command line. */
export interface Command {
  /** Name and arguments, such as `route remove <service>`. */
  readonly usage: string;
  readonly description: string;
  /** Command line of an example, without the program name. */
  readonly example: string;
  readonly group: CommandGroup;
  readonly options: readonly OptionSpec[];
  readonly run: (context: Context) => Promise<ExitCode>;
}
