/** Decides whether to claim the coordinator role, and claims it. @module */
import type { EventLog } from "@jaytiller/kernel";
import {
  encodeRecord,
  getEra,
  listPredecessors,
  type OwnershipRecord,
  type RouterRef,
} from "@jaytiller/ranges";
import {
  choosePeersToAsk,
  CoordinatorStatus,
  isClaimAllowed,
  isNewCoordinator,
  type PeerReport,
} from "./claim_decision.js";
import { decodeSilenceReply } from "./peer_decoding.js";
import { callPeer, PeerError } from "./peer_link.js";
import { PeerMethod } from "./peer_messages.js";
import { type PlatformStore, StoreEnd } from "./ports.js";
import type { NewestRecord, RecordReader } from "./record_reader.js";
import { sleep } from "./sleep.js";
import {
  COORDINATOR_STORE_TIMEOUT_MS,
  STORE_RETRY_DELAY_MS,
} from "./timing.js";

/** The claim that made this router the coordinator. */
export interface Claim {
  /** Position of the claim record. */
  readonly term: number;
  /** Monotonic time at which the claim was sent, ms. */
  readonly sentMs: number;
  /** The preceding record, if there was one. */
  readonly inherited?: OwnershipRecord;
  /**
   * Time since the claim after which records were lost, ms; absent if the
   * preceding record names all grants.
   */
  readonly incompleteMs?: number;
}

/** Dependencies of a claimer. */
export interface CoordinatorClaimerOptions {
  readonly self: RouterRef;
  readonly store: PlatformStore;
  readonly log: EventLog;
  readonly records: RecordReader;
  /** Returns whether the coordinator sends heartbeats to this router. */
  readonly isCoordinatorHeard: () => boolean;
  /** Returns the age of the server view in the last heartbeat, ms. */
  readonly getCoordinatorServersAgeMs: () => number;
  /** Returns whether a router is the coordinator that this one follows. */
  readonly isFollowed: (coordinator: RouterRef) => boolean;
  /** Returns the term that this router follows. */
  readonly getTerm: () => number;
}

/** What is known of the coordinator when a claim is considered. */
export interface ClaimFacts {
  readonly status: CoordinatorStatus;
  readonly newest: NewestRecord;
  /** Time that this router's own reads of the store took, ms. */
  readonly storeLatencyMs: number;
}

/** Delay of a claim for each preceding candidate, ms. */
const CLAIM_DELAY_MS = 60;
/**
 * Largest number of preceding candidates for which a claim is delayed. The
 * others have usually heard from the first candidate by then: its heartbeats
 * take up to a second to reach hundreds of routers.
 */
const MAX_CLAIM_RANK = 20;
/** The same for routers that the newest record does not name, by their cores. */
const MAX_UNNAMED_RANK = 8;
/**
 * Time that a coordinator which can still be heard gets to claim again after
 * the store was restored, ms. It needs a reply of the store, which takes up to
 * 1.5 s when the store is slow, and 3 s at most for a majority.
 */
const ERA_CLAIM_GRACE_MS = 5_000;
/** Store latency up to which this router may replace the coordinator, ms. */
const MAX_STORE_LATENCY_MS = 400;

/** Decides on a claim of the coordinator role and writes its record. */
export class CoordinatorClaimer {
  readonly #options: CoordinatorClaimerOptions;
  /** Incarnation of the last coordinator for which a claim was deferred. */
  #deferredFor = "";

  constructor(options: CoordinatorClaimerOptions) {
    this.#options = options;
  }

  /**
   * Returns whether this router should claim the coordinator role. A
   * coordinator that sends heartbeats is replaced if it has lost the store and
   * this router has not. An unreachable one is replaced if other routers do not
   * hear it either.
   */
  async isWarranted(
    { status, newest, storeLatencyMs }: ClaimFacts,
  ): Promise<boolean> {
    const { record } = newest;
    if (newest.incompleteMs !== undefined && record) {
      return this.#isWarrantedInNewEra(record, status);
    }
    if (status === CoordinatorStatus.Ended || !record) return true;
    const isFollowed = this.#options.isFollowed(record.coordinator);
    const knownMs = this.#options.records.coordinatorKnownMs;
    if (isNewCoordinator({ status, isFollowed, knownMs })) {
      this.#logDeferral(record.coordinator, { status, knownMs });
      return false;
    }
    if (
      status === CoordinatorStatus.Refused ||
      status === CoordinatorStatus.Silent
    ) {
      const earlierTerm = isFollowed ? undefined : this.#options.getTerm();
      return this.#isCoordinatorLost(record, status, earlierTerm);
    }
    const serversAgeMs = this.#options.getCoordinatorServersAgeMs();
    return serversAgeMs > COORDINATOR_STORE_TIMEOUT_MS &&
      storeLatencyMs < MAX_STORE_LATENCY_MS;
  }

