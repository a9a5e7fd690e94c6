/** Admission shares and demand in messages between routers. @module */
import {
  FieldError,
  readArray,
  readInteger,
  readNumber,
  readObject,
  readString,
} from "@jaytiller/kernel";
import type {
  AdmissionPlan,
  OccupancyReport,
  PriorityCount,
  PriorityShare,
  PublishedShare,
  ReceivedShare,
} from "@jaytiller/placement";
import { readOptional } from "./optional_fields.js";

/** An owner that is asked for more than it can process, or nearly so. */
export interface AdmissionShare extends ReceivedShare {
  readonly server: string;
}

/** An undivided service whose demand exceeds its capacity. */
export interface ServiceShare extends ReceivedShare {
  readonly service: string;
}

/** Fields of a heartbeat that hold admission shares. */
export interface AdmissionFields {
  /**
   * Owners that get only a share, as far as the receiver has to be told again;
   * its other entries apply until they are too old.
   */
  readonly overloaded?: readonly AdmissionShare[];
  /**
   * Services that get only a share. Not in `overloaded`, because older builds
   * reject a message with entries that name no server.
   */
  readonly overloadedServices?: readonly ServiceShare[];
}

/** Fields of a reply that tell the demand at a router. */
export interface DemandFields {
  /** Requests since the last reply; older builds omit it. */
  readonly priorities?: readonly PriorityCount[];
  /** Newest occupancy of owners with a share, if a response reported it. */
  readonly occupancies?: readonly OccupancyReport[];
}

const SERVER = "server";
/** Largest number of entries that a field may have. */
const MAX_ENTRIES = 2_000;

/** Returns the resource that the shares of a server apply to. */
export function nameServerResource(id: string): string {
  return `${SERVER}/${id}`;
}

/** Returns the resource that the shares of a service apply to. */
export function nameServiceResource(name: string): string {
  return `service/${name}`;
}

function splitResource(resource: string): readonly [kind: string, id: string] {
  const at = resource.indexOf("/");
  return [resource.slice(0, at), resource.slice(at + 1)];
}

/** Published shares and when they were computed. */
export interface PublishedAdmission extends AdmissionPlan {
  readonly atMs: number;
}

/** Interval at which a share is sent again if it has not fallen, ms. */
const RESEND_INTERVAL_MS = 900;
/** Part of the value last sent below which a share is sent again at once. */
export const URGENT_FALL = 0.6;

/**
 * Selects the shares that one router has to be told. The end of a share is told
 * once; if that is lost, the share ends by its age.
 */
export class AdmissionSender {
  readonly #sent = new Map<string, { share: number; atMs: number }>();

  /** Makes the fields of a heartbeat that is sent now. */
  makeFields(
    { owners, services, atMs }: PublishedAdmission,
    nowMs: number,
  ): AdmissionFields {
    const ageMs = Math.round(nowMs - atMs);
    const ended = new Set(this.#sent.keys());
    const listDue = (
      shares: readonly PublishedShare[],
      nameResource: (id: string) => string,
    ) =>
      shares.filter((share) => {
        const resource = nameResource(share.id);
        ended.delete(resource);
        return this.#isDue(resource, share, nowMs);
      });
    const overloaded = listDue(owners, nameServerResource)
      .map((share) => ({ server: share.id, ...makeShare(share, ageMs) }));
    const overloadedServices = listDue(services, nameServiceResource)
      .map((share) => ({ service: share.id, ...makeShare(share, ageMs) }));
    for (const resource of ended) {
      this.#sent.delete(resource);
      const [kind, id] = splitResource(resource);
      if (kind === SERVER) overloaded.push({ server: id, share: 1, ageMs });
      else overloadedServices.push({ service: id, share: 1, ageMs });
    }
    return {
      ...(overloaded.length > 0 ? { overloaded } : {}),
      ...(overloadedServices.length > 0 ? { overloadedServices } : {}),
    };
  }

  /** Sends all again, because the last heartbeat may be lost. */
  reset(): void {
    this.#sent.clear();
  }

  #isDue(resource: string, { share }: PublishedShare, nowMs: number): boolean {
    const sent = this.#sent.get(resource);
    const isDue = !sent || nowMs - sent.atMs >= RESEND_INTERVAL_MS ||
      share < URGENT_FALL * sent.share;
    if (isDue) this.#sent.set(resource, { share, atMs: nowMs });
    return isDue;
  }
}

function makeShare(
  { share, shares }: PublishedShare,
  ageMs: number,
): ReceivedShare {
  return {
    share: round(share),
    // A service with one priority needs no list.
    ...(shares.length > 1 ? { shares } : {}),
    ageMs,
  };
}

