/** Computes the requests of a run before it starts. @module */
import { RequestClass } from "@jaytiller/model";
import { createRandom, type ServiceSpec } from "@jaytiller/standins";
import { findPhase, makeArrivals, Phase, type RateSpan } from "./arrivals.js";
import { ZipfKeys } from "./zipf.js";

/** Maximum service time of long requests, as a share of their deadline. */
const MAX_LONG_DEADLINE_SHARE = 0.5;
/** Maximum stretched service time, as a share of the deadline. */
const MAX_STRETCHED_DEADLINE_SHARE = 0.1;
/** Factor between the stretches that are tried. */
const STRETCH_STEP = 1.02;
/**
 * Upper limit of the stretches that are tried. No service time of a workload can
 * be stretched further.
 */
const MAX_STRETCH = 10_000;

/** Options of the load of a run; times in ms, rates per second. */
export interface PlanOptions {
  readonly services: readonly ServiceSpec[];
  readonly zones: number;
  readonly seed: number;
  readonly beforeMs: number;
  readonly crestMs: number;
  readonly afterMs: number;
  /** Load before and after the crest, as a share of the capacity. */
  readonly base: number;
  /** Load during the crest, as a multiple of the capacity. */
  readonly crest: number;
  /**
   * Maximum total rate. Service times are stretched, which lowers the capacity,
   * until the peak rate does not exceed it.
   */
  readonly maxRate: number;
  /** One of this many requests is long; 0 for none. */
  readonly longEvery: number;
  /** Service time of a long request, as a multiple of the normal one. */
  readonly longFactor: number;
  readonly keys: number;
  readonly zipf: number;
  readonly moveEveryMs: number;
  readonly moveBy: number;
  /** Upper limit of all deadlines. */
  readonly deadlineCapMs: number;
}

/** A request to be sent at `atMs`, in ms from the start. */
export interface PlannedRequest {
  readonly atMs: number;
  readonly phase: Phase;
  readonly service: ServiceSpec;
  readonly key: string;
  readonly serviceMs: number;
  readonly deadlineMs: number;
  /** Random number from 0 to below 1 that selects the entry VM. */
  readonly entry: number;
}

/** Service times and capacity of one service. */
export interface ServiceLoad {
  readonly service: ServiceSpec;
  readonly serviceMs: number;
  readonly longMs: number;
  readonly meanMs: number;
  readonly deadlineMs: number;
  /** Requests per second that all servers together can execute. */
  readonly capacity: number;
}

/** All requests of a run. */
export interface Plan {
  /**
   * Factor by which service times are multiplied. A service time that would
   * exceed its share of the deadline is multiplied by less.
   */
  readonly stretch: number;
  readonly loads: readonly ServiceLoad[];
  readonly requests: readonly PlannedRequest[];
  readonly totalMs: number;
}

/** Returns the call rule that applies to all requests of a service. */
export function getRule(service: ServiceSpec) {
  const rule = service.rules[0];
  if (!rule) throw new Error(`Service ${service.name}: Expected a call rule.`);
  return rule;
}

function computeLoad(
  service: ServiceSpec,
  stretch: number,
  options: PlanOptions,
): ServiceLoad {
  const { longEvery, longFactor, zones } = options;
  const rule = getRule(service);
  const deadlineMs = Math.min(rule.deadlineMs, options.deadlineCapMs);
  const serviceMs = Math.max(
    service.serviceMs,
    Math.min(
      service.serviceMs * stretch,
      deadlineMs * MAX_STRETCHED_DEADLINE_SHARE,
    ),
  );
  const maxLongMs = Math.max(serviceMs, deadlineMs * MAX_LONG_DEADLINE_SHARE);
  const longMs = Math.min(serviceMs * longFactor, maxLongMs);
  const share = longEvery > 0 ? 1 / longEvery : 0;
  const meanMs = serviceMs * (1 - share) + longMs * share;
  // Requests of the class `Bulk` may not use the last slot of a server.
  const bulk = rule.class === RequestClass.Bulk;
  const slots = bulk ? Math.max(1, service.slots - 1) : service.slots;
  const capacity = zones * service.serversPerZone * slots * 1000 / meanMs;
  return { service, serviceMs, longMs, meanMs, deadlineMs, capacity };
}

function computeLoads(
  options: PlanOptions,
): { stretch: number; loads: ServiceLoad[] } {
  const peakShare = Math.max(options.crest, options.base);
  let peakRate = Infinity;
  for (let stretch = 1; stretch < MAX_STRETCH; stretch *= STRETCH_STEP) {
    const loads = options.services.map((s) => computeLoad(s, stretch, options));
    peakRate = peakShare * loads.reduce((sum, l) => sum + l.capacity, 0);
    if (peakRate <= options.maxRate) return { stretch, loads };
  }
  throw new Error(
    `max-rate: Expected at least ${Math.ceil(peakRate)} for this fleet and ` +
      `crest (found ${options.maxRate}).`,
  );
}

function makeSpans(options: PlanOptions, capacity: number): RateSpan[] {
  const { beforeMs, crestMs, afterMs, base, crest } = options;
  const crestEnd = beforeMs + crestMs;
  return [
    { phase: Phase.Before, fromMs: 0, toMs: beforeMs, share: base },
    { phase: Phase.Crest, fromMs: beforeMs, toMs: crestEnd, share: crest },
    {
      phase: Phase.After,
      fromMs: crestEnd,
      toMs: crestEnd + afterMs,
      share: base,
    },
  ].map(({ share, ...span }) => ({ ...span, perSecond: share * capacity }));
}

/** Computes all requests of a run. Equal options give equal requests. */
export function makePlan(options: PlanOptions): Plan {
  const { stretch, loads } = computeLoads(options);
  const random = createRandom(options.seed);
  const keys = ZipfKeys.create({
    keys: options.keys,
    exponent: options.zipf,
    moveEveryMs: options.moveEveryMs,
    moveBy: options.moveBy,
  });
  const requests = loads.flatMap((load) => {
    const spans = makeSpans(options, load.capacity);
    return makeArrivals(spans, random).map((atMs): PlannedRequest => {
      const isLong = options.longEvery > 0 && random() * options.longEvery < 1;
      return {
        atMs,
        phase: findPhase(spans, atMs),
        service: load.service,
        key: `key-${keys.resolveKey(random(), atMs)}`,
        serviceMs: isLong ? load.longMs : load.serviceMs,
        deadlineMs: load.deadlineMs,
        entry: random(),
      };
    });
  }).sort((a, b) => a.atMs - b.atMs);
  const totalMs = options.beforeMs + options.crestMs + options.afterMs;
  return { stretch, loads, requests, totalMs };
}
