/** Measures how much concurrency a gateway wants of each service. @module */
import type { ServiceDemand } from "./capacity_units.js";

interface Wanted {
  count: number;
  peak: number;
  /** Integral of the count since the last report, requests x ms. */
  area: number;
  atMs: number;
  sinceMs: number;
}

/** Requests in flight and waiting, by service. */
export class DemandMeter {
  readonly #services = new Map<string, Wanted>();

  /** Records a request that is placed or begins to wait. */
  begin(service: string, nowMs: number): void {
    let wanted = this.#services.get(service);
    if (!wanted) {
      wanted = { count: 0, peak: 0, area: 0, atMs: nowMs, sinceMs: nowMs };
      this.#services.set(service, wanted);
    }
    advance(wanted, nowMs);
    wanted.count += 1;
    wanted.peak = Math.max(wanted.peak, wanted.count);
  }

  /** Records the end of a request. Services without a `begin` are ignored. */
  end(service: string, nowMs: number): void {
    const wanted = this.#services.get(service);
    if (!wanted || wanted.count === 0) return;
    advance(wanted, nowMs);
    wanted.count -= 1;
  }

  /** Returns the demand since the last call. Idle services are left out. */
  take(nowMs: number): readonly ServiceDemand[] {
    const demand: ServiceDemand[] = [];
    for (const [service, wanted] of this.#services) {
      advance(wanted, nowMs);
      if (wanted.peak > 0) {
        const mean = wanted.area / Math.max(1, nowMs - wanted.sinceMs);
        demand.push([service, wanted.peak, Math.round(100 * mean) / 100]);
      }
      wanted.peak = wanted.count;
      wanted.area = 0;
      wanted.sinceMs = nowMs;
    }
    return demand;
  }
}

function advance(wanted: Wanted, nowMs: number): void {
  wanted.area += wanted.count * (nowMs - wanted.atMs);
  wanted.atMs = nowMs;
}
