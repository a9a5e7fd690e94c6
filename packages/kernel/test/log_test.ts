import assert from "node:assert/strict";
import { test } from "node:test";
import { getLogger, setLogLevel } from "../src/mod.js";

/**
 * Guards against messages that take several lines, and against loggers that are
 * created earlier or later than `setLogLevel` is called and miss its level.
 */
test("each message is one line, and the level applies to all loggers", (t) => {
  const lines: string[] = [];
  const write = t.mock.method(process.stderr, "write", (line: string) => {
    lines.push(line);
    return true;
  });
  const early = getLogger("early");
  setLogLevel("warn");
  const late = getLogger("late");
  early.info("not shown");
  early.warn("Found %d keys\nin \u001b[1m%s", 3, "a");
  late.error("Lost the log");
  setLogLevel("debug");
  late.debug("Now shown");
  write.mock.restore();
  assert.equal(lines.length, 3);
  const time = /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z /;
  for (const line of lines) assert.match(line, time);
  assert.deepEqual(lines.map((l) => l.replace(time, "")), [
    "WARN early: Found 3 keys\\nin ?[1ma\n",
    "ERROR late: Lost the log\n",
    "DEBUG late: Now shown\n",
  ]);
});