/** Lists the resources of a heartbeat's shares. */
export function listReceivedShares(
  { overloaded = [], overloadedServices = [] }: AdmissionFields,
): readonly (readonly [resource: string, share: ReceivedShare])[] {
  return [
    ...overloaded.map((s) => [nameServerResource(s.server), s] as const),
    ...overloadedServices.map((s) =>
      [nameServiceResource(s.service), s] as const
    ),
  ];
}

/**
 * Checks the shares of a heartbeat. What is malformed counts as absent, and its
 * name is added to `malformed`.
 */
export function decodeAdmissionFields(
  beat: Readonly<Record<string, unknown>>,
  malformed: string[],
): AdmissionFields {
  const overloaded = readEntries(beat, "overloaded", {
    malformed,
    read: readOwner,
  });
  const overloadedServices = readEntries(beat, "overloadedServices", {
    malformed,
    read: readService,
  });
  return {
    ...(overloaded ? { overloaded } : {}),
    ...(overloadedServices ? { overloadedServices } : {}),
  };
}

/** Checks the demand of a reply like `decodeAdmissionFields`. */
export function decodeDemandFields(
  reply: Readonly<Record<string, unknown>>,
  malformed: string[],
): DemandFields {
  const priorities = readEntries(reply, "priorities", {
    malformed,
    read: readCount,
  });
  const occupancies = readEntries(reply, "occupancies", {
    malformed,
    read: readOccupancy,
  });
  return {
    ...(priorities ? { priorities } : {}),
    ...(occupancies ? { occupancies } : {}),
  };
}

/**
 * Reads a list without its malformed entries. Returns `undefined` if the field
 * is absent or no list.
 */
function readEntries<T>(
  fields: Readonly<Record<string, unknown>>,
  name: string,
  { malformed, read }: {
    malformed: string[];
    read: (item: unknown, path: string, malformed: string[]) => T;
  },
): readonly T[] | undefined {
  const value = fields[name];
  if (value === undefined) return undefined;
  const items = readOptional(() => readArray(value, name), malformed);
  return items?.slice(0, MAX_ENTRIES)
    .map((item) => readOptional(() => read(item, name, malformed), malformed))
    .filter((entry) => entry !== undefined);
}

function readOwner(
  value: unknown,
  path: string,
  malformed: string[],
): AdmissionShare {
  const entry = readObject(value, path);
  const server = readString(entry["server"], `${path}.server`);
  return { server, ...readShare(entry, path, malformed) };
}

function readService(
  value: unknown,
  path: string,
  malformed: string[],
): ServiceShare {
  const entry = readObject(value, path);
  const service = readString(entry["service"], `${path}.service`);
  return { service, ...readShare(entry, path, malformed) };
}

/** Reads the shares of an entry; without a usable list, `share` is for all. */
function readShare(
  entry: Readonly<Record<string, unknown>>,
  path: string,
  malformed: string[],
): ReceivedShare {
  const share = readPart(entry["share"], `${path}.share`);
  const shares = entry["shares"] === undefined ? undefined : readOptional(
    () =>
      readArray(entry["shares"], `${path}.shares`)
        .map((item) => readPriorityShare(item, `${path}.shares`))
        .sort(([a], [b]) => a - b),
    malformed,
  );
  const ageMs = readOptional(
    () => readAmount(entry["ageMs"] ?? 0, `${path}.ageMs`),
    malformed,
  );
  return {
    share,
    ...(shares ? { shares } : {}),
    ...(ageMs === undefined ? {} : { ageMs }),
  };
}

function readPriorityShare(value: unknown, path: string): PriorityShare {
  const [priority, share] = readArray(value, path);
  return [readInteger(priority, path), readPart(share, path)];
}

function readCount(value: unknown, path: string): PriorityCount {
  const [service, priority, count] = readArray(value, path);
  return [
    readString(service, `${path}.service`),
    readInteger(priority, `${path}.priority`),
    readAmount(count, `${path}.count`),
  ];
}

function readOccupancy(value: unknown, path: string): OccupancyReport {
  const [server, requests] = readArray(value, path);
  return [
    readString(server, `${path}.server`),
    readAmount(requests, `${path}.requests`),
  ];
}

/** Reads a number from 0 to 1. */
function readPart(value: unknown, path: string): number {
  const part = readNumber(value, path);
  if (part >= 0 && part <= 1) return part;
  throw new FieldError(path, "a number from 0 to 1", value);
}

function readAmount(value: unknown, path: string): number {
  const amount = readNumber(value, path);
  if (amount >= 0) return amount;
  throw new FieldError(path, "a number that is not negative", value);
}

function round(share: number): number {
  return Math.ceil(share * 1e4 - 1e-9) / 1e4;
}
