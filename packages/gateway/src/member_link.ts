/** The coordinator's side of one other router. @module */
import type { OwnerTable, RouterRef } from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import {
  type Beat,
  type BeatAnswer,
  type OwnerNews,
  PeerMethod,
} from "./beat.js";
import type { Knowledge } from "./knowledge.js";
import { PeerLink } from "./peer_link.js";

/** What all routers are told. */
export interface BeatContext {
  readonly term: number;
  readonly coordinator: RouterRef;
  readonly routers: readonly RouterRef[];
  readonly knowledge: Knowledge;
  readonly nowMs: number;
  /** Fingerprints of requests that crash servers. */
  readonly barred: readonly string[];
}

interface Told {
  readonly number: number;
  readonly servers: ServerView;
  readonly owners: ReadonlyMap<string, OwnerTable>;
  readonly routers: readonly RouterRef[];
}

/** Sends beats to a router and remembers what it has been told. */
export class MemberLink {
  readonly router: RouterRef;
  readonly #link: PeerLink;
  #told: Told | undefined;
  #version = 0;
  #number = 0;
  #isBusy = false;

  constructor(router: RouterRef) {
    this.router = router;
    this.#link = new PeerLink(router.address);
  }

  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** Version of the configuration that the router has. */
  get version(): number {
    return this.#version;
  }

  /** Sends a beat. Rejects with a `PeerFailure`. */
  async send(context: BeatContext): Promise<BeatAnswer> {
    this.#isBusy = true;
    try {
      const { beat, told } = this.#makeBeat(context);
      const answer = await this.#link.call<BeatAnswer>(PeerMethod.Beat, beat);
      const isTaken = answer.serversNumber === told.number &&
        answer.ownersNumber === told.number;
      this.#told = isTaken ? told : undefined;
      this.#version = answer.version;
      return answer;
    } catch (error) {
      this.#told = undefined;
      throw error;
    } finally {
      this.#isBusy = false;
    }
  }

  close(): void {
    this.#link.close();
  }

  #makeBeat(context: BeatContext): { beat: Beat; told: Told } {
    const { knowledge, nowMs, term, coordinator, routers, barred } = context;
    const { servers, owners, routes } = knowledge;
    const last = this.#told;
    const isNews = !last || last.servers !== servers || last.owners !== owners;
    const number = isNews ? this.#number += 1 : last.number;
    const told: Told = { number, servers, owners, routers };
    const base = last?.number ?? 0;
    const isOld = routes && routes.version > this.#version;
    const beat: Beat = {
      term,
      coordinator,
      routers: routers.length,
      ...(last?.routers === routers ? {} : { routerList: routers }),
      configurationAgeMs: Math.round(nowMs - knowledge.routesAt),
      serversAgeMs: Math.round(nowMs - knowledge.serversAt),
      serversPosition: servers.position,
      ...(barred.length > 0 ? { barred } : {}),
      ...(isOld ? { configuration: routes.configuration } : {}),
      ...(isNews
        ? {
          servers: {
            base,
            number,
            items: last
              ? servers.listChangesSince(last.servers)
              : servers.list().map((entry) => ({ id: entry.id, entry })),
          },
          owners: { base, number, items: listOwnerNews(owners, last?.owners) },
        }
        : {}),
    };
    return { beat, told };
  }
}

/** Ranges that are not the same in the older tables. */
function listOwnerNews(
  owners: ReadonlyMap<string, OwnerTable>,
  older: ReadonlyMap<string, OwnerTable> | undefined,
): readonly OwnerNews[] {
  const news: OwnerNews[] = [];
  for (const [service, table] of owners) {
    const last = older?.get(service);
    if (last === table) continue;
    const ranges = last ? table.listChangesSince(last) : table.list();
    if (ranges.length > 0) news.push({ service, ranges });
  }
  return news;
}
