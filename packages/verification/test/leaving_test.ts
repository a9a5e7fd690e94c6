import { type ExecutionRecord, RecordKind } from "@jaytiller/model";
import {
  type EntryHandle,
  type Fleet,
  makeReport,
  Outage,
  sendControl,
  type ServiceSpec,
} from "@jaytiller/standins";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Readable } from "node:stream";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  appendRecord,
  type Attempt,
  type CallerRequest,
  checkAtMostOnce,
  createServiceSpec,
  isAnswered,
  isRefused,
  listEffects,
  listKeys,
  LoadGenerator,
  readState,
  readUnixMs,
  sendRequest,
  startServedFleet,
  waitFor,
  waitUntil,
} from "../src/mod.js";

const SEED = Number(process.env["SEED"] ?? 1);
/**
 * Requirement: a leaving server starts no request later than this after it is
 * marked.
 */
const DRAIN_LIMIT_MS = 3_000;
const LOAD_AFTER_MARK_MS = 4_500;
const START_TIMEOUT_MS = 8_000;
const EXIT_TIMEOUT_MS = 12_000;
const LONG_TIMEOUT_MS = 12_000;
/**
 * A request sent this long before a signal has certainly reached the router.
 */
const MAX_ACCEPT_DELAY_MS = 50;
const UPLOAD_CHUNKS = 40;
const UPLOAD_CHUNK_BYTES = 75_000;
const UPLOAD_PAUSE_MS = 100;
const REPORT_BYTES = 4_000_000;
const REPORT_MS = 3_500;
const ZONE = "toledo";

const LIMITS = { deadlineMs: 10_000, maxBodyBytes: 8_000_000 };
const SERVICES = [
  createServiceSpec(
    { name: "orderdesk", pathPrefix: "orders", slots: 6 },
    LIMITS,
  ),
  createServiceSpec({
    name: "slotdesk",
    pathPrefix: "slots",
    slots: 6,
    checksOwner: false,
  }, LIMITS),
];

/** A request that runs for several seconds, and its attempt. */
interface LongRequest {
  readonly name: string;
  readonly path: string;
  readonly isUpload: boolean;
  readonly sent: Promise<Attempt>;
}

async function* makeUpload() {
  for (let i = 0; i < UPLOAD_CHUNKS; i++) {
    yield Buffer.alloc(UPLOAD_CHUNK_BYTES, i);
    await delay(UPLOAD_PAUSE_MS);
  }
}

function findRuns(fleet: Fleet, path: string): ExecutionRecord[] {
  return fleet.readAllExecutions().filter((e) => e.path === path);
}

let longRequestCount = 0;

/** Sends a request and resends it until it runs. */
function startRequest(
  fleet: Fleet,
  { name, path, isUpload, base }: Omit<LongRequest, "sent"> & {
    base: Omit<CallerRequest, "path">;
  },
): Promise<LongRequest> {
  return waitFor(`start of ${name}`, START_TIMEOUT_MS, async () => {
    const numbered = `${path}&long=${++longRequestCount}`;
    const body = isUpload ? { body: Readable.from(makeUpload()) } : {};
    const sent = sendRequest({ ...base, ...body, path: numbered });
    let ended: Attempt | undefined;
    sent.then((attempt) => ended = attempt);
    const hasRun = () => findRuns(fleet, numbered).length > 0;
    await waitFor(
      name,
      START_TIMEOUT_MS,
      () => hasRun() || ended !== undefined,
    );
    if (!hasRun()) throw new Error(`${ended?.outcome} ${ended?.reason}`);
    return { name, path: numbered, isUpload, sent };
  });
}

/** Starts an upload and a report for a key and waits until both are running. */
function startLongRequests(
  fleet: Fleet,
  { spec, key, entry }: { spec: ServiceSpec; key: string; entry: EntryHandle },
): Promise<LongRequest[]> {
  const base = {
    entryUrl: entry.callerUrl,
    service: spec.name,
    key,
    timeoutMs: LONG_TIMEOUT_MS,
  };
  const path = `/${spec.pathPrefix}/${key}`;
  const report = `${path}?ms=${REPORT_MS}&bytes=${REPORT_BYTES}`;
  return Promise.all([
    startRequest(fleet, {
      name: `upload ${key} through ${entry.id}`,
      path: `${path}?ms=1`,
      isUpload: true,
      base,
    }),
    startRequest(fleet, {
      name: `report ${key} through ${entry.id}`,
      path: report,
      isUpload: false,
      base: { ...base, method: "GET" },
    }),
  ]);
}

