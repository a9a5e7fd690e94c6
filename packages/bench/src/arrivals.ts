/** Open-loop arrivals with exponentially distributed gaps. @module */

/** Phases of a run, in order; `Crest` is the load spike. */
export enum Phase {
  Before = "before",
  Crest = "crest",
  After = "after",
}

/** An arrival rate from `fromMs` to before `toMs`, in ms from the start. */
export interface RateSpan {
  readonly phase: Phase;
  readonly fromMs: number;
  readonly toMs: number;
  readonly perSecond: number;
}

/**
 * Generates the arrival times of a Poisson process, in ms from the start. Spans
 * must be sorted and must not overlap. `random` returns numbers from 0 to
 * below 1.
 */
export function makeArrivals(
  spans: readonly RateSpan[],
  random: () => number,
): number[] {
  const times: number[] = [];
  for (const { fromMs, toMs, perSecond } of spans) {
    if (perSecond <= 0) continue;
    // A Poisson process is memoryless, so each span can start independently.
    let at = fromMs;
    while ((at += -Math.log(1 - random()) * 1000 / perSecond) < toMs) {
      times.push(at);
    }
  }
  return times;
}

/** Returns the phase of a time, or the last phase after the end. */
export function findPhase(spans: readonly RateSpan[], atMs: number): Phase {
  const span = spans.find((s) => atMs < s.toMs) ?? spans[spans.length - 1];
  return span?.phase ?? Phase.Before;
}
