import { Reason, RecordKind } from "@jaytiller/model";
import { type ChangeResult, formatRoute, OperatorClient } from "@jaytiller/rpc";
import {
  type EntryHandle,
  type Fleet,
  LinkMode,
  makeRoute,
  Outage,
  sendControl,
} from "@jaytiller/standins";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  appendRecord,
  type Attempt,
  checkAtMostOnce,
  createServiceSpec,
  isAnswered,
  isRefused,
  killProcess,
  listKeys,
  readState,
  readUnixMs,
  sendRequest,
  startServedFleet,
  waitFor,
} from "../src/mod.js";

/** Required time until a change is in force through all routers. */
const IN_FORCE_LIMIT_MS = 4_000;
/** Longer, because new holders run no requests from before their takeover. */
const RESTART_LIMIT_MS = 10_000;
const SAMPLING_MS = 1_000;
/** A case with fewer samples tests too little. */
const MIN_SAMPLES = 20;
const SAMPLES_TIMEOUT_MS = 5_000;
const SAMPLE_PAUSE_MS = 40;
const RACES = 10;
/** More records than four `records` messages between routers carry. */
const EXTRA_RECORDS = 2_040;
const CONCURRENT_APPENDS = 60;
/**
 * Limits only increase, so that refusals reveal a router with an older route.
 */
const FIRST_LIMIT = 1_000;
const SERVICE = createServiceSpec({ name: "orderdesk", pathPrefix: "orders" }, {
  maxBodyBytes: FIRST_LIMIT,
});
const OBJECT = `route/${SERVICE.name}`;
const KEYS = listKeys(SERVICE, SERVICE.shards);

/** State of a body limit as seen through one router. */
enum LimitState {
  InForce = "inForce",
  NotInForce = "notInForce",
  /** At least one request ended for a reason other than its size. */
  Undecided = "undecided",
}

let lastLimit = FIRST_LIMIT;
let probeCount = 0;
const attempts: Attempt[] = [];

/** Returns a body limit that is higher than all earlier ones. */
function nextLimit(): number {
  return lastLimit += 100;
}

async function sendBody(entry: EntryHandle, bytes: number): Promise<Attempt> {
  const key = KEYS[probeCount++ % KEYS.length]!;
  const attempt = await sendRequest({
    entryUrl: entry.callerUrl,
    service: SERVICE.name,
    key,
    path: `/${SERVICE.pathPrefix}/${key}`,
    body: Buffer.alloc(bytes, "x"),
  });
  attempts.push(attempt);
  return attempt;
}

function isRefusedWith(attempt: Attempt, ...reasons: Reason[]): boolean {
  return isRefused(attempt) && reasons.some((r) => r === attempt.reason);
}

/** Probes a limit with a body of exactly that length and one a byte longer. */
async function probeLimit(
  entry: EntryHandle,
  limit: number,
): Promise<LimitState> {
  const [fits, exceeds] = await Promise.all([
    sendBody(entry, limit),
    sendBody(entry, limit + 1),
  ]);
  const { BodyTooLarge, NoRoute } = Reason;
  if (isRefusedWith(fits, BodyTooLarge, NoRoute)) return LimitState.NotInForce;
  if (isAnswered(exceeds) || isRefusedWith(exceeds, NoRoute)) {
    return LimitState.NotInForce;
  }
  return isAnswered(fits) && isRefusedWith(exceeds, BodyTooLarge)
    ? LimitState.InForce
    : LimitState.Undecided;
}

/**
 * Waits until a limit is in force through all routers and returns the time in
 * ms.
 */
async function waitUntilInForce(
  fleet: Fleet,
  limit: number,
  { fromMs = readUnixMs(), withinMs = IN_FORCE_LIMIT_MS } = {},
): Promise<number> {
  await Promise.all(
    fleet.entries.map((entry) =>
      waitFor(`limit ${limit} through ${entry.id}`, withinMs, async () => {
        const view = await probeLimit(entry, limit);
        if (view === LimitState.InForce) return true;
        throw new Error(view);
      })
    ),
  );
  const tookMs = readUnixMs() - fromMs;
  assert.ok(tookMs <= withinMs, `${limit} took ${tookMs.toFixed()} ms`);
  return tookMs;
}

/** Probes a limit through all running routers until it is stopped. */
class LimitSampler {
  readonly reverted: string[] = [];
  decidedSamples = 0;
  #stopped = false;
  #running: Promise<void>;

  constructor(fleet: Fleet, limit: number) {
    this.#running = this.#sample(fleet, limit);
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#running;
  }

  async #sample(fleet: Fleet, limit: number): Promise<void> {
    while (!this.#stopped) {
      const running = fleet.entries.filter((e) => !e.child.exit);
      await Promise.all(running.map(async (entry) => {
        const view = await probeLimit(entry, limit);
        if (view !== LimitState.Undecided) this.decidedSamples += 1;
        if (view === LimitState.NotInForce) {
          this.reverted.push(`${entry.id} at ${readUnixMs().toFixed()}`);
        }
      }));
      await delay(SAMPLE_PAUSE_MS);
    }
  }
}

