/** Differences between the current state and what routers have. @module */
import type { OwnerTable } from "@jaytiller/ranges";
import type { ServerChange, ServerView } from "@jaytiller/routing";
import type { ServiceOwnerRanges } from "./peer_messages.js";

type OwnerTables = ReadonlyMap<string, OwnerTable>;

/**
 * Lists the changes from older states to one newer state. Most routers have the
 * same older state, so each list is computed once.
 */
export class StateChanges {
  readonly #servers: ServerView;
  readonly #owners: OwnerTables;
  readonly #serverChanges = new Map<
    ServerView | undefined,
    readonly ServerChange[]
  >();
  readonly #ownerChanges = new Map<
    OwnerTables | undefined,
    readonly ServiceOwnerRanges[]
  >();

  constructor(newer: { servers: ServerView; owners: OwnerTables }) {
    this.#servers = newer.servers;
    this.#owners = newer.owners;
  }

  /** Lists changed servers, or all if there is no older state. */
  listServers(older: ServerView | undefined): readonly ServerChange[] {
    const known = this.#serverChanges.get(older);
    if (known) return known;
    const changes = older
      ? this.#servers.listChangesSince(older)
      : this.#servers.list().map((entry) => ({ id: entry.id, entry }));
    this.#serverChanges.set(older, changes);
    return changes;
  }

  /** Lists changed ranges, or all if there is no older state. */
  listOwners(older: OwnerTables | undefined): readonly ServiceOwnerRanges[] {
    const known = this.#ownerChanges.get(older);
    if (known) return known;
    const changes = listOwnerChanges(this.#owners, older);
    this.#ownerChanges.set(older, changes);
    return changes;
  }
}

/** Lists the ranges that differ from the older tables. */
function listOwnerChanges(
  owners: OwnerTables,
  older: OwnerTables | undefined,
): readonly ServiceOwnerRanges[] {
  const changes: ServiceOwnerRanges[] = [];
  for (const [service, table] of owners) {
    const last = older?.get(service);
    if (last === table) continue;
    const ranges = last ? table.listChangesSince(last) : table.list();
    if (ranges.length > 0) changes.push({ service, ranges });
  }
  return changes;
}
