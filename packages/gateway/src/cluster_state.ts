/** This router's view of the deployment, and the age of that view. @module */
import { AdmissionShares } from "@jaytiller/placement";
import { OwnerTable } from "@jaytiller/ranges";
import {
  type Configuration,
  EvacuationSet,
  RouteTable,
  type ServerChange,
  type ServerEntry,
  ServerView,
} from "@jaytiller/routing";

/** Independently changing parts of the state. */
export enum ClusterStatePart {
  Routes = "routes",
  Servers = "servers",
  Owners = "owners",
  Evacuations = "evacuations",
}

type Listener = (part: ClusterStatePart) => void;

/** Holds the newest views; none of them is replaced by an older one. */
export class ClusterState {
  #routes: RouteTable | undefined;
  #servers = ServerView.create([]);
  #owners: ReadonlyMap<string, OwnerTable> = new Map();
  #ownersVersion = "none";
  #evacuations = EvacuationSet.create();
  #barred: ReadonlySet<string> = new Set();
  /** Shares of the requests for overloaded servers and services. */
  readonly admission = new AdmissionShares();
  /** Monotonic times as of which entries were read, ms. */
  readonly #entryTimes = new WeakMap<ServerEntry, number>();
  #serversConfirmedAt = -Infinity;
  #routesConfirmedAt = -Infinity;
  readonly #listeners: Listener[] = [];

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  get servers(): ServerView {
    return this.#servers;
  }

  get owners(): ReadonlyMap<string, OwnerTable> {
    return this.#owners;
  }

  get evacuations(): EvacuationSet {
    return this.#evacuations;
  }

  /** Fingerprints of requests that are refused because they crash servers. */
  get barred(): ReadonlySet<string> {
    return this.#barred;
  }

  /** Version of the owner tables, for the log. */
  get ownersVersion(): string {
    return this.#ownersVersion;
  }

  /** Monotonic time at which the servers were last known to be current, ms. */
  get serversConfirmedAt(): number {
    return this.#serversConfirmedAt;
  }

  /** Monotonic time at which the routes were last known to be current, ms. */
  get routesConfirmedAt(): number {
    return this.#routesConfirmedAt;
  }

  /**
   * Time since the routes were last known to be current, in whole ms; absent
   * if they never were.
   */
  getRoutesAgeMs(nowMs: number): number | undefined {
    const ageMs = nowMs - this.#routesConfirmedAt;
    return ageMs === Infinity ? undefined : Math.round(ageMs);
  }

  /** Time since an entry was read, ms; absent if it is not known. */
  getEntryAgeMs(entry: ServerEntry, nowMs: number): number | undefined {
    const atMs = this.#entryTimes.get(entry);
    return atMs === undefined ? undefined : nowMs - atMs;
  }

  get hasServers(): boolean {
    return this.#serversConfirmedAt > -Infinity;
  }

  /** Registers a listener that is called after each change of a part. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Activates a configuration if it is newer; returns whether it was. */
  applyConfiguration(configuration: Configuration): boolean {
    if (this.#routes && configuration.version <= this.#routes.version) {
      return false;
    }
    this.#routes = RouteTable.create(configuration);
    this.#notify(ClusterStatePart.Routes);
    return true;
  }

  /** Records that the configuration was current at `atMs`. */
  confirmRoutes(atMs: number): void {
    this.#routesConfirmedAt = Math.max(this.#routesConfirmedAt, atMs);
  }

  /** Applies changes of servers that were read at `atMs`. */
  applyServers(
    changes: readonly ServerChange[],
    options: { position: number; atMs: number },
  ): void {
    for (const { entry } of changes) {
      if (entry) this.#entryTimes.set(entry, options.atMs);
    }
    const next = this.#servers.apply(changes, options.position);
    this.confirmServers(options.atMs);
    if (next === this.#servers) return;
    this.#servers = next;
    this.#notify(ClusterStatePart.Servers);
  }

  /** Records that the server view was current at `atMs`. */
  confirmServers(atMs: number): void {
    this.#serversConfirmedAt = Math.max(this.#serversConfirmedAt, atMs);
  }

  /** Replaces the evacuations by a set that was made from them. */
  setEvacuations(next: EvacuationSet): void {
    const zones = (set: EvacuationSet) => set.list().map((e) => e.zone).join();
    const isChanged = zones(next) !== zones(this.#evacuations);
    this.#evacuations = next;
    if (isChanged) this.#notify(ClusterStatePart.Evacuations);
  }

  /** Replaces all owner tables; `name` is their version in the log. */
  setOwners(owners: ReadonlyMap<string, OwnerTable>, name: string): void {
    this.#owners = owners;
    this.#ownersVersion = name;
    this.#notify(ClusterStatePart.Owners);
  }

  /** Replaces the fingerprints of barred requests. */
  setBarred(fingerprints: readonly string[]): void {
    if (fingerprints.length + this.#barred.size === 0) return;
    this.#barred = new Set(fingerprints);
  }

  #notify(part: ClusterStatePart): void {
    for (const listener of this.#listeners) listener(part);
  }
}
