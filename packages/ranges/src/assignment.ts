/** Key ranges, their owners, and the rules for changing an owner. @module */

/** One run of a backend server's process; a restart begins another. */
export interface ServerIncarnation {
  readonly id: string;
  /** Start time of the process, Unix ms. */
  readonly born: number;
}

/** A previous owner of a range whose lease may still be valid. */
export interface FormerOwner extends ServerIncarnation {
  /** Fencing token of the grant that the server received. */
  readonly fence: number;
  /** Monotonic time, ms, after which its lease is certain to have expired. */
  readonly leaseExpiryMs: number;
}

/** A key range and its owner. */
export interface Assignment {
  /** First key of the range. */
  readonly from: number;
  /** Last key of the range, inclusive. */
  readonly to: number;
  readonly owner?: ServerIncarnation;
  /** Fencing token; 0 if the range has never had an owner. */
  readonly fence: number;
  /**
   * Previous owners. Each must release the range, or its lease must expire,
   * before the range is granted to `owner`.
   */
  readonly former: readonly FormerOwner[];
  /** Whether the owner has accepted a grant. */
  readonly granted: boolean;
  /** Monotonic time, ms, after which the owner's lease has expired. */
  readonly leaseExpiryMs: number;
  /**
   * Token by which the new owner takes over the previous owner's warm state.
   */
  readonly handover?: string;
  /** Monotonic time of the last owner change, ms. */
  readonly changedAtMs: number;
}

/** Assigns the keys of a range to a server. */
export interface OwnerChange {
  readonly from: number;
  readonly to: number;
  readonly owner: ServerIncarnation;
}

/** Determines which previous owners must release a range first. */
export interface ChangeContext {
  readonly nowMs: number;
  /** Fencing token of the change; higher than all earlier tokens. */
  readonly fence: number;
  /**
   * Returns whether the server may still hold a lease on the range. A grant
   * that is in flight counts, even if the recorded lease has expired.
   */
  readonly mayHoldLease: (
    life: ServerIncarnation,
    assignment: Assignment,
  ) => boolean;
  /** Returns the monotonic time by which a lease has expired, ms. */
  readonly getLeaseExpiryMs: (lease: Lease) => number;
}

/** The coordinator's knowledge of a lease. */
export interface Lease {
  readonly fence: number;
  readonly leaseExpiryMs: number;
}

/** Returns whether the present owner has had a range to itself for a time. */
export function isStable(
  { granted, former, changedAtMs }: Assignment,
  { nowMs, minStableMs }: { nowMs: number; minStableMs: number },
): boolean {
  return granted && former.length === 0 && nowMs - changedAtMs >= minStableMs;
}

/** Returns whether both are the same run of the same server. */
export function isSameIncarnation(
  a?: ServerIncarnation,
  b?: ServerIncarnation,
): boolean {
  return a !== undefined && b !== undefined && a.id === b.id &&
    a.born === b.born;
}

/**
 * Merges adjacent granted ranges that have the same owner and fencing token.
 */
export function mergeAdjacentRanges(
  assignments: readonly Assignment[],
): readonly Assignment[] {
  const joined: Assignment[] = [];
  for (const next of assignments) {
    const last = joined.at(-1);
    if (last && isMergeable(last, next)) {
      joined[joined.length - 1] = {
        ...last,
        to: next.to,
        leaseExpiryMs: Math.max(last.leaseExpiryMs, next.leaseExpiryMs),
        changedAtMs: Math.max(last.changedAtMs, next.changedAtMs),
      };
    } else {
      joined.push(next);
    }
  }
  return joined;
}

function isMergeable(a: Assignment, b: Assignment): boolean {
  return a.to + 1 === b.from && a.fence === b.fence && a.granted && b.granted &&
    isSameIncarnation(a.owner, b.owner) && a.former.length === 0 &&
    b.former.length === 0;
}

/**
 * Applies changes in order; splits ranges that a change covers only in part.
 */
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
  owner: ServerIncarnation,
  context: ChangeContext,
): Assignment {
  const { handover: _, ...rest } = assignment;
  const isSameOwner = isSameIncarnation(assignment.owner, owner);
  return {
    ...rest,
    owner,
    fence: context.fence,
    former: listFormerOwners(assignment, owner, context),
    // An unchanged owner serves under its old token until the new grant
    // arrives.
    granted: isSameOwner && assignment.granted,
    leaseExpiryMs: computeLeaseExpiryMs(assignment, owner, context),
    changedAtMs: isSameOwner ? assignment.changedAtMs : context.nowMs,
  };
}

/**
 * Lists the servers that must release the range before `owner` gets it. A
 * server that gets a range back does not have to release it.
 */
function listFormerOwners(
  assignment: Assignment,
  owner: ServerIncarnation,
  { mayHoldLease }: ChangeContext,
): readonly FormerOwner[] {
  const { owner: last, fence, leaseExpiryMs } = assignment;
  const former = [...assignment.former];
  if (last && mayHoldLease(last, assignment)) {
    former.push({ id: last.id, born: last.born, fence, leaseExpiryMs });
  }
  return former.filter((f) => !isSameIncarnation(f, owner));
}

/**
 * Returns when the new owner's lease expires. Leases that it already has on the
 * range remain valid.
 */
function computeLeaseExpiryMs(
  assignment: Assignment,
  owner: ServerIncarnation,
  { getLeaseExpiryMs }: ChangeContext,
): number {
  const leases: Lease[] = assignment.former.filter((f) =>
    isSameIncarnation(f, owner)
  );
  if (isSameIncarnation(assignment.owner, owner)) leases.push(assignment);
  return leases.reduce((until, l) => Math.max(until, getLeaseExpiryMs(l)), 0);
}
