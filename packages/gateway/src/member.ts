/** Follows the coordinator, or replaces it if it has failed. @module */
import type { EventLog } from "@jaytiller/kernel";
import { type PermitGrant, RouterCounts } from "@jaytiller/placement";
import type { OwnershipRecord, RouterRef } from "@jaytiller/ranges";
import type { CapacityLeases } from "./capacity_leases.js";
import {
  CoordinatorStatus,
  FIRST_HEARTBEAT_GRACE_MS,
} from "./claim_decision.js";
import type { ClusterState } from "./cluster_state.js";
import type { Coordinator } from "./coordinator.js";
import { type Claim, CoordinatorClaimer } from "./coordinator_claimer.js";
import type { FeedReader } from "./feed_reader.js";
import { HeartbeatReceiver } from "./heartbeat_receiver.js";
import {
  decodeHeartbeat,
  decodeJoinReply,
  decodePermitRequest,
  decodeRouterRef,
} from "./peer_decoding.js";
import { callPeer, PeerError, PeerErrorKind } from "./peer_link.js";
import {
  type Heartbeat,
  type HeartbeatReply,
  type JoinReply,
  PeerMethod,
  type PermitReply,
  type PermitRequest,
  type SilenceReply,
} from "./peer_messages.js";
import type { PlatformStore } from "./ports.js";
import { type NewestRecord, RecordReader } from "./record_reader.js";
import {
  COORDINATOR_STORE_TIMEOUT_MS,
  COORDINATOR_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
  STALE_SERVERS_MS,
  STORE_RETRY_DELAY_MS,
} from "./timing.js";
import type { TrafficStats } from "./traffic_stats.js";

/** Dependencies of a member. */
export interface MemberOptions {
  readonly self: RouterRef;
  readonly cluster: ClusterState;
  readonly stats: TrafficStats;
  readonly reader: FeedReader;
  readonly store: PlatformStore;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly log: EventLog;
  readonly leases: CapacityLeases;
  /** Creates the coordinator for a term that this router has claimed. */
  readonly createCoordinator: (claim: Claim) => Coordinator;
}

/** Interval at which the coordinator's silence is checked, ms. */
const CHECK_INTERVAL_MS = 100;

/**
 * Represents this router among the others. It follows the coordinator's
 * heartbeats, and reads the store or claims the role itself if they fail.
 */
