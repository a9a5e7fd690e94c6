/** Which backend servers there are. @module */

/** Whether a server takes new work. */
export enum ServerState {
  Ready = "ready",
  Draining = "draining",
}

/** What a backend server says of itself. */
export interface ServerEntry {
  readonly id: string;
  /** Start of this life of the server, Unix ms; an id may have several. */
  readonly born: number;
  readonly service: string;
  /** `host:port` */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Number of its report within this life. */
  readonly sequence: number;
}

/** A new entry of a server, or its removal. */
export interface ServerChange {
  readonly id: string;
  /** Absent if the server is gone. */
  readonly entry?: ServerEntry;
}

/** Immutable set of servers, read up to a position of the platform's feed. */
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
   * Returns a view with the changes, applied one after the other, or this one
   * if they change nothing.
   */
  apply(changes: readonly ServerChange[], position: number): ServerView {
    const entries = new Map(this.#entries);
    let isChanged = false;
    for (const change of changes) {
      if (!isNews(entries.get(change.id), change)) continue;
      isChanged = true;
      if (change.entry) entries.set(change.id, change.entry);
      else entries.delete(change.id);
    }
    if (isChanged) return new ServerView(entries, position);
    return position === this.position
      ? this
      : new ServerView(this.#entries, position);
  }

  find(id: string): ServerEntry | undefined {
    return this.#entries.get(id);
  }

  listService(service: string): readonly ServerEntry[] {
    return this.#byService.get(service) ?? [];
  }

  /** Servers of a service that take new work. */
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

  /** Changes that make `older` this view. */
  listChangesSince(older: ServerView): readonly ServerChange[] {
    const changes: ServerChange[] = [];
    for (const entry of this.#entries.values()) {
      const known = older.find(entry.id);
      if (!known || !isSameFact(known, entry)) {
        changes.push({ id: entry.id, entry });
      }
    }
    for (const { id } of older.list()) {
      if (!this.#entries.has(id)) changes.push({ id });
    }
    return changes;
  }
}

/** A late report of an earlier life, or an older report, is no news. */
function isNews(
  known: ServerEntry | undefined,
  { entry }: ServerChange,
): boolean {
  if (!known) return entry !== undefined;
  if (!entry) return true;
  if (entry.born !== known.born) return entry.born > known.born;
  return entry.sequence > known.sequence;
}

/** Whether two entries differ in nothing but the number of the report. */
export function isSameFact(a: ServerEntry, b: ServerEntry): boolean {
  return a.born === b.born && a.state === b.state &&
    a.address === b.address && a.service === b.service &&
    a.zone === b.zone && a.slots === b.slots;
}
