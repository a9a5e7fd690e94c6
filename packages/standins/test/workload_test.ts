import assert from "node:assert/strict";
import { test } from "node:test";
import {
  formatRouteFile,
  parseWorkload,
  readWorkload,
  scaleWorkload,
  WorkloadName,
} from "../src/mod.js";

const SIZES = [
  {
    name: WorkloadName.Tabwright,
    zones: 4,
    entries: 8,
    servers: {
      specbook: 20,
      orderdesk: 8,
      artbin: 8,
      ticketboard: 8,
    },
    unchecked: ["ticketboard"],
  },
  {
    name: WorkloadName.LoneStar,
    zones: 3,
    entries: 9,
    servers: { slotdesk: 15, paybooth: 6, logdrop: 6, ledgerview: 6 },
    unchecked: ["ledgerview"],
  },
] as const;

/** Guards against workloads whose sizes differ from `docs/design.md`. */
test("sizes of the workloads", async (t) => {
  for (const size of SIZES) {
    await t.test(size.name, () => {
      const workload = readWorkload(size.name);
      const zones = workload.zones.length;
      assert.equal(zones, size.zones);
      assert.equal(zones * workload.entriesPerZone, size.entries);
      const servers = workload.services
        .map((s) => [s.name, s.serversPerZone * zones]);
      assert.deepEqual(Object.fromEntries(servers), size.servers);
      const unchecked = workload.services.filter((s) => !s.checksOwner);
      assert.deepEqual(unchecked.map((s) => s.name), size.unchecked);
    });
  }
});

/** Guards against a scaled-down fleet that exceeds its bounds. */
test("scale", () => {
  const scale = { zones: 2, entriesPerZone: 9, services: 1, serversPerZone: 3 };
  const small = scaleWorkload(readWorkload(WorkloadName.Tabwright), scale);
  assert.deepEqual(small.zones, ["toledo", "erie"]);
  assert.equal(small.entriesPerZone, 2);
  assert.deepEqual(
    small.services.map((s) => [s.name, s.serversPerZone]),
    [["specbook", 3]],
  );
  const file = formatRouteFile(small.services[0]!);
  assert.match(file, /path_prefix = "\/specs"[^]*\[\[rules\]\][^]*deadline_ms/);
});

/** Guards against invalid keys that are ignored or not all reported. */
test("all findings of a workload", () => {
  const text = `name = 7
zones = []
entries_per_zone = 1
backend = {}
latencies = { between_zones_ms = 1 }
[[services]]
name = "a"
colour = "red"`;
  assert.throws(
    () => parseWorkload(text, "w.toml"),
    /w\.toml: name: Expected a string \(found 7\)[^]*latencies\.client_ms: Expected a number \(found nothing\)[^]*services\[0\]\.colour: Unknown key/,
  );
});
