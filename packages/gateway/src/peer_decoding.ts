/**
 * Checks messages of other routers before anything follows from them. Fields
 * that are not known here are ignored: other builds may send them.
 * @module
 */
import {
  FieldError,
  readAddress,
  readArray,
  readBoolean,
  readInteger,
  readNumber,
  readObject,
  readString,
} from "@jaytiller/kernel";
import type { RouterRef } from "@jaytiller/ranges";
import { ServerState } from "@jaytiller/routing";
import {
  decodeAdmissionFields,
  decodeDemandFields,
} from "./admission_messages.js";
import { COLD_FIELDS, decodeColdFields } from "./cold_messages.js";
import { splitLeaseMessage, splitLeaseReply } from "./lease_decoding.js";
import type {
  Heartbeat,
  HeartbeatReply,
  JoinReply,
  PermitReply,
  PermitRequest,
  SilenceReply,
} from "./peer_messages.js";

const STATES: ReadonlySet<unknown> = new Set(Object.values(ServerState));

/** Fields whose malformed values count as absent; added once checked. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set([
  "overloaded",
  "overloadedServices",
  "priorities",
  "occupancies",
  "malformedFields",
  ...COLD_FIELDS,
]);

/** Returns a copy of a message without some fields. */
function omitFields<T extends object>(
  message: T,
  names: ReadonlySet<string>,
): T {
  const kept = Object.entries(message).filter(([name]) => !names.has(name));
  return Object.fromEntries(kept) as T;
}

/** Checks a reference to a router. Throws a `FieldError`. */
export function decodeRouterRef(value: unknown, path = "router"): RouterRef {
  const router = readObject(value, path);
  for (const name of ["node", "incarnation", "zone"]) {
    readString(router[name], `${path}.${name}`);
  }
  readNumber(router["cores"], `${path}.cores`);
  readAddress(router["address"], `${path}.address`);
  return value as RouterRef;
}

/**
 * Checks a heartbeat. Throws a `FieldError`; malformed values of optional fields
 * are removed and reported instead.
 */
export function decodeHeartbeat(value: unknown): Heartbeat {
  const beat = readObject(value, "heartbeat");
  const malformed: string[] = [];
  const onMalformed = ({ message }: FieldError) => malformed.push(message);
  readInteger(beat["term"], "term");
  decodeRouterRef(beat["coordinator"], "coordinator");
  for (const name of ["routers", "serversPosition"]) {
    readNumber(beat[name], name);
  }
  if (beat["configuration"] !== undefined) {
    checkConfiguration(beat["configuration"]);
  }
  readInteger(beat["configurationVersion"] ?? 0, "configurationVersion");
  checkDelta(
    beat["servers"],
    "servers",
    (item, path) => checkServerChange(item, path, onMalformed),
  );
  checkDelta(beat["owners"], "owners", checkServiceRanges);
  for (const fingerprint of readArray(beat["barred"] ?? [], "barred")) {
    readString(fingerprint, "barred");
  }
  checkNotices(beat["notices"]);
  const shares = decodeAdmissionFields(beat, malformed);
  const cold = decodeColdFields(beat, malformed);
  const { rest, fields, problem } = splitLeaseMessage(beat);
  if (problem !== undefined) malformed.push(problem);
  const kept = dropMalformedEvacuations(
    omitFields(rest as unknown as Heartbeat, OPTIONAL_FIELDS),
    onMalformed,
  );
  return {
    ...kept,
    ...fields,
    ...shares,
    ...cold,
    ...(malformed.length > 0 ? { malformedFields: malformed } : {}),
    configurationAgeMs: readAge(
      beat["configurationAgeMs"],
      "configurationAgeMs",
    ),
    serversAgeMs: readAge(beat["serversAgeMs"], "serversAgeMs"),
  };
}

/**
 * Returns the heartbeat without its evacuations if they are malformed. The rest
 * of it still counts, so that this router does not take over from its sender.
 */
function dropMalformedEvacuations(
  beat: Heartbeat,
  onMalformed: (error: FieldError) => void,
): Heartbeat {
  const { operatorPosition, evacuated, returned, ...rest } = beat;
  try {
    if (operatorPosition === undefined) return rest;
    readInteger(operatorPosition, "operatorPosition");
    for (const item of readArray(evacuated ?? [], "evacuated")) {
      checkZone(item, "evacuated");
      const { offset } = readObject(item, "evacuated");
      readInteger(offset, "evacuated.offset");
    }
    for (const item of readArray(returned ?? [], "returned")) {
      checkZone(item, "returned");
    }
    return beat;
  } catch (error) {
    if (!(error instanceof FieldError)) throw error;
    onMalformed(error);
    return rest;
  }
}

function checkZone(value: unknown, path: string): void {
  const { zone, sinceMs } = readObject(value, path);
  readString(zone, `${path}.zone`);
  readNumber(sinceMs, `${path}.sinceMs`);
}

/** Reads an age, ms; that of what was never read is infinite, `null` in JSON. */
function readAge(value: unknown, path: string): number {
  return value === null ? Infinity : readNumber(value, path);
}

