/**
 * Decides whether a router may follow the coordinator that a record names.
 *
 * Fault pattern: the coordinator has ended, stands still, or only seems to: a
 * link or a whole zone is cut, with or without resets. Routers of a zone that
 * is cut off hear nobody elsewhere; if they claimed, the other zones would
 * claim in their turn, again and again.
 * @module
 */
import type { RouterRef } from "@jaytiller/ranges";
import { RECORD_REFRESH_MS, SILENT_MS } from "./timing.js";

/** What a router knows of the coordinator that the newest record names. */
export enum Presence {
  Heard = "heard",
  /** It has just taken this router in. */
  Joined = "joined",
  /** It does not lead any more, by the record or by its own answer. */
  Ended = "ended",
  /** Nobody listens at its address, or its link is cut with resets. */
  Refused = "refused",
  Silent = "silent",
}

/** A router that was asked how long it has not heard of the coordinator. */
export interface Witness {
  readonly router: RouterRef;
  /** Absent if the router did not answer. */
  readonly silentMs?: number;
}

/** What the decision is made from. */
export interface ClaimFacts {
  readonly self: RouterRef;
  readonly coordinator: RouterRef;
  readonly presence: Presence.Refused | Presence.Silent;
  readonly witnesses: readonly Witness[];
  /** Time for which the record has not changed, as far as it was seen, ms. */
  readonly unchangedMs: number;
}

/** Witnesses notice a silence up to this share of it later. */
const SILENT_SHARE = 0.8;
/** A coordinator that lives writes its record anew more often than this. */
const OLD_RECORD_MS = 1.5 * RECORD_REFRESH_MS;
const MAX_WITNESSES = 4;

/** Chooses whom to ask, routers of other zones first; `random`: 0 to 1. */
export function chooseWitnesses(
  routers: readonly RouterRef[],
  options: {
    self: RouterRef;
    coordinator: RouterRef | undefined;
    random: () => number;
  },
): readonly RouterRef[] {
  const { self, coordinator, random } = options;
  const others = routers
    .filter((r) => r.node !== self.node && r.node !== coordinator?.node)
    .map((router) => ({ router, at: random() }))
    .sort((a, b) => a.at - b.at)
    .map(({ router }) => router);
  const far = others.filter((r) => r.zone !== self.zone);
  const near = others.filter((r) => r.zone === self.zone);
  return [...far.slice(0, MAX_WITNESSES - 1), ...near].slice(0, MAX_WITNESSES);
}

/** Whether the router may claim to be the coordinator. */
export function mayFollow(facts: ClaimFacts): boolean {
  if (isCutOff(facts)) return facts.unchangedMs > OLD_RECORD_MS;
  if (facts.presence === Presence.Refused) return true;
  const silences = facts.witnesses
    .flatMap((w) => w.silentMs === undefined ? [] : [w.silentMs]);
  if (silences.length === 0) return facts.unchangedMs > OLD_RECORD_MS;
  return silences.every((ms) => ms > SILENT_SHARE * SILENT_MS);
}

/** Whether no router outside of this one's zone can be reached. */
function isCutOff({ self, coordinator, witnesses }: ClaimFacts): boolean {
  const far = witnesses.filter((w) => w.router.zone !== self.zone);
  return coordinator.zone !== self.zone && far.length > 0 &&
    far.every((w) => w.silentMs === undefined);
}
