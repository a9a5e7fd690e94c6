import { formatUuid7, IdentityState } from "@jaytiller/model";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionKind, IdempotencyStore } from "../src/mod.js";

const SEED = 20_261_204;
const RUNS = 3_000;
const START_MS = 1_700_000_000_000;
const LIMITS = {
  toleranceMs: 250,
  clockErrorMs: 50,
  windowMs: 2_000,
  capacity: 4,
  keptBytes: 8,
};

/** Ground truth about an identity, independent of the current holder. */
interface GroundTruth {
  /** An attempt was admitted and has not been released. */
  mayHaveRun: boolean;
  /** A router was told that the identity did not and will not run. */
  reportedNotRun: boolean;
}

/**
 * A group with a succession of holders. The clock of each holder is off from
 * `nowMs` by up to half of the clock error, so the clocks of two holders differ
 * by at most the clock error.
 */
class SimulatedGroup {
  nowMs = START_MS;
  readonly truths = new Map<string, GroundTruth>();
  readonly identities: string[] = [];
  #clockOffsetMs = 0;
  #store = IdempotencyStore.create({
    ...LIMITS,
    knownSinceMs: START_MS - 10_000,
  });

  get holderClockMs(): number {
    return this.nowMs + this.#clockOffsetMs;
  }

  issue(aheadMs: number): void {
    const bytes = new Uint8Array(10);
    bytes[9] = this.identities.length;
    const id = formatUuid7(this.nowMs + aheadMs, bytes);
    this.identities.push(id);
    this.truths.set(id, { mayHaveRun: false, reportedNotRun: false });
  }

  admit(id: string): void {
    const truth = this.truths.get(id)!;
    const { kind } = this.#store.admit(id, this.holderClockMs);
    if (kind !== AdmissionKind.New) return;
    assert.ok(!truth.mayHaveRun, `${id} was admitted twice`);
    assert.ok(
      !truth.reportedNotRun,
      `${id} ran after it was reported as not run`,
    );
    truth.mayHaveRun = true;
  }

  /** Releases an attempt, if the current holder is running it. */
  release(id: string): void {
    if (this.#store.getState(id) !== IdentityState.Running) return;
    this.#store.release(id);
    this.truths.get(id)!.mayHaveRun = false;
  }

  finish(id: string): void {
    const answer = { status: 200, headers: {}, body: "AAAA" };
    this.#store.finish(id, answer, this.holderClockMs);
  }

  markUnknown(id: string): void {
    this.#store.markUnknown(id, this.holderClockMs);
  }

  resolve(id: string): void {
    const truth = this.truths.get(id)!;
    const { state } = this.#store.resolve(id, this.holderClockMs);
    const reportedNotRun = state === IdentityState.NotSeen ||
      state === IdentityState.Barred;
    if (!reportedNotRun) return;
    assert.ok(!truth.mayHaveRun, `${id} ran and was reported as not run`);
    truth.reportedNotRun = true;
  }

  setClock(clockOffsetMs: number): void {
    this.#clockOffsetMs = clockOffsetMs;
  }

  handOver(clockOffsetMs: number): void {
    const saved = JSON.parse(JSON.stringify(this.#store.encode()));
    this.#store = IdempotencyStore.restore(saved, LIMITS);
    this.#clockOffsetMs = clockOffsetMs;
  }

  takeOver(clockOffsetMs: number): void {
    this.#clockOffsetMs = clockOffsetMs;
    const knownSinceMs = this.holderClockMs;
    this.#store = IdempotencyStore.create({ ...LIMITS, knownSinceMs });
  }
}

type Step = (group: SimulatedGroup) => void;

const HALF_CLOCK_ERROR_MS = LIMITS.clockErrorMs / 2;
const offsets = fc.integer({
  min: -HALF_CLOCK_ERROR_MS,
  max: HALF_CLOCK_ERROR_MS,
});

function makeStep(
  apply: (g: SimulatedGroup, id: string) => void,
): fc.Arbitrary<Step> {
  return fc.nat(40).map((n) => (g: SimulatedGroup) => {
    const count = g.identities.length;
    // Picks recent identities: old ones are refused because of their timestamp.
    if (count > 0) apply(g, g.identities[Math.max(0, count - 1 - n % 8)]!);
  });
}

const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: makeStep((g, id) => g.admit(id)) },
  { weight: 2, arbitrary: makeStep((g, id) => g.finish(id)) },
  { weight: 1, arbitrary: makeStep((g, id) => g.release(id)) },
  { weight: 1, arbitrary: makeStep((g, id) => g.markUnknown(id)) },
  { weight: 1, arbitrary: makeStep((g, id) => g.resolve(id)) },
  {
    weight: 4,
    arbitrary: fc.integer({ min: -400, max: 400 })
      .map((ahead) => (g: SimulatedGroup) => g.issue(ahead)),
  },
  {
    weight: 2,
    arbitrary: fc.oneof(fc.nat(100), fc.nat(2_500))
      .map((ms) => (g: SimulatedGroup) => void (g.nowMs += ms)),
  },
  {
    weight: 1,
    arbitrary: offsets.map((o) => (g: SimulatedGroup) => g.setClock(o)),
  },
  {
    weight: 1,
    arbitrary: offsets.map((o) => (g: SimulatedGroup) => g.handOver(o)),
  },
  {
    weight: 1,
    arbitrary: offsets.map((o) => (g: SimulatedGroup) => g.takeOver(o)),
  },
);

/** Guards against any sequence of events after which an identity runs twice. */
test("an identity is admitted at most once unless it was released", () => {
  console.log(`seed ${SEED}, ${RUNS} runs`);
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 80, size: "max" }), (list) => {
      const group = new SimulatedGroup();
      for (const step of list) step(group);
      for (const id of group.identities) group.admit(id);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