  /** Logs once for each coordinator that it gets time to reach this router. */
  #logDeferral(
    { node, incarnation }: RouterRef,
    { status, knownMs }: { status: CoordinatorStatus; knownMs: number },
  ): void {
    if (this.#deferredFor === incarnation) return;
    this.#deferredFor = incarnation;
    this.#options.log.record("claimDeferred", {
      router: node,
      status,
      knownMs: Math.round(knownMs),
      serversAgeMs: Math.round(this.#options.getCoordinatorServersAgeMs()),
    });
  }

  /** Claims the role; returns `undefined` if another router has been faster. */
  async claim(newest: NewestRecord): Promise<Claim | undefined> {
    const {
      store,
      log,
      isCoordinatorHeard,
      getCoordinatorServersAgeMs,
    } = this.#options;
    const { record, position } = newest;
    const rank = this.#computeRank(record);
    if (rank > 0) {
      await sleep(rank * CLAIM_DELAY_MS * (0.7 + 0.6 * Math.random()));
    }
    if (
      isCoordinatorHeard() &&
      getCoordinatorServersAgeMs() < COORDINATOR_STORE_TIMEOUT_MS
    ) return undefined;
    const text = this.#makeText(newest);
    const sentMs = performance.now();
    const result = await store.appendOwnership(text, position);
    const isDone = result.end === StoreEnd.Done ||
      result.end === StoreEnd.Unknown && await this.#isWritten(text, position);
    log.record("claim", {
      position,
      end: result.end,
      isDone,
      problem: result.problem,
      ...pickIncompleteMs(newest),
      ms: Math.round(performance.now() - sentMs),
    });
    if (!isDone) return undefined;
    return {
      term: position,
      sentMs,
      ...pickIncompleteMs(newest),
      ...(record ? { inherited: record } : {}),
    };
  }

  /**
   * Returns whether this router should claim although it would have to withhold
   * grants. The coordinator of the lost records knows all of them, and gets the
   * time to claim again; the record in the store may name an earlier one.
   */
  async #isWarrantedInNewEra(
    record: OwnershipRecord,
    status: CoordinatorStatus,
  ): Promise<boolean> {
    if (status !== CoordinatorStatus.Heard) {
      return this.#isCoordinatorLost(record, CoordinatorStatus.Silent);
    }
    const { records, getCoordinatorServersAgeMs } = this.#options;
    return getCoordinatorServersAgeMs() > COORDINATOR_STORE_TIMEOUT_MS &&
      records.unchangedMs > ERA_CLAIM_GRACE_MS;
  }

  async #isCoordinatorLost(
    { coordinator, routers }: OwnershipRecord,
    status: CoordinatorStatus.Refused | CoordinatorStatus.Silent,
    earlierTerm?: number,
  ): Promise<boolean> {
    const { self, records } = this.#options;
    const options = { self, coordinator, random: Math.random };
    const peers = choosePeersToAsk(routers, options);
    return isClaimAllowed({
      self,
      coordinator,
      status,
      peerReports: await Promise.all(peers.map(fetchPeerReport)),
      recordUnchangedMs: records.unchangedMs,
      ...(earlierTerm === undefined ? {} : { earlierTerm }),
    });
  }

  #makeText(newest: NewestRecord): string {
    const { self } = this.#options;
    const { record } = newest;
    const others = (record?.routers ?? []).filter((r) => r.node !== self.node);
    return encodeRecord({
      coordinator: self,
      resigned: false,
      needsMajority: true,
      routers: [...others, self],
      predecessors: record ? listPredecessors(record, self) : [],
      era: getEra(newest.position),
      ...pickIncompleteMs(newest),
      services: record?.services ?? {},
    });
  }

  async #isWritten(text: string, position: number): Promise<boolean> {
    await sleep(STORE_RETRY_DELAY_MS / 2);
    return this.#options.records.isWritten(text, position);
  }

  /**
   * Returns the position of this router in the order of claims. Routers with
   * the most cores claim first, because the coordinator's work grows with the
   * number of servers.
   */
  #computeRank(record: OwnershipRecord | undefined): number {
    const { self } = this.#options;
    const others = (record?.routers ?? [])
      .filter((r) => r.node !== record?.coordinator.node)
      .sort((a, b) => b.cores - a.cores || (a.node < b.node ? -1 : 1));
    const rank = others.findIndex((r) => r.node === self.node);
    if (rank >= 0) return Math.min(rank, MAX_CLAIM_RANK);
    return MAX_UNNAMED_RANK * (1 - Math.min(1, self.cores)) + Math.random();
  }
}

function pickIncompleteMs(
  { incompleteMs }: NewestRecord,
): { incompleteMs?: number } {
  return incompleteMs === undefined ? {} : { incompleteMs };
}

async function fetchPeerReport(router: RouterRef): Promise<PeerReport> {
  try {
    const { silentMs, term } = await callPeer(router.address, {
      method: PeerMethod.Silence,
      params: {},
      decode: decodeSilenceReply,
    });
    return { router, silentMs, term };
  } catch (error) {
    if (error instanceof PeerError) return { router };
    throw error;
  }
}
