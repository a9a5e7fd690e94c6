/** The record of ownership in the platform's store. @module */
import type { Assignment, FormerOwner, ServerLife } from "./assignment.js";
import type { Predecessor } from "./predecessors.js";

/** A router, as others reach it. */
export interface RouterRef {
  readonly node: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  /** `host:port` for calls from other routers. */
  readonly address: string;
  readonly zone: string;
  /** Processor cores that the router may use. */
  readonly cores: number;
}

/**
 * The newest record names the coordinator and each range that may be granted.
 * It is written under the condition that no other record came in between, and
 * before the grants that it names are sent: whoever succeeds the coordinator
 * knows every server that may hold a key.
 */
export interface OwnershipRecord {
  readonly coordinator: RouterRef;
  /** A planned stop: the coordinator has sent its last call. */
  readonly resigned: boolean;
  readonly routers: readonly RouterRef[];
  /** Earlier coordinators that may still send grants. */
  readonly predecessors: readonly Predecessor[];
  readonly services: Readonly<Record<string, readonly Assignment[]>>;
}

type PlainLife = readonly [string, number];
type PlainFormer = readonly [string, number, number];
type PlainRange = readonly [
  from: number,
  to: number,
  fence: number,
  owner: PlainLife | null,
  former: readonly PlainFormer[],
];

interface PlainRecord {
  readonly by: RouterRef;
  readonly resigned?: boolean;
  readonly routers: readonly RouterRef[];
  readonly predecessors: readonly Predecessor[];
  readonly services: Readonly<Record<string, readonly PlainRange[]>>;
}

/** Encodes a record as JSON; times stay out, as each process has its clock. */
export function encodeRecord(record: OwnershipRecord): string {
  const plain: PlainRecord = {
    by: record.coordinator,
    ...(record.resigned ? { resigned: true } : {}),
    routers: record.routers,
    predecessors: record.predecessors,
    services: Object.fromEntries(
      Object.entries(record.services).map((
        [name, list],
      ) => [name, list.map(encodeRange)]),
    ),
  };
  return JSON.stringify(plain);
}

/**
 * Decodes a record. Ends of leases are not in it: its reader has to know when
 * the leases of earlier coordinators end. Throws if the text is no record.
 */
export function decodeRecord(text: string): OwnershipRecord {
  const plain = JSON.parse(text) as PlainRecord;
  return {
    coordinator: plain.by,
    resigned: plain.resigned ?? false,
    routers: plain.routers,
    predecessors: plain.predecessors,
    services: Object.fromEntries(
      Object.entries(plain.services).map(([name, list]) => [
        name,
        list.map(decodeRange),
      ]),
    ),
  };
}

/** Returns who wrote a record, or nothing if it cannot be read. */
export function readCoordinator(text: string): RouterRef | undefined {
  try {
    return (JSON.parse(text) as PlainRecord).by;
  } catch {
    return undefined;
  }
}

function encodeRange(a: Assignment): PlainRange {
  const owner: PlainLife | null = a.owner ? [a.owner.id, a.owner.born] : null;
  const former = a.former.map((f): PlainFormer => [f.id, f.born, f.fence]);
  return [a.from, a.to, a.fence, owner, former];
}

function decodeRange(plain: PlainRange): Assignment {
  const [from, to, fence, owner, former] = plain;
  const life: ServerLife | undefined = owner
    ? { id: owner[0], born: owner[1] }
    : undefined;
  return {
    from,
    to,
    fence,
    ...(life ? { owner: life } : {}),
    former: former.map(([id, born, f]): FormerOwner => ({
      id,
      born,
      fence: f,
      heldUntilMs: 0,
    })),
    // The last coordinator may have granted it: requests go there at once.
    granted: life !== undefined && former.length === 0,
    heldUntilMs: 0,
    changedAtMs: 0,
  };
}
