/** Statistics of small samples. @module */

/** Median and range of a sample. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/**
 * Computes the median and the range of the finite values; NaN if there are
 * none.
 */
export function computeSpread(values: readonly number[]): Spread {
  const sorted = values.filter(Number.isFinite).sort((a, b) => a - b);
  if (sorted.length === 0) return { median: NaN, min: NaN, max: NaN };
  const middle = (sorted.length - 1) / 2;
  const low = sorted[Math.floor(middle)]!;
  const high = sorted[Math.ceil(middle)]!;
  return {
    median: (low + high) / 2,
    min: sorted[0]!,
    max: sorted[sorted.length - 1]!,
  };
}

/** A straight line `y = intercept + slope * x`. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/** Fits a line by least squares. Points must have two different `x`. */
export function computeLine(
  points: readonly (readonly [x: number, y: number])[],
): Line {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  let xy = 0;
  let xx = 0;
  for (const [x, y] of points) {
    xy += (x - meanX) * (y - meanY);
    xx += (x - meanX) ** 2;
  }
  const slope = xy / xx;
  return { intercept: meanY - slope * meanX, slope };
}
