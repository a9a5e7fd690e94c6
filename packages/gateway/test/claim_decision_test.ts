/** When a router may follow a coordinator that it cannot reach. */
import type { RouterRef } from "@jaytiller/ranges";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseWitnesses,
  type ClaimFacts,
  mayFollow,
  Presence,
} from "../src/claim_decision.js";

function makeRef(node: string, zone: string): RouterRef {
  return { node, incarnation: node, address: node, zone, cores: 1 };
}

const SELF = makeRef("self", "z1");
const NEAR = makeRef("near", "z1");
const FAR = makeRef("far", "z2");
const FAR_LEADER = makeRef("leader", "z3");
const NEAR_LEADER = makeRef("leader", "z1");

interface Case extends Omit<ClaimFacts, "self"> {
  readonly guards: string;
  readonly claims: boolean;
}

const CASES: readonly Case[] = [
  {
    guards: "keys wait although the coordinator's process has ended",
    coordinator: FAR_LEADER,
    presence: Presence.Refused,
    witnesses: [{ router: FAR, silentMs: 100 }, { router: NEAR }],
    unchangedMs: 0,
    claims: true,
  },
  {
    guards: "a zone cut off with resets takes the others' coordinator away",
    coordinator: FAR_LEADER,
    presence: Presence.Refused,
    witnesses: [{ router: FAR }, { router: NEAR, silentMs: 5_000 }],
    unchangedMs: 2_000,
    claims: false,
  },
  {
    guards: "a zone cut off in silence does so",
    coordinator: FAR_LEADER,
    presence: Presence.Silent,
    witnesses: [{ router: FAR }, { router: NEAR, silentMs: 5_000 }],
    unchangedMs: 2_000,
    claims: false,
  },
  {
    guards: "the last zone never has a coordinator again",
    coordinator: FAR_LEADER,
    presence: Presence.Refused,
    witnesses: [{ router: FAR }, { router: NEAR, silentMs: 5_000 }],
    unchangedMs: 4_000,
    claims: true,
  },
  {
    guards: "a zone with the ended coordinator in it is taken for cut off",
    coordinator: NEAR_LEADER,
    presence: Presence.Refused,
    witnesses: [{ router: FAR }, { router: NEAR, silentMs: 2_000 }],
    unchangedMs: 0,
    claims: true,
  },
  {
    guards: "one bad link is enough to replace a coordinator",
    coordinator: FAR_LEADER,
    presence: Presence.Silent,
    witnesses: [{ router: FAR, silentMs: 50 }],
    unchangedMs: 0,
    claims: false,
  },
  {
    guards: "a frozen coordinator is waited for",
    coordinator: FAR_LEADER,
    presence: Presence.Silent,
    witnesses: [{ router: FAR, silentMs: 900 }, { router: NEAR }],
    unchangedMs: 0,
    claims: true,
  },
  {
    guards: "a router without any other waits for ever",
    coordinator: FAR_LEADER,
    presence: Presence.Silent,
    witnesses: [],
    unchangedMs: 4_000,
    claims: true,
  },
];

for (const { guards, claims, ...facts } of CASES) {
  test(`claim, guards against: ${guards}`, () => {
    assert.equal(mayFollow({ self: SELF, ...facts }), claims);
  });
}

test("routers of other zones are asked before those of the own one", () => {
  const near = Array.from({ length: 9 }, (_, i) => makeRef(`n-${i}`, "z1"));
  const asked = chooseWitnesses([...near, FAR, FAR_LEADER, SELF], {
    self: SELF,
    coordinator: FAR_LEADER,
    random: () => 0.5,
  });
  assert.equal(asked[0], FAR);
  assert.equal(asked.length, 4);
  assert.ok(!asked.includes(FAR_LEADER) && !asked.includes(SELF));
});
