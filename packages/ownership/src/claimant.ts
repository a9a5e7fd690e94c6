/** Claims a group that has no working holder. @module */
import { EventKind, rankNodes, RecordKind, type VmId } from "@jaytiller/model";
import type { Claim } from "@jaytiller/state";
import { type GroupEnvironment, isGroupServer } from "./holder_epoch.js";
import { ActionKind, type GroupContext } from "./messages.js";
import {
  APPEND_RETRY_MS,
  CLAIM_BACKOFF_MS,
  CLAIM_BACKOFF_WINDOW_MS,
  CLAIM_RANK_DELAY_MS,
  MAX_CLAIM_BACKOFF_MS,
} from "./timing.js";

/** Decides when this router claims the group and tracks its pending claim. */
export class Claimant {
  readonly #env: GroupEnvironment;
  #pendingClaim: { id: string; supersedes: number; sentAt: number } | undefined;
  #eligibleSince: number | undefined;
  /** Monotonic times at which one claim was seen to supersede another. */
  #replacementTimes: number[] = [];
  #lastTerm = -1;
  /** When the current claim was first seen. */
  #lastTermAt = -Infinity;

  constructor(env: GroupEnvironment) {
    this.#env = env;
  }

  /** Whether this router has appended a claim that is still undecided. */
  get isClaiming(): boolean {
    return this.#pendingClaim !== undefined;
  }

  /** Records the current claim of the group. */
  observeClaim(claim: Claim, ctx: GroupContext): void {
    const { node, atMs: claimedMs, term } = claim;
    const replaced = this.#lastTerm >= 0 && term !== this.#lastTerm;
    if (replaced) this.#replacementTimes.push(ctx.now);
    if (term !== this.#lastTerm) this.#lastTermAt = ctx.now;
    this.#lastTerm = term;
    this.#env.peers.recordHolder(node, { claimedMs, unixMs: ctx.unixMs });
  }

  /** Discards the pending claim because this router now holds the group. */
  clearPending(): void {
    this.#pendingClaim = undefined;
  }

  /** Restarts the delay before the next claim. */
  resetEligibility(): void {
    this.#eligibleSince = undefined;
  }

  handleAppendFailure(recordId: string): void {
    if (this.#pendingClaim?.id === recordId) this.#pendingClaim = undefined;
  }

  /** Returns whether the current claim is the one that this router appended. */
  hasWon(claim: Claim | undefined): claim is Claim {
    return claim !== undefined && claim.recordId === this.#pendingClaim?.id;
  }

  /** Whether the pending claim supersedes no earlier claim. */
  get isFirstClaim(): boolean {
    return (this.#pendingClaim?.supersedes ?? 0) < 0;
  }

  /**
   * Ends the pending claim if another one was read first, or appends it again
   * if it has not been read for `APPEND_RETRY_MS`.
   */
  checkPending(ctx: GroupContext, claim: Claim | undefined): void {
    const pending = this.#pendingClaim!;
    // The record was read but rejected, because another claim came before it.
    if (ctx.state.hasSeen(pending.id)) {
      const text = `${claim?.node} claimed the group first`;
      this.#env.recordEvent(EventKind.ClaimLost, text);
      this.#pendingClaim = undefined;
      this.#eligibleSince = undefined;
    } else if (ctx.now - pending.sentAt > APPEND_RETRY_MS) {
      pending.sentAt = ctx.now;
      this.#append(pending);
    }
  }

  /**
   * Claims the group if `holder` is not working. Each candidate waits according
   * to its rank, so that usually only one of them claims.
   */
  claimIfNeeded(
    ctx: GroupContext,
    { claim, holder }: { claim: Claim | undefined; holder: VmId | undefined },
  ): void {
    const { peers, self, group } = this.#env;
    const mayClaim = this.#isHolderNeeded(ctx, claim) && !ctx.stopping &&
      ctx.logFresh && !this.#isHolderAlive(holder, ctx);
    if (!mayClaim) {
      this.#eligibleSince = undefined;
      return;
    }
    this.#eligibleSince ??= ctx.now;
    const candidates = [self, ...peers.listReachable(ctx.now)]
      .filter((id) => id !== holder || id === self);
    const rank = rankNodes(group, candidates).indexOf(self);
    const delayMs = rank * CLAIM_RANK_DELAY_MS + this.#computeBackoff(ctx.now);
    if (ctx.now - this.#eligibleSince < delayMs) return;
    this.#pendingClaim = {
      id: this.#env.newId(),
      supersedes: claim?.term ?? -1,
      sentAt: ctx.now,
    };
    this.#append(this.#pendingClaim);
    const why = holder === undefined
      ? "it has no holder"
      : `${holder} is not responding`;
    this.#env.recordEvent(EventKind.ClaimAppended, `Claims the group: ${why}`);
  }

  #isHolderNeeded(ctx: GroupContext, claim: Claim | undefined): boolean {
    if (!ctx.state.getRoute(this.#env.service)) return false;
    return claim !== undefined ||
      ctx.vms.some((v) => isGroupServer(v, this.#env));
  }

  #isHolderAlive(holder: VmId | undefined, ctx: GroupContext): boolean {
    const { peers, self } = this.#env;
    if (holder === undefined || holder === self) return false;
    if (peers.isRemoved(holder)) return false;
    if (peers.isStopping(holder)) {
      return peers.isHandingOver(holder, ctx.now) &&
        !peers.isSuspected(holder, ctx.now);
    }
    // A new holder gets this long to send its first heartbeat.
    const { suspectAfterMs } = this.#env.timing;
    return ctx.now - this.#lastTermAt < suspectAfterMs ||
      !peers.isSuspected(holder, ctx.now);
  }

  /**
   * Returns the backoff while claims keep superseding each other. Without it,
   * routers that can read the log but cannot reach each other would supersede
   * each other forever.
   */
  #computeBackoff(now: number): number {
    const recent = this.#replacementTimes.filter((t) =>
      now - t < CLAIM_BACKOFF_WINDOW_MS
    );
    this.#replacementTimes = recent;
    if (recent.length < 2) return 0;
    const backoffMs = CLAIM_BACKOFF_MS * 2 ** (recent.length - 2);
    return Math.min(MAX_CLAIM_BACKOFF_MS, backoffMs);
  }

  #append({ id, supersedes }: { id: string; supersedes: number }) {
    const { group, emit } = this.#env;
    const kind = RecordKind.Claim;
    emit({
      kind: ActionKind.Append,
      record: { kind, id, group, supersedes },
    });
  }
}
