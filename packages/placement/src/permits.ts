/**
 * Shares the requests that a server takes among all routers.
 *
 * Load pattern: a server names a few requests per second as its limit, and any
 * number of routers have requests for it. Shares for each router would be
 * requests in minutes, or a sum above the limit. So there is one allowance, at
 * the coordinator, and a router asks for a permit when it has a request. A
 * permit that is not used soon is void, so that none adds up at routers that
 * are paused or cut off. A router that reaches no coordinator uses time slots
 * of its own, one in as many as there are routers.
 * @module
 */

/** Rate at which a server without room is asked whether it has some again. */
export const MIN_REQUESTS_PER_SECOND = 0.2;
/** Time for which unused permits add up, s; at least one does. */
const BURST_S = 0.5;
/** Part of the limit that slots use: slots of several routers may coincide. */
const SLOT_SHARE = 0.5;
/** Time within which a permit has to be used, ms. */
export const PERMIT_LIFE_MS = 500;

/** Answer to a request for permits. */
export interface PermitGrant {
  readonly granted: number;
  /** Time after which a further permit may be there, ms. */
  readonly waitMs: number;
}

/** Tokens that are available, and the time at which they were counted, ms. */
export interface TokenBucket {
  tokens: number;
  atMs: number;
}

/**
 * Issues up to `count` tokens of a bucket that fills at `rate` per second and
 * holds `burst`.
 */
export function issueTokens(
  bucket: TokenBucket,
  { count, rate, burst, nowMs }: {
    count: number;
    rate: number;
    burst: number;
    nowMs: number;
  },
): PermitGrant {
  const earned = rate * Math.max(0, nowMs - bucket.atMs) / 1000;
  const tokens = Math.min(burst, bucket.tokens + earned);
  const granted = Math.max(0, Math.min(count, Math.floor(tokens)));
  bucket.tokens = tokens - granted;
  bucket.atMs = nowMs;
  const missing = Math.max(0, 1 - bucket.tokens);
  return { granted, waitMs: Math.ceil(1000 * missing / rate) };
}

/** Issues the permits of all servers, at the coordinator. */
export class PermitIssuer {
  readonly #allowances = new Map<string, TokenBucket>();

  /** Issues up to `count` permits for a server that names a limit. */
  issue(
    server: string,
    options: { count: number; requestsPerSecond: number; nowMs: number },
  ): PermitGrant {
    const { count, nowMs } = options;
    const rate = Math.max(MIN_REQUESTS_PER_SECOND, options.requestsPerSecond);
    // An earlier coordinator may just have issued the first permits.
    const allowance = this.#allowances.get(server) ??
      { tokens: 0, atMs: nowMs };
    this.#allowances.set(server, allowance);
    const burst = Math.max(1, BURST_S * rate);
    return issueTokens(allowance, { count, rate, burst, nowMs });
  }

  /** Forgets servers that name no limit any more. */
  retain(isLimited: (server: string) => boolean): void {
    for (const server of this.#allowances.keys()) {
      if (!isLimited(server)) this.#allowances.delete(server);
    }
  }
}

/** Unused permits of one router for one server. */
export class PermitStock {
  #expiriesMs: number[] = [];

  /** Adds permits that have to be used within `lifeMs`. */
  add(count: number, nowMs: number, lifeMs = PERMIT_LIFE_MS): void {
    for (let i = 0; i < count; i++) this.#expiriesMs.push(nowMs + lifeMs);
  }

  has(nowMs: number): boolean {
    this.#expiriesMs = this.#expiriesMs.filter((ms) => ms > nowMs);
    return this.#expiriesMs.length > 0;
  }

  /** Uses a permit; returns whether there was one. */
  take(nowMs: number): boolean {
    return this.has(nowMs) && this.#expiriesMs.shift() !== undefined;
  }
}

/**
 * Time slots of one router for one server, while it reaches no coordinator. In
 * each period of all routers together it has one, which lapses unused.
 */
export class PermitSlots {
  #nextMs: number | undefined;

  /** Takes a permit if a slot has begun. `random` is from 0 to below 1. */
  take(
    options: {
      nowMs: number;
      requestsPerSecond: number;
      routers: number;
      random: () => number;
    },
  ): PermitGrant {
    const { nowMs, routers, random } = options;
    const rate = Math.max(MIN_REQUESTS_PER_SECOND, options.requestsPerSecond);
    const periodMs = 1000 * Math.max(1, routers) / (SLOT_SHARE * rate);
    let nextMs = this.#nextMs ?? nowMs + random() * periodMs;
    const lapsed = Math.ceil((nowMs - PERMIT_LIFE_MS - nextMs) / periodMs);
    nextMs += Math.max(0, lapsed) * periodMs;
    const granted = nowMs >= nextMs ? 1 : 0;
    this.#nextMs = nextMs + granted * periodMs;
    return { granted, waitMs: Math.max(0, Math.ceil(this.#nextMs - nowMs)) };
  }
}
