import assert from "node:assert/strict";
import { test } from "node:test";
import { ExitCode, readRoute } from "../src/mod.js";
import { CHANGE_ID, runBinary, useRouter } from "./fixture.js";

const GONE = "127.0.0.1:1";

/** Guards against bad usage that is accepted or reported as a refusal. */
test("bad usage has its own exit code and reports every error", async () => {
  const at = ["--at", GONE];
  const cases: [string[], RegExp][] = [
    [[], /No command/],
    [["fly"], /Invalid command: fly/],
    [["drain"], /Insufficient arguments/],
    [["state"], /Expected --at or JAYTILLER_AT/],
    [["state", "--at", "host"], /--at: Expected host:port/],
    [["state", ...at, "--colour"], /Unknown option: --colour/],
    [["state", ...at, "extra"], /argument: Unexpected/],
    [["drain", "vm-3", ...at], /--reason: The option is required/],
    [["drain", "vm-3", ...at, "--reason"], /--reason: Expected a value/],
    [
      ["assign", "a", ...at, "--reason", "r", "--key", "k", "--shard", "1"],
      /either --key or --shard[^]*--to: The option is required/,
    ],
    [[
      "drain",
      "a",
      ...at,
      "--reason",
      "r",
      "--expect-version",
      "x",
      "--change-id",
      "7",
    ], /--expect-version: [^]*--change-id: Expected a UUID/],
    [
      ["timeline", ...at, "--since", "soon", "--limit", "0"],
      /--limit: [^]*--since: Expected unix ms/,
    ],
    [["route", "check"], /--file: The option is required/],
  ];
  for (const [args, expected] of cases) {
    const { code, err } = await runBinary(args);
    assert.match(err, expected, args.join(" "));
    assert.equal(code, ExitCode.BadInput, args.join(" "));
  }
});

/** Guards against commands without documented usage or exit codes. */
test("help shows an example and the exit codes of each command", async () => {
  const { code, out } = await runBinary(["--help"]);
  assert.equal(code, ExitCode.Done);
  assert.match(out, /Exit codes: 0 done; 1 refused/);
  const section = /Available Commands\n([^]*?)\n\n/.exec(out)![1]!;
  const names = section.split("\n").map((l) => l.trim().split(/ {2,}/)[0]!);
  assert.equal(names.length, 18);
  await Promise.all(names.map(async (name) => {
    const help = await runBinary([...name.split(" "), "--help"]);
    assert.equal(help.code, ExitCode.Done, name);
    assert.match(help.out, new RegExp(`Examples\n +\\$ jaytiller ${name}`));
    assert.match(help.out, /3 outcome unknown; 4 no router reachable/);
  }));
});

/** Guards against keys that the parser modifies, such as 007 to 7. */
test("keys that look like numbers or options are not modified", async () => {
  const asked: unknown[] = [];
  await useRouter({
    explain: (request) => {
      asked.push(request.key);
      return Promise.resolve({ lines: ["Owned by \u001b[31mvm-9"] });
    },
  }, async (address) => {
    for (const args of [["007"], ["--json", "1e3"], ["--", "--json"]]) {
      const before = args[0] === "--" ? [] : args;
      const after = args[0] === "--" ? args : [];
      const { code, out } = await runBinary(
        ["explain", "key", "orderdesk", ...before, ...after],
        { env: { JAYTILLER_AT: `${GONE}, ${address}` } },
      );
      assert.equal(code, ExitCode.Done);
      if (args[0] === "007") assert.equal(out, "Owned by ?[31mvm-9\n");
    }
  });
  assert.deepEqual(
    asked,
    ["007", "1e3", "--json"].map((key) => ({
      service: "orderdesk",
      key,
    })),
  );
});

/** Guards against an unreachable router that is reported as a refusal. */
test("the exit code shows why there is no answer", async () => {
  const gone = await runBinary(["state", "--at", GONE]);
  assert.equal(gone.code, ExitCode.Unreachable);
  assert.match(gone.err, /No connection to 127\.0\.0\.1:1/);
  await useRouter({}, async (at) => {
    const refused = await runBinary(["metrics", "--at", at]);
    assert.equal(refused.code, ExitCode.Refused);
    const unseen = await runBinary(["change", CHANGE_ID, "--at", at]);
    assert.equal(unseen.code, ExitCode.Unknown);
  });
});

/** Guards against route file errors that are reported one at a time. */
test("all errors in a route file are reported with file and line", () => {
  const text = [
    'service = "orderdesk"',
    'path_prefix = "orderdesk"',
    "shards = 64",
    "checksOwner = true",
    "slots = 3",
    "connections = 130",
    "[[rules]]",
    'prefix = "/"',
    "idempotent = true",
    "deadline_ms = 2000",
    "max_body_bytes = 65536",
    "[[rules]]",
    'prefix = "/"',
    "idempotent = 1",
    "deadline_ms = 0",
    "max_body_bytes = 65536",
    "retries = 2",
  ].join("\n");
  const findings = readRoute(text, "r.toml").swap().unsafeCoerce();
  assert.deepEqual(findings.map((f) => `${f.source} ${f.path}`), [
    "r.toml:4 checksOwner",
    "r.toml:2 path_prefix",
    "r.toml:14 rules[1].idempotent",
    "r.toml:15 rules[1].deadline_ms",
    "r.toml:17 rules[1].retries",
    "r.toml:12 rules[1]",
  ]);
  const good = text.split("[[rules]]").slice(0, 2).join("[[rules]]")
    .replace("checksOwner", "checks_owner").replace('"ord', '"ord')
    .replace('= "orderdesk"\nshards', '= "/orderdesk"\nshards');
  const route = readRoute(good, "r.toml").unsafeCoerce();
  assert.deepEqual(route.rules[0]!.methods, []);
  assert.equal(route.rules[0]!.class, "normal");
});
