/** Entry point of the command line, loaded by `bin/jaytiller.js`. @module */
import { runCli } from "./cli.js";
import { ExitCode } from "./exit_code.js";

const interrupt = new AbortController();
for (const name of ["SIGINT", "SIGTERM"] as const) {
  process.once(name, () => interrupt.abort());
}

// The reader of a pipe may exit first, as in `jaytiller history | head`.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  process.exit(error.code === "EPIPE" ? ExitCode.Done : ExitCode.Refused);
});

const code = await runCli(process.argv.slice(2), {
  env: process.env,
  writeLine: (line) => void process.stdout.write(`${line}\n`),
  writeNote: (line) => void process.stderr.write(`${line}\n`),
  signal: interrupt.signal,
});
// A connection to an unresponsive router would keep the process alive for 20 s.
process.stdout.write("", () => process.exit(code));
