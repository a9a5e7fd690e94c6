import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeBoolean,
  describeEnum,
  describeInteger,
  describeList,
  describeString,
  describeUrl,
  findLine,
  readSettings,
  readSettingsFile,
} from "../src/mod.js";

const SCHEMA = {
  node: { id: describeString({ pattern: /^[a-z0-9-]+$/ }) },
  platform: {
    logUrl: describeUrl(),
    seeds: describeList(describeUrl(), { default: [] }),
  },
  timing: { renewMs: describeInteger({ min: 10, max: 1000, default: 100 }) },
  log: {
    level: describeEnum(["info", "debug"], { default: "info" }),
    colour: describeBoolean({ default: false }),
  },
};

/**
 * Guards against missing defaults and keys that aren't converted to camel case.
 */
test("valid settings are read and completed with defaults", () => {
  const text = `[node]\nid = "vm-1"\n[platform]\nlog_url = "http://h:1"\n`;
  const settings = readSettings(text, "r.toml", SCHEMA).unsafeCoerce();
  const renew: number = settings.timing.renewMs;
  const level: "info" | "debug" = settings.log.level;
  assert.deepEqual([renew, level], [100, "info"]);
  assert.deepEqual(settings.platform, { logUrl: "http://h:1", seeds: [] });
});

/**
 * Guards against reports that end at the first problem or name a wrong line.
 */
test("all findings are reported at once with their lines", () => {
  const text = [
    "[node]",
    'id = "VM 1"',
    "[platform]",
    'seeds = ["http://a", 7]',
    "[timing]",
    "renew_ms = 5 # too low",
    "heartbeet_ms = 50",
    "[log]",
    'level = "loud"',
    "[extra]",
    "a = 1",
  ].join("\n");
  const findings = readSettings(text, "r.toml", SCHEMA).swap().unsafeCoerce();
  const found = findings.map((f) => `${f.source} ${f.path} ${f.value}`);
  assert.deepEqual(found, [
    'r.toml:10 extra {"a":1}',
    'r.toml:2 node.id "VM 1"',
    "r.toml:3 platform.log_url nothing",
    "r.toml:4 platform.seeds[1] 7",
    "r.toml:7 timing.heartbeet_ms 50",
    "r.toml:6 timing.renew_ms 5",
    'r.toml:9 log.level "loud"',
  ]);
  assert.match(findings[5]!.message, /a whole number from 10 to 1000/);
  assert.match(findings[4]!.message, /Unknown key; expected one of renew_ms/);
});

/** Guards against syntax errors without a line and uncaught read errors. */
test("syntax errors and missing files are findings", async () => {
  const broken = readSettings("[node]\nid = \n", "r.toml", SCHEMA);
  const [finding] = broken.swap().unsafeCoerce();
  assert.match(finding!.source, /^r\.toml:2:\d+$/);
  assert.match(finding!.message, /^Expected valid TOML, but at column \d+/);
  const missing = await readSettingsFile("/nonexistent/r.toml", SCHEMA);
  assert.match(missing.swap().unsafeCoerce()[0]!.value, /ENOENT/);
});

/** Guards against lines of a different table of the same array. */
test("lines of keys in repeated tables are found", () => {
  const text = 'a = 1\n[[rules]]\nb = 1\n[[rules]]\n"b" = 2\n';
  const cases: [string, number | undefined][] = [
    ["a", 1],
    ["rules[0].b", 3],
    ["rules[1].b", 5],
    ["rules[1].missing", 4],
    ["rules[1].b[3]", 5],
    ["missing", undefined],
  ];
  for (const [path, line] of cases) assert.equal(findLine(text, path), line);
});
