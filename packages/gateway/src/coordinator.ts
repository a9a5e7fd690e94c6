/** Performs the coordinator role: one term and its ticks. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  LEASE_RECLAIM_MS,
  type PermitGrant,
  PermitIssuer,
} from "@jaytiller/placement";
import {
  encodeRecord,
  getEra,
  type LeaseTimes,
  Predecessors,
  type RouterRef,
  Withheld,
} from "@jaytiller/ranges";
import { AdmissionPublisher } from "./admission_publisher.js";
import type { CapacityLeases } from "./capacity_leases.js";
import type { ClusterState } from "./cluster_state.js";
import { makeColdBeat } from "./cold_messages.js";
import type { ColdPermitService } from "./cold_permit_service.js";
import type { Claim } from "./coordinator_claimer.js";
import { claimEra } from "./era_claimer.js";
import type { FeedReader } from "./feed_reader.js";
import { HeartbeatSender, type SentHeartbeat } from "./heartbeat_sender.js";
import { LeaseCallSender } from "./lease_call_sender.js";
import { LeasePlanner } from "./lease_planner.js";
import { LoadReports } from "./load_reports.js";
import { MalformedFieldLog } from "./malformed_field_log.js";
import type { HeartbeatContext } from "./member_link.js";
import { OwnerChangePlanner } from "./owner_change_planner.js";
import { OwnershipLog } from "./ownership_log.js";
import { PauseDetector } from "./pause_detector.js";
import type { HeartbeatReply, PermitRequest } from "./peer_messages.js";
import type { LeaseTransport, PlatformStore } from "./ports.js";
import { ServiceAssignments } from "./service_assignments.js";
import { sleep } from "./sleep.js";
import { StateChanges } from "./state_changes.js";
import { StorePoller } from "./store_poller.js";
import { TermAcceptance } from "./term_acceptance.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a coordinator. */
export interface CoordinatorOptions {
  readonly self: RouterRef;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly reader: FeedReader;
  readonly store: PlatformStore;
  readonly leases: LeaseTransport;
  readonly log: EventLog;
  readonly times: LeaseTimes;
  readonly capacityLeases: CapacityLeases;
  /** Permits for cold servers, of this term. */
  readonly coldPermits: ColdPermitService;
  /** Called once this router is no longer the coordinator. */
  readonly onEnd: (reason: string) => void;
  /** Called once the term has been claimed again in a new era of the store. */
  readonly onTermRenewed: (term: number) => void;
}

/** Interval at which due work of the coordinator is done, ms. */
const TICK_INTERVAL_MS = 50;
/** Interval at which loads are balanced, ms. */
const BALANCE_INTERVAL_MS = 300;
/** Time without a reply after which a router is no longer listed, ms. */
const MAX_ROUTER_SILENCE_MS = 20_000;
/** Age of the server view up to which the store counts as reachable, ms. */
const STORE_REACHABLE_MS = 1_000;

