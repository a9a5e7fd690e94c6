/** Validates the fields of log records. @module */
import { RecordKind, RequestClass } from "@jaytiller/model";

type Validator = (value: unknown) => boolean;
type Shape = Readonly<Record<string, Validator>>;

const REQUEST_CLASSES: readonly unknown[] = Object.values(RequestClass);

const isString: Validator = (v) => typeof v === "string";
const isNonEmptyString: Validator = (v) => typeof v === "string" && v !== "";
const isBoolean: Validator = (v) => typeof v === "boolean";
const isInteger: Validator = (v) => Number.isSafeInteger(v);
const isPositiveInteger: Validator = (v) =>
  Number.isSafeInteger(v) && Number(v) > 0;
const isNonNegativeNumber: Validator = (v) =>
  Number.isFinite(v) && Number(v) >= 0;
const isGroupId: Validator = (v) =>
  typeof v === "string" && /^.+\/[^/]+$/.test(v);
const isUnitId: Validator = (v) =>
  typeof v === "string" && /^(s:\d+$|k:)/.test(v);
const isNonEmptyStringOrNull: Validator = (v) =>
  v === null || isNonEmptyString(v);

function isListOf(check: Validator): Validator {
  return (v) => Array.isArray(v) && v.every(check);
}

function hasShape(shape: Shape): Validator {
  return (v) =>
    typeof v === "object" && v !== null &&
    Object.entries(shape).every(([name, check]) =>
      check((v as Record<string, unknown>)[name])
    );
}

const isChange = hasShape({
  operator: isString,
  reason: isString,
  expectVersion: isInteger,
});

const isMove = hasShape({
  service: isNonEmptyString,
  unit: isUnitId,
  from: isNonEmptyStringOrNull,
  to: isNonEmptyString,
  toGroup: isGroupId,
  reason: isString,
});

const isRule = hasShape({
  prefix: isString,
  methods: isListOf(isString),
  idempotent: isBoolean,
  class: (v) => REQUEST_CLASSES.includes(v),
  deadlineMs: isNonNegativeNumber,
  maxBodyBytes: isNonNegativeNumber,
});

const isRoute = hasShape({
  service: isNonEmptyString,
  pathPrefix: isNonEmptyString,
  shards: isPositiveInteger,
  checksOwner: isBoolean,
  slots: isPositiveInteger,
  connections: isPositiveInteger,
  rules: isListOf(isRule),
});

const RECORD_SHAPES: Readonly<Record<RecordKind, Shape>> = {
  [RecordKind.Claim]: { group: isGroupId, supersedes: isInteger },
  [RecordKind.Move]: {
    group: isGroupId,
    token: isString,
    moves: isListOf(isMove),
  },
  [RecordKind.ServerHealth]: {
    group: isGroupId,
    token: isString,
    server: isNonEmptyString,
    answers: isBoolean,
  },
  [RecordKind.PutRoute]: { change: isChange, route: isRoute },
  [RecordKind.RemoveRoute]: { change: isChange, service: isNonEmptyString },
  [RecordKind.Assign]: {
    change: isChange,
    service: isNonEmptyString,
    unit: isUnitId,
    server: isNonEmptyString,
  },
  [RecordKind.Unassign]: {
    change: isChange,
    service: isNonEmptyString,
    unit: isUnitId,
  },
  [RecordKind.Drain]: { change: isChange, server: isNonEmptyString },
  [RecordKind.Undrain]: { change: isChange, server: isNonEmptyString },
  [RecordKind.ConfirmLost]: { change: isChange, vm: isNonEmptyString },
  [RecordKind.Poison]: {
    service: isNonEmptyString,
    fingerprint: isNonEmptyString,
    summary: isString,
    crashes: isInteger,
  },
  [RecordKind.LiftPoison]: { change: isChange, fingerprint: isNonEmptyString },
  [RecordKind.Snapshot]: { upTo: isInteger },
};

const COMMON_SHAPE: Shape = { id: isNonEmptyString, node: isNonEmptyString };

/** Returns whether this version of the software knows the kind of record. */
export function isKnownKind(kind: unknown): kind is RecordKind {
  // `hasOwn` excludes inherited property names such as `toString`.
  return typeof kind === "string" && Object.hasOwn(RECORD_SHAPES, kind);
}

/** Returns whether a record of a known kind has all fields that are used. */
export function isValid(kind: RecordKind, record: unknown): boolean {
  return hasShape({ ...COMMON_SHAPE, ...RECORD_SHAPES[kind] })(record);
}
