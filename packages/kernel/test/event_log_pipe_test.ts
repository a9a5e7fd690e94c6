/** Event log on a pipe whose reader is slow. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { EventLog } from "../src/mod.js";

const LINES = 4_000;

/** Guards against lines that a full pipe loses without a count. */
test("a full pipe delays lines, and losses are counted", async () => {
  const reader = spawn("cat", { stdio: ["pipe", "pipe", "ignore"] });
  const output: string[] = [];
  reader.stdout.setEncoding("utf8").on("data", (text) => output.push(text));
  const { fd } = (reader.stdin as unknown as { _handle: { fd: number } })
    ._handle;
  const log = EventLog.create({
    node: "n",
    fd,
    maxRoutineLinesPerSecond: 0,
    maxPendingBytes: 256 << 10,
  });
  reader.kill("SIGSTOP");
  for (let i = 0; i < LINES; i++) {
    log.record("line", { i, text: "x".repeat(100) });
    if (i % 200 === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  }
  reader.kill("SIGCONT");
  const counts = () => {
    const lines = output.join("").split("\n").slice(0, -1)
      .map((line) => JSON.parse(line) as { event: string; dropped?: number });
    const dropped = lines.reduce((sum, l) => sum + (l.dropped ?? 0), 0);
    return { lines, dropped };
  };
  const endMs = Date.now() + 10_000;
  while (counts().lines.at(-1)?.event !== "last" && Date.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, 50));
    if (counts().lines.length > 0) log.record("last", {});
  }
  reader.stdin.end();
  const { lines, dropped } = counts();
  const written = lines.filter((l) => l.event === "line").length;
  assert.ok(dropped > 0, "the pipe was never full");
  assert.ok(written + dropped >= LINES, `${written} and ${dropped} dropped`);
});