/** Performs the coordinator role for one term. */
export class Coordinator {
  readonly #options: CoordinatorOptions;
  #term: number;
  readonly #assignments: ServiceAssignments;
  readonly #sender: HeartbeatSender;
  readonly #records: OwnershipLog;
  readonly #reports: LoadReports;
  readonly #planner: OwnerChangePlanner;
  readonly #leaseCalls: LeaseCallSender;
  readonly #admission: AdmissionPublisher;
  readonly #permits = new PermitIssuer();
  readonly #pauseDetector = new PauseDetector();
  readonly #acceptance: TermAcceptance;
  readonly #poller: StorePoller;
  readonly #malformedFields: MalformedFieldLog;
  readonly #leasePlanner: LeasePlanner;
  #isClaimingEra = false;
  #routers: readonly RouterRef[];
  #nextBalanceMs = 0;
  #hasEnded = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CoordinatorOptions, claim: Claim) {
    const nowMs = performance.now();
    this.#options = options;
    this.#term = claim.term;
    const { self, store, log, cluster, stats } = options;
    this.#malformedFields = new MalformedFieldLog(log);
    this.#reports = new LoadReports({
      cluster,
      stats,
      countRouters: () => this.#routers.length,
    });
    this.#sender = new HeartbeatSender({
      log,
      makeContext: () => this.#makeHeartbeatContext(),
      onAnswer: (answer, sent) => this.#handleHeartbeatReply(answer, sent),
    });
    const known = claim.inherited?.routers ?? [];
    this.#routers = [...known.filter((r) => r.node !== self.node), self];
    this.#records = new OwnershipLog({
      self,
      store,
      log,
      term: claim.term,
      claimSentMs: claim.sentMs,
      routers: this.#routers,
      onSuperseded: () => this.end("superseded by another router's record"),
    });
    const predecessors = Predecessors.restore(claim.inherited, {
      self,
      claimedMs: nowMs,
    });
    this.#leasePlanner = new LeasePlanner({
      ...options,
      term: claim.term,
      leases: options.capacityLeases,
      // Predecessors confirm leases only while they may send grants.
      getStartMs: () =>
        claim.inherited
          ? predecessors.computeGrantEndMs() + LEASE_RECLAIM_MS
          : -Infinity,
    });
    const shared = {
      ...options,
      assignments: new ServiceAssignments(options.times),
      records: this.#records,
      reports: this.#reports,
      predecessors,
      getTerm: () => this.#term,
      hasEnded: () => this.#hasEnded,
    };
    this.#assignments = shared.assignments;
    this.#acceptance = new TermAcceptance(shared);
    this.#assignments.restore(
      claim.inherited?.services ?? {},
      this.#acceptance.computeInheritedExpiry(nowMs),
    );
    this.#planner = new OwnerChangePlanner({
      ...shared,
      getRouters: () => this.#routers,
      onStored: () => this.#tick(),
    });
    const { incompleteMs } = claim;
    if (incompleteMs !== undefined) {
      this.#planner.beginHold(Withheld.Grants, nowMs - incompleteMs);
    }
    this.#leaseCalls = new LeaseCallSender({
      ...shared,
      onFenced: () => void this.#records.verifyTerm(),
      onProgress: () => this.#tick(),
    });
    this.#admission = new AdmissionPublisher({
      ...shared,
      countRouters: () => this.#routers.length,
      notifyAll: () => this.#sender.notifyAll(),
    });
    this.#poller = new StorePoller({
      ...shared,
      onServersChanged: () => this.#sender.notifyAll(),
    });
    const others = this.#routers.filter((r) => r.node !== self.node);
    for (const router of others) this.#sender.add(router);
  }

  get routers(): readonly RouterRef[] {
    return this.#routers;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    this.#poller.start();
    this.#tick();
  }

  /** Lists names and values for the metrics page. */
  listMetrics(): readonly (readonly [string, number])[] {
    const { coldPermits } = this.#options;
    return [...this.#leasePlanner.listMetrics(), ...coldPermits.listMetrics()];
  }

  /** Issues permits for a server that names a limit. */
  issuePermits(request: PermitRequest): PermitGrant {
    const { notices } = this.#options.stats;
    const { server, count } = request;
    return this.#permits.issue(server, {
      count,
      requestsPerSecond: notices.getLimit(server) ?? request.requestsPerSecond,
      nowMs: performance.now(),
    });
  }

  /** Issues permits for a cold server. */
  issueColdPermits(request: PermitRequest): PermitGrant {
    return this.#options.coldPermits.issue(request, performance.now());
  }

  /** Sends this router's changed view to all others at once. */
  announceChanges(): void {
    this.#sender.notifyAll();
  }

  /** Adds a router, or a known one that has restarted. */
  join(router: RouterRef): void {
    const others = this.#routers.filter((r) => r.node !== router.node);
    this.#routers = [...others, router];
    this.#sender.add(router);
    this.#acceptance.recordRestart(router);
    this.#sender.tick();
  }

  /** Ends the term because another router has claimed it or this one stops. */
  end(reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#close();
    this.#options.log.record("coordinatorEnd", { term: this.#term, reason });
    this.#options.onEnd(reason);
  }

  /**
   * Gives up the role on a planned stop. A final record tells the successor
   * that no more lease calls are sent. While the store is unavailable no router
   * can take over, so leases are renewed until `untilMs` at the latest. A term
   * of an older era is claimed again first: a successor would have to wait.
   */
  async resign(untilMs: number): Promise<void> {
    while (
      !this.#hasEnded && (this.#isEraOld() || !this.#isStoreReachable())
    ) {
      if (performance.now() >= untilMs) break;
      await sleep(TICK_INTERVAL_MS);
    }
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearInterval(this.#timer);
    this.#leasePlanner.end();
    const record = encodeRecord({
      ...this.#planner.makeRecord(),
      resigned: true,
    });
    const result = await this.#options.store.appendOwnership(
      record,
      this.#records.position,
    );
    this.#options.log.record("resigned", {
      term: this.#term,
      end: result.end,
      problem: result.problem,
    });
    this.#close();
  }

  #close(): void {
    clearInterval(this.#timer);
    this.#leasePlanner.end();
    this.#records.end();
    this.#sender.end();
  }

  #isStoreReachable(): boolean {
    const ageMs = performance.now() - this.#options.cluster.serversConfirmedAt;
    return ageMs < STORE_REACHABLE_MS;
  }

  #tick(): void {
    if (this.#hasEnded) return;
    const nowMs = performance.now();
    if (this.#pauseDetector.check(nowMs, Date.now())) {
      this.#options.log.record("paused", { term: this.#term });
      void this.#records.verifyTerm();
    }
    this.#options.coldPermits.tick(nowMs);
    const { cluster } = this.#options;
    this.#assignments.addServices(cluster.routes?.listServices() ?? []);
    // No lease call is sent before the term is claimed in the newest era.
    if (this.#isEraOld()) {
      void this.#claimEra();
      return this.#sender.tick();
    }
    this.#planChanges(nowMs);
    this.#admission.tick(nowMs);
    const isAllowed = this.#records.isGrantAllowed(nowMs);
    if (isAllowed) this.#leaseCalls.send(nowMs, this.#planner.withheld);
    const routers = this.#routers;
    this.#leasePlanner.tick({ nowMs, routers, isAllowed });
    this.#publishOwners();
    this.#sender.tick();
  }

  #isEraOld(): boolean {
    return this.#options.store.era > getEra(this.#term);
  }

  /**
   * Writes what the store has lost as a claim of its new era. Ends the term if
   * another router may have records that this one does not know.
   */
  async #claimEra(): Promise<void> {
    if (this.#isClaimingEra) return;
    this.#isClaimingEra = true;
    this.#records.suspend();
    this.#sender.notifyAll();
    const { self, store, log } = this.#options;
    const claim = await claimEra({
      self,
      store,
      log,
      makeClaim: (era) => {
        const record = { ...this.#planner.makeRecord(), era, incompleteMs: 0 };
        return { text: encodeRecord(record), routers: record.routers };
      },
      getMajorityMs: () => this.#records.getMajorityMs(),
      hasEnded: () => this.#hasEnded,
    }).finally(() => this.#isClaimingEra = false);
    if (this.#hasEnded || !claim) return;
    if ("reason" in claim) return this.end(claim.reason);
    this.#term = claim.term;
    this.#records.renewTerm(claim.term, claim);
    this.#planner.beginHold(Withheld.Changes, performance.now());
    this.#options.onTermRenewed(claim.term);
    this.#sender.notifyAll();
    this.#tick();
  }

  #planChanges(nowMs: number): void {
    if (!this.#planner.isReady) return;
    const isBalanceDue = nowMs >= this.#nextBalanceMs;
    if (isBalanceDue) {
      this.#nextBalanceMs = nowMs + BALANCE_INTERVAL_MS;
      this.#removeSilentRouters();
      this.#reports.advance(nowMs);
      const { notices } = this.#options.stats;
      this.#permits.retain((id) => notices.getLimit(id) !== undefined);
    }
    this.#planner.plan(nowMs, { isBalanceDue });
  }

  /** Forgets routers that are gone for good. One that is back joins again. */
  #removeSilentRouters(): void {
    const removed = this.#sender.removeSilent(MAX_ROUTER_SILENCE_MS);
    if (removed.length === 0) return;
    this.#routers = this.#routers.filter((r) => !removed.includes(r.node));
    this.#options.log.record("routersRemoved", { routers: removed.join(",") });
  }

  /** Publishes changed owner tables to this router and to all others. */
  #publishOwners(): void {
    const changed = this.#assignments.takeChangedTables();
    if (changed.size === 0) return;
    const { cluster } = this.#options;
    const owners = new Map([...cluster.owners, ...changed]);
    cluster.setOwners(owners, `${this.#term}/${this.#records.position}`);
    // Routers learn of a new owner and of its share with the same message.
    this.#admission.update(performance.now());
    this.#sender.notifyAll();
  }

  #makeHeartbeatContext(): HeartbeatContext {
    const nowMs = performance.now();
    return {
      term: this.#term,
      coordinator: this.#options.self,
      routers: this.#routers.length,
      cluster: this.#options.cluster,
      changes: new StateChanges(this.#options.cluster),
      nowMs,
      admission: this.#reports.admission,
      barred: this.#reports.listPoisonRequests(nowMs),
      notices: this.#options.stats.notices.listReports(nowMs),
      cold: makeColdBeat(this.#options, nowMs),
      makeLeases: (router) =>
        this.#records.isGrantAllowed(nowMs)
          ? this.#leasePlanner.makeMessage(router)
          : undefined,
    };
  }

  #handleHeartbeatReply(answer: HeartbeatReply, sent: SentHeartbeat): void {
    if (answer.term > this.#term) {
      return this.end("a router reported a higher term");
    }
    const { router } = answer;
    const { recipient } = sent;
    if (answer.term === this.#term) {
      this.#acceptance.record(router, sent.atMs);
      this.#leasePlanner.recordReply(answer);
      this.#options.coldPermits.recordReply(answer, sent);
    }
    if (router.incarnation !== recipient.incarnation) this.join(router);
    this.#malformedFields.record(router, answer.malformedFields);
    this.#reports.add(answer);
  }
}
