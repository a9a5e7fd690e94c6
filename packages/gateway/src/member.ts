/** Follows the coordinator, and becomes it when there is none. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  decodeRecord,
  encodeRecord,
  listPredecessors,
  type OwnershipRecord,
  OwnerTable,
  type RouterRef,
} from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import {
  type Beat,
  type BeatAnswer,
  type JoinAnswer,
  PeerMethod,
  type SilenceAnswer,
} from "./beat.js";
import {
  chooseWitnesses,
  mayFollow,
  Presence,
  type Witness,
} from "./claim_decision.js";
import type { Coordinator } from "./coordinator.js";
import type { Claim } from "./coordinator.js";
import type { FeedReader } from "./feed_reader.js";
import type { Knowledge } from "./knowledge.js";
import { pause } from "./pause.js";
import { PeerFailure, PeerFailureKind, PeerLink } from "./peer_link.js";
import { type OwnershipEntry, type PlatformStore, StoreEnd } from "./ports.js";
import type { StatsBook } from "./stats_book.js";
import { BEAT_MS, SILENT_MS, STALE_MS, STORE_RETRY_MS } from "./timing.js";

/** What a member works with. */
export interface MemberParts {
  readonly self: RouterRef;
  readonly knowledge: Knowledge;
  readonly stats: StatsBook;
  readonly reader: FeedReader;
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Starts a term as the coordinator. */
  readonly lead: (claim: Claim) => Coordinator;
}

const WATCH_MS = 100;
const KEYS_IN_REPORT = 200;
/** Later candidates give earlier ones this much time, ms. */
const RANK_MS = 60;
const MAX_RANK = 8;
/** A coordinator that has not read the store for so long has lost it, ms. */
const STORE_LOST_MS = 1_000;
/** A store that answers a router within this time serves it, ms. */
const QUICK_STORE_MS = 400;