/** Changes the body limit through the operator interface of one router. */
async function changeLimit(
  entry: EntryHandle,
  limit: number,
  change: { operator?: string; expectVersion: number; changeId?: string },
): Promise<ChangeResult> {
  const client = await OperatorClient.connect(entry.operatorAddress);
  const route = makeRoute({
    ...SERVICE,
    pathPrefix: `/${SERVICE.pathPrefix}`,
    rules: SERVICE.rules.map((r) => ({ ...r, maxBodyBytes: limit })),
  });
  try {
    return await client.putRoute({
      change: {
        operator: "kim",
        changeId: randomUUID(),
        reason: `limit ${limit}`,
        ...change,
      },
      route: formatRoute(route),
    });
  } finally {
    client.close();
  }
}

async function readVersion(fleet: Fleet): Promise<number> {
  return (await readState(fleet)).getVersion(OBJECT);
}

function checkExecutions(fleet: Fleet): readonly string[] {
  return checkAtMostOnce(fleet.readAllExecutions(), attempts).violations;
}

/** Starts another router while the log is down, then ends the outage. */
async function startRouterWithoutLog(
  fleet: Fleet,
  id: string,
  limit: number,
): Promise<string> {
  await sendControl(fleet.log.url, { outage: Outage.Down });
  await fleet.startEntry({ id, zone: id.split("-")[1]! });
  const tookMs = await waitUntilInForce(fleet, limit);
  await delay(SAMPLING_MS);
  await sendControl(fleet.log.url, { clear: true });
  return `, on ${id} after ${tookMs.toFixed()} ms`;
}

/** Appends many records without effect after the last change. */
async function appendExtraRecords(fleet: Fleet): Promise<void> {
  for (let i = 0; i < EXTRA_RECORDS; i += CONCURRENT_APPENDS) {
    await Promise.all(
      Array.from({ length: CONCURRENT_APPENDS }, () =>
        appendRecord(fleet, {
          kind: RecordKind.ServerHealth,
          group: "orderdesk/none",
          token: "0.0",
          server: "none",
          answers: true,
        })),
    );
  }
}

async function restartAllRouters(fleet: Fleet, limit: number): Promise<string> {
  const entries = [...fleet.entries];
  await Promise.all(entries.map((e) => killProcess(e.child)));
  await Promise.all(
    entries.map(({ id, zone }) => fleet.startEntry({ id, zone })),
  );
  const withinMs = RESTART_LIMIT_MS;
  const tookMs = await waitUntilInForce(fleet, limit, { withinMs });
  return `, all routers anew after ${tookMs.toFixed()} ms`;
}

/**
 * Test case with faults before a change and after it is in force everywhere.
 */
interface ChangeCase {
  readonly name: string;
  readonly prepare?: (fleet: Fleet) => Promise<unknown>;
  /** Returns text to add to the report. */
  readonly disturb?: (fleet: Fleet, limit: number) => Promise<string>;
}

const setLogLink = (fleet: Fleet, source: string, mode: LinkMode) =>
  fleet.network.setLinks({ link: `${source}>log`, mode });

const CASES: readonly ChangeCase[] = [
  { name: "all routers reach the log" },
  {
    name: "one router cut from the log but not from its peers",
    prepare: (fleet) => setLogLink(fleet, "entry-erie-1", LinkMode.Cut),
  },
  {
    name: "the routers of a zone cut from the log but not from their peers",
    prepare: (fleet) => setLogLink(fleet, "entry-erie-*", LinkMode.Cut),
  },
  {
    name: "a router started while the log is down",
    disturb: (fleet, limit) =>
      startRouterWithoutLog(fleet, "entry-erie-3", limit),
  },
  {
    name: "all routers killed and started anew",
    disturb: restartAllRouters,
  },
  {
    name:
      "a first router of a zone started without the log, after many records",
    prepare: appendExtraRecords,
    disturb: (fleet, limit) =>
      startRouterWithoutLog(fleet, "entry-sandusky-1", limit),
  },
];

/** Ends all faults, so that a failed case does not affect the next one. */
async function endFaults(fleet: Fleet): Promise<void> {
  await sendControl(fleet.log.url, { clear: true });
  await setLogLink(fleet, "entry-*", LinkMode.Pass);
}

