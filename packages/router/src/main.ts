#!/usr/bin/env node
/** The router process. Usage: `jaytiller-router --settings <file>`. @module */
import {
  getLogger,
  Kernel,
  LogLevel,
  readSettingsFile,
  setLogLevel,
} from "@jaytiller/kernel";
import { formatFinding } from "@jaytiller/model";
import { buildRouter, type RouterPorts, stopRouter } from "./router.js";
import { SERVICE_NAME } from "./service_names.js";
import { SETTINGS_SCHEMA } from "./settings.js";

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;
const log = getLogger("router");

const HELP = `jaytiller-router: the router process of one entry VM

Usage: jaytiller-router --settings <file>

  --settings <file>  TOML settings; all problems are reported together
  --check            check the settings and exit
  --help             this text

Example: jaytiller-router --settings router.toml

Exit codes: 0 stopped on request, 1 failed to start, 2 bad usage or settings
`;

async function run(args: readonly string[]): Promise<number | undefined> {
  if (args.includes("--help")) {
    process.stdout.write(HELP);
    return 0;
  }
  const at = args.indexOf("--settings");
  const file = at < 0 ? undefined : args[at + 1];
  if (file === undefined) {
    process.stderr.write(HELP);
    return EXIT_USAGE;
  }
  const read = await readSettingsFile(file, SETTINGS_SCHEMA);
  if (read.isLeft()) {
    for (const f of read.extract() as never[]) {
      process.stderr.write(`${formatFinding(f)}\n`);
    }
    return EXIT_USAGE;
  }
  const settings = read.unsafeCoerce();
  if (args.includes("--check")) return 0;
  setLogLevel(settings.log.level as LogLevel);
  const kernel = Kernel.create();
  buildRouter(kernel, settings);
  try {
    await kernel.start();
  } catch (error) {
    log.error(`Start failed: ${(error as Error).message}.`);
    return EXIT_FAILED;
  }
  handleSignals(kernel);
  printReady(kernel);
  return undefined;
}

function printReady(kernel: Kernel) {
  const ports = kernel.get<RouterPorts>(SERVICE_NAME.ports);
  process.stdout.write(`${JSON.stringify({ ready: true, ...ports.list() })}\n`);
}

function handleSignals(kernel: Kernel) {
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    log.info("Stopping: handing groups over and finishing requests in flight.");
    await stopRouter(kernel);
    process.exit(0);
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
}

const code = await run(process.argv.slice(2));
if (code !== undefined) process.exitCode = code;
