/** Generates random fault schedules. @module */
import { type Fault, FaultKind } from "./faults.js";
import type { Random } from "./random.js";
import { ZONES } from "./simulated_cluster.js";

/** How a schedule chooses its kinds of faults. */
export enum FaultMix {
  /** All kinds except partitions. */
  Broad = "broad",
  /** A few kinds, so that they coincide more often, in more bursts. */
  Focused = "focused",
  /** Network partitions together with a few other kinds. */
  Split = "split",
}

const MIN_FAULT_KINDS = 2;
const MAX_FAULT_KINDS = 5;

function chooseKinds(random: Random, mix: FaultMix): FaultKind[] {
  // Only the split mix includes partitions. In the other mixes, one more kind
  // would change the random draws, and recorded seeds would no longer reproduce
  // their schedules.
  const kinds = Object.values(FaultKind).filter((k) => k !== FaultKind.Split);
  if (mix === FaultMix.Broad) return kinds;
  const count = random.drawInteger(MIN_FAULT_KINDS, MAX_FAULT_KINDS);
  const chosen = Array.from({ length: count }, () => random.pick(kinds));
  const splits = mix === FaultMix.Split ? count : 0;
  return [...chosen, ...Array(splits).fill(FaultKind.Split)];
}

/**
 * Draws bursts of one to three faults, sorted by time; some bursts are
 * repeated.
 */
export function drawFaults(
  random: Random,
  nodes: {
    routers: readonly string[];
    servers: readonly string[];
    mix: FaultMix;
  },
): Fault[] {
  const kinds = chooseKinds(random, nodes.mix);
  const maxBursts = nodes.mix === FaultMix.Broad ? 4 : 7;
  const names = [
    ...nodes.routers,
    ...nodes.servers,
    ...ZONES.flatMap((z) => Array(3).fill(`holder:${z}`)),
    ...Array.from({ length: 6 }, (_, i) => `owner:${i}`),
  ];
  const faults: Fault[] = [];
  let at = 1_500;
  for (let bursts = random.drawInteger(1, maxBursts); bursts > 0; bursts--) {
    const burst = Array.from(
      { length: random.drawInteger(1, 3) },
      (): Fault => ({
        kind: random.pick(kinds),
        atMs: at + random.drawInteger(0, 400),
        forMs: random.pick([30, 150, 350, 600, 1_000, 1_600, 2_500]) +
          random.drawInteger(0, 300),
        a: random.pick(names),
        b: random.pick(names),
        n: random.drawInteger(0, 999),
      }),
    );
    faults.push(...burst);
    if (random.decide(0.3)) {
      const shift = random.drawInteger(100, 2_000);
      faults.push(...burst.map((f) => ({ ...f, atMs: f.atMs + shift })));
    }
    at += random.drawInteger(0, 1_800);
  }
  return faults.sort((x, y) => x.atMs - y.atMs);
}
