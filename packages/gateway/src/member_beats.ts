/** Beats to all other routers: regular ones, and at once with news. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { RouterRef } from "@jaytiller/ranges";
import type { BeatAnswer } from "./beat.js";
import { type BeatContext, MemberLink } from "./member_link.js";
import { PeerFailure } from "./peer_link.js";
import { BEAT_MS } from "./timing.js";

/** A router that does not answer is asked again after this time, ms. */
const LOST_RETRY_MS = 500;

interface Member {
  readonly link: MemberLink;
  nextMs: number;
  isLost: boolean;
}

/** What the beats work with. */
export interface MemberBeatsOptions {
  readonly log: EventLog;
  /** What the next beat says. */
  readonly makeContext: () => BeatContext;
  /** `router`: as the coordinator knows the router that has answered. */
  readonly onAnswer: (answer: BeatAnswer, router: RouterRef) => void;
}

/** The coordinator's connections to the other routers. */
export class MemberBeats {
  readonly #options: MemberBeatsOptions;
  readonly #members = new Map<string, Member>();
  #isScheduled = false;
  #hasEnded = false;

  constructor(options: MemberBeatsOptions) {
    this.#options = options;
  }

  /** Adds a router, or a new start of a known one. */
  add(router: RouterRef): void {
    this.#members.get(router.node)?.link.close();
    const link = new MemberLink(router);
    this.#members.set(router.node, { link, nextMs: 0, isLost: false });
  }

  /** Sends the beats that are due. */
  tick(): void {
    const nowMs = performance.now();
    for (const member of this.#members.values()) {
      if (nowMs >= member.nextMs) this.#send(member);
    }
  }

  /** Sends news to all routers, once for all news of this turn. */
  notifyAll(): void {
    for (const member of this.#members.values()) {
      if (!member.isLost) member.nextMs = 0;
    }
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.tick();
    });
  }

  end(): void {
    this.#hasEnded = true;
    for (const { link } of this.#members.values()) link.close();
  }

  #send(member: Member): void {
    if (member.link.isBusy || this.#hasEnded) return;
    member.nextMs = performance.now() + BEAT_MS;
    member.link.send(this.#options.makeContext()).then(
      (answer) => {
        this.#setLost(member, false);
        this.#options.onAnswer(answer, member.link.router);
      },
      (error: unknown) => {
        if (!(error instanceof PeerFailure)) throw error;
        this.#setLost(member, true, error);
      },
    );
  }

  #setLost(member: Member, isLost: boolean, failure?: PeerFailure): void {
    if (isLost) member.nextMs = performance.now() + LOST_RETRY_MS;
    if (member.isLost === isLost) return;
    member.isLost = isLost;
    this.#options.log.record(isLost ? "routerLost" : "routerRegained", {
      router: member.link.router.node,
      problem: failure?.message,
    });
  }
}
