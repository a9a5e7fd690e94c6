/** Encodes and decodes the ownership record in the platform's store. @module */
import type {
  Assignment,
  FormerOwner,
  ServerIncarnation,
} from "./assignment.js";
import type { Predecessor } from "./predecessors.js";

/** Identity and address of a router. */
export interface RouterRef {
  readonly node: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  /** `host:port` for calls from other routers. */
  readonly address: string;
  readonly zone: string;
  /** Processor cores that the router may use. */
  readonly cores: number;
}

/**
 * The newest record names the coordinator and every range that may be granted.
 * A record is appended only if no other was appended since the last one read,
 * and before its grants are sent, so that a successor of the coordinator knows
 * every server that may own a key.
 */
export interface OwnershipRecord {
  readonly coordinator: RouterRef;
  /** Whether the coordinator stopped as planned and sends no more calls. */
  readonly resigned: boolean;
  /**
   * Whether the coordinator stops sending grants without a majority of the
   * routers; those of earlier builds do not.
   */
  readonly needsMajority: boolean;
  readonly routers: readonly RouterRef[];
  /** Earlier coordinators that may still send grants. */
  readonly predecessors: readonly Predecessor[];
  /** Era of the store in which the record was written; absent for 0. */
  readonly era?: number;
  /**
   * Minimum time since a claim after which records of earlier eras were lost,
   * ms. Present while servers may hold leases that this record does not name.
   */
  readonly incompleteMs?: number;
  readonly services: Readonly<Record<string, readonly Assignment[]>>;
}

type EncodedIncarnation = readonly [string, number];
type EncodedFormerOwner = readonly [string, number, number];
type EncodedRange = readonly [
  from: number,
  to: number,
  fence: number,
  owner: EncodedIncarnation | null,
  former: readonly EncodedFormerOwner[],
];

interface EncodedRecord {
  readonly by: RouterRef;
  readonly resigned?: boolean;
  readonly needsMajority?: boolean;
  readonly routers: readonly RouterRef[];
  readonly predecessors: readonly Predecessor[];
  readonly era?: number;
  readonly incompleteMs?: number;
  readonly services: Readonly<Record<string, readonly EncodedRange[]>>;
}

/**
 * Encodes a record as JSON. Lease times are omitted, because monotonic clocks
 * of different processes are not comparable.
 */
export function encodeRecord(record: OwnershipRecord): string {
  const plain: EncodedRecord = {
    by: record.coordinator,
    ...(record.resigned ? { resigned: true } : {}),
    ...(record.needsMajority ? { needsMajority: true } : {}),
    routers: record.routers,
    predecessors: record.predecessors,
    ...(record.era ? { era: record.era } : {}),
    ...(record.incompleteMs === undefined
      ? {}
      : { incompleteMs: record.incompleteMs }),
    services: Object.fromEntries(
      Object.entries(record.services).map((
        [name, list],
      ) => [name, list.map(encodeRange)]),
    ),
  };
  return JSON.stringify(plain);
}

/**
 * Decodes a record. It contains no lease expiry times: the reader must derive
 * when leases of earlier coordinators expire. Throws if the text is not a
 * record.
 */
export function decodeRecord(text: string): OwnershipRecord {
  const plain = JSON.parse(text) as EncodedRecord;
  return {
    coordinator: plain.by,
    resigned: plain.resigned ?? false,
    needsMajority: plain.needsMajority ?? false,
    routers: plain.routers,
    predecessors: plain.predecessors,
    ...(plain.era ? { era: plain.era } : {}),
    ...(plain.incompleteMs === undefined
      ? {}
      : { incompleteMs: plain.incompleteMs }),
    services: Object.fromEntries(
      Object.entries(plain.services).map(([name, list]) => [
        name,
        list.map(decodeRange),
      ]),
    ),
  };
}

/** Writer and era of a record. */
export interface RecordWriter {
  readonly incarnation: string;
  readonly era: number;
}

/** Returns the writer of a record, or `undefined` if it cannot be parsed. */
export function readWriter(text: string): RecordWriter | undefined {
  try {
    const { by, era } = JSON.parse(text) as EncodedRecord;
    return { incarnation: by.incarnation, era: era ?? 0 };
  } catch {
    return undefined;
  }
}

function encodeRange(a: Assignment): EncodedRange {
  const owner: EncodedIncarnation | null = a.owner
    ? [a.owner.id, a.owner.born]
    : null;
  const former = a.former.map((
    f,
  ): EncodedFormerOwner => [f.id, f.born, f.fence]);
  return [a.from, a.to, a.fence, owner, former];
}

function decodeRange(plain: EncodedRange): Assignment {
  const [from, to, fence, owner, former] = plain;
  const life: ServerIncarnation | undefined = owner
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
      leaseExpiryMs: 0,
    })),
    // The previous coordinator may have granted the range, so requests are sent
    // to its owner immediately.
    granted: life !== undefined && former.length === 0,
    leaseExpiryMs: 0,
    changedAtMs: 0,
  };
}
