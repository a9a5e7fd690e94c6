/** Tests the text format of the request metrics. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestMetrics } from "../src/request_metrics.js";

const LABELS = { route: "r-1", service: "spec", outcome: "answered" };

test("buckets are cumulative, and +Inf counts requests above the last bound", () => {
  const metrics = new RequestMetrics();
  for (const ms of [4, 90, 90_000]) metrics.count(LABELS, ms);
  const lines = metrics.format().split("\n");
  const labels = 'route="r-1",service="spec",outcome="answered"';
  const name = "jaytiller_request_duration_ms";
  for (
    const line of [
      `${name}_bucket{${labels},le="5"} 1`,
      `${name}_bucket{${labels},le="100"} 2`,
      `${name}_bucket{${labels},le="3200"} 2`,
      `${name}_bucket{${labels},le="+Inf"} 3`,
      `${name}_count{${labels}} 3`,
    ]
  ) assert.ok(lines.includes(line), line);
});

test("series of removed routes are deleted, so that memory stays bounded", () => {
  const metrics = new RequestMetrics();
  metrics.count(LABELS, 5);
  metrics.retainRoutes(() => false);
  assert.equal(metrics.format().trim(), "");
});