/** This router among the others. */
export class Member {
  readonly #parts: MemberParts;
  #term = -1;
  #coordinator: RouterRef | undefined;
  #routers: readonly RouterRef[] = [];
  #routerCount = 1;
  #heardAt = -Infinity;
  #serversNumber = 0;
  /** The view as of the coordinator's last news of servers. */
  #serversTold: ServerView | undefined;
  #ownersNumber = 0;
  #leading: Coordinator | undefined;
  #isLooking = false;
  #hasStopped = false;
  #recordSeenAt = -Infinity;
  #recordOffset = -1;
  /** Age of the servers that the coordinator knows, by its last beat, ms. */
  #coordinatorAgeMs = 0;
  #nextLookMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: MemberParts) {
    this.#parts = parts;
  }

  /** Routers that share what all of them may spend together. */
  get routerCount(): number {
    return Math.max(this.#routerCount, this.#leading?.routers.length ?? 1);
  }

  get term(): number {
    return this.#term;
  }

  get isLeading(): boolean {
    return this.#leading !== undefined;
  }

  start(): void {
    this.#timer = setInterval(() => this.#watch(), WATCH_MS);
    this.#watch();
  }

  /** Stops; a coordinator hands over first, by `untilMs` at the latest. */
  async stop(untilMs = performance.now()): Promise<void> {
    this.#hasStopped = true;
    clearInterval(this.#timer);
    await this.#leading?.resign(untilMs);
    this.#leading = undefined;
  }

  /** Methods that other routers call. */
  makeMethods(): Record<string, (params: unknown) => unknown> {
    return {
      [PeerMethod.Beat]: (params) => this.#takeBeat(params as Beat),
      [PeerMethod.Join]: (params) => this.#takeJoin(params as RouterRef),
      [PeerMethod.Silence]: (): SilenceAnswer => ({
        silentMs: this.#computeSilence(),
        term: this.#term,
      }),
    };
  }

  #computeSilence(): number {
    const isHeard = this.#leading !== undefined;
    return isHeard ? 0 : Math.min(1e9, performance.now() - this.#heardAt);
  }

  #takeBeat(beat: Beat): BeatAnswer {
    const { self, knowledge, stats } = this.#parts;
    if (beat.term >= this.#term && !this.#hasStopped) this.#follow(beat);
    return {
      term: this.#term,
      router: self,
      version: knowledge.routes?.version ?? 0,
      serversNumber: this.#getServersNumber(),
      ownersNumber: this.#ownersNumber,
      keys: stats.takeKeyCounts(KEYS_IN_REPORT),
      times: stats.takeServiceTimes(),
      crashes: stats.crashes.takeReport(performance.now()),
    };
  }

  /** News follow on the view that they were sent for, not on our own reads. */
  #getServersNumber(): number {
    const isSame = this.#parts.knowledge.servers === this.#serversTold;
    return isSame ? this.#serversNumber : 0;
  }

  #follow(beat: Beat): void {
    const { knowledge, log } = this.#parts;
    const nowMs = performance.now();
    if (beat.term > this.#term) {
      this.#leading?.end("another router has a higher term");
      this.#term = beat.term;
      this.#serversNumber = 0;
      this.#ownersNumber = 0;
      log.record("coordinator", {
        term: beat.term,
        router: beat.coordinator.node,
      });
    }
    this.#coordinator = beat.coordinator;
    this.#heardAt = nowMs;
    this.#coordinatorAgeMs = beat.serversAgeMs;
    this.#routerCount = beat.routers;
    if (beat.routerList) this.#routers = beat.routerList;
    if (beat.configuration && knowledge.putConfiguration(beat.configuration)) {
      const { version } = beat.configuration;
      log.record("configuration", { version, source: "coordinator" });
    }
    knowledge.confirmRoutes(nowMs - beat.configurationAgeMs);
    knowledge.putBarred(beat.barred ?? []);
    this.#takeServers(beat, nowMs);
    this.#takeOwners(beat);
  }

  #takeServers({ servers, ...beat }: Beat, nowMs: number): void {
    const { knowledge } = this.#parts;
    const atMs = nowMs - beat.serversAgeMs;
    if (!servers) return knowledge.confirmServers(atMs);
    // What this router has read itself may be newer.
    if (beat.serversPosition < knowledge.servers.position) return;
    const isNext = servers.base === this.#getServersNumber();
    if (servers.base !== 0 && !isNext) return;
    const listed = new Set(servers.items.map((c) => c.id));
    const missing = servers.base === 0
      ? knowledge.servers.list().filter((e) => !listed.has(e.id))
      : [];
    knowledge.applyServers(
      [...servers.items, ...missing.map(({ id }) => ({ id }))],
      { position: beat.serversPosition, atMs },
    );
    this.#serversNumber = servers.number;
    this.#serversTold = knowledge.servers;
  }

  #takeOwners({ owners, term }: Beat): void {
    if (!owners) return;
    if (owners.base !== 0 && owners.base !== this.#ownersNumber) return;
    const { knowledge } = this.#parts;
    const tables = new Map(knowledge.owners);
    for (const { service, ranges } of owners.items) {
      const known = tables.get(service);
      const isWhole = owners.base === 0 || !known;
      tables.set(
        service,
        isWhole ? OwnerTable.create(ranges) : known.apply(ranges),
      );
    }
    knowledge.putOwners(tables, `${term}/${owners.number}`);
    this.#ownersNumber = owners.number;
  }

  #takeJoin(router: RouterRef): JoinAnswer {
    if (!this.#leading) return { accepted: false };
    this.#leading.join(router);
    return { accepted: true };
  }

  #watch(): void {
    if (this.#leading || this.#isLooking || this.#hasStopped) return;
    const nowMs = performance.now();
    const isSilent = nowMs - this.#heardAt > SILENT_MS;
    const isStale = nowMs - this.#parts.knowledge.serversAt > STALE_MS ||
      this.#coordinatorAgeMs > STORE_LOST_MS;
    if (nowMs < this.#nextLookMs || !isSilent && !isStale) return;
    this.#isLooking = true;
    this.#look(isSilent).catch((error: unknown) => {
      this.#parts.log.record("lookFailed", { problem: String(error) });
    }).finally(() => {
      this.#isLooking = false;
    });
  }

  /** Reads the store itself; joins or replaces the coordinator if need be. */
  async #look(isSilent: boolean): Promise<void> {
    const startedAt = performance.now();
    this.#nextLookMs = startedAt + BEAT_MS + 200 * Math.random();
    // The coordinator's silence may last: what it would tell is read at once.
    const [newest] = await Promise.all([
      this.#readRecord(),
      this.#parts.reader.readServers(),
      this.#parts.reader.readConfiguration(0),
    ]);
    const tookMs = performance.now() - startedAt;
    if (!newest.isRead) {
      const pauseMs = STORE_RETRY_MS * (1 + Math.random());
      this.#nextLookMs = performance.now() + pauseMs;
      return;
    }
    const presence = isSilent
      ? await this.#joinNamed(newest.record)
      : Presence.Heard;
    if (presence === Presence.Joined) return;
    const mayLead = await this.#mayLead(presence, { newest, tookMs });
    if (mayLead && !this.#hasStopped) await this.#claim(newest);
  }

  /**
   * A coordinator that we hear is replaced if it has lost the store and we
   * have not; one that we do not hear, if others do not hear it either.
   */
  async #mayLead(
    presence: Presence,
    { newest, tookMs }: { newest: NewestRecord; tookMs: number },
  ): Promise<boolean> {
    const { record } = newest;
    if (presence === Presence.Ended || !record) return true;
    if (presence === Presence.Refused || presence === Presence.Silent) {
      return this.#isMissed(record, presence);
    }
    return this.#coordinatorAgeMs > STORE_LOST_MS && tookMs < QUICK_STORE_MS;
  }

  async #isMissed(
    { coordinator, routers }: OwnershipRecord,
    presence: Presence.Refused | Presence.Silent,
  ): Promise<boolean> {
    const { self } = this.#parts;
    const options = { self, coordinator, random: Math.random };
    const asked = chooseWitnesses(routers, options);
    return mayFollow({
      self,
      coordinator,
      presence,
      witnesses: await Promise.all(asked.map(askSilence)),
      unchangedMs: performance.now() - this.#recordSeenAt,
    });
  }

  #isHeard(): boolean {
    return performance.now() - this.#heardAt < SILENT_MS;
  }

  async #readRecord(): Promise<NewestRecord> {
    const read = await this.#parts.store.readOwnership({ waitMs: 0 });
    if (read.end !== StoreEnd.Done || !read.value) {
      return { isRead: false, position: 0 };
    }
    const { position, items } = read.value;
    const entry = items.at(-1);
    if (!entry) return { isRead: true, position };
    this.#noteRecord(entry);
    const record = decodeRecord(entry.text);
    this.#useOwners(entry, record);
    return { isRead: true, position, record };
  }

  #noteRecord(entry: OwnershipEntry): void {
    if (entry.offset === this.#recordOffset) return;
    this.#recordOffset = entry.offset;
    this.#recordSeenAt = performance.now();
  }

  /** Without a coordinator, the record tells who owns what. */
  #useOwners(entry: OwnershipEntry, record: OwnershipRecord): void {
    if (this.#isHeard()) return;
    const tables = new Map(
      Object.entries(record.services).map(([service, list]) => [
        service,
        OwnerTable.create(list.map((a) => ({
          from: a.from,
          to: a.to,
          ...(a.granted && a.owner ? { server: a.owner.id } : {}),
        }))),
      ]),
    );
    this.#parts.knowledge.putOwners(tables, `record/${entry.offset}`);
    this.#ownersNumber = 0;
    this.#routers = record.routers;
    this.#routerCount = Math.max(1, record.routers.length);
  }

  /** Joins the coordinator that a record names. */
  async #joinNamed(record: OwnershipRecord | undefined): Promise<Presence> {
    if (!record || record.resigned) return Presence.Ended;
    const { coordinator } = record;
    const { self } = this.#parts;
    if (coordinator.node === self.node) return Presence.Ended;
    const link = new PeerLink(coordinator.address);
    try {
      const answer = await link.call<JoinAnswer>(PeerMethod.Join, self);
      // One that does not lead left the record behind in its last term.
      return answer.accepted ? Presence.Joined : Presence.Ended;
    } catch (error) {
      if (!(error instanceof PeerFailure)) throw error;
      this.#parts.log.record("coordinatorSilent", {
        router: coordinator.node,
        problem: error.message,
      });
      return error.kind === PeerFailureKind.Refused
        ? Presence.Refused
        : Presence.Silent;
    } finally {
      link.close();
    }
  }

  async #claim(newest: NewestRecord): Promise<void> {
    const { self, store, log, lead } = this.#parts;
    const rank = this.#computeRank(newest.record);
    if (rank > 0) await pause(rank * RANK_MS * (0.7 + 0.6 * Math.random()));
    if (this.#isHeard() && this.#coordinatorAgeMs < STORE_LOST_MS) return;
    const { record } = newest;
    const others = (record?.routers ?? []).filter((r) => r.node !== self.node);
    const text = encodeRecord({
      coordinator: self,
      resigned: false,
      routers: [...others, self],
      predecessors: record ? listPredecessors(record, self) : [],
      services: record?.services ?? {},
    });
    const sentAt = performance.now();
    const result = await store.appendOwnership(text, newest.position);
    const isDone = result.end === StoreEnd.Done ||
      result.end === StoreEnd.Unknown && await this.#isWritten(text, newest);
    log.record("claim", {
      position: newest.position,
      end: result.end,
      isDone,
      problem: result.problem,
      ms: Math.round(performance.now() - sentAt),
    });
    if (!isDone || this.#hasStopped) return;
    this.#term = newest.position;
    this.#coordinator = self;
    this.#heardAt = -Infinity;
    this.#leading = lead({
      term: newest.position,
      ...(record ? { inherited: record } : {}),
    });
    this.#leading.start();
  }

  /** Called by the coordinator of this process when its term has ended. */
  endTerm(): void {
    this.#leading = undefined;
    this.#heardAt = performance.now();
  }

  async #isWritten(text: string, { position }: NewestRecord): Promise<boolean> {
    await pause(STORE_RETRY_MS / 2);
    const read = await this.#parts.store.readOwnership({ position, waitMs: 0 });
    const found = read.value?.items.find((e) => e.offset === position);
    return found?.text === text;
  }

  /**
   * Routers claim one after the other, those with the most cores first: the
   * coordinator has work that grows with the number of servers.
   */
  #computeRank(record: OwnershipRecord | undefined): number {
    const { self } = this.#parts;
    const others = (record?.routers ?? [])
      .filter((r) => r.node !== record?.coordinator.node)
      .sort((a, b) => b.cores - a.cores || (a.node < b.node ? -1 : 1));
    const rank = others.findIndex((r) => r.node === self.node);
    if (rank >= 0) return Math.min(rank, MAX_RANK);
    return MAX_RANK * (1 - Math.min(1, self.cores)) + Math.random();
  }
}

interface NewestRecord {
  readonly isRead: boolean;
  /** Position after the newest record. */
  readonly position: number;
  readonly record?: OwnershipRecord;
}

async function askSilence(router: RouterRef): Promise<Witness> {
  const link = new PeerLink(router.address);
  try {
    const answer = await link.call<SilenceAnswer>(PeerMethod.Silence, {});
    return { router, silentMs: answer.silentMs };
  } catch (error) {
    if (error instanceof PeerFailure) return { router };
    throw error;
  } finally {
    link.close();
  }
}
