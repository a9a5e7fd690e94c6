/** Text log on standard error with one line per message. @module */
import { format } from "node:util";
import loglevel from "loglevel";

/** Log levels, least severe first. */
export enum LogLevel {
  Trace = "trace",
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
  Silent = "silent",
}

/** Logger of one component. */
export type Logger = loglevel.Logger;

const root = loglevel.getLogger("jaytiller");

/**
 * Control characters, which are replaced in log messages: otherwise text from a
 * caller could forge additional log lines.
 */
// deno-lint-ignore no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f]/g;

function formatLine(level: string, prefix: string, args: unknown[]): string {
  const text = format(...args)
    .replaceAll("\n", "\\n")
    .replace(CONTROL_CHARACTERS, "?");
  const time = new Date().toISOString();
  return `${time} ${level.toUpperCase()} ${prefix}: ${text}\n`;
}

/**
 * Returns the logger of a component. Its lines have the form
 * `<ISO time> <LEVEL> <prefix>: <message>`.
 */
export function getLogger(prefix: string): Logger {
  const logger = loglevel.getLogger(`jaytiller/${prefix}`);
  logger.methodFactory = (level) => (...args) => {
    process.stderr.write(formatLine(level, prefix, args));
  };
  logger.setLevel(root.getLevel(), false);
  return logger;
}

/** Sets the level of all existing and future loggers. */
export function setLogLevel(level: LogLevel | `${LogLevel}`): void {
  root.setLevel(level, false);
  for (const [name, logger] of Object.entries(loglevel.getLoggers())) {
    if (name.startsWith("jaytiller/")) logger.setLevel(level, false);
  }
}

setLogLevel(LogLevel.Info);
