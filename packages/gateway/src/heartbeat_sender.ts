/** Sends heartbeats to other routers periodically and on changes. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { RouterRef } from "@jaytiller/ranges";
import type { HeartbeatReply } from "./peer_messages.js";
import { type HeartbeatContext, MemberLink } from "./member_link.js";
import { PeerError } from "./peer_link.js";
import { HEARTBEAT_INTERVAL_MS } from "./timing.js";

/** Delay until the next heartbeat to a router that did not reply, ms. */
const RETRY_DELAY_MS = 500;

/**
 * Largest number of heartbeats in progress that carry a whole state. With 88 at
 * once, all took longer than a call may, and were sent again without end.
 */
const MAX_STATE_TRANSFERS = 4;

interface MemberState {
  readonly link: MemberLink;
  nextSendMs: number;
  isLost: boolean;
  /** Monotonic time of its last reply, or of its addition, ms. */
  heardMs: number;
}

/** Dependencies of a heartbeat sender. */
export interface HeartbeatSenderOptions {
  readonly log: EventLog;
  /** Returns the content of the next heartbeats. */
  readonly makeContext: () => HeartbeatContext;
  /** Called on a reply to a heartbeat. */
  readonly onAnswer: (answer: HeartbeatReply, sent: SentHeartbeat) => void;
}

/** A heartbeat that got a reply. */
export interface SentHeartbeat {
  readonly recipient: RouterRef;
  /** Monotonic time at which it was sent, ms. */
  readonly atMs: number;
}

/** Maintains the coordinator's links to the other routers. */
export class HeartbeatSender {
  readonly #options: HeartbeatSenderOptions;
  readonly #members = new Map<string, MemberState>();
  /** Members whose last heartbeat left out the state that they need. */
  readonly #waiting = new Set<MemberState>();
  #transfers = 0;
  #isFlushScheduled = false;
  #hasEnded = false;

  constructor(options: HeartbeatSenderOptions) {
    this.#options = options;
  }

  /**
   * Adds a router, or replaces a known one that has restarted. One that is known
   * keeps its connection: routers ask to be added until a heartbeat arrives, and
   * the first one, with the whole state, may take longer than they wait.
   */
  add(router: RouterRef): void {
    const known = this.#members.get(router.node);
    if (known && isSameProcess(known.link.router, router)) {
      known.nextSendMs = 0;
      known.heardMs = performance.now();
      return;
    }
    if (known) this.#waiting.delete(known);
    known?.link.close();
    const link = new MemberLink(router);
    this.#members.set(router.node, {
      link,
      nextSendMs: 0,
      isLost: false,
      heardMs: performance.now(),
    });
  }

  /** Removes routers without a reply for `silentMs`; returns their nodes. */
  removeSilent(silentMs: number): readonly string[] {
    const sinceMs = performance.now() - silentMs;
    const silent = [...this.#members].filter(([, m]) => m.heardMs < sinceMs);
    for (const [node, member] of silent) {
      member.link.close();
      this.#waiting.delete(member);
      this.#members.delete(node);
    }
    return silent.map(([node]) => node);
  }

  /** Sends the heartbeats that are due. */
  tick(): void {
    if (this.#hasEnded) return;
    const nowMs = performance.now();
    const due = [...this.#members.values()].filter((m) =>
      nowMs >= m.nextSendMs && !m.link.isSending
    );
    if (due.length === 0) return;
    const context = this.#options.makeContext();
    for (const member of due) this.#send(member, context);
  }

  /** Sends changes to all reachable routers, once per event-loop turn. */
  notifyAll(): void {
    for (const member of this.#members.values()) {
      if (!member.isLost) member.nextSendMs = 0;
    }
    this.#flush();
  }

  #flush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      this.tick();
    });
  }

  end(): void {
    this.#hasEnded = true;
    for (const { link } of this.#members.values()) link.close();
  }

  /**
   * Sends a heartbeat. The state that a member needs is sent once it has replied,
   * as those that are cut off would keep the others waiting, and in turn.
   */
  #send(member: MemberState, context: HeartbeatContext): void {
    const { link } = member;
    member.nextSendMs = context.nowMs + HEARTBEAT_INTERVAL_MS;
    const isTransfer = link.needsState(context);
    const isStateIncluded = !isTransfer ||
      link.hasReplied && this.#transfers < MAX_STATE_TRANSFERS;
    if (isStateIncluded) this.#waiting.delete(member);
    else this.#waiting.add(member);
    const counted = isTransfer && isStateIncluded ? 1 : 0;
    this.#transfers += counted;
    link.send(context, isStateIncluded).then(
      (answer) => {
        member.heardMs = performance.now();
        this.#setLost(member, false);
        this.#options.onAnswer(answer, {
          recipient: link.router,
          atMs: context.nowMs,
        });
      },
      (error: unknown) => {
        if (!(error instanceof PeerError)) throw error;
        this.#waiting.delete(member);
        this.#setLost(member, true, error);
      },
    ).finally(() => {
      this.#transfers -= counted;
      this.#startTransfers();
    });
  }

  /** Makes the heartbeats of waiting members due for which there is room. */
  #startTransfers(): void {
    let room = MAX_STATE_TRANSFERS - this.#transfers;
    for (const member of this.#waiting) {
      if (room <= 0) break;
      if (member.link.isSending) continue;
      member.nextSendMs = 0;
      room -= 1;
      this.#flush();
    }
  }

  #setLost(member: MemberState, isLost: boolean, error?: PeerError): void {
    if (isLost) member.nextSendMs = performance.now() + RETRY_DELAY_MS;
    if (member.isLost === isLost) return;
    member.isLost = isLost;
    this.#options.log.record(isLost ? "routerLost" : "routerRegained", {
      router: member.link.router.node,
      problem: error?.message,
    });
  }
}

function isSameProcess(a: RouterRef, b: RouterRef): boolean {
  return a.incarnation === b.incarnation && a.address === b.address;
}
