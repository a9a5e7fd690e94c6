/** Makes valid records for tests. @module */
import {
  type LogEntry,
  type LogRecord,
  RecordKind,
  RequestClass,
} from "@jaytiller/model";

let count = 0;

type Fields = Readonly<Record<string, unknown>>;

/** Makes the change information of a record that expects a version. */
export function makeChange(expectVersion: number, operator = "ann"): Fields {
  return { operator, reason: "planned", expectVersion };
}

export const ROUTE = {
  service: "orderdesk",
  pathPrefix: "/orders",
  shards: 4,
  checksOwner: true,
  slots: 3,
  connections: 130,
  rules: [{
    prefix: "/",
    methods: ["GET"],
    idempotent: true,
    class: RequestClass.Normal,
    deadlineMs: 1_000,
    maxBodyBytes: 1_024,
  }],
};

/** The fields of a valid record of each kind. */
export const SAMPLES: Readonly<Record<RecordKind, Fields>> = {
  [RecordKind.Claim]: { group: "orderdesk/erie", supersedes: -1 },
  [RecordKind.Move]: {
    group: "orderdesk/erie",
    token: "1.0",
    moves: [{
      service: "orderdesk",
      unit: "s:1",
      from: null,
      to: "b1",
      toGroup: "orderdesk/erie",
      reason: "first owner",
    }],
  },
  [RecordKind.ServerHealth]: {
    group: "orderdesk/erie",
    token: "1.0",
    server: "b1",
    answers: false,
  },
  [RecordKind.PutRoute]: { change: makeChange(0), route: ROUTE },
  [RecordKind.RemoveRoute]: { change: makeChange(0), service: "orderdesk" },
  [RecordKind.Assign]: {
    change: makeChange(0),
    service: "orderdesk",
    unit: "k:a",
    server: "b1",
  },
  [RecordKind.Unassign]: {
    change: makeChange(0),
    service: "orderdesk",
    unit: "k:a",
  },
  [RecordKind.Drain]: { change: makeChange(0), server: "b1" },
  [RecordKind.Undrain]: { change: makeChange(0), server: "b1" },
  [RecordKind.ConfirmLost]: { change: makeChange(0), vm: "e1" },
  [RecordKind.Poison]: {
    service: "orderdesk",
    fingerprint: "f",
    summary: "POST /orders/a",
    crashes: 2,
  },
  [RecordKind.LiftPoison]: { change: makeChange(0), fingerprint: "f" },
  [RecordKind.Snapshot]: { upTo: 0, state: {} },
};

/** Makes a record from the sample of its kind, overriding some fields. */
export function makeRecord(kind: string, fields: Fields = {}): LogRecord {
  const sample = SAMPLES[kind as RecordKind] ?? {};
  const base = { kind, id: `id-${count++}`, hlc: "", node: "e1" };
  return { ...base, ...sample, ...fields } as unknown as LogRecord;
}

/** Makes a `putRoute` record of the sample route, overriding some fields. */
export function makePut(expectVersion: number, route: Fields = {}): LogRecord {
  return makeRecord(RecordKind.PutRoute, {
    change: makeChange(expectVersion),
    route: { ...ROUTE, ...route },
  });
}

/** Makes a record that moves one unit, overriding some fields of the sample. */
export function makeMove(token: string, move: Fields): LogRecord {
  const [sample] = SAMPLES[RecordKind.Move].moves as Fields[];
  const moves = [{ ...sample, ...move }];
  return makeRecord(RecordKind.Move, { token, moves });
}

/** Makes log entries with consecutive offsets from 0. */
export function makeEntries(records: readonly LogRecord[]): LogEntry[] {
  return records.map((record, offset) => ({ offset, atMs: offset, record }));
}