export class Member {
  readonly #options: MemberOptions;
  #term = -1;
  #routerCount = 1;
  readonly #routerCounts = new RouterCounts();
  #coordinatorHeardAt = -Infinity;
  /** Coordinator that sent the last heartbeat. */
  #coordinator: RouterRef | undefined;
  readonly #receiver: HeartbeatReceiver;
  readonly #records: RecordReader;
  readonly #claimer: CoordinatorClaimer;
  #localCoordinator: Coordinator | undefined;
  #isChecking = false;
  #hasStopped = false;
  /** Age of the coordinator's server view in its last heartbeat, ms. */
  #coordinatorServersAgeMs = 0;
  #nextCheckMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MemberOptions) {
    this.#options = options;
    this.#receiver = new HeartbeatReceiver(options);
    this.#records = new RecordReader(options);
    this.#claimer = new CoordinatorClaimer({
      ...options,
      records: this.#records,
      isCoordinatorHeard: () => this.#isCoordinatorHeard(),
      getCoordinatorServersAgeMs: () => this.#coordinatorServersAgeMs,
      isFollowed: (coordinator) => this.#isFollowed(coordinator),
      getTerm: () => this.#term,
    });
  }

  /** Number of routers that share the retry budget. */
  get routerCount(): number {
    return Math.max(
      this.#routerCount,
      this.#localCoordinator?.routers.length ?? 1,
    );
  }

  /**
   * Returns the largest number of routers in the last minute, or `undefined` if
   * it is not known yet.
   */
  getMostRouters(nowMs: number): number | undefined {
    return this.#routerCounts.getLargest(nowMs);
  }

  get term(): number {
    return this.#term;
  }

  /** Coordinator that this router follows; absent before the first heartbeat. */
  get coordinator(): RouterRef | undefined {
    return this.#coordinator;
  }

  /**
   * Time since the coordinator was last heard, ms; 0 at the coordinator, absent
   * before the first heartbeat.
   */
  get heartbeatAgeMs(): number | undefined {
    return this.#coordinator || this.isCoordinator
      ? this.#computeSilenceMs()
      : undefined;
  }

  /** Issues permits to this or another router, if this is the coordinator. */
  issuePermits(request: PermitRequest): PermitReply {
    return makePermitReply(this.#localCoordinator?.issuePermits(request));
  }

  /** Issues permits for cold servers, if this is the coordinator. */
  issueColdPermits(request: PermitRequest): PermitReply {
    return makePermitReply(this.#localCoordinator?.issueColdPermits(request));
  }

  /** Lists the coordinator's metrics, if this is the coordinator. */
  listMetrics(): readonly (readonly [string, number])[] {
    return this.#localCoordinator?.listMetrics() ?? [];
  }

  /** Sends changes of this router's view on, if it is the coordinator. */
  announceChanges(): void {
    this.#localCoordinator?.announceChanges();
  }

  /** Ends the term of this router, if it is the coordinator. */
  endOwnTerm(reason: string): void {
    this.#localCoordinator?.end(reason);
  }

  get isCoordinator(): boolean {
    return this.#localCoordinator !== undefined;
  }

  start(): void {
    this.#timer = setInterval(() => this.#checkIfDue(), CHECK_INTERVAL_MS);
    this.#checkIfDue();
  }

  /** Stops; a coordinator first gives up its role, until `untilMs`. */
  async stop(untilMs = performance.now()): Promise<void> {
    this.#hasStopped = true;
    clearInterval(this.#timer);
    await this.#localCoordinator?.resign(untilMs);
    this.#localCoordinator = undefined;
  }

  /** Returns the RPC methods that other routers call. */
  makeRpcMethods(): Record<string, (params: unknown) => unknown> {
    return {
      [PeerMethod.Beat]: (params) =>
        this.#handleHeartbeat(decodeHeartbeat(params)),
      [PeerMethod.Join]: (params) => this.#handleJoin(decodeRouterRef(params)),
      [PeerMethod.Permit]: (params) =>
        this.issuePermits(decodePermitRequest(params)),
      [PeerMethod.ColdPermit]: (params) =>
        this.issueColdPermits(decodePermitRequest(params)),
      [PeerMethod.Silence]: (): SilenceReply => ({
        silentMs: this.#computeSilenceMs(),
        term: this.#term,
      }),
    };
  }

  #computeSilenceMs(): number {
    const isCoordinator = this.#localCoordinator !== undefined;
    return isCoordinator
      ? 0
      : Math.min(1e9, performance.now() - this.#coordinatorHeardAt);
  }

  #handleHeartbeat(beat: Heartbeat): HeartbeatReply {
    const isFollowed = beat.term >= this.#term && !this.#hasStopped;
    if (isFollowed) this.#follow(beat);
    return this.#receiver.makeReply(this.#term, {
      coldPermits: isFollowed && beat.coldPermits === true,
    });
  }

  #follow(beat: Heartbeat): void {
    const nowMs = performance.now();
    if (beat.term > this.#term) {
      this.#localCoordinator?.end("a heartbeat has a higher term");
      this.#term = beat.term;
      this.#receiver.reset();
      this.#options.log.record("coordinator", {
        term: beat.term,
        router: beat.coordinator.node,
      });
    }
    this.#coordinatorHeardAt = nowMs;
    this.#coordinator = beat.coordinator;
    this.#coordinatorServersAgeMs = beat.serversAgeMs;
    this.#setRouterCount(beat.routers);
    this.#receiver.apply(beat, nowMs);
  }

  #handleJoin(router: RouterRef): JoinReply {
    if (!this.#localCoordinator) return { accepted: false };
    this.#localCoordinator.join(router);
    return { accepted: true };
  }

  #checkIfDue(): void {
    const nowMs = performance.now();
    if (this.#localCoordinator) {
      this.#routerCounts.record(this.#localCoordinator.routers.length, nowMs);
    }
    if (this.#localCoordinator || this.#isChecking || this.#hasStopped) return;
    const isSilent = nowMs - this.#coordinatorHeardAt > COORDINATOR_TIMEOUT_MS;
    const isStale =
      nowMs - this.#options.cluster.serversConfirmedAt > STALE_SERVERS_MS ||
      this.#coordinatorServersAgeMs > COORDINATOR_STORE_TIMEOUT_MS;
    if (nowMs < this.#nextCheckMs || !isSilent && !isStale) return;
    this.#isChecking = true;
    this.#checkCoordinator(isSilent).catch((error: unknown) => {
      this.#options.log.record("lookFailed", { problem: String(error) });
    }).finally(() => {
      this.#isChecking = false;
    });
  }

  /** Reads the store, and joins or replaces the coordinator if necessary. */
  async #checkCoordinator(isSilent: boolean): Promise<void> {
    const startedAt = performance.now();
    this.#nextCheckMs = startedAt + HEARTBEAT_INTERVAL_MS + 200 * Math.random();
    // The coordinator may stay silent, so all that it would send is read now.
    const [newest] = await Promise.all([
      this.#readRecord(),
      this.#options.reader.readServers(),
    ]);
    const storeLatencyMs = performance.now() - startedAt;
    if (!newest.isAvailable) {
      const pauseMs = STORE_RETRY_DELAY_MS * (1 + Math.random());
      this.#nextCheckMs = performance.now() + pauseMs;
      return;
    }
    const status = isSilent || this.#isSuccessorLate(newest)
      ? await this.#joinCoordinator(newest.record)
      : CoordinatorStatus.Heard;
    if (status === CoordinatorStatus.Joined) return;
    const facts = { status, newest, storeLatencyMs };
    const isWarranted = await this.#claimer.isWarranted(facts);
    if (isWarranted && !this.#hasStopped) await this.#claim(newest);
  }

  /**
   * Returns whether the record names another coordinator than the one that is
   * heard, and it should have reached this router by now.
   */
  #isSuccessorLate({ record }: NewestRecord): boolean {
    return record !== undefined && !this.#isFollowed(record.coordinator) &&
      this.#records.coordinatorKnownMs >= FIRST_HEARTBEAT_GRACE_MS;
  }

  #isFollowed({ node, incarnation }: RouterRef): boolean {
    return this.#coordinator?.node === node &&
      this.#coordinator.incarnation === incarnation;
  }

  #isCoordinatorHeard(): boolean {
    return performance.now() - this.#coordinatorHeardAt <
      COORDINATOR_TIMEOUT_MS;
  }

  async #readRecord(): Promise<NewestRecord> {
    const newest = await this.#records.read();
    const { record, offset } = newest;
    if (record && offset !== undefined) this.#applyRecord(record, offset);
    return newest;
  }

  /** Takes the owners from the record while no coordinator sends them. */
  #applyRecord(record: OwnershipRecord, offset: number): void {
    if (this.#isCoordinatorHeard()) return;
    this.#receiver.applyRecordOwners(offset, record);
    this.#setRouterCount(Math.max(1, record.routers.length));
  }

  #setRouterCount(count: number): void {
    this.#routerCount = count;
    this.#routerCounts.record(count, performance.now());
  }

  /** Asks the coordinator that a record names to add this router. */
  async #joinCoordinator(
    record: OwnershipRecord | undefined,
  ): Promise<CoordinatorStatus> {
    if (!record || record.resigned) return CoordinatorStatus.Ended;
    const { coordinator } = record;
    const { self } = this.#options;
    if (coordinator.node === self.node) return CoordinatorStatus.Ended;
    try {
      const answer = await callPeer(coordinator.address, {
        method: PeerMethod.Join,
        params: self,
        decode: decodeJoinReply,
      });
      // A router that declines left this record in a term that has ended.
      return answer.accepted
        ? CoordinatorStatus.Joined
        : CoordinatorStatus.Ended;
    } catch (error) {
      if (!(error instanceof PeerError)) throw error;
      this.#options.log.record("coordinatorSilent", {
        router: coordinator.node,
        problem: error.message,
      });
      return error.kind === PeerErrorKind.Refused
        ? CoordinatorStatus.Refused
        : CoordinatorStatus.Silent;
    }
  }

  async #claim(newest: NewestRecord): Promise<void> {
    const claim = await this.#claimer.claim(newest);
    if (!claim || this.#hasStopped) return;
    this.#term = claim.term;
    this.#coordinatorHeardAt = -Infinity;
    this.#localCoordinator = this.#options.createCoordinator(claim);
    this.#localCoordinator.start();
  }

  /** Called by the coordinator of this process when its term is renewed. */
  renewTerm(term: number): void {
    this.#term = Math.max(this.#term, term);
  }

  /** Called by the coordinator of this process when its term has ended. */
  endTerm(): void {
    this.#localCoordinator = undefined;
    this.#coordinatorHeardAt = performance.now();
    // What an earlier coordinator said is no reason to replace the next one.
    this.#coordinatorServersAgeMs = 0;
  }
}

/** Makes the reply of a coordinator, or of another router without a grant. */
function makePermitReply(grant: PermitGrant | undefined): PermitReply {
  return grant
    ? { accepted: true, ...grant }
    : { accepted: false, granted: 0, waitMs: 0 };
}
