/** Key ranges, their owners, and how they change. @module */

/** One life of a backend server. */
export interface ServerLife {
  readonly id: string;
  /** Start of the life, Unix ms. */
  readonly born: number;
}

/** A server that had a range before and may still hold it. */
export interface FormerOwner extends ServerLife {
  /** Fencing token under which it was granted the range. */
  readonly fence: number;
  /** Monotonic time, ms, after which its lease has certainly ended. */
  readonly heldUntilMs: number;
}

/** A range of keys with one owner. */
export interface Assignment {
  /** First key. */
  readonly from: number;
  /** Last key. */
  readonly to: number;
  readonly owner?: ServerLife;
  /** Fencing token; 0 if there never was an owner. */
  readonly fence: number;
  /** Servers that have to let go before the owner may be granted the range. */
  readonly former: readonly FormerOwner[];
  /** Whether the owner has accepted a grant. */
  readonly granted: boolean;
  /** Monotonic time, ms, after which the owner's lease has ended. */
  readonly heldUntilMs: number;
  /** Token with which the last owner passes its warm state on. */
  readonly handover?: string;
  /** Monotonic time of the last change of the owner, ms. */
  readonly changedAtMs: number;
}

/** Gives the keys of a range to a server. */
export interface OwnerChange {
  readonly from: number;
  readonly to: number;
  readonly owner: ServerLife;
}

/** Facts that decide whether a former owner has to let go. */
export interface ChangeContext {
  readonly nowMs: number;
  /** Fencing token of the change, above all earlier ones. */
  readonly fence: number;
  /** Whether the server may still hold the range, in spite of its times. */
  readonly mayHold: (life: ServerLife, assignment: Assignment) => boolean;
  /** Monotonic time by which a lease has ended, ms. */
  readonly getHoldEnd: (lease: Lease) => number;
}

/** A lease as far as the coordinator knows it. */
export interface Lease {
  readonly fence: number;
  readonly heldUntilMs: number;
}

/** Returns whether both are the same life of the same server. */
export function isSameLife(a?: ServerLife, b?: ServerLife): boolean {
  return a !== undefined && b !== undefined && a.id === b.id &&
    a.born === b.born;
}

/** Joins neighbours that are one range by now: same owner, same token. */
export function joinNeighbours(
  assignments: readonly Assignment[],
): readonly Assignment[] {
  const joined: Assignment[] = [];
  for (const next of assignments) {
    const last = joined.at(-1);
    if (last && isOneRange(last, next)) {
      joined[joined.length - 1] = {
        ...last,
        to: next.to,
        heldUntilMs: Math.max(last.heldUntilMs, next.heldUntilMs),
        changedAtMs: Math.max(last.changedAtMs, next.changedAtMs),
      };
    } else {
      joined.push(next);
    }
  }
  return joined;
}

function isOneRange(a: Assignment, b: Assignment): boolean {
  return a.to + 1 === b.from && a.fence === b.fence && a.granted && b.granted &&
    isSameLife(a.owner, b.owner) && a.former.length === 0 &&
    b.former.length === 0;
}

/** Applies changes; ranges are cut where a change covers a part of them. */
export function applyChanges(
  assignments: readonly Assignment[],
  changes: readonly OwnerChange[],
  context: ChangeContext,
): readonly Assignment[] {
  return changes.reduce(
    (list, change) => list.flatMap((a) => applyChange(a, change, context)),
    assignments,
  );
}

function applyChange(
  assignment: Assignment,
  change: OwnerChange,
  context: ChangeContext,
): readonly Assignment[] {
  const from = Math.max(assignment.from, change.from);
  const to = Math.min(assignment.to, change.to);
  if (from > to) return [assignment];
  const parts: Assignment[] = [];
  if (assignment.from < from) parts.push({ ...assignment, to: from - 1 });
  parts.push(changeOwner({ ...assignment, from, to }, change.owner, context));
  if (assignment.to > to) parts.push({ ...assignment, from: to + 1 });
  return parts;
}

function changeOwner(
  assignment: Assignment,
  owner: ServerLife,
  context: ChangeContext,
): Assignment {
  const { handover: _, ...rest } = assignment;
  const stays = isSameLife(assignment.owner, owner);
  return {
    ...rest,
    owner,
    fence: context.fence,
    former: listFormer(assignment, owner, context),
    // Its last grant counts until the one under the new token has arrived.
    granted: stays && assignment.granted,
    heldUntilMs: computeHeldUntil(assignment, owner, context),
    changedAtMs: stays ? assignment.changedAtMs : context.nowMs,
  };
}

/** A server that gets a range back does not have to let go of it. */
function listFormer(
  assignment: Assignment,
  owner: ServerLife,
  { mayHold }: ChangeContext,
): readonly FormerOwner[] {
  const { owner: last, fence, heldUntilMs } = assignment;
  const former = [...assignment.former];
  if (last && mayHold(last, assignment)) {
    former.push({ id: last.id, born: last.born, fence, heldUntilMs });
  }
  return former.filter((f) => !isSameLife(f, owner));
}

/** The leases that the next owner has from before go on. */
function computeHeldUntil(
  assignment: Assignment,
  owner: ServerLife,
  { getHoldEnd }: ChangeContext,
): number {
  const leases: Lease[] = assignment.former.filter((f) => isSameLife(f, owner));
  if (isSameLife(assignment.owner, owner)) leases.push(assignment);
  return leases.reduce((until, l) => Math.max(until, getHoldEnd(l)), 0);
}