/** Returns the violations of a long request. */
async function checkLongRequest(
  fleet: Fleet,
  long: LongRequest,
): Promise<string[]> {
  const attempt = await long.sent;
  const result =
    `${attempt.status} ${attempt.outcome} ${attempt.reason ?? ""} ` +
    `${attempt.error ?? ""}`;
  if (!isAnswered(attempt) || attempt.status !== 200) {
    return [`${long.name}: not answered: ${result}`];
  }
  const runs = findRuns(fleet, long.path);
  // A second run would hide that the first one was interrupted.
  if (runs.length !== 1) return [`${long.name}: ran ${runs.length} times`];
  const { requestId, bodyBytes } = runs[0]!;
  if (long.isUpload) {
    const sent = UPLOAD_CHUNKS * UPLOAD_CHUNK_BYTES;
    return bodyBytes === sent
      ? []
      : [`${long.name}: ${bodyBytes} of ${sent} bytes arrived`];
  }
  const report = makeReport(requestId, { from: 0, length: REPORT_BYTES });
  const digest = createHash("sha256").update(report).digest("hex");
  return attempt.bodyDigest === digest
    ? []
    : [`${long.name}: the report is not the one of the execution`];
}

async function checkAllRequests(
  fleet: Fleet,
  { load, long }: { load: LoadGenerator; long: readonly LongRequest[] },
): Promise<{ violations: string[]; counts: string }> {
  const wrong = await Promise.all(long.map((l) => checkLongRequest(fleet, l)));
  const uploads = await Promise.all(
    long.filter((l) => l.isUpload).map((l) => l.sent),
  );
  const report = checkAtMostOnce(fleet.readAllExecutions(), [
    ...load.attempts,
    ...uploads,
  ]);
  const { answered, refused, unknown } = report;
  return {
    violations: [...wrong.flat(), ...report.violations],
    counts: `${answered} answered, ${refused} refused, ${unknown} unknown, ` +
      `${long.length} long`,
  };
}

function report(name: string, violations: readonly string[], text: string) {
  console.log(
    `leaving: ${name}: seed ${SEED}, ${text}, ${violations.length} violations`,
  );
  assert.deepEqual(violations, []);
}

function startLoad(fleet: Fleet): LoadGenerator {
  const load = new LoadGenerator(fleet, {
    seed: SEED,
    workers: 8,
    workMs: 100,
  });
  load.start();
  return load;
}

/** Test case of how a backend server is marked as leaving. */
interface LeaveCase {
  readonly name: string;
  readonly logDown?: boolean;
  readonly markLeaving: (fleet: Fleet, server: string) => Promise<unknown>;
}

function markLeavingInVmList(fleet: Fleet, server: string): Promise<void> {
  return fleet.changeVmList({ leaving: server });
}

const LEAVE_CASES: readonly LeaveCase[] = [
  { name: "server leaving in the VM list", markLeaving: markLeavingInVmList },
  {
    name: "server drained by an operator",
    markLeaving: (fleet, server) =>
      appendRecord(fleet, {
        kind: RecordKind.Drain,
        change: { operator: "test", reason: "test", expectVersion: 0 },
        server,
      }),
  },
  {
    name: "server leaving in the VM list with the log down",
    logDown: true,
    markLeaving: markLeavingInVmList,
  },
];

async function runLeaveCase(
  fleet: Fleet,
  { name, markLeaving, logDown }: LeaveCase,
) {
  const state = await readState(fleet);
  const load = startLoad(fleet);
  const long: LongRequest[] = [];
  const servers: string[] = [];
  for (const spec of SERVICES) {
    const server = `${spec.name}-${ZONE}-1`;
    servers.push(server);
    const key = listKeys(spec, spec.shards).find((k) =>
      state.getOwner(spec.name, state.resolveUnit(spec.name, k)!)?.server ===
        server
    );
    assert.ok(key, `${server} owns no key.`);
    const entry = fleet.entries.at(-1)!;
    long.push(...await startLongRequests(fleet, { spec, key, entry }));
  }
  if (logDown) await sendControl(fleet.log.url, { outage: Outage.Down });
  const markMs = readUnixMs();
  await Promise.all(servers.map((s) => markLeaving(fleet, s)));
  await waitUntil(markMs + LOAD_AFTER_MARK_MS);
  await load.stop();
  const { violations, counts } = await checkAllRequests(fleet, { load, long });
  const limitMs = markMs + DRAIN_LIMIT_MS;
  const last: number[] = [];
  for (const server of servers) {
    const starts = fleet.readAllExecutions()
      .filter((e) => e.server === server).map((e) => e.startMs);
    const late = starts.filter((ms) => ms > limitMs).length;
    if (late > 0) violations.push(`${server}: ${late} starts after the limit`);
    assert.ok(starts.some((ms) => ms < markMs), `${server} was idle before.`);
    last.push(Math.max(...starts) - markMs);
  }
  const lastText = last.map((ms) => ms.toFixed()).join(" and ");
  report(name, violations, `${counts}, last start ${lastText} ms after`);
  const ended = load.attempts.filter((a) => a.endMs > limitMs).length;
  assert.ok(ended > 5, "Too few requests ended after the limit.");
}

/** Test case of routers that are stopped one after the other. */
interface StopCase {
  readonly name: string;
  readonly rounds: number;
  /** Number of entry VMs, of which at least one must remain. */
  readonly entries: number;
  readonly logDown?: boolean;
  readonly findEntry: (fleet: Fleet) => Promise<EntryHandle>;
}

/**
 * Finds a holder by the routers' output, because the log records no handovers.
 */
