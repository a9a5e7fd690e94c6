/** Tests moves that balance load. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Assignment,
  KeyLoad,
  type OwnerCandidate,
  planBalance,
} from "../src/mod.js";

const NOW_MS = 10_000;
const CAPACITY = 10;

/** Servers, their load, and how often it is balanced. */
interface Scenario {
  /** Requests per second that each server can process. */
  readonly capacities: readonly number[];
  /** Requests per second by key; initially the first server owns all keys. */
  readonly load: Readonly<Record<number, number>>;
  readonly rounds: number;
}

interface Case extends Scenario {
  readonly failure: string;
  /** Load of the busiest server after the rounds, requests per second. */
  readonly busiest: number;
}

const CASES: readonly Case[] = [
  {
    failure: "an overloaded server sheds keys so slowly that requests are lost",
    capacities: Array.from({ length: 15 }, () => CAPACITY),
    // Adjacent hot keys, all on one server.
    load: Object.fromEntries(
      Array.from({ length: 60 }, (_, i) => [30_000 + i, 1.5]),
    ),
    rounds: 3,
    busiest: 13,
  },
  {
    failure: "adjacent keys stay with a key that exceeds any server's capacity",
    capacities: Array.from({ length: 4 }, () => CAPACITY),
    load: { 100: 40, 101: 6, 99: 6, 60_000: 4 },
    rounds: 3,
    busiest: 40.1,
  },
];

/**
 * Plans and applies moves for some rounds; returns the load of each server, by
 * its index. Moves take effect at once, and ranges may move again in each round.
 */
function simulateRounds(scenario: Scenario): readonly number[] {
  const { capacities, load: rates, rounds } = scenario;
  const load = KeyLoad.create({ timeConstantMs: 1_000 });
  load.advance(NOW_MS);
  for (const [key, rate] of Object.entries(rates)) load.add(Number(key), rate);
  load.advance(NOW_MS);
  const scale = load.total / Object.values(rates).reduce((a, b) => a + b, 0);
  const candidates = capacities.map((capacity, i): OwnerCandidate => ({
    id: `i-${i}`,
    born: 1,
    capacity: capacity * scale,
  }));
  let owners = new Map([[0, { to: 65_535, id: "i-0" }]]);
  const list = () =>
    [...owners].map(([from, { to, id }]): Assignment => ({
      from,
      to,
      owner: { id, born: 1 },
      fence: 1,
      former: [],
      granted: true,
      leaseExpiryMs: 0,
      changedAtMs: 0,
    })).sort((a, b) => a.from - b.from);
  for (let round = 0; round < rounds; round++) {
    const options = { nowMs: NOW_MS, maxMoves: 10, maySplit: true, load };
    for (const move of planBalance(list(), candidates, options)) {
      const next = new Map<number, { to: number; id: string }>();
      for (const [from, { to, id }] of owners) {
        if (from < move.from) {
          next.set(from, { to: Math.min(to, move.from - 1), id });
        }
        if (to > move.to) next.set(Math.max(from, move.to + 1), { to, id });
      }
      next.set(move.from, { to: move.to, id: move.owner.id });
      owners = next;
    }
  }
  const sums = new Map<string, number>();
  for (const a of list()) {
    const { id } = a.owner!;
    sums.set(id, (sums.get(id) ?? 0) + load.sum(a.from, a.to) / scale);
  }
  return candidates.map(({ id }) => sums.get(id) ?? 0);
}

for (const balanceCase of CASES) {
  const { failure, busiest } = balanceCase;
  test(`balance, guards against: ${failure}`, () => {
    const load = Math.max(...simulateRounds(balanceCase));
    assert.ok(
      load <= busiest,
      `the busiest server has ${load} requests per second`,
    );
  });
}

test("a key that no server can process is owned by the fastest one", () => {
  const loads = simulateRounds({
    capacities: [5, 5, 12],
    load: { 100: 40, 101: 1, 30_000: 2 },
    rounds: 4,
  });
  assert.ok(loads[2]! >= 40, `the fastest server has ${loads[2]} per second`);
});
