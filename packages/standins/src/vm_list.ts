/** Stand-in for the platform's VM list, which may be out of date. @module */
import { type VmEntry, VmKind, type VmList, VmState } from "@jaytiller/model";
import { HttpService } from "./http_service.js";
import type { FaultChange } from "./service_faults.js";

/** Options of the VM list service. */
export interface VmListOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  /** Reads return the list as it was this long ago, in ms. */
  readonly lagMs: number;
}

/** Defaults of the VM list service. */
export const VM_LIST_DEFAULTS: VmListOptions = {
  host: "127.0.0.1",
  port: 0,
  maxBodyBytes: 8 * 1024 * 1024,
  lagMs: 0,
};

/** Changes of the list by `POST /control`, applied in this order. */
export interface VmListChange {
  readonly put?: VmEntry | readonly VmEntry[];
  readonly remove?: string | readonly string[];
  readonly leaving?: string | readonly string[];
  readonly lagMs?: number;
  /**
   * Adds views: listeners that serve the same list with different URLs, so that
   * each entry VM reaches the others through its own proxy links.
   */
  readonly addViews?: readonly string[];
  /** URLs by view and VM id, merged into the existing ones. */
  readonly rewrite?: Readonly<Record<string, Record<string, VmUrls>>>;
  /** View to which the faults of this change apply; all views if absent. */
  readonly view?: string;
}

/** URLs of a VM that a view overrides. */
export type VmUrls = Partial<Pick<VmEntry, "url" | "peerUrl">>;

/** Maximum lag in ms; older versions cannot be read. */
const MAX_LAG_MS = 600_000;

interface ListVersion {
  readonly atMs: number;
  readonly vms: readonly VmEntry[];
}

function toArray<T>(value: T | readonly T[] | undefined): readonly T[] {
  if (value === undefined) return [];
  return Array.isArray(value) ? value : [value as T];
}

function checkEntry(vm: VmEntry): void {
  const invalidField = typeof vm?.id !== "string"
    ? "id"
    : typeof vm.zone !== "string"
    ? "zone"
    : typeof vm.url !== "string"
    ? "url"
    : !Object.values(VmKind).includes(vm.kind)
    ? "kind"
    : !Object.values(VmState).includes(vm.state)
    ? "state"
    : undefined;
  if (invalidField) {
    throw new Error(
      `put.${invalidField}: Malformed (found ${JSON.stringify(vm)})`,
    );
  }
}

/** Version history of the VM list. Times are in Unix ms. */
export class VmHistory {
  #versions: ListVersion[] = [];
  lagMs = 0;

  constructor(nowMs: number) {
    this.#versions.push({ atMs: nowMs, vms: [] });
  }

  /** Applies a change. Throws an `Error` that names the invalid value. */
  apply(change: VmListChange, nowMs: number): void {
    const vms = new Map(this.#versions.at(-1)!.vms.map((vm) => [vm.id, vm]));
    for (const vm of toArray(change.put)) {
      checkEntry(vm);
      vms.set(vm.id, vm);
    }
    for (const id of toArray(change.remove)) vms.delete(id);
    for (const id of toArray(change.leaving)) {
      const vm = vms.get(id);
      if (!vm) throw new Error(`leaving: Not on the list (found ${id})`);
      vms.set(id, { ...vm, state: VmState.Leaving });
    }
    if (change.lagMs !== undefined) {
      if (!(change.lagMs >= 0 && change.lagMs <= MAX_LAG_MS)) {
        throw new Error(
          `lagMs: Expected 0 to ${MAX_LAG_MS} (found ${change.lagMs})`,
        );
      }
      this.lagMs = change.lagMs;
    }
    this.#versions.push({ atMs: nowMs, vms: [...vms.values()] });
    const cutoffMs = nowMs - MAX_LAG_MS;
    while (this.#versions.length > 1 && this.#versions[1]!.atMs < cutoffMs) {
      this.#versions.shift();
    }
  }

  /** Returns the list that a read at `nowMs` sees. */
  read(nowMs: number): VmList {
    const asOfMs = nowMs - this.lagMs;
    const visibleVersions = this.#versions.filter((v) => v.atMs <= asOfMs);
    const version = visibleVersions.at(-1) ?? this.#versions[0]!;
    return { vms: version.vms, asOfMs };
  }
}

interface View {
  readonly http: HttpService;
  readonly urls: Map<string, VmUrls>;
}

/** VM list service. `docs/design.md` specifies its HTTP interface. */
export class VmListService {
  readonly #options: VmListOptions;
  readonly #mainView: View;
  readonly #views = new Map<string, View>();
  readonly #history = new VmHistory(Date.now());

  private constructor(options: VmListOptions) {
    this.#options = options;
    this.#mainView = this.#createView(options);
    this.#history.lagMs = options.lagMs;
    this.#mainView.http.addControl((body) =>
      this.#applyControl(body as VmListChange & FaultChange)
    );
  }

  /** Starts the service with an empty list. */
  static async start(options: VmListOptions): Promise<VmListService> {
    const service = new VmListService(options);
    await service.#mainView.http.start();
    return service;
  }

  get port(): number {
    return this.#mainView.http.port;
  }

  async stop(): Promise<void> {
    const views = [this.#mainView, ...this.#views.values()];
    await Promise.all(views.map((view) => view.http.stop()));
  }

  #createView(options: VmListOptions): View {
    const view: View = { http: new HttpService(options), urls: new Map() };
    view.http.addRouteWithFaults("GET /vms", () => this.#read(view));
    return view;
  }

  #read(view: View): object {
    const list = this.#history.read(Date.now());
    const vms = list.vms.map((vm) => ({ ...vm, ...view.urls.get(vm.id) }));
    return { ...list, vms };
  }

  #findView(name: string): View {
    const view = this.#views.get(name);
    if (!view) throw new Error(`view: Expected a view (found ${name}).`);
    return view;
  }

  async #applyControl(change: VmListChange & FaultChange): Promise<object> {
    for (const name of change.addViews ?? []) {
      if (this.#views.has(name)) continue;
      const view = this.#createView({ ...this.#options, port: 0 });
      await view.http.start();
      this.#views.set(name, view);
    }
    for (const [name, urls] of Object.entries(change.rewrite ?? {})) {
      const view = this.#findView(name);
      for (const [id, vm] of Object.entries(urls)) view.urls.set(id, vm);
    }
    const targets = change.view === undefined
      ? [this.#mainView, ...this.#views.values()]
      : [this.#findView(change.view)];
    for (const view of targets) view.http.faults.update(change);
    this.#history.apply(change, Date.now());
    const ports = [...this.#views].map(([name, v]) => [name, v.http.port]);
    return {
      ...targets[0]!.http.faults.toJSON(),
      lagMs: this.#history.lagMs,
      views: Object.fromEntries(ports),
    };
  }
}