function findGroupHolder(fleet: Fleet, spec = SERVICES[0]!) {
  const group = `${spec.name}/${ZONE}`;
  return waitFor(
    `holder of ${group}`,
    START_TIMEOUT_MS,
    () =>
      fleet.entries.find((e) => {
        const lines = e.child.output.split("\n")
          .filter((l) => l.includes(`${group}: `) && l.includes("holds it"));
        return !e.child.exit && lines.at(-1)?.includes(": holds it");
      }),
  );
}

async function findNonHolder(fleet: Fleet): Promise<EntryHandle> {
  const holders = await Promise.all(
    SERVICES.map((s) => findGroupHolder(fleet, s)),
  );
  return fleet.entries.find((e) => !e.child.exit && !holders.includes(e))!;
}

const STOP_CASES: readonly StopCase[] = [
  {
    name: "two holders stopped after each other",
    rounds: 2,
    entries: 3,
    findEntry: findGroupHolder,
  },
  {
    name: "two entry routers stopped after each other",
    rounds: 2,
    // The two groups may have different holders.
    entries: 4,
    findEntry: findNonHolder,
  },
  {
    name: "holder stopped with the log down",
    rounds: 1,
    entries: 3,
    logDown: true,
    findEntry: findGroupHolder,
  },
];

/** Describes attempts around a stop that were neither answered nor refused. */
function checkStop(
  attempts: readonly Attempt[],
  stop: { entry: EntryHandle; markMs: number; endMs: number },
): string[] {
  const { entry, markMs, endMs } = stop;
  return attempts.filter((a) => {
    if (isAnswered(a) || (isRefused(a) && a.complete)) return false;
    if (a.entryUrl !== entry.callerUrl) {
      return a.endMs > markMs && a.sentMs < endMs;
    }
    // The host may refuse later connections to the router that is stopping.
    return a.endMs > markMs && a.sentMs < markMs - MAX_ACCEPT_DELAY_MS;
  }).map((a) =>
    `stop of ${entry.id}: ${a.key} through ${a.entryUrl}: ` +
    `${a.status} ${a.outcome} ${a.reason} ${a.error}, sent ` +
    `${(a.sentMs - markMs).toFixed()} ms and ended ` +
    `${(a.endMs - markMs).toFixed()} ms after the signal`
  );
}

async function runStopCase(fleet: Fleet, stopCase: StopCase) {
  const { name, rounds, logDown, findEntry } = stopCase;
  const load = startLoad(fleet);
  const long: LongRequest[] = [];
  const stops: { entry: EntryHandle; markMs: number; endMs: number }[] = [];
  for (let round = 0; round < rounds; round++) {
    const entry = await findEntry(fleet);
    const other = fleet.entries.find((e) => e !== entry && !e.child.exit)!;
    const starts = SERVICES.flatMap((spec) =>
      [entry, other].map((through, i) => {
        const key = listKeys(spec, 2)[i]!;
        return startLongRequests(fleet, { spec, key, entry: through });
      })
    );
    long.push(...(await Promise.all(starts)).flat());
    if (logDown) await sendControl(fleet.log.url, { outage: Outage.Down });
    const markMs = readUnixMs();
    entry.child.kill("SIGTERM");
    const exit = await entry.child.waitForExit(EXIT_TIMEOUT_MS);
    assert.deepEqual(exit, { code: 0, signal: null }, entry.child.output);
    stops.push({ entry, markMs, endMs: readUnixMs() + 500 });
    await delay(500);
  }
  await load.stop();
  const effects = listEffects(fleet.readAllExecutions())
    .filter((e) => e.effectMs > stops[0]!.markMs).length;
  const { violations, counts } = await checkAllRequests(fleet, { load, long });
  violations.push(...stops.flatMap((s) => checkStop(load.attempts, s)));
  const exitTimes = stops.map((s) => (s.endMs - 500 - s.markMs).toFixed());
  report(
    name,
    violations,
    `${counts}, exit after ${exitTimes.join(" and ")} ms`,
  );
  assert.ok(effects > 20, "Too few requests took effect.");
}

const CASES: readonly {
  readonly name: string;
  readonly entries: number;
  readonly run: (fleet: Fleet) => Promise<void>;
}[] = [
  ...LEAVE_CASES.map((c) => ({
    name: c.name,
    entries: 2,
    run: (fleet: Fleet) => runLeaveCase(fleet, c),
  })),
  ...STOP_CASES.map((c) => ({
    name: c.name,
    entries: c.entries,
    run: (fleet: Fleet) => runStopCase(fleet, c),
  })),
];

describe("leaving", { concurrency: 3 }, () => {
  for (const { name, entries, run } of CASES) {
    describe(name, () => {
      let fleet: Fleet;
      before(async () => {
        fleet = await startServedFleet({
          zones: [ZONE],
          entriesPerZone: entries,
          services: SERVICES,
        });
      });
      after(() => fleet.stop());

      /**
       * Guards against late starts, interrupted requests and duplicate runs.
       */
      test(`leaving: ${name}`, () => run(fleet));
    });
  }
});