/** Makes a change under the faults of a case and samples its effect. */
async function runCase(fleet: Fleet, { name, prepare, disturb }: ChangeCase) {
  await prepare?.(fleet);
  const expectVersion = await readVersion(fleet);
  const limit = nextLimit();
  const fromMs = readUnixMs();
  const result = await changeLimit(fleet.entries[0]!, limit, { expectVersion });
  assert.equal(result.result, "accepted", JSON.stringify(result));
  const tookMs = await waitUntilInForce(fleet, limit, { fromMs });
  const sampler = new LimitSampler(fleet, limit);
  let details = "";
  try {
    details = await disturb?.(fleet, limit) ?? "";
    await delay(SAMPLING_MS);
    // On a busy machine, a case of the usual length yields only 20 samples.
    await waitFor(
      "enough samples",
      SAMPLES_TIMEOUT_MS,
      () => sampler.decidedSamples > MIN_SAMPLES,
    );
  } finally {
    await sampler.stop();
    const violations = checkExecutions(fleet);
    console.log(
      `configuration: ${name}: in force after ${tookMs.toFixed()} ms${details}; ` +
        `${sampler.decidedSamples} samples, ${sampler.reverted.length} reverted; ` +
        `${violations.length} violations`,
    );
    assert.deepEqual(sampler.reverted, []);
    assert.deepEqual(violations, []);
  }
}

/** Has two operators change the same version and returns the accepted limit. */
async function runRace(fleet: Fleet, round: number): Promise<number> {
  const expectVersion = await readVersion(fleet);
  const { length } = fleet.entries;
  const rivals = ["kim", "lee"].map((operator, i) => ({
    operator,
    limit: nextLimit(),
    entry: fleet.entries[(round + i * (1 + round % (length - 1))) % length]!,
  }));
  const results = await Promise.all(
    rivals.map(({ entry, limit, operator }) =>
      changeLimit(entry, limit, { operator, expectVersion })
    ),
  );
  const kinds = results.map((r) => r.result);
  assert.deepEqual([...kinds].sort(), ["accepted", "conflict"]);
  const won = kinds.indexOf("accepted");
  const { operator, version } = results[1 - won]!.conflict!;
  assert.deepEqual({ operator, version }, {
    operator: rivals[won]!.operator,
    version: results[won]!.accepted!.version,
  });
  return rivals[won]!.limit;
}

/**
 * Returns the versions of the changes with this UUID, as each router reports
 * them.
 */
function listVersions(fleet: Fleet, changeId: string): Promise<number[][]> {
  return Promise.all(fleet.entries.map(async (entry) => {
    const client = await OperatorClient.connect(entry.operatorAddress);
    const { changes } = await client.getHistory({ object: OBJECT });
    client.close();
    return changes.filter((c) => c.changeId === changeId)
      .map((c) => c.version);
  }));
}

describe("configuration", { concurrency: 1 }, () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startServedFleet({
      zones: ["toledo", "erie"],
      entriesPerZone: 2,
      services: [SERVICE],
      proxies: true,
      log: { appendsPerSecond: 4_000 },
    });
  });
  after(() => fleet.stop());

  /** Guards against accepting two changes to one version. */
  test("configuration: two operators change the same version", async () => {
    const count = (await readState(fleet)).history.length;
    let limit = 0;
    for (let i = 0; i < RACES; i++) limit = await runRace(fleet, i);
    const tookMs = await waitUntilInForce(fleet, limit);
    const { history } = await readState(fleet);
    console.log(
      `configuration: ${RACES} races, ${history.length - count} accepted, ` +
        `the last one in force after ${tookMs.toFixed()} ms`,
    );
    assert.equal(history.length - count, RACES);
  });

  /** Guards against a change that is lost or takes effect twice. */
  test("configuration: an append whose answer is lost", async () => {
    const expectVersion = await readVersion(fleet);
    const change = { expectVersion, changeId: randomUUID() };
    const limit = nextLimit();
    await sendControl(fleet.log.url, { loseAnswers: 1 });
    const fromMs = readUnixMs();
    const first = await changeLimit(fleet.entries[0]!, limit, change);
    const version = first.accepted?.version;
    assert.ok(version, JSON.stringify(first));
    const tookMs = await waitUntilInForce(fleet, limit, { fromMs });
    for (const entry of fleet.entries) {
      const again = await changeLimit(entry, limit, change);
      assert.equal(again.accepted?.version, version, JSON.stringify(again));
    }
    // Appends again under the same UUID, as after a lost answer.
    const state = await readState(fleet);
    await appendRecord(fleet, {
      kind: RecordKind.PutRoute,
      id: change.changeId,
      change: { operator: "kim", reason: "again", expectVersion: version },
      route: state.getRoute(SERVICE.name),
    });
    const position = state.position + 1;
    await waitFor("second append read", IN_FORCE_LIMIT_MS, async () => {
      const client = await OperatorClient.connect(
        fleet.entries[0]!.operatorAddress,
      );
      const read = (await client.getState()).position;
      client.close();
      return read >= position;
    });
    const versions = await listVersions(fleet, change.changeId);
    console.log(
      `configuration: lost answer: in force after ${tookMs.toFixed()} ms, ` +
        `versions ${JSON.stringify(versions)}`,
    );
    assert.deepEqual(versions, fleet.entries.map(() => [version]));
    assert.equal(await readVersion(fleet), version);
  });

  for (const changeCase of CASES) {
    /** Guards against changes that take effect late or are reverted. */
    test(
      `configuration: ${changeCase.name}`,
      () => runCase(fleet, changeCase).finally(() => endFaults(fleet)),
    );
  }
});
