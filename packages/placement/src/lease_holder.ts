/**
 * Keeps the leases of one gateway.
 *
 * Fault pattern: heartbeats and replies are lost or delivered late, the process
 * is paused, and the coordinator changes. The gateway must stop using units
 * before the coordinator may lease them to another.
 * @module
 */
import {
  LEASE_LIFE_MS,
  type LeaseMessage,
  type LeaseReply,
} from "./capacity_units.js";

/**
 * Time for which units stay counted because requests in flight use them, ms. A
 * response may last much longer than a usual request.
 */
const MAX_RELEASE_DELAY_MS = 5_000;

interface HeldLease {
  readonly born: number;
  readonly units: number;
}

/** The leases of one gateway; times are of its own clock. */
export class LeaseHolder {
  #term = -1;
  #version = 0;
  #releasedVersion = 0;
  #leases: ReadonlyMap<string, HeldLease> = new Map();
  #untilMs = -Infinity;
  /**
   * Servers whose units were reduced and may still be in use, with the time
   * from which they count as released, ms.
   */
  readonly #unreleased = new Map<string, number>();

  get version(): number {
    return this.#version;
  }

  /** Returns how long ago the leases were confirmed, ms. */
  getAgeMs(nowMs: number): number {
    return nowMs - (this.#untilMs - LEASE_LIFE_MS);
  }

  isValid(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }

  /** Returns the units at a process of a server; 0 without a valid lease. */
  getUnits(
    { id, born }: { id: string; born: number },
    nowMs: number,
  ): number {
    if (!this.isValid(nowMs)) return 0;
    const lease = this.#leases.get(id);
    return lease?.born === born ? lease.units : 0;
  }

  /** Returns the units of all valid leases. */
  countUnits(nowMs: number): number {
    if (!this.isValid(nowMs)) return 0;
    let sum = 0;
    for (const { units } of this.#leases.values()) sum += units;
    return sum;
  }

  /**
   * Applies the fields of a heartbeat. Leases of an earlier term stay until
   * they expire, or until the new coordinator issues its own.
   */
  apply(term: number, message: LeaseMessage, nowMs: number): void {
    if (term < this.#term) return;
    if (term > this.#term) {
      this.#term = term;
      this.#version = 0;
      this.#releasedVersion = 0;
    }
    const { leases, leasesVersion, leasesEchoMs } = message;
    // A clock value that is not from this process is not in its past.
    const isOwnClock = leasesEchoMs !== undefined && leasesEchoMs <= nowMs;
    const untilMs = isOwnClock ? leasesEchoMs + LEASE_LIFE_MS : -Infinity;
    if (leases && leases.version > this.#version) {
      this.#replace(leases, nowMs);
      this.#untilMs = untilMs;
    } else if (leasesVersion === this.#version && leasesVersion > 0) {
      this.#untilMs = Math.max(this.#untilMs, untilMs);
    }
  }

  /**
   * Makes the fields of a reply. `countInFlight` returns this gateway's
   * requests in flight at a server.
   */
  makeReply(
    nowMs: number,
    countInFlight: (server: string) => number,
  ): Omit<LeaseReply, "demand"> {
    for (const [id, releaseByMs] of this.#unreleased) {
      const isInUse = countInFlight(id) > (this.#leases.get(id)?.units ?? 0);
      if (!isInUse || nowMs >= releaseByMs) this.#unreleased.delete(id);
    }
    const isDelayed = this.#unreleased.size > 0;
    if (!isDelayed) this.#releasedVersion = this.#version;
    return {
      leasesVersion: this.#version,
      leasesClockMs: nowMs,
      ...(isDelayed ? { leasesReleased: this.#releasedVersion } : {}),
    };
  }

  #replace(
    { version, items }: NonNullable<LeaseMessage["leases"]>,
    nowMs: number,
  ): void {
    const next = new Map(
      items.map(([id, born, units]) => [id, { born, units }] as const),
    );
    for (const [id, { units }] of this.#leases) {
      if (units <= (next.get(id)?.units ?? 0)) continue;
      this.#unreleased.set(id, nowMs + MAX_RELEASE_DELAY_MS);
    }
    this.#leases = next;
    this.#version = version;
  }
}
