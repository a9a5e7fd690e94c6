/**
 * Divides the units of each zone's servers among the zones of the gateways.
 *
 * Load pattern: demand and servers are uneven, so one zone's gateways want more
 * than its servers can run while another zone has room. Traffic between zones
 * is expensive, so units are lent across zones only under such a shortage, and
 * are taken back with a margin.
 * @module
 */

/** A zone's servers and gateways of one service. */
export interface ZoneLoad {
  readonly zone: string;
  /** Units of its servers. */
  readonly units: number;
  readonly slots: number;
  /** Number of its gateways that can be leased units. */
  readonly gateways: number;
  /** Mean wanted concurrency of its gateways. */
  readonly demand: number;
}

/** Units of one zone's servers for another zone's gateways. */
export interface Spill {
  readonly from: string;
  readonly to: string;
  readonly units: number;
}

/** Requests for each slot above which a zone has too few servers. */
const SHORTAGE_LOAD = 1;
/**
 * Requests for each slot down to which units are borrowed once there was a
 * shortage, and up to which a zone lends. The gap prevents oscillation.
 */
const COMFORTABLE_LOAD = 0.75;
/** Units for each request that is to run in another zone; a reserve for bursts. */
const UNITS_PER_REQUEST = 2;
/** Least units of each gateway, in a zone with few servers or none. */
const MIN_UNITS_PER_GATEWAY = 2;
/** Largest part of its units that a zone with gateways lends. */
const MAX_LENT_SHARE = 0.5;
/**
 * Part of the units proportional to its demand below which a zone is short of
 * servers. Other zones then lend what is above their own, even without room.
 */
const MIN_PROPORTIONAL_SHARE = 0.5;
/** Relative change of the units up to which a spill stays as it is. */
const TOLERANCE = 0.25;

/**
 * Plans how many units are lent from zone to zone. `previous` is the last
 * result for the same service.
 */
export function planSpills(
  zones: readonly ZoneLoad[],
  previous: readonly Spill[],
): readonly Spill[] {
  const proportional = computeProportionalUnits(zones);
  const short = zones.filter(({ zone, units, gateways }) =>
    gateways > 0 && units < MIN_PROPORTIONAL_SHARE * proportional.get(zone)!
  );
  const isShort = short.length > 0;
  const wanted = isShort
    ? short.map((zone) => computeMissing(zone, proportional.get(zone.zone)!))
    : planWanted(zones, previous);
  const isBorrower = new Set(wanted.map((w) => w.zone));
  const offered = zones.filter((z) => !isBorrower.has(z.zone))
    .map((zone) => {
      const room = computeOffered(zone);
      const surplus = Math.floor(zone.units - proportional.get(zone.zone)!);
      return {
        zone: zone.zone,
        units: isShort ? Math.max(room, surplus) : room,
      };
    })
    .filter((o) => o.units > 0);
  const spills = match(wanted, offered);
  return keepSimilar(spills, { previous, offered });
}

/** Divides all units by the demand of the zones. */
function computeProportionalUnits(
  zones: readonly ZoneLoad[],
): ReadonlyMap<string, number> {
  const units = zones.reduce((sum, z) => sum + z.units, 0);
  const demand = zones.reduce((sum, z) => sum + z.demand, 0);
  return new Map(
    zones.map((z) => [z.zone, demand > 0 ? units * z.demand / demand : 0]),
  );
}

/** Units that a zone needs to get what is proportional to its demand. */
function computeMissing(
  { zone, units, gateways }: ZoneLoad,
  proportionalUnits: number,
): ZoneUnits {
  const least = MIN_UNITS_PER_GATEWAY * gateways;
  return { zone, units: Math.max(least, Math.ceil(proportionalUnits - units)) };
}

function planWanted(
  zones: readonly ZoneLoad[],
  previous: readonly Spill[],
): readonly ZoneUnits[] {
  const borrowing = new Set(previous.map((s) => s.to));
  return zones.map((zone) => ({
    zone: zone.zone,
    units: computeWanted(zone, borrowing.has(zone.zone)),
  })).filter((w) => w.units > 0);
}

interface ZoneUnits {
  readonly zone: string;
  readonly units: number;
}

/** Units that a zone's gateways need of other zones. */
function computeWanted(zone: ZoneLoad, isBorrowing: boolean): number {
  const { gateways, demand, slots, units } = zone;
  if (gateways === 0) return 0;
  const missing = MIN_UNITS_PER_GATEWAY * gateways - units;
  const isShort = demand > slots * SHORTAGE_LOAD ||
    isBorrowing && demand > slots * COMFORTABLE_LOAD;
  const excess = isShort ? demand - slots * COMFORTABLE_LOAD : 0;
  return Math.max(0, missing, Math.ceil(UNITS_PER_REQUEST * excess));
}

/** Units that a zone can lend; all of them if it has no gateways. */
function computeOffered(zone: ZoneLoad): number {
  const { gateways, demand, slots, units } = zone;
  if (gateways === 0) return units;
  const room = slots * COMFORTABLE_LOAD - demand;
  const spare = Math.min(
    MAX_LENT_SHARE * units,
    units - MIN_UNITS_PER_GATEWAY * gateways,
    UNITS_PER_REQUEST * room,
  );
  return Math.max(0, Math.floor(spare));
}

/** Serves each zone in proportion to what it wants, from all that offer. */
function match(
  wanted: readonly ZoneUnits[],
  offered: readonly ZoneUnits[],
): readonly Spill[] {
  const sumWanted = wanted.reduce((sum, w) => sum + w.units, 0);
  const sumOffered = offered.reduce((sum, o) => sum + o.units, 0);
  if (sumWanted === 0 || sumOffered === 0) return [];
  const factor = Math.min(1, sumWanted / sumOffered) / sumWanted;
  return wanted.flatMap((to) =>
    offered.map((from) => ({
      from: from.zone,
      to: to.zone,
      units: Math.floor(from.units * to.units * factor),
    }))
  ).filter((s) => s.units > 0);
}

/** Keeps previous amounts that are close, as changes cost new connections. */
function keepSimilar(
  spills: readonly Spill[],
  { previous, offered }: {
    previous: readonly Spill[];
    offered: readonly ZoneUnits[];
  },
): readonly Spill[] {
  const kept = spills.map((spill) => {
    const known = previous.find((p) =>
      p.from === spill.from && p.to === spill.to
    );
    const isClose = known &&
      Math.abs(known.units - spill.units) <= TOLERANCE * spill.units;
    return isClose ? known : spill;
  });
  const isCovered = offered.every(({ zone, units }) =>
    kept.filter((s) => s.from === zone)
      .reduce((sum, s) => sum + s.units, 0) <= units
  );
  return isCovered ? kept : spills;
}
