/** When a coordinator may send grants. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type RouterRef, TermGuard } from "../src/mod.js";

function makeRef(node: string, process = 1): RouterRef {
  const incarnation = `${node}.${process}`;
  return { node, incarnation, address: node, zone: "z", cores: 1 };
}

const ROUTERS = ["self", "a", "b", "c", "d"].map((n) => makeRef(n));

interface GuardCase {
  readonly title: string;
  /** Time of the store's last confirmation, ms before now. */
  readonly confirmedMs: number;
  /** Accepted heartbeats: router, and time of sending in ms before now. */
  readonly accepted: readonly (readonly [RouterRef, number])[];
  /** Routers of a record that is being written. */
  readonly proposed?: readonly RouterRef[];
  readonly mayGrant: boolean;
}

const [, a, b] = ROUTERS as [RouterRef, RouterRef, RouterRef];

const GUARD_CASES: readonly GuardCase[] = [
  {
    title: "the store has just confirmed the term, and no router replies",
    confirmedMs: 400,
    accepted: [],
    mayGrant: true,
  },
  {
    title: "the store is away, and a majority replies",
    confirmedMs: 12_000,
    accepted: [[a, 300], [b, 700]],
    mayGrant: true,
  },
  {
    title: "the store is away, and a minority replies",
    confirmedMs: 3_000,
    accepted: [[a, 300]],
    mayGrant: false,
  },
  {
    title: "the store is away, and a majority has replied too long ago",
    confirmedMs: 3_000,
    accepted: [[a, 300], [b, 2_000]],
    mayGrant: false,
  },
  {
    title: "the store is away for too long",
    confirmedMs: 13_000,
    accepted: [[a, 300], [b, 300]],
    mayGrant: false,
  },
  {
    title: "a reply comes from a later process of a router",
    confirmedMs: 3_000,
    accepted: [[a, 300], [makeRef("b", 2), 300]],
    mayGrant: false,
  },
  {
    title: "a majority of the last record, but not of the next one",
    confirmedMs: 3_000,
    accepted: [[a, 300], [b, 300]],
    proposed: [...ROUTERS, makeRef("e"), makeRef("f")],
    mayGrant: false,
  },
];

for (const guardCase of GUARD_CASES) {
  test(`grants of a coordinator: ${guardCase.title}`, () => {
    const nowMs = 100_000;
    const guard = TermGuard.create(nowMs - guardCase.confirmedMs, {
      self: ROUTERS[0]!,
      routers: ROUTERS,
    });
    for (const [router, agoMs] of guardCase.accepted) {
      guard.witnesses.record(router, nowMs - agoMs);
    }
    if (guardCase.proposed) guard.witnesses.propose(guardCase.proposed);
    assert.equal(guard.mayGrant(nowMs), guardCase.mayGrant);
  });
}
