import { type LogEntry, RecordKind, Token } from "@jaytiller/model";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClusterState, type Effect } from "../src/mod.js";
import { makeChange, makeMove, makePut, makeRecord } from "./records.js";

const SEED = 20_261_204;
const RUNS = 1_000;
const GROUPS = ["orderdesk/erie", "orderdesk/lorain"] as const;
const UNITS = ["s:0", "s:1", "k:a"] as const;
const SERVERS = ["b1", "b2", null] as const;

/** Makes a record from the state that its writer sees, which may be stale. */
type RecordWriter = (seen: ClusterState) => LogEntry["record"];

const group = fc.constantFrom(...GROUPS);
const server = fc.constantFrom(...SERVERS);

const writers: fc.Arbitrary<RecordWriter> = fc.oneof(
  group.map((g) => (seen: ClusterState) =>
    makeRecord(RecordKind.Claim, {
      group: g,
      supersedes: seen.getClaim(g)?.term ?? -1,
    })
  ),
  fc.record({ g: group, unit: fc.constantFrom(...UNITS), to: server })
    .map(({ g, unit, to }) => (seen: ClusterState) => {
      const token = Token.of(seen.getClaim(g)?.term ?? -1);
      const from = seen.getOwner("orderdesk", unit)?.server ?? null;
      const move = { unit, from, to: to ?? "b3", toGroup: g };
      return { ...makeMove(token.toString(), move), group: g } as never;
    }),
  server.map((s) => (seen: ClusterState) =>
    makeRecord(RecordKind.Drain, {
      server: s ?? "b3",
      change: makeChange(seen.getVersion(`server/${s ?? "b3"}`)),
    })
  ),
  fc.constant((seen: ClusterState) =>
    makePut(seen.getVersion("route/orderdesk"))
  ),
);

const steps = fc.array(
  fc.record({
    writer: writers,
    /** How many states the writer's view is behind. */
    lag: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, fc.nat(6)),
    gap: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, fc.nat(3)),
    repeat: fc.nat(9).map((n) => n === 0),
  }),
  { maxLength: 60, size: "max" },
);

function listVersions(state: ClusterState): [string, number][] {
  const objects = ["route/orderdesk", "server/b1", "server/b2", "server/b3"];
  return [
    ...objects.map((o): [string, number] => [o, state.getVersion(o)]),
    ...GROUPS.map((g): [string, number] => [g, state.getClaim(g)?.term ?? -1]),
  ];
}

function checkMove(
  step: { before: ClusterState; after: ClusterState; entry: LogEntry },
  effect: Effect,
): void {
  const { before, after, entry: { record } } = step;
  const changed = UNITS.filter((u) =>
    before.listOwners("orderdesk").get(u) !==
      after.listOwners("orderdesk").get(u)
  );
  if (changed.length === 0) return;
  assert.ok(record.kind === RecordKind.Move && effect.applied);
  const term = Token.parse(record.token)?.term;
  assert.equal(term, before.getClaim(record.group)?.term);
  for (const move of effect.moves!) {
    const owner = before.getOwner("orderdesk", move.unit);
    assert.equal(owner?.server ?? null, move.from);
    assert.ok(!owner || owner.group === record.group);
  }
}

/** Guards against versions that decrease and moves by superseded holders. */
test("versions never decrease and moves need the current term", () => {
  console.log(`seed ${SEED}, ${RUNS} runs`);
  fc.assert(
    fc.property(steps, (list) => {
      const states = [ClusterState.empty];
      const encoded = [JSON.stringify(ClusterState.empty.encode())];
      const entries: LogEntry[] = [];
      for (const { writer, lag, gap, repeat } of list) {
        const before = states.at(-1)!;
        const seen = states[Math.max(0, states.length - 1 - lag)]!;
        const record = repeat && entries.length > 0
          ? entries[Math.max(0, entries.length - 1 - lag)]!.record
          : writer(seen);
        const offset = before.position + gap;
        const entry = { offset, atMs: offset, record };
        const { state: after, effect } = before.apply(entry);
        assert.equal(after.position, offset + 1);
        const old = new Map(listVersions(before));
        for (const [object, version] of listVersions(after)) {
          assert.ok(
            version >= old.get(object)!,
            `the version of ${object} decreased`,
          );
        }
        checkMove({ before, after, entry }, effect);
        states.push(after);
        encoded.push(JSON.stringify(after.encode()));
        entries.push(entry);
      }
      // Deriving a state must not change the states before it.
      for (const [i, state] of states.entries()) {
        assert.equal(JSON.stringify(state.encode()), encoded[i]);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
