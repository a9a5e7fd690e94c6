/** History of configuration changes, for operators. @module */
import {
  type ChangeRecord,
  type LogEntry,
  RecordKind,
  type VmId,
} from "@jaytiller/model";

/** The name of an object that operators change, such as `route/orderdesk`. */
export type ObjectName = string;

/** An accepted change of an object. */
export interface Change {
  readonly object: ObjectName;
  /** The version of the object after the change, see `computeVersion`. */
  readonly version: number;
  readonly kind: RecordKind;
  readonly operator: string;
  readonly reason: string;
  readonly atMs: number;
  readonly node: VmId;
  /** The UUID of the record. */
  readonly changeId: string;
}

/** The reason why a record had no effect. */
export enum Rejection {
  /** The object has another version than the one that the change expects. */
  Conflict = "conflict",
  /** The writer is no longer the holder of the group. */
  Superseded = "superseded",
  /** No move of the record applied, because the owners have changed. */
  OwnerChanged = "ownerChanged",
  /** A record with the same UUID or a lower offset was applied before. */
  Duplicate = "repeated",
  /** The record is malformed or contradicts the state, e.g. changes `shards`. */
  Invalid = "invalid",
}

const OBJECT_NAMES: {
  readonly [K in ChangeRecord["kind"]]: (
    r: Extract<ChangeRecord, { kind: K }>,
  ) => ObjectName;
} = {
  [RecordKind.PutRoute]: (record) => `route/${record.route.service}`,
  [RecordKind.RemoveRoute]: (record) => `route/${record.service}`,
  [RecordKind.Assign]: (record) => `unit/${record.service}/${record.unit}`,
  [RecordKind.Unassign]: (record) => `unit/${record.service}/${record.unit}`,
  [RecordKind.Drain]: (record) => `server/${record.server}`,
  [RecordKind.Undrain]: (record) => `server/${record.server}`,
  [RecordKind.ConfirmLost]: (record) => `vm/${record.vm}`,
  [RecordKind.LiftPoison]: (record) => `poison/${record.fingerprint}`,
};

/** Returns the name of the object that a record changes. */
export function getObjectName(record: ChangeRecord): ObjectName {
  const name = OBJECT_NAMES[record.kind] as (r: ChangeRecord) => ObjectName;
  return name(record);
}

/**
 * Returns the version that a record gives to its object. It is the offset of
 * the record plus 1, because offsets start at 0 and version 0 means that the
 * object does not exist.
 */
export function computeVersion(entry: LogEntry): number {
  return entry.offset + 1;
}

/** Returns the history entry of an accepted change. */
export function makeHistoryEntry(
  entry: LogEntry,
  record: ChangeRecord,
): Change {
  return {
    object: getObjectName(record),
    version: computeVersion(entry),
    kind: record.kind,
    operator: record.change.operator,
    reason: record.change.reason,
    atMs: entry.atMs,
    node: record.node,
    changeId: record.id,
  };
}
