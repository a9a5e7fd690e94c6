/** Parses the command line and runs the command. @module */
import sade from "sade";
import { CHANGE_COMMANDS } from "./change_commands.js";
import { type Command, CommandGroup } from "./command.js";
import { type Context, type Io, writeFindings, writeNotes } from "./context.js";
import { EXIT_CODE_LINES, ExitCode } from "./exit_code.js";
import {
  CHANGE_OPTIONS,
  COMMON_OPTIONS,
  OptionKind,
  OptionReader,
  type OptionSpec,
} from "./options.js";
import { READ_COMMANDS } from "./read_commands.js";

const VERSION = "0.1.0";
const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_TIMEOUT_MS = 600_000;

const COMMANDS: readonly Command[] = [...READ_COMMANDS, ...CHANGE_COMMANDS];

function listOptions(command: Command): readonly OptionSpec[] {
  return command.group === CommandGroup.Change
    ? [...command.options, ...CHANGE_OPTIONS]
    : command.options;
}

function listOptionNames(kind: (kind: OptionKind) => boolean): string[] {
  const all = [...COMMON_OPTIONS, ...COMMANDS.flatMap(listOptions)];
  const names = all.filter((o) => kind(o.kind)).map((o) => o.name);
  return [...new Set(names)];
}

/** Returns the name of a command without its arguments, such as `route put`. */
function getCommandName(command: Command): string {
  return command.usage.replace(/ [<[].*$/, "");
}

function makeProgram(): sade.Sade {
  const program = sade("jaytiller").version(VERSION);
  program.describe([
    "Operate Jaytiller routers.",
    "A change whose answer is lost is queried and retried with the same UUID.",
    ...EXIT_CODE_LINES,
  ]);
  for (const { name, description } of COMMON_OPTIONS) {
    program.option(`--${name}`, description);
  }
  for (const command of COMMANDS) {
    program.command(command.usage);
    program.describe([`${command.description}.`, ...EXIT_CODE_LINES]);
    for (const { name, description } of listOptions(command)) {
      program.option(`--${name}`, description);
    }
    program.example(command.example).action(() => {});
  }
  return program;
}

/**
 * Appends `=true` to flags. Otherwise the parser would take the next argument
 * as the value of the flag and convert numerals such as the key 007 to numbers.
 */
function setFlagValues(args: readonly string[]): string[] {
  const flags = new Set(
    listOptionNames((kind) => kind === OptionKind.Flag).map((name) =>
      `--${name}`
    ),
  );
  const end = args.indexOf("--");
  return args.map((arg, i) =>
    flags.has(arg) && (end < 0 || i < end) ? `${arg}=true` : arg
  );
}

interface ParsedArguments {
  readonly name: string;
  readonly args: readonly (string | undefined)[];
  readonly values: Readonly<Record<string, unknown>>;
}

/** Parses the arguments. Returns `undefined` after `--help` or `--version`. */
function parseArguments(args: readonly string[]): ParsedArguments | undefined {
  // On bad usage the parser exits with 1, which means `ExitCode.Refused` here.
  const setBadInput = () => void (process.exitCode = ExitCode.BadInput);
  process.once("exit", setBadInput);
  const parsed = makeProgram().parse(["", "", ...setFlagValues(args)], {
    lazy: true,
    boolean: listOptionNames((kind) => kind === OptionKind.Flag),
    string: listOptionNames((kind) => kind !== OptionKind.Flag),
    unknown: (flag: string) => `Unknown option: ${flag}`,
  }) as sade.LazyOutput | undefined;
  process.off("exit", setBadInput);
  if (!parsed) return undefined;
  const values = parsed.args.at(-1) as unknown as Record<string, unknown>;
  const positional = parsed.args.slice(0, -1);
  return { name: parsed.name, args: positional, values };
}

function readAddresses(options: OptionReader, io: Io): string[] {
  const atValues = options.getList("at");
  const texts = atValues.length > 0 ? atValues : [io.env.JAYTILLER_AT ?? ""];
  const addresses = texts.flatMap((text) => text.split(","))
    .map((text) => text.trim()).filter((text) => text !== "");
  for (const address of addresses) {
    if (/^(\[[0-9a-fA-F:.]+\]|[^:/\s[\]]+):\d{1,5}$/.test(address)) continue;
    options.reject("--at", address, "Expected host:port");
  }
  if (addresses.length === 0) {
    options.reject("--at", undefined, "Expected --at or JAYTILLER_AT");
  }
  return addresses;
}

function makeContext(
  command: Command,
  parsed: ParsedArguments,
  { io }: { io: Io },
): Context {
  const options = OptionReader.create(parsed.values);
  for (const word of parsed.values._ as readonly unknown[]) {
    options.reject("argument", word, `Unexpected; usage is ${command.usage}`);
  }
  const local = command.group === CommandGroup.Local;
  const timeoutMs = options.getInteger("timeout-ms", {
    min: 1,
    max: MAX_TIMEOUT_MS,
  });
  return {
    io,
    args: parsed.args,
    options,
    json: options.getFlag("json"),
    addresses: local ? [] : readAddresses(options, io),
    timeoutMs: timeoutMs ?? DEFAULT_TIMEOUT_MS,
  };
}

/**
 * Runs the command given by `args`, which exclude the program name. Exits the
 * process with `ExitCode.BadInput` if they do not name a command.
 */
export async function runCli(
  args: readonly string[],
  io: Io,
): Promise<ExitCode> {
  const parsed = parseArguments(args);
  if (!parsed) return ExitCode.Done;
  const command = COMMANDS.find((c) => getCommandName(c) === parsed.name);
  if (!command) {
    writeNotes(io, [`Unknown command ${parsed.name}; see jaytiller --help`]);
    return ExitCode.BadInput;
  }
  const context = makeContext(command, parsed, { io });
  // Change commands report these with the findings of their own options.
  const early = command.group !== CommandGroup.Change;
  if (early && context.options.findings.length > 0) {
    writeFindings(io, context.options.findings);
    return ExitCode.BadInput;
  }
  return command.run(context);
}
