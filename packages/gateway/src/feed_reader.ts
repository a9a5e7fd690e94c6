/** Reads the store's feeds into the cluster state. @module */
import type { EventLog } from "@jaytiller/kernel";
import { getEra } from "@jaytiller/ranges";
import type { ServerChange } from "@jaytiller/routing";
import { updateEvacuations } from "./evacuation_updates.js";
import type { ClusterState } from "./cluster_state.js";
import { ExpiryGuard } from "./expiry_guard.js";
import {
  type FeedPage,
  type OperatorChange,
  type PlatformStore,
  StoreEnd,
  type StoreResult,
} from "./ports.js";

/** Reads configurations and servers. Each read returns whether it succeeded. */
export class FeedReader {
  readonly #store: PlatformStore;
  readonly #cluster: ClusterState;
  readonly #log: EventLog;
  readonly #expiryGuard: ExpiryGuard;
  #configurationPosition: number | undefined;
  #serversPosition: number | undefined;
  #isStoreLost = false;

  constructor(
    store: PlatformStore,
    cluster: ClusterState,
    options: { log: EventLog; heartbeatMs: number },
  ) {
    this.#store = store;
    this.#cluster = cluster;
    this.#log = options.log;
    this.#expiryGuard = new ExpiryGuard(options.heartbeatMs);
  }

  /** Returns whether servers may still register again after a store outage. */
  isSettling(nowMs: number): boolean {
    return this.#expiryGuard.isSettling(nowMs);
  }

  /** Reads the configuration, waiting up to `waitMs` for a newer one. */
  async readConfiguration(
    { waitMs, isNewConnection }: {
      waitMs: number;
      isNewConnection: boolean;
    },
  ): Promise<boolean> {
    const sentAt = performance.now();
    const position = this.#configurationPosition;
    const result = await this.#store.readConfiguration({
      ...(position === undefined ? {} : { position }),
      waitMs,
      isNewConnection,
    });
    const page = this.#getPage(result);
    if (!page) {
      this.#log.record("configurationUnread", {
        problem: result.problem,
        waitMs,
        ms: Math.round(performance.now() - sentAt),
        ageMs: this.#cluster.getRoutesAgeMs(performance.now()),
      });
      return false;
    }
    this.#configurationPosition = page.position;
    this.#applyEvacuations(page);
    for (const change of page.items) {
      if (!("configuration" in change)) continue;
      const { configuration } = change;
      if (this.#cluster.applyConfiguration(configuration)) {
        this.#log.record("configuration", {
          version: configuration.version,
          source: "store",
          ageMs: this.#cluster.getRoutesAgeMs(performance.now()),
        });
      }
    }
    // Without a record the store has waited, and has seen the end after it.
    const hasWaited = performance.now() - sentAt >= waitMs;
    const seenAt = hasWaited && page.items.length === 0
      ? sentAt + waitMs
      : sentAt;
    if (page.isEnd) this.#cluster.confirmRoutes(seenAt);
    return page.isEnd || page.position !== position;
  }

  #applyEvacuations(page: FeedPage<OperatorChange>): void {
    const { items, position, isSnapshot } = page;
    const changes = items.flatMap((c) =>
      "evacuation" in c ? [c.evacuation] : []
    );
    const nowMs = performance.now();
    updateEvacuations(this.#cluster, {
      log: this.#log,
      source: "store",
      nowMs,
      change: (set) => {
        if (!isSnapshot) {
          const earliestMs = this.#cluster.routesConfirmedAt;
          return set.apply(changes, { position, nowMs, earliestMs });
        }
        const evacuated = changes.filter((c) => c.isEvacuated)
          .map(({ zone, offset }) => ({ zone, offset, learnedMs: nowMs }));
        // A snapshot does not show when its records were written.
        const options = {
          position,
          nowMs,
          earliestMs: -Infinity,
          isRestored: set.hasPosition &&
            getEra(position) > getEra(set.position),
        };
        return set.replace({ evacuated, returned: [] }, options);
      },
    });
  }

  /**
   * Reads changes of servers. Changes apply to the view at the position from
   * which they were read. If the coordinator has advanced the view since, a
   * snapshot is read: the coordinator may have deferred removals that the feed
   * does not repeat.
   */
  async readServers(): Promise<boolean> {
    const cluster = this.#cluster;
    const sentAt = performance.now();
    const viewPosition = cluster.servers.position;
    const position = this.#serversPosition === cluster.servers.position
      ? this.#serversPosition
      : undefined;
    const result = await this.#store.readServers({
      ...(position === undefined ? {} : { position }),
      waitMs: 0,
    });
    const page = this.#getPage(result);
    this.#logStoreAvailability(page !== undefined, result.problem);
    if (!page) return false;
    this.#applyPage(page, { sentAt, viewPosition });
    return true;
  }

  /** `viewPosition` is the position of the view when the read was sent. */
  #applyPage(
    page: FeedPage<ServerChange>,
    { sentAt, viewPosition }: { sentAt: number; viewPosition: number },
  ): void {
    const cluster = this.#cluster;
    const nowMs = performance.now();
    this.#expiryGuard.recordRead({
      gapMs: sentAt - cluster.serversConfirmedAt,
      nowMs,
    });
    const isRestored = isStoreRestored(page, viewPosition);
    if (isRestored) this.#expiryGuard.recordRestoration(nowMs);
    // The coordinator has sent newer changes during the read.
    const isViewUnchanged = cluster.servers.position === viewPosition;
    if (
      page.position < cluster.servers.position &&
      !(isRestored && isViewUnchanged)
    ) {
      if (page.isEnd) cluster.confirmServers(sentAt);
      return;
    }
    this.#serversPosition = page.position;
    const changes = page.isSnapshot ? this.#addRemovals(page) : page.items;
    cluster.applyServers(
      this.#expiryGuard.filter(changes, cluster.servers, nowMs),
      {
        position: page.position,
        atMs: page.isEnd ? sentAt : cluster.serversConfirmedAt,
      },
    );
  }

  /** Adds removals of the known servers that a snapshot does not contain. */
  #addRemovals(page: FeedPage<ServerChange>): readonly ServerChange[] {
    const listed = new Set(page.items.map((c) => c.id));
    const missing = this.#cluster.servers.list()
      .filter((e) => !listed.has(e.id));
    return [...page.items, ...missing.map(({ id }) => ({ id }))];
  }

  #getPage<T>(result: StoreResult<FeedPage<T>>): FeedPage<T> | undefined {
    return result.end === StoreEnd.Done ? result.value : undefined;
  }

  #logStoreAvailability(isRead: boolean, problem: string | undefined): void {
    if (isRead !== this.#isStoreLost) return;
    this.#isStoreLost = !isRead;
    this.#log.record(isRead ? "storeRegained" : "storeLost", { problem });
  }
}

/**
 * Returns whether a snapshot shows that the store was restored from an older
 * copy: its era is newer than that of the view, or its end is before the view.
 * A view that was never read has position 0.
 */
function isStoreRestored(
  { isSnapshot, position }: FeedPage<ServerChange>,
  viewPosition: number,
): boolean {
  if (!isSnapshot || viewPosition === 0) return false;
  const era = getEra(position);
  const viewEra = getEra(viewPosition);
  return era > viewEra || era === viewEra && position < viewPosition;
}