/** Checks the reply to a heartbeat. Throws a `FieldError`. */
export function decodeHeartbeatReply(value: unknown): HeartbeatReply {
  const reply = readObject(value, "reply");
  decodeRouterRef(reply["router"]);
  for (const name of ["version", "serversNumber", "ownersNumber"]) {
    readNumber(reply[name], name);
  }
  // A router that follows no coordinator yet replies with -1.
  if (reply["term"] !== -1) readInteger(reply["term"], "term");
  for (const item of readArray(reply["keys"], "keys")) {
    const [service, key, count] = readArray(item, "keys");
    readString(service, "keys.service");
    readInteger(key, "keys.key");
    readNumber(count, "keys.count");
  }
  for (const item of readArray(reply["times"], "times")) {
    const [server, count, sumMs] = readArray(item, "times");
    readString(server, "times.server");
    readNumber(count, "times.count");
    readNumber(sumMs, "times.sumMs");
  }
  const { crashes, answered } = readObject(reply["crashes"], "crashes");
  for (const crash of readArray(crashes, "crashes")) {
    const { fingerprint, life } = readObject(crash, "crashes");
    readString(fingerprint, "crashes.fingerprint");
    readString(life, "crashes.life");
  }
  readArray(answered, "crashes.answered");
  checkNotices(reply["notices"]);
  const malformed: string[] = [];
  const demand = decodeDemandFields(reply, malformed);
  const cold = decodeColdFields(reply, malformed);
  const { rest, fields, problem } = splitLeaseReply(reply);
  if (problem !== undefined) malformed.push(problem);
  return {
    ...omitFields(rest as unknown as HeartbeatReply, OPTIONAL_FIELDS),
    ...fields,
    ...demand,
    ...cold,
    ...(malformed.length > 0 ? { malformedFields: malformed } : {}),
  };
}

/** Checks the reply to a join request. Throws a `FieldError`. */
export function decodeJoinReply(value: unknown): JoinReply {
  const { accepted } = readObject(value, "reply");
  return { accepted: readBoolean(accepted, "accepted") };
}

/** Checks how long a router has heard no coordinator. Throws a `FieldError`. */
export function decodeSilenceReply(value: unknown): SilenceReply {
  const reply = readObject(value, "reply");
  return {
    silentMs: readNumber(reply["silentMs"], "silentMs"),
    term: Number(reply["term"]),
  };
}

/** Checks a request for permits. Throws a `FieldError`. */
export function decodePermitRequest(value: unknown): PermitRequest {
  const request = readObject(value, "request");
  return {
    server: readString(request["server"], "server"),
    requestsPerSecond: readNumber(
      request["requestsPerSecond"],
      "requestsPerSecond",
    ),
    count: readInteger(request["count"], "count"),
  };
}

/** Checks the reply to a request for permits. Throws a `FieldError`. */
export function decodePermitReply(value: unknown): PermitReply {
  const reply = readObject(value, "reply");
  return {
    accepted: readBoolean(reply["accepted"], "accepted"),
    granted: readInteger(reply["granted"], "granted"),
    waitMs: readNumber(reply["waitMs"], "waitMs"),
  };
}

function checkNotices(value: unknown): void {
  for (const item of readArray(value ?? [], "notices")) {
    const notice = readObject(item, "notices");
    readString(notice["server"], "notices.server");
    readInteger(notice["born"], "notices.born");
    readNumber(notice["ageMs"], "notices.ageMs");
    readNumber(notice["requestsPerSecond"] ?? 0, "notices.requestsPerSecond");
    readNumber(notice["leavingMs"] ?? 0, "notices.leavingMs");
  }
}

function checkConfiguration(value: unknown): void {
  const configuration = readObject(value, "configuration");
  readInteger(configuration["version"], "configuration.version");
  readArray(configuration["routes"], "configuration.routes");
  readArray(configuration["services"], "configuration.services");
  readObject(configuration["limits"], "configuration.limits");
}

function checkDelta(
  value: unknown,
  path: string,
  checkItem: (item: unknown, path: string) => void,
): void {
  if (value === undefined) return;
  const delta = readObject(value, path);
  readInteger(delta["base"], `${path}.base`);
  readInteger(delta["number"], `${path}.number`);
  for (const item of readArray(delta["items"], `${path}.items`)) {
    checkItem(item, `${path}.items`);
  }
}

function checkServerChange(
  value: unknown,
  path: string,
  onMalformed: (error: FieldError) => void,
): void {
  const { id, entry } = readObject(value, path);
  readString(id, `${path}.id`);
  if (entry === undefined) return;
  const server = readObject(entry, `${path}.entry`);
  for (const name of ["id", "service", "zone"]) {
    readString(server[name], `${path}.entry.${name}`);
  }
  readAddress(server["address"], `${path}.entry.address`);
  readNumber(server["slots"], `${path}.entry.slots`);
  const { coldMs } = server;
  if (
    coldMs !== undefined && !(Number(coldMs) >= 0 && Number.isFinite(coldMs))
  ) {
    delete (server as Record<string, unknown>)["coldMs"];
    onMalformed(new FieldError(`${path}.entry.coldMs`, "a time, ms", coldMs));
  }
  if (!STATES.has(server["state"])) {
    throw new FieldError(`${path}.entry.state`, "a state", server["state"]);
  }
}

function checkServiceRanges(value: unknown, path: string): void {
  const { service, ranges } = readObject(value, path);
  readString(service, `${path}.service`);
  for (const item of readArray(ranges, `${path}.ranges`)) {
    const range = readObject(item, `${path}.ranges`);
    readInteger(range["from"], `${path}.ranges.from`);
    readInteger(range["to"], `${path}.ranges.to`);
  }
}
