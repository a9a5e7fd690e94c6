/** What this router knows of the deployment, and how old it is. @module */
import { OwnerTable } from "@jaytiller/ranges";
import {
  type Configuration,
  RouteTable,
  type ServerChange,
  ServerView,
} from "@jaytiller/routing";

/** Parts of the knowledge that change on their own. */
export enum KnowledgePart {
  Routes = "routes",
  Servers = "servers",
  Owners = "owners",
}

type Listener = (part: KnowledgePart) => void;

/** Holds the newest views; none of them ever goes back. */
export class Knowledge {
  #routes: RouteTable | undefined;
  #servers = ServerView.create([]);
  #owners: ReadonlyMap<string, OwnerTable> = new Map();
  #ownersName = "none";
  #barred: ReadonlySet<string> = new Set();
  #serversAt = -Infinity;
  #routesAt = -Infinity;
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

  /** Fingerprints of requests that crash the servers that run them. */
  get barred(): ReadonlySet<string> {
    return this.#barred;
  }

  /** Version of the owners, for the log. */
  get ownersName(): string {
    return this.#ownersName;
  }

  /** Monotonic time up to which the servers are known, ms. */
  get serversAt(): number {
    return this.#serversAt;
  }

  /** Monotonic time up to which the configuration is known, ms. */
  get routesAt(): number {
    return this.#routesAt;
  }

  get hasServers(): boolean {
    return this.#serversAt > -Infinity;
  }

  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Puts a configuration in force unless a newer one is; returns whether. */
  putConfiguration(configuration: Configuration): boolean {
    if (this.#routes && configuration.version <= this.#routes.version) {
      return false;
    }
    this.#routes = RouteTable.create(configuration);
    this.#notify(KnowledgePart.Routes);
    return true;
  }

  confirmRoutes(atMs: number): void {
    this.#routesAt = Math.max(this.#routesAt, atMs);
  }

  /** Applies news of servers that were read at `atMs`. */
  applyServers(
    changes: readonly ServerChange[],
    options: { position: number; atMs: number },
  ): void {
    const next = this.#servers.apply(changes, options.position);
    this.confirmServers(options.atMs);
    if (next === this.#servers) return;
    this.#servers = next;
    this.#notify(KnowledgePart.Servers);
  }

  confirmServers(atMs: number): void {
    this.#serversAt = Math.max(this.#serversAt, atMs);
  }

  putOwners(owners: ReadonlyMap<string, OwnerTable>, name: string): void {
    this.#owners = owners;
    this.#ownersName = name;
    this.#notify(KnowledgePart.Owners);
  }

  putBarred(fingerprints: readonly string[]): void {
    if (fingerprints.length + this.#barred.size === 0) return;
    this.#barred = new Set(fingerprints);
  }

  #notify(part: KnowledgePart): void {
    for (const listener of this.#listeners) listener(part);
  }
}
