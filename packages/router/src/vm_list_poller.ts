/** Polls the platform's list of VMs. @module */
import { getLogger, type Service } from "@jaytiller/kernel";
import { type VmEntry, type VmId, VmKind } from "@jaytiller/model";
import type { VmListClient } from "@jaytiller/platform";
import type { Clock } from "./clock.js";

const log = getLogger("vm-list");
const POLL_INTERVAL_MS = 500;

/** Polls the VM list; keeps the last list while its service is down. */
export class VmListPoller implements Service {
  readonly #client: VmListClient;
  readonly #clock: Clock;
  readonly #listeners: ((vms: readonly VmEntry[]) => void)[] = [];
  #vms: readonly VmEntry[] = [];
  #byId: ReadonlyMap<VmId, VmEntry> = new Map();
  #listedSince = new Map<VmId, number>();
  #asOfMs = 0;
  #stopped = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #failing = false;

  constructor(options: { client: VmListClient; clock: Clock }) {
    this.#client = options.client;
    this.#clock = options.clock;
  }

  get vms(): readonly VmEntry[] {
    return this.#vms;
  }

  /** Monotonic ms since which each VM has been listed. */
  get listedSince(): ReadonlyMap<VmId, number> {
    return this.#listedSince;
  }

  get(id: VmId): VmEntry | undefined {
    return this.#byId.get(id);
  }

  listEntryVms(): VmEntry[] {
    return this.#vms.filter((v) => v.kind === VmKind.Entry);
  }

  subscribe(listener: (vms: readonly VmEntry[]) => void): void {
    this.#listeners.push(listener);
  }

  async start(): Promise<void> {
    await this.#poll();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #poll() {
    const reply = await this.#client.read();
    if (this.#stopped) return;
    const list = reply.toMaybe().extractNullable();
    if (Boolean(list) === this.#failing) {
      this.#failing = !list;
      log.info(
        list
          ? "The VM list service responds."
          : "The VM list service does not respond.",
      );
    }
    if (list && list.asOfMs >= this.#asOfMs) this.#take(list.vms, list.asOfMs);
    this.#timer = setTimeout(() => void this.#poll(), POLL_INTERVAL_MS);
  }

  #take(vms: readonly VmEntry[], asOfMs: number) {
    this.#asOfMs = asOfMs;
    this.#vms = vms;
    this.#byId = new Map(vms.map((v) => [v.id, v]));
    const now = this.#clock.now();
    this.#listedSince = new Map(
      vms.map((v) => [v.id, this.#listedSince.get(v.id) ?? now]),
    );
    for (const listener of this.#listeners) listener(vms);
  }
}
