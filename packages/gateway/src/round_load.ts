/** Rounds loads and shares for log lines. @module */

/** Rounds a load, a capacity or a share to two decimals. */
export function roundLoad(value: number): number {
  return Math.round(value * 100) / 100;
}
