/** The router that reads the feeds for all and owns the key ranges. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  type Assignment,
  computeLeaseEnd,
  encodeRecord,
  type LeaseCall,
  LeaseCallEnd,
  LeaseCallKind,
  type LeaseTimes,
  type OwnerChange,
  type OwnershipRecord,
  type OwnerTable,
  type PlanContext,
  Predecessors,
  RangeKeeper,
  type RouterRef,
} from "@jaytiller/ranges";
import { CrashBook } from "@jaytiller/placement";
import type { BeatAnswer } from "./beat.js";
import { CapacityBook } from "./capacity_book.js";
import type { FeedReader } from "./feed_reader.js";
import type { Knowledge } from "./knowledge.js";
import { MemberBeats } from "./member_beats.js";
import type { BeatContext } from "./member_link.js";
import { OwnershipLog } from "./ownership_log.js";
import { pause } from "./pause.js";
import { PauseDetector } from "./pause_detector.js";
import type { LeaseTransport, PlatformStore } from "./ports.js";
import type { StatsBook } from "./stats_book.js";
import {
  CONFIGURATION_WAIT_MS,
  RECORD_REFRESH_MS,
  SERVERS_READ_MS,
  STORE_RETRY_MS,
} from "./timing.js";

/** What the coordinator works with. */
export interface CoordinatorParts {
  readonly self: RouterRef;
  readonly knowledge: Knowledge;
  readonly stats: StatsBook;
  readonly reader: FeedReader;
  readonly store: PlatformStore;
  readonly leases: LeaseTransport;
  readonly log: EventLog;
  readonly times: LeaseTimes;
  /** Called once this router is no longer the coordinator. */
  readonly onEnd: (reason: string) => void;
}

/** The claim that made this router the coordinator. */
export interface Claim {
  /** Offset of the claim. */
  readonly term: number;
  /** The record before it, if there was one. */
  readonly inherited?: OwnershipRecord;
}

