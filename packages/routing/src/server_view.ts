/** The set of known backend servers. @module */

/** Whether a server accepts new requests. */
export enum ServerState {
  Ready = "ready",
  Draining = "draining",
}

/** A backend server's report of its own state. */
export interface ServerEntry {
  readonly id: string;
  /** Start time of the server process, Unix ms; an id may be used again. */
  readonly born: number;
  readonly service: string;
  /** `host:port` */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Time for which it is still cold, ms; absent if it is warm. */
  readonly coldMs?: number;
  /** Sequence number of the report; starts again with each process. */
  readonly sequence: number;
}

/** A new entry for a server, or its removal. */
export interface ServerChange {
  readonly id: string;
  /** Absent if the server has been removed. */
  readonly entry?: ServerEntry;
}

/** Immutable set of servers as of a position in the platform's feed. */
export class ServerView {
  readonly #entries: ReadonlyMap<string, ServerEntry>;
  readonly #byService = new Map<string, ServerEntry[]>();
  readonly #ready = new Map<string, readonly ServerEntry[]>();
  readonly position: number;

  private constructor(
    entries: ReadonlyMap<string, ServerEntry>,
    position: number,
  ) {
    this.#entries = entries;
    this.position = position;
    for (const entry of entries.values()) {
      const list = this.#byService.get(entry.service) ?? [];
      list.push(entry);
      this.#byService.set(entry.service, list);
    }
  }

  static create(entries: readonly ServerEntry[], position = 0): ServerView {
    return new ServerView(new Map(entries.map((e) => [e.id, e])), position);
  }

  /**
   * Returns a view with the changes applied in order, or this view if they
   * change nothing.
   */
  apply(changes: readonly ServerChange[], position: number): ServerView {
    const entries = new Map(this.#entries);
    let isChanged = false;
    for (const change of changes) {
      if (!isNewer(entries.get(change.id), change)) continue;
      isChanged = true;
      if (change.entry) entries.set(change.id, change.entry);
      else entries.delete(change.id);
    }
    if (isChanged) return new ServerView(entries, position);
    return position === this.position
      ? this
      : new ServerView(this.#entries, position);
  }

  /** Returns a view in which the servers accept no new requests. */
  markDraining(ids: readonly string[]): ServerView {
    const entries = new Map(this.#entries);
    for (const id of ids) {
      const entry = entries.get(id);
      if (entry) entries.set(id, { ...entry, state: ServerState.Draining });
    }
    return new ServerView(entries, this.position);
  }

  find(id: string): ServerEntry | undefined {
    return this.#entries.get(id);
  }

  listService(service: string): readonly ServerEntry[] {
    return this.#byService.get(service) ?? [];
  }

  /** Lists the servers of a service that accept new requests. */
  listReady(service: string): readonly ServerEntry[] {
    const known = this.#ready.get(service);
    if (known) return known;
    const ready = this.listService(service)
      .filter((e) => e.state === ServerState.Ready);
    this.#ready.set(service, ready);
    return ready;
  }

  list(): readonly ServerEntry[] {
    return [...this.#entries.values()];
  }

  /** Lists the changes that turn `older` into this view when applied to it. */
  listChangesSince(older: ServerView): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    for (const entry of this.#entries.values()) {
      const known = older.find(entry.id);
      if (!known || !isSameExceptSequence(known, entry)) {
        changes.push({ id: entry.id, entry });
      }
    }
    for (const { id } of older.list()) {
      if (!this.#entries.has(id)) changes.push({ id });
    }
    return changes;
  }
}

/**
 * Returns whether a change is newer than the known entry. Late reports of an
 * earlier process and older reports of the same process are not.
 */
function isNewer(
  known: ServerEntry | undefined,
  { entry }: ServerChange,
): boolean {
  if (!known) return entry !== undefined;
  if (!entry) return true;
  if (entry.born !== known.born) return entry.born > known.born;
  return entry.sequence > known.sequence;
}

/** Returns whether two entries differ at most in their sequence number. */
export function isSameExceptSequence(a: ServerEntry, b: ServerEntry): boolean {
  return a.born === b.born && a.state === b.state &&
    a.address === b.address && a.service === b.service &&
    a.zone === b.zone && a.slots === b.slots &&
    (a.coldMs ?? 0) === (b.coldMs ?? 0);
}
