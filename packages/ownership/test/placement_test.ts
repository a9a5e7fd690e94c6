/** Tests of the placement plan. @module */
import type { GroupId, UnitId, UnitMove } from "@jaytiller/model";
import type { Assignment, Owner } from "@jaytiller/state";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type CandidateServer, planMoves } from "../src/placement.js";

const SERVICE = "desk";
const GROUP: GroupId = "desk/za";
const SHARDS = 64;
/** Maximum ratio of planned moves to the minimum number of moves. */
const MAX_CHURN_RATIO = 1.2;

type Owners = ReadonlyMap<UnitId, Owner>;

function makeCandidate(
  id: string,
  fields: Partial<CandidateServer> = {},
): CandidateServer {
  return { id, group: GROUP, accepts: true, ...fields };
}

function makeCandidates(count: number): CandidateServer[] {
  return Array.from({ length: count }, (_, i) => makeCandidate(`s${i}`));
}

function plan(
  seats: CandidateServer[],
  owners: Owners,
  assignments: Assignment[] = [],
): UnitMove[] {
  const service = SERVICE;
  return planMoves({
    service,
    shards: SHARDS,
    candidates: seats,
    owners,
    assignments,
  });
}

function applyMoves(owners: Owners, moves: readonly UnitMove[]): Owners {
  const next = new Map(owners);
  for (const m of moves) {
    next.set(m.unit, {
      server: m.to,
      group: m.toGroup,
      since: 1,
      sinceMs: 1,
      reason: m.reason,
      previous: m.from,
    });
  }
  return next;
}

function countUnits(owners: Owners): Map<string, number> {
  const counts = new Map<string, number>();
  for (const o of owners.values()) {
    counts.set(o.server, (counts.get(o.server) ?? 0) + 1);
  }
  return counts;
}

function assignTo(unit: UnitId, server: string): Assignment {
  return { service: SERVICE, unit, server, reason: "test", version: 1 };
}

for (const n of [2, 3, 5, 7, 8, 20]) {
  const ceiling = Math.ceil(SHARDS / n);
  const placed = applyMoves(new Map(), plan(makeCandidates(n), new Map()));

  /** Guards against a server that gets more than its share. */
  test(`${n} servers: no load exceeds the ceiling of the mean`, () => {
    assert.equal(placed.size, SHARDS);
    assert.ok(Math.max(...countUnits(placed).values()) <= ceiling);
  });

  /** Guards against unnecessary moves. */
  test(`${n} servers: a balanced placement stays as it is`, () => {
    assert.deepEqual(plan(makeCandidates(n), placed), []);
  });

  /** Guards against churn when a server joins. */
  test(`${n} servers: a joining server causes few moves`, () => {
    const candidates = makeCandidates(n + 1);
    const moves = plan(candidates, placed);
    const minMoves = Math.floor(SHARDS / (n + 1));
    assert.ok(
      moves.length <= MAX_CHURN_RATIO * minMoves,
      `${moves.length}/${minMoves}`,
    );
    const after = countUnits(applyMoves(placed, moves));
    assert.ok(Math.max(...after.values()) <= Math.ceil(SHARDS / (n + 1)));
  });

  /** Guards against churn and units without an owner when a server is lost. */
  test(`${n} servers: a lost server causes few moves`, () => {
    const candidates = makeCandidates(n)
      .map((s) => s.id === "s0" ? makeCandidate("s0", EVICTED) : s);
    const moves = plan(candidates, placed);
    const minMoves = countUnits(placed).get("s0")!;
    assert.ok(
      moves.length <= MAX_CHURN_RATIO * minMoves,
      `${moves.length}/${minMoves}`,
    );
    const after = countUnits(applyMoves(placed, moves));
    assert.equal(after.get("s0"), undefined);
    assert.ok(Math.max(...after.values()) <= Math.ceil(SHARDS / (n - 1)));
  });
}

const EVICTED = {
  accepts: false,
  evictionReason: "The server does not answer",
};

/** Guards against units that stay with a server that is not listed. */
test("units of a server that is no longer listed move", () => {
  const placed = applyMoves(new Map(), plan(makeCandidates(3), new Map()));
  const after = applyMoves(placed, plan(makeCandidates(2), placed));
  assert.equal(countUnits(after).has("s2"), false);
});

/** Guards against moves without a target when every server is lost. */
test("nothing moves if no server accepts units", () => {
  const placed = applyMoves(new Map(), plan(makeCandidates(2), new Map()));
  const candidates = makeCandidates(2).map((s) => makeCandidate(s.id, EVICTED));
  assert.deepEqual(plan(candidates, placed), []);
});

/** Guards against a plan that undoes an operator's assignment. */
test("assigned shards and keys go to their server and stay", () => {
  const placed = applyMoves(new Map(), plan(makeCandidates(3), new Map()));
  const assignments = [assignTo("s:1", "s2"), assignTo("k:a", "s1")];
  const after = applyMoves(
    placed,
    plan(makeCandidates(3), placed, assignments),
  );
  assert.equal(after.get("s:1")?.server, "s2");
  assert.equal(after.get("k:a")?.server, "s1");
  assert.deepEqual(plan(makeCandidates(3), after, assignments), []);
});

/**
 * Guards against units that wait for a lost server because of an assignment.
 */
test("an assignment to a server that accepts no units is ignored", () => {
  const placed = applyMoves(new Map(), plan(makeCandidates(3), new Map()));
  const candidates = makeCandidates(3).map((s) =>
    s.id === "s2" ? makeCandidate("s2", EVICTED) : s
  );
  const moves = plan(candidates, placed, [assignTo("s:1", "s2")]);
  assert.equal(moves.some((m) => m.to === "s2"), false);
  assert.notEqual(
    applyMoves(placed, moves).get("s:1")?.server,
    "s2",
  );
});
