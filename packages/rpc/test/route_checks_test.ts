import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestClass } from "@jaytiller/model";
import { checkRoute } from "../src/mod.js";

const RULE = {
  prefix: "/orders",
  methods: ["POST"],
  idempotent: false,
  class: RequestClass.Normal,
  deadlineMs: 2_000,
  maxBodyBytes: 65_536,
};
const ROUTE = {
  service: "orderdesk",
  pathPrefix: "/orderdesk",
  shards: 64,
  checksOwner: true,
  slots: 3,
  connections: 130,
  rules: [RULE, { ...RULE, methods: [] }, { ...RULE, prefix: "/" }],
};

/** Guards against validation that rejects or modifies valid routes. */
test("a valid route is returned unchanged", () => {
  const route = checkRoute(ROUTE, { source: "r.toml" }).unsafeCoerce();
  assert.deepEqual(route, ROUTE);
});

/** Guards against invalid routes that are written to the log. */
test("each error in a route is a finding at its path", () => {
  const cases: [object, string, RegExp][] = [
    [{ service: "a/b" }, "service", /letters, digits/],
    [{ pathPrefix: "orders" }, "path_prefix", /one path segment/],
    [{ pathPrefix: "/a/b" }, "path_prefix", /one path segment/],
    [{ shards: 0 }, "shards", /1 to 65536/],
    [{ shards: 65_537 }, "shards", /1 to 65536/],
    [{ checksOwner: "yes" }, "checks_owner", /true or false/],
    [{ slots: 1_001 }, "slots", /1 to 1000/],
    [{ slots: 1.5 }, "slots", /1 to 1000/],
    [{ connections: 2 }, "connections", /as slots, 3/],
    [{ rules: [] }, "rules", /1 to 1000 rules/],
    [{ rules: [7] }, "rules[0]", /a rule/],
    [{ rules: [RULE, RULE] }, "rules[1]", /that rules\[0\] does not cover/],
    [{ rules: [{ ...RULE, methods: [] }, RULE] }, "rules[1]", /rules\[0\]/],
    [{ weight: 3 }, "weight", /Unknown key/],
  ];
  for (const [change, path, message] of cases) {
    const result = checkRoute({ ...ROUTE, ...change }, { source: "r.toml" });
    const findings = result.swap().unsafeCoerce();
    assert.deepEqual(findings.map((f) => f.path), [path]);
    assert.match(findings[0]!.message, message);
  }
});

/** Guards against call rules under which no request can be served. */
test("each error in a call rule is a finding at its path", () => {
  const cases: [object, string][] = [
    [{ prefix: "orders" }, "prefix"],
    [{ prefix: "/a?b" }, "prefix"],
    [{ methods: ["post"] }, "methods"],
    [{ methods: ["GET", "GET"] }, "methods"],
    [{ idempotent: undefined }, "idempotent"],
    [{ class: "fast" }, "class"],
    [{ deadlineMs: 0 }, "deadline_ms"],
    [{ deadlineMs: 600_001 }, "deadline_ms"],
    [{ maxBodyBytes: -1 }, "max_body_bytes"],
  ];
  for (const [change, path] of cases) {
    const rules = [{ ...RULE, ...change }];
    const result = checkRoute({ ...ROUTE, rules }, {
      source: "putRoute",
      prefix: "route.",
    });
    const paths = result.swap().unsafeCoerce().map((f) => f.path);
    assert.deepEqual(paths, [`route.rules[0].${path}`]);
  }
});

/** Guards against validation that stops at the first error. */
test("all errors are reported at once", () => {
  const bad = { rules: [{ ...RULE, class: "x" }, { ...RULE, prefix: "" }] };
  const result = checkRoute(bad, { source: "r.toml" });
  assert.equal(result.swap().unsafeCoerce().length, 8);
});