const TICK_MS = 50;
const BALANCE_MS = 300;
/** Pause between two log lines about the balance, ms. */
const SUMMARY_MS = 2_000;
const KEYS_IN_REPORT = 400;
/** Age of the servers up to which the store serves this router, ms. */
const STORE_HEARD_MS = 1_000;
/** One term as the coordinator. */
export class Coordinator {
  readonly #parts: CoordinatorParts;
  readonly #term: number;
  readonly #keepers = new Map<string, RangeKeeper>();
  readonly #beats: MemberBeats;
  readonly #records: OwnershipLog;
  readonly #book = new CapacityBook();
  readonly #crashes = new CrashBook();
  readonly #pauses = new PauseDetector();
  readonly #predecessors: Predecessors;
  #routers: readonly RouterRef[];
  #isWriting = false;
  #nextBalanceMs = 0;
  #nextSummaryMs = 0;
  #hasEnded = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: CoordinatorParts, claim: Claim) {
    const nowMs = performance.now();
    this.#parts = parts;
    this.#term = claim.term;
    const { self, store, log } = parts;
    this.#records = new OwnershipLog({
      self,
      store,
      log,
      term: claim.term,
      onFollowed: () => this.end("another router has claimed"),
    });
    this.#beats = new MemberBeats({
      log,
      makeContext: () => this.#makeBeatContext(),
      onAnswer: (answer, router) => this.#takeAnswer(answer, router),
    });
    const known = claim.inherited?.routers ?? [];
    this.#routers = [...known.filter((r) => r.node !== self.node), self];
    this.#predecessors = Predecessors.restore(claim.inherited, {
      self,
      claimedMs: nowMs,
    });
    this.#restoreKeepers(claim.inherited, nowMs);
    const others = this.#routers.filter((r) => r.node !== self.node);
    for (const router of others) this.#beats.add(router);
  }

  get routers(): readonly RouterRef[] {
    return this.#routers;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    void this.#followServers();
    void this.#followConfiguration();
    void this.#followOwnership();
    this.#tick();
  }

  /** Adds a router, or a new start of a known one. */
  join(router: RouterRef): void {
    const others = this.#routers.filter((r) => r.node !== router.node);
    this.#routers = [...others, router];
    this.#beats.add(router);
    this.#clear((p) =>
      p.node === router.node && p.incarnation !== router.incarnation
    );
    this.#beats.tick();
  }

  /** Ends the term: another router has claimed, or this one stops. */
  end(reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#close();
    this.#parts.log.record("coordinatorEnd", { term: this.#term, reason });
    this.#parts.onEnd(reason);
  }

  /**
   * Planned stop: tells the successor that no more calls are sent. While the
   * store is away nobody can follow, and the leases are renewed until
   * `untilMs`.
   */
  async resign(untilMs: number): Promise<void> {
    while (!this.#hasEnded && !this.#hearsStore()) {
      if (performance.now() >= untilMs) break;
      await pause(TICK_MS);
    }
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearInterval(this.#timer);
    const record = encodeRecord({ ...this.#makeRecord(), resigned: true });
    const result = await this.#parts.store.appendOwnership(
      record,
      this.#records.position,
    );
    this.#parts.log.record("resigned", {
      term: this.#term,
      end: result.end,
      problem: result.problem,
    });
    this.#close();
  }

  #close(): void {
    clearInterval(this.#timer);
    this.#records.end();
    this.#beats.end();
  }

  #hearsStore(): boolean {
    const ageMs = performance.now() - this.#parts.knowledge.serversAt;
    return ageMs < STORE_HEARD_MS;
  }

  #restoreKeepers(record: OwnershipRecord | undefined, nowMs: number): void {
    const { times } = this.#parts;
    const endMs = Math.max(nowMs, this.#predecessors.computeEnd());
    const inheritedUntilMs = endMs + computeLeaseEnd(times);
    for (const [service, list] of Object.entries(record?.services ?? {})) {
      const keeper = RangeKeeper.restore(service, list, {
        times,
        inheritedUntilMs,
      });
      this.#keepers.set(service, keeper);
    }
  }

  /** Takes note that earlier coordinators have certainly ended. */
  #clear(hasEnded: (predecessor: RouterRef) => boolean): void {
    if (!this.#predecessors.clear(hasEnded)) return;
    const nowMs = performance.now();
    const endMs = Math.max(nowMs, this.#predecessors.computeEnd());
    const untilMs = endMs + computeLeaseEnd(this.#parts.times);
    for (const keeper of this.#keepers.values()) keeper.boundInherited(untilMs);
    if (!this.#predecessors.isEmpty) return;
    this.#parts.log.record("predecessorsEnded", { term: this.#term });
  }

  #tick(): void {
    if (this.#hasEnded) return;
    const nowMs = performance.now();
    if (this.#pauses.check(nowMs, Date.now())) {
      this.#parts.log.record("paused", { term: this.#term });
      void this.#records.doubt();
    }
    this.#addServices();
    this.#plan(nowMs);
    if (this.#records.mayGrant(nowMs)) this.#sendCalls(nowMs);
    this.#publish();
    this.#beats.tick();
  }

  #addServices(): void {
    const { knowledge, times } = this.#parts;
    for (const service of knowledge.routes?.listServices() ?? []) {
      if (!service.sharded || this.#keepers.has(service.name)) continue;
      const keeper = RangeKeeper.create(service.name, times);
      this.#keepers.set(service.name, keeper);
    }
  }

  #plan(nowMs: number): void {
    if (this.#isWriting || !this.#parts.knowledge.hasServers) return;
    const balance = nowMs >= this.#nextBalanceMs;
    if (balance) {
      this.#nextBalanceMs = nowMs + BALANCE_MS;
      this.#takeOwnReport();
      this.#book.advance(nowMs);
      const { servers } = this.#parts.knowledge;
      this.#book.keep((id) => servers.find(id) !== undefined);
    }
    const changes = new Map<string, readonly OwnerChange[]>();
    for (const [service, keeper] of this.#keepers) {
      const planned = this.#planService(service, keeper, { nowMs, balance });
      if (planned.length > 0) changes.set(service, planned);
    }
    const isOld = nowMs - this.#records.writtenAt > RECORD_REFRESH_MS;
    if (changes.size > 0 || isOld) void this.#write(changes);
  }

  #planService(
    service: string,
    keeper: RangeKeeper,
    options: { nowMs: number; balance: boolean },
  ): readonly OwnerChange[] {
    const view = this.#parts.knowledge.servers;
    const context = {
      ...options,
      view,
      load: this.#book.getLoad(service),
      getCapacity: this.#book.makeCapacities(view, service),
      isSettling: this.#parts.reader.isSettling(options.nowMs),
    };
    if (options.balance) this.#logBalance(service, keeper, context);
    return keeper.plan(context);
  }

  #logBalance(service: string, keeper: RangeKeeper, context: PlanContext) {
    if (context.nowMs < this.#nextSummaryMs) return;
    this.#nextSummaryMs = context.nowMs + SUMMARY_MS;
    const summary = keeper.summarize(context);
    if (!summary) return;
    this.#parts.log.record("balance", {
      service,
      ...summary,
      load: round(summary.load),
      capacity: round(summary.capacity),
      busiestUse: round(summary.busiestUse),
      idlestUse: round(summary.idlestUse),
      ranges: keeper.assignments.length,
    });
  }

  /** Writes changes before any call of theirs is sent. */
  async #write(changes: ReadonlyMap<string, readonly OwnerChange[]>) {
    this.#isWriting = true;
    try {
      const fence = this.#records.position + 1;
      const nowMs = performance.now();
      const text = encodeRecord(
        this.#makeRecord((service, keeper) =>
          keeper.preview(changes.get(service) ?? [], { nowMs, fence })
        ),
      );
      if (!await this.#records.append(text) || this.#hasEnded) return;
      for (const [service, list] of changes) {
        this.#keepers.get(service)?.commit(list, {
          nowMs: performance.now(),
          fence,
        });
        this.#logChanges(service, list, fence);
      }
      this.#tick();
    } finally {
      this.#isWriting = false;
    }
  }

  #makeRecord(
    list: (service: string, keeper: RangeKeeper) => readonly Assignment[] = (
      _,
      keeper,
    ) => keeper.assignments,
  ): OwnershipRecord {
    const services = [...this.#keepers].map(([service, keeper]) =>
      [service, list(service, keeper)] as const
    );
    return {
      coordinator: this.#parts.self,
      resigned: false,
      routers: this.#routers,
      predecessors: this.#predecessors.list(performance.now()),
      services: Object.fromEntries(services),
    };
  }

  async #followOwnership(): Promise<void> {
    while (!this.#hasEnded) {
      const isRead = await this.#records.read(CONFIGURATION_WAIT_MS);
      await pause(isRead ? TICK_MS : STORE_RETRY_MS);
    }
  }

  #sendCalls(nowMs: number): void {
    const view = this.#parts.knowledge.servers;
    for (const [service, keeper] of this.#keepers) {
      for (const call of keeper.listCalls(nowMs, view)) {
        void this.#sendCall(service, keeper, call);
      }
    }
  }

  async #sendCall(service: string, keeper: RangeKeeper, call: LeaseCall) {
    const result = await this.#parts.leases.call(call);
    keeper.observe(call, result, performance.now());
    const isNews = call.kind === LeaseCallKind.Release ||
      result.end !== LeaseCallEnd.Done;
    if (isNews) {
      this.#parts.log.record("lease", {
        kind: call.kind,
        service,
        server: call.server.id,
        from: call.from,
        to: call.to,
        fence: call.fence,
        end: result.end,
        problem: result.problem,
      });
    }
    if (result.end === LeaseCallEnd.Fenced) void this.#records.doubt();
    if (call.kind === LeaseCallKind.Release || keeper.isChanged) this.#tick();
  }

  /** Hands changed tables to the router's own knowledge and to the others. */
  #publish(): void {
    const { knowledge } = this.#parts;
    let owners: Map<string, OwnerTable> | undefined;
    for (const [service, keeper] of this.#keepers) {
      if (!keeper.takeChanged()) continue;
      owners ??= new Map(knowledge.owners);
      owners.set(service, keeper.makeTable());
    }
    if (!owners) return;
    knowledge.putOwners(owners, `${this.#term}/${this.#records.position}`);
    this.#beats.notifyAll();
  }

  #makeBeatContext(): BeatContext {
    const nowMs = performance.now();
    return {
      term: this.#term,
      coordinator: this.#parts.self,
      routers: this.#routers,
      knowledge: this.#parts.knowledge,
      nowMs,
      barred: this.#crashes.listBarred(nowMs),
    };
  }

  /** `known`: the router that the beat was sent to. */
  #takeAnswer(answer: BeatAnswer, known: RouterRef): void {
    if (answer.term > this.#term) {
      return this.end("a router knows a higher term");
    }
    const { router } = answer;
    this.#clear((p) => p.node === router.node && answer.term === this.#term);
    if (router.incarnation !== known.incarnation) this.join(router);
    this.#book.addReport(answer.keys, answer.times);
    this.#crashes.add(answer.crashes, performance.now());
  }

  #takeOwnReport(): void {
    const { stats } = this.#parts;
    this.#book.addReport(
      stats.takeKeyCounts(KEYS_IN_REPORT),
      stats.takeServiceTimes(),
    );
    const nowMs = performance.now();
    this.#crashes.add(stats.crashes.takeReport(nowMs), nowMs);
    this.#parts.knowledge.putBarred(this.#crashes.listBarred(nowMs));
  }

  async #followServers(): Promise<void> {
    while (!this.#hasEnded) {
      const before = this.#parts.knowledge.servers;
      const isRead = await this.#parts.reader.readServers();
      const after = this.#parts.knowledge.servers;
      if (after.listChangesSince(before).length > 0) this.#beats.notifyAll();
      await pause(isRead ? SERVERS_READ_MS : STORE_RETRY_MS);
    }
  }

  async #followConfiguration(): Promise<void> {
    while (!this.#hasEnded) {
      const version = this.#parts.knowledge.routes?.version;
      const wait = version === undefined ? 0 : CONFIGURATION_WAIT_MS;
      const isRead = await this.#parts.reader.readConfiguration(wait);
      const now = this.#parts.knowledge.routes?.version;
      if (now !== version) this.#beats.notifyAll();
      else if (!isRead || now === undefined) await pause(STORE_RETRY_MS);
    }
  }

  #logChanges(service: string, changes: readonly OwnerChange[], fence: number) {
    for (const { from, to, owner } of changes) {
      this.#parts.log.record("assigned", {
        service,
        from,
        to,
        server: owner.id,
        fence,
        serversPosition: this.#parts.knowledge.servers.position,
      });
    }
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
