/**
 * Finds the clients that send more than their part while a service is short.
 *
 * Load pattern: some clients send many times what the others do, or come back at
 * once although they were told when there is room. Refusing all clients alike
 * would leave the capacity to those that ask most often. The address of the
 * connection is all that identifies a client; if every request comes from one
 * address, as behind a proxy, nothing is found.
 * @module
 */

/** Decaying number of recent requests. */
interface RecentCount {
  count: number;
  atMs: number;
}

interface Client extends RecentCount {
  /** Earliest time at which the client was told to come back, ms. */
  retryMs: number;
}

interface RouteClients {
  readonly clients: Map<string, Client>;
  /** Recent requests of all of them. */
  readonly total: RecentCount;
}

/** Time constant with which requests are forgotten, ms. */
const TIME_CONSTANT_MS = 2_000;
/** Multiple of the mean of all clients above which a client sends too much. */
const FAIR_FACTOR = 2;
/** Recent requests up to which a client never sends too much. */
const MIN_COUNT = 3;
/** Recent requests below which a client is forgotten. */
const FORGOTTEN_COUNT = 0.1;
const PRUNE_INTERVAL_MS = 1_000;
/** Largest number of clients of all routes; others are not limited. */
const MAX_CLIENTS = 4_000;

/** A request of a client on a route. */
export interface ClientRequest {
  readonly route: string;
  /** Address of the client's connection. */
  readonly address: string;
}

/** Recent requests by route and client address; only used under shortage. */
export class ClientQuota {
  readonly #routes = new Map<string, RouteClients>();
  #size = 0;
  #prunedMs = -Infinity;

  /** Returns the number of clients whose requests are counted now. */
  countClients(nowMs: number): number {
    this.#prune(nowMs);
    return this.#size;
  }

  /** Counts a request; returns whether those of other clients come first. */
  record({ route, address }: ClientRequest, nowMs: number): boolean {
    const known = this.#routes.get(route) ??
      {
        clients: new Map<string, Client>(),
        total: { count: 0, atMs: nowMs },
      };
    this.#routes.set(route, known);
    this.#prune(nowMs);
    const client = this.#get(known.clients, address, nowMs);
    if (!client) return false;
    for (const counted of [client, known.total]) {
      counted.count = decay(counted, nowMs) + 1;
      counted.atMs = nowMs;
    }
    const isEarly = nowMs < client.retryMs;
    if (!isEarly) client.retryMs = -Infinity;
    const isAlone = known.clients.size === 1;
    return !isAlone && (isEarly || exceedsFairPart(client, known));
  }

  /**
   * Records when a client was told to come back. An address may be that of
   * several clients, so the earliest time counts.
   */
  recordRefusal(
    { route, address }: ClientRequest,
    { nowMs, retryAfterMs }: { nowMs: number; retryAfterMs: number },
  ): void {
    const client = this.#routes.get(route)?.clients.get(address);
    if (!client) return;
    const retryMs = nowMs + retryAfterMs;
    client.retryMs = client.retryMs > nowMs
      ? Math.min(client.retryMs, retryMs)
      : retryMs;
  }

  /** Forgets routes that are no longer configured. */
  retainRoutes(isKnown: (route: string) => boolean): void {
    for (const [route, { clients }] of this.#routes) {
      if (isKnown(route)) continue;
      this.#size -= clients.size;
      this.#routes.delete(route);
    }
  }

  #get(
    clients: Map<string, Client>,
    address: string,
    nowMs: number,
  ): Client | undefined {
    const known = clients.get(address);
    if (known || this.#size >= MAX_CLIENTS) return known;
    const client = { count: 0, atMs: nowMs, retryMs: -Infinity };
    clients.set(address, client);
    this.#size += 1;
    return client;
  }

  /** Clients of all routes share the limit, so all of them are pruned. */
  #prune(nowMs: number): void {
    if (nowMs - this.#prunedMs < PRUNE_INTERVAL_MS) return;
    this.#prunedMs = nowMs;
    for (const { clients } of this.#routes.values()) {
      for (const [address, client] of clients) {
        const isPast = client.retryMs <= nowMs;
        if (!isPast || decay(client, nowMs) >= FORGOTTEN_COUNT) continue;
        clients.delete(address);
        this.#size -= 1;
      }
    }
  }
}

/** Compares a client whose request was just counted with the mean of all. */
function exceedsFairPart(
  { count }: Client,
  { clients, total }: RouteClients,
): boolean {
  return count > MIN_COUNT && count > FAIR_FACTOR * total.count / clients.size;
}

function decay({ count, atMs }: RecentCount, nowMs: number): number {
  return count * Math.exp(-Math.max(0, nowMs - atMs) / TIME_CONSTANT_MS);
}
