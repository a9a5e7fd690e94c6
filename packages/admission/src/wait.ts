/** Estimate of the queueing delay. @module */

/**
 * Computes how long an item waits for a slot, in ms. `remaining` holds the
 * remaining service times of the running requests; `ahead` is the sum of the
 * service times of the items queued before it. Queued work is treated as
 * divisible, so the estimate is off by less than one service time.
 */
export function computeWaitMs(
  remaining: readonly number[],
  load: { readonly ahead: number; readonly slots: number },
): number {
  const freeSlots = Math.max(0, load.slots - remaining.length);
  const times = [...remaining, ...new Array<number>(freeSlots).fill(0)]
    .sort((a, b) => a - b);
  // If more requests are running than there are slots, the first of them to
  // finish do not free a slot.
  const first = times.length - load.slots;
  let work = load.ahead;
  let at = times[first] ?? 0;
  for (let i = first; i < times.length; i++) {
    const servingSlots = i - first + 1;
    const next = times[i + 1] ?? Infinity;
    const completedWork = (next - at) * servingSlots;
    if (work <= completedWork) return at + work / servingSlots;
    work -= completedWork;
    at = next;
  }
  return at;
}
