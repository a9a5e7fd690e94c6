/** Lease and fencing state of a backend server that checks ownership. @module */
import { type GrantRequest, Token } from "@jaytiller/model";

/** Result of a grant request, with the fencing token and sequence in force. */
export interface GrantOutcome {
  readonly accepted: boolean;
  readonly token: string;
  readonly seq: number;
}

/** Status and message with which a request is rejected. */
export interface RequestRejection {
  readonly status: 409 | 503;
  readonly error: string;
}

/**
 * Units, fencing token and lease that one server has been granted. All times
 * are in ms of the server's monotonic clock.
 */
export class FencedGrants {
  #token = Token.none;
  #seq = -1;
  /**
   * Granted units and their grant numbers. A unit that is withdrawn and granted
   * again gets a new number.
   */
  #units: ReadonlyMap<string, number> = new Map();
  #grantCount = 0;
  #leaseEndMs = 0;
  readonly #incarnation: string;

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  get token(): string {
    return this.#token.toString();
  }

  get seq(): number {
    return this.#seq;
  }

  get unitCount(): number {
    return this.#units.size;
  }

  /**
   * Applies a grant request that was read at `nowMs`, unless its token is
   * malformed or its token and sequence number are out of date.
   */
  applyRequest(request: GrantRequest, nowMs: number): GrantOutcome {
    const token = Token.parse(request.token);
    if (!token) return this.#createOutcome(false);
    const order = token.compare(this.#token);
    if (order < 0 || (order === 0 && request.seq < this.#seq)) {
      return this.#createOutcome(false);
    }
    this.#token = token;
    this.#seq = request.seq;
    const basis = request.basis;
    if (!basis || basis.incarnation !== this.#incarnation) {
      // The age of the request is unknown, so it neither extends the lease nor
      // adds units. Named units that are already granted stay, since dropping
      // them would abort work in flight.
      const prev = this.#units;
      this.#units = new Map(
        request.units.filter((u) => prev.has(u)).map((u) => [u, prev.get(u)!]),
      );
    } else {
      const prev = this.#units;
      this.#units = new Map(
        request.units.map((u) => [u, prev.get(u) ?? ++this.#grantCount]),
      );
      // Without the bound, a basis in the future would extend the lease.
      this.#leaseEndMs = Math.min(basis.atMs, nowMs) + request.leaseMs;
    }
    return this.#createOutcome(true);
  }

  #createOutcome(accepted: boolean): GrantOutcome {
    return { accepted, token: this.token, seq: this.#seq };
  }

  /**
   * Returns the rejection of a request with `token`, or `undefined` if the
   * token is the current one. A server without a token rejects all requests.
   */
  checkToken(token: string | undefined): RequestRejection | undefined {
    const parsed = token === undefined ? undefined : Token.parse(token);
    if (parsed?.equals(this.#token) && !parsed.equals(Token.none)) {
      return undefined;
    }
    const found = token ?? "nothing";
    return {
      status: 409,
      error: `x-owner-token: Expected ${this.token} (found ${found}).`,
    };
  }

  /** Returns the unit's grant number, or `undefined` if it is not granted. */
  getGrantNumber(unit: string): number | undefined {
    return this.#units.get(unit);
  }

  /**
   * Returns the rejection of work on `unit` at `nowMs`, or `undefined` if the
   * unit is granted and the lease is valid.
   */
  checkUnit(
    unit: string | undefined,
    nowMs: number,
  ): RequestRejection | undefined {
    if (unit === undefined || !this.#units.has(unit)) {
      const found = unit ?? "nothing";
      return {
        status: 409,
        error: `x-owner-unit: Expected a granted unit (found ${found}).`,
      };
    }
    if (nowMs < this.#leaseEndMs) return undefined;
    const late = (nowMs - this.#leaseEndMs).toFixed(1);
    return { status: 503, error: `The lease expired ${late} ms ago.` };
  }
}
