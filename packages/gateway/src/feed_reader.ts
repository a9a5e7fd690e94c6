/** Reads the platform's feeds into the router's knowledge. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { ServerChange } from "@jaytiller/routing";
import type { Knowledge } from "./knowledge.js";
import { LapseGuard } from "./lapse_guard.js";
import {
  type FeedPage,
  type PlatformStore,
  StoreEnd,
  type StoreResult,
} from "./ports.js";

/** Reads configurations and servers; each read says whether it succeeded. */
export class FeedReader {
  readonly #store: PlatformStore;
  readonly #knowledge: Knowledge;
  readonly #log: EventLog;
  readonly #lapses: LapseGuard;
  #configurationPosition: number | undefined;
  #serversPosition: number | undefined;
  #isServersLost = false;

  constructor(
    store: PlatformStore,
    knowledge: Knowledge,
    options: { log: EventLog; heartbeatMs: number },
  ) {
    this.#store = store;
    this.#knowledge = knowledge;
    this.#log = options.log;
    this.#lapses = new LapseGuard(options.heartbeatMs);
  }

  /** Whether missing servers may still come back after an outage. */
  isSettling(nowMs: number): boolean {
    return this.#lapses.isSettling(nowMs);
  }

  /** Reads the configuration; waits up to `waitMs` for a newer one. */
  async readConfiguration(waitMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const position = this.#configurationPosition;
    const result = await this.#store.readConfiguration({
      ...(position === undefined ? {} : { position }),
      waitMs,
    });
    const page = this.#take(result);
    if (!page) return false;
    this.#configurationPosition = page.position;
    for (const configuration of page.items) {
      if (this.#knowledge.putConfiguration(configuration)) {
        this.#log.record("configuration", {
          version: configuration.version,
          source: "store",
        });
      }
    }
    // A read that waited for nothing has seen the end when it was answered.
    this.#knowledge.confirmRoutes(sentAt);
    return true;
  }

  /**
   * Reads what has changed of the servers. News follow on the view that they
   * were read for: once the coordinator has moved the view on, all is read
   * anew, as it may hold changes back that the feed does not show again.
   */
  async readServers(): Promise<boolean> {
    const knowledge = this.#knowledge;
    const sentAt = performance.now();
    const position = this.#serversPosition === knowledge.servers.position
      ? this.#serversPosition
      : undefined;
    const result = await this.#store.readServers({
      ...(position === undefined ? {} : { position }),
      waitMs: 0,
    });
    const page = this.#take(result);
    this.#noteServers(page !== undefined, result.problem);
    if (!page) return false;
    this.#takeServers(page, sentAt);
    return true;
  }

  #takeServers(page: FeedPage<ServerChange>, sentAt: number): void {
    const knowledge = this.#knowledge;
    const nowMs = performance.now();
    this.#lapses.noteRead({ gapMs: sentAt - knowledge.serversAt, nowMs });
    // The coordinator's news came meanwhile, and are newer.
    if (page.position < knowledge.servers.position) {
      return knowledge.confirmServers(sentAt);
    }
    this.#serversPosition = page.position;
    const changes = page.isSnapshot ? this.#addMissing(page) : page.items;
    knowledge.applyServers(
      this.#lapses.filter(changes, knowledge.servers, nowMs),
      { position: page.position, atMs: sentAt },
    );
  }

  /** Servers that are not in a snapshot are gone. */
  #addMissing(page: FeedPage<ServerChange>): readonly ServerChange[] {
    const listed = new Set(page.items.map((c) => c.id));
    const missing = this.#knowledge.servers.list()
      .filter((e) => !listed.has(e.id));
    return [...page.items, ...missing.map(({ id }) => ({ id }))];
  }

  #take<T>(result: StoreResult<FeedPage<T>>): FeedPage<T> | undefined {
    return result.end === StoreEnd.Done ? result.value : undefined;
  }

  #noteServers(isRead: boolean, problem: string | undefined): void {
    if (isRead !== this.#isServersLost) return;
    this.#isServersLost = !isRead;
    this.#log.record(isRead ? "storeRegained" : "storeLost", { problem });
  }
}
