/**
 * Runs all built tests with node:test. A failing test that KNOWN-RED.txt names
 * exactly is printed and does not change the verdict; any other failure does.
 *
 * Usage: node scripts/run_tests.mjs [part of a file path ...]
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";

const CONCURRENCY = 4;
const FILE_TIMEOUT_MS = 300_000;
const root = new URL("..", import.meta.url).pathname;

function listTests(filters) {
  const folders = readdirSync(join(root, "packages"))
    .map((name) => join(root, "packages", name));
  return [...folders, join(root, "platform")].flatMap((folder) => {
    const dir = join(folder, "dist", "test");
    if (!existsSync(dir)) return [];
    // The build leaves the output of a test that was deleted since.
    const source = join(folder, "test");
    return readdirSync(dir).filter((f) =>
      f.endsWith("_test.js") &&
      existsSync(join(source, f.replace(/\.js$/, ".ts")))
    ).map((f) => join(dir, f));
  }).filter((f) => filters.length === 0 || filters.some((x) => f.includes(x)));
}

/** Lines of the form `test: <full name>` name the tests to pass over. */
function readKnownRed() {
  const file = join(root, "KNOWN-RED.txt");
  if (!existsSync(file)) return new Set();
  return new Set(
    readFileSync(file, "utf8").split("\n")
      .filter((l) => l.startsWith("test: ")).map((l) => l.slice(6).trim()),
  );
}

/** Runs files and adds their results to `passed`, `failed` and `red`. */
async function runFiles(files, concurrency) {
  if (files.length === 0) return;
  const stream = run({ files, concurrency, timeout: FILE_TIMEOUT_MS });
  stream.on("test:pass", (e) => {
    if (e.details?.type !== "suite") passed += 1;
  });
  stream.on("test:fail", (e) => {
    // A suite or file fails because of its tests, which are reported themselves.
    if (e.details?.error?.failureType === "subtestsFailed") return;
    (known.has(e.name) ? red : failed).push(e);
  });
  stream.on("test:stdout", (e) => process.stdout.write(e.message));
  stream.on("test:stderr", (e) => process.stderr.write(e.message));
  // Draining the stream waits for its end.
  for await (const _ of stream);
}

const known = readKnownRed();
const files = listTests(process.argv.slice(2));
let passed = 0;
const failed = [];
const red = [];

// Tests that start whole fleets need the machine for themselves, or timings of
// the system under test are those of the tests beside it.
const isFleet = (file) => file.includes("/verification/");
await runFiles(files.filter((f) => !isFleet(f)), CONCURRENCY);
await runFiles(files.filter(isFleet), 1);

for (const e of failed) {
  console.log(`FAILED ${e.name} (${e.file ?? "?"})`);
  console.log(e.details.error.cause?.stack ?? e.details.error.message);
}
for (const e of red) console.log(`known red, passed over: ${e.name}`);
if (files.length === 0) failed.push("no tests");
console.log(`${passed} passed, ${failed.length} failed`);
process.exit(failed.length === 0 ? 0 : 1);
