/**
 * Checks the lease fields of messages. A malformed field does not invalidate
 * the rest of its message; it counts as absent.
 * @module
 */
import {
  FieldError,
  readArray,
  readInteger,
  readNumber,
  readObject,
  readString,
} from "@jaytiller/kernel";
import type { LeaseMessage, LeaseReply } from "@jaytiller/placement";

type Fields = Readonly<Record<string, unknown>>;

/** A message without its lease fields, and those if they are well-formed. */
interface Split<T> {
  readonly rest: Fields;
  readonly fields: Partial<T>;
  /** Description of a malformed field. */
  readonly problem?: string;
}

/** Splits and checks the lease fields of a heartbeat. */
export function splitLeaseMessage(beat: Fields): Split<LeaseMessage> {
  const { leases, leasesVersion, leasesEchoMs, ...rest } = beat;
  return check(rest, () => {
    if (leasesVersion === undefined) return {};
    const version = readInteger(leasesVersion, "leasesVersion");
    return {
      leasesVersion: version,
      ...(leasesEchoMs === undefined
        ? {}
        : { leasesEchoMs: readNumber(leasesEchoMs, "leasesEchoMs") }),
      ...(leases === undefined ? {} : { leases: readLeases(leases) }),
    };
  });
}

/** Splits and checks the lease fields of the reply to a heartbeat. */
export function splitLeaseReply(reply: Fields): Split<LeaseReply> {
  const { leasesVersion, leasesReleased, leasesClockMs, demand, ...rest } =
    reply;
  return check(rest, () => {
    if (leasesVersion === undefined) return {};
    return {
      leasesVersion: readInteger(leasesVersion, "leasesVersion"),
      leasesClockMs: readNumber(leasesClockMs, "leasesClockMs"),
      ...(leasesReleased === undefined
        ? {}
        : { leasesReleased: readInteger(leasesReleased, "leasesReleased") }),
      demand: readArray(demand, "demand").map((item) => {
        const [service, peak, mean] = readArray(item, "demand");
        return [
          readString(service, "demand.service"),
          readNumber(peak, "demand.peak"),
          readNumber(mean ?? peak, "demand.mean"),
        ] as const;
      }),
    };
  });
}

function readLeases(value: unknown): NonNullable<LeaseMessage["leases"]> {
  const { version, items } = readObject(value, "leases");
  return {
    version: readInteger(version, "leases.version"),
    items: readArray(items, "leases.items").map((item) => {
      const [server, born, units] = readArray(item, "leases.items");
      return [
        readString(server, "leases.items.server"),
        readInteger(born, "leases.items.born"),
        readInteger(units, "leases.items.units"),
      ] as const;
    }),
  };
}

function check<T>(rest: Fields, read: () => Partial<T>): Split<T> {
  try {
    return { rest, fields: read() };
  } catch (error) {
    if (!(error instanceof FieldError)) throw error;
    return { rest, fields: {}, problem: error.message };
  }
}
