/** The coordinator's link to one other router. @module */
import type { LeaseMessage, NoticeReport } from "@jaytiller/placement";
import type { OwnerTable, RouterRef } from "@jaytiller/ranges";
import type { ServerView } from "@jaytiller/routing";
import {
  AdmissionSender,
  type PublishedAdmission,
} from "./admission_messages.js";
import type { ColdBeatFields } from "./cold_messages.js";
import {
  type Heartbeat,
  type HeartbeatReply,
  PeerMethod,
} from "./peer_messages.js";
import { decodeHeartbeatReply } from "./peer_decoding.js";
import { describeEvacuations } from "./evacuation_updates.js";
import type { StateChanges } from "./state_changes.js";
import type { ClusterState } from "./cluster_state.js";
import { PeerLink } from "./peer_link.js";

/** State from which the heartbeats to all routers are made. */
export interface HeartbeatContext {
  readonly term: number;
  readonly coordinator: RouterRef;
  /** Number of routers. */
  readonly routers: number;
  readonly cluster: ClusterState;
  readonly changes: StateChanges;
  readonly nowMs: number;
  /** Shares of overloaded owners and services; absent if there are none. */
  readonly admission?: PublishedAdmission;
  /** Fingerprints of requests that crash servers. */
  readonly barred: readonly string[];
  /** What servers said about themselves. */
  readonly notices: readonly NoticeReport[];
  /** Fields about cold servers; absent if there are none. */
  readonly cold?: ColdBeatFields;
  /** Makes the fields about a router's capacity leases. */
  readonly makeLeases?: (router: RouterRef) => LeaseMessage | undefined;
}

/** State that one heartbeat carried, as the base of later changes. */
interface SentState {
  readonly number: number;
  readonly servers: ServerView;
  readonly owners: ReadonlyMap<string, OwnerTable>;
}

/** Number of no state that a router has: changes to it are not applied. */
const UNKNOWN_STATE = Number.MAX_SAFE_INTEGER;

/** Sends heartbeats to a router and tracks the state that it acknowledged. */
export class MemberLink {
  readonly router: RouterRef;
  readonly #link: PeerLink;
  #acknowledged: SentState | undefined;
  #version = 0;
  #lastNumber = 0;
  #isSending = false;
  #hasReplied = false;
  readonly #admission = new AdmissionSender();

  constructor(router: RouterRef) {
    this.router = router;
    this.#link = new PeerLink(router.address);
  }

  get isSending(): boolean {
    return this.#isSending;
  }

  /** Version of the router's configuration, by its last reply. */
  get version(): number {
    return this.#version;
  }

  /** Whether the router replied to the last heartbeat on this connection. */
  get hasReplied(): boolean {
    return this.#hasReplied;
  }

  /**
   * Returns whether the router needs the whole state or a configuration. Such a
   * heartbeat may have hundreds of kilobytes.
   */
  needsState({ cluster: { routes } }: HeartbeatContext): boolean {
    return !this.#acknowledged ||
      routes !== undefined && routes.version > this.#version;
  }

  /**
   * Sends a heartbeat. Rejects with a `PeerError`. Without `isStateIncluded` it
   * says that the coordinator runs, and confirms none of the router's views that
   * may be old.
   */
  async send(
    context: HeartbeatContext,
    isStateIncluded = true,
  ): Promise<HeartbeatReply> {
    this.#isSending = true;
    try {
      const { beat, sent } = this.#makeHeartbeat(context, isStateIncluded);
      const answer = await this.#link.call(
        PeerMethod.Beat,
        beat,
        decodeHeartbeatReply,
      );
      const isApplied = sent !== undefined &&
        answer.serversNumber === sent.number &&
        answer.ownersNumber === sent.number;
      this.#acknowledged = isApplied ? sent : undefined;
      this.#version = answer.version;
      this.#hasReplied = true;
      return answer;
    } catch (error) {
      this.#acknowledged = undefined;
      this.#hasReplied = false;
      this.#admission.reset();
      throw error;
    } finally {
      this.#isSending = false;
    }
  }

  close(): void {
    this.#link.close();
  }

  #makeHeartbeat(
    context: HeartbeatContext,
    isStateIncluded: boolean,
  ): { beat: Heartbeat; sent: SentState | undefined } {
    const { cluster, nowMs, barred, notices } = context;
    const { servers, routes } = cluster;
    const isConfigurationSent = isStateIncluded && routes &&
      routes.version > this.#version;
    const isWithheld = !isStateIncluded && !this.#acknowledged;
    const { sent, fields } = isWithheld
      ? makeWithheldState()
      : this.#makeState(context);
    const beat: Heartbeat = {
      term: context.term,
      coordinator: context.coordinator,
      routers: context.routers,
      ...(routes ? { configurationVersion: routes.version } : {}),
      configurationAgeMs: Math.round(nowMs - cluster.routesConfirmedAt),
      serversAgeMs: Math.round(nowMs - cluster.serversConfirmedAt),
      serversPosition: servers.position,
      ...(context.admission
        ? this.#admission.makeFields(context.admission, nowMs)
        : {}),
      ...(barred.length > 0 ? { barred } : {}),
      ...(notices.length > 0 ? { notices } : {}),
      ...describeEvacuations(cluster.evacuations, nowMs),
      ...context.cold,
      ...context.makeLeases?.(this.router),
      ...(isConfigurationSent ? { configuration: routes.configuration } : {}),
      ...fields,
    };
    return { beat, sent };
  }

  /** Makes the changes of servers and owners since the acknowledged state. */
  #makeState({ cluster, changes }: HeartbeatContext): HeartbeatState {
    const { servers, owners } = cluster;
    const acknowledged = this.#acknowledged;
    const hasChanges = !acknowledged || acknowledged.servers !== servers ||
      acknowledged.owners !== owners;
    const number = hasChanges ? this.#lastNumber += 1 : acknowledged.number;
    const sent: SentState = { number, servers, owners };
    if (!hasChanges) return { sent, fields: {} };
    const base = acknowledged?.number ?? 0;
    return {
      sent,
      fields: {
        servers: {
          base,
          number,
          items: changes.listServers(acknowledged?.servers),
        },
        owners: {
          base,
          number,
          items: changes.listOwners(acknowledged?.owners),
        },
      },
    };
  }
}

/** Servers and owners in a heartbeat, and what a reply may acknowledge. */
interface HeartbeatState {
  readonly sent: SentState | undefined;
  readonly fields: Pick<Heartbeat, "servers" | "owners">;
}

/** A heartbeat without a list of servers would confirm the router's own. */
function makeWithheldState(): HeartbeatState {
  const servers = { base: UNKNOWN_STATE, number: UNKNOWN_STATE, items: [] };
  return { sent: undefined, fields: { servers } };
}
