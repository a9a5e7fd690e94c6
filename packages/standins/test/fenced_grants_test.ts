import type { GrantRequest } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FencedGrants } from "../src/mod.js";

interface GrantCase {
  readonly name: string;
  readonly requests: readonly Partial<GrantRequest>[];
  /** Whether the last request is accepted. */
  readonly accepted: boolean;
  /** Status for unit s:1 with the current token at 1000 ms; 0 if it may run. */
  readonly status: number;
}

const basis = { incarnation: "a", atMs: 900 };
const open = { token: "5.0", seq: 1, basis };

const GRANT_CASES: readonly GrantCase[] = [
  { name: "granted", requests: [open], accepted: true, status: 0 },
  {
    name: "lower term",
    requests: [open, { token: "4.9", seq: 9, basis, units: [] }],
    accepted: false,
    status: 0,
  },
  {
    name: "lower ballot",
    requests: [{ ...open, token: "5.2" }, { token: "5.1", seq: 9, basis }],
    accepted: false,
    status: 0,
  },
  {
    name: "older sequence number",
    requests: [{ ...open, seq: 7 }, { ...open, seq: 6, units: [] }],
    accepted: false,
    status: 0,
  },
  {
    name: "sequence restarts with a new token",
    requests: [{ ...open, seq: 7 }, { token: "6.0", seq: 1, basis }],
    accepted: true,
    status: 0,
  },
  {
    name: "without a basis",
    requests: [open, { token: "6.0", seq: 1, basis: null }],
    accepted: true,
    status: 0,
  },
  {
    name: "without a basis, unit not named",
    requests: [open, { token: "6.0", seq: 1, basis: null, units: [] }],
    accepted: true,
    status: 409,
  },
  {
    name: "without a basis, unit not held",
    requests: [{ token: "6.0", seq: 1, basis: null }],
    accepted: true,
    status: 409,
  },
  {
    name: "without a basis, lease expired",
    requests: [
      { ...open, basis: { incarnation: "a", atMs: 500 } },
      { token: "6.0", seq: 1, basis: null },
    ],
    accepted: true,
    status: 503,
  },
  {
    name: "basis of another incarnation",
    requests: [{ ...open, basis: { incarnation: "b", atMs: 900 } }],
    accepted: true,
    status: 409,
  },
  {
    name: "basis older than the lease",
    requests: [{ ...open, basis: { incarnation: "a", atMs: 500 } }],
    accepted: true,
    status: 503,
  },
  {
    name: "unit withdrawn",
    requests: [open, { ...open, seq: 2, units: ["s:2"] }],
    accepted: true,
    status: 409,
  },
  {
    name: "malformed token",
    requests: [open, { token: "x", seq: 2, basis }],
    accepted: false,
    status: 0,
  },
];

/** Guards against a server that executes requests of a stale holder. */
test("fenced grants", async (t) => {
  for (const step of GRANT_CASES) {
    await t.test(step.name, () => {
      const grants = new FencedGrants("a");
      let accepted = false;
      for (const request of step.requests) {
        const full = { leaseMs: 450, units: ["s:1"], ...request };
        accepted = grants.applyRequest(full as GrantRequest, 950).accepted;
      }
      assert.equal(accepted, step.accepted);
      const fault = grants.checkToken(grants.token) ??
        grants.checkUnit("s:1", 1000);
      assert.equal(fault?.status ?? 0, step.status);
      assert.equal(grants.checkToken("4.9")?.status, 409);
    });
  }
});

/** Guards against a new server that accepts requests before its first grant. */
test("requests before the first grant are rejected", () => {
  const grants = new FencedGrants("a");
  assert.equal(grants.checkToken("-1.0")?.status, 409);
  assert.equal(grants.checkToken(undefined)?.status, 409);
});

/**
 * Guards against work that starts under one grant and takes effect under a later
 * one, although another server may have owned the unit in between.
 */
test("a unit that is granted again gets a new grant number", () => {
  const expiredLease = {
    token: "6.0",
    seq: 1,
    basis: { incarnation: "a", atMs: 1900 },
  };
  const cases: [string, object[], boolean][] = [
    ["renewed", [{ ...open, seq: 2 }], true],
    [
      "withdrawn between",
      [{ ...open, seq: 2, units: [] }, { ...open, seq: 3 }],
      false,
    ],
    ["other holder, lease valid", [{ token: "6.0", seq: 1, basis }], true],
    ["other holder, lease expired", [expiredLease], true],
  ];
  for (const [name, requests, same] of cases) {
    const grants = new FencedGrants("a");
    const apply = (request: object) =>
      grants.applyRequest(
        { leaseMs: 450, units: ["s:1"], ...request } as unknown as GrantRequest,
        request === expiredLease ? 1950 : 950,
      );
    apply(open);
    const first = grants.getGrantNumber("s:1");
    requests.forEach(apply);
    assert.equal(grants.getGrantNumber("s:1") === first, same, name);
  }
});

/** Guards against a basis in the future that extends the lease. */
test("future basis", () => {
  const grants = new FencedGrants("a");
  const request = { token: "5.0", seq: 1, leaseMs: 450, units: ["s:1"] };
  const future = { incarnation: "a", atMs: 99_999 };
  grants.applyRequest(
    { ...request, basis: future } as unknown as GrantRequest,
    950,
  );
  assert.equal(grants.checkUnit("s:1", 1399), undefined);
  assert.equal(grants.checkUnit("s:1", 1400)?.status, 503);
});
