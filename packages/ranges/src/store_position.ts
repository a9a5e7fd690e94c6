/**
 * Positions in the platform's store that stay ordered when the store is
 * restored from an older copy.
 *
 * Fault pattern: the store loses its last records and assigns their offsets
 * again. It then reports a higher era. A position is therefore an offset with
 * its era, as one integer, so that positions, terms and fencing tokens of a
 * newer era are above all earlier ones. In era 0 a position is the offset.
 * @module
 */

/** Number of offsets in an era. */
const OFFSETS_PER_ERA = 2 ** 36;
/** Highest era whose positions are integers that a double represents exactly. */
export const MAX_STORE_ERA = 2 ** 17 - 1;

/** Returns the position of an offset in an era of the store. */
export function makePosition(era: number, offset: number): number {
  return era * OFFSETS_PER_ERA + offset;
}

/** Returns the era of a position. */
export function getEra(position: number): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** Returns the offset of a position within its era. */
export function getOffset(position: number): number {
  return position % OFFSETS_PER_ERA;
}
