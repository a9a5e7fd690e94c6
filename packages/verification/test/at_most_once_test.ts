import {
  Direction,
  type EntryHandle,
  type Fleet,
  LinkMode,
  sendControl,
} from "@jaytiller/standins";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type AtMostOnceReport,
  checkAtMostOnce,
  createServiceSpec,
  findHolders,
  injectConnectionFaults,
  killProcess,
  LoadGenerator,
  moveUnits,
  pauseProcesses,
  readUnixMs,
  restartEntry,
  restartServer,
  startServedFleet,
  waitUntil,
  waitUntilServed,
} from "../src/mod.js";

const DEADLINE_MS = 1_000;
/** A case with fewer answered requests tests too little. */
const MIN_ANSWERED = 51;
const SEED = Number(process.env["SEED"] ?? 1);

const SERVICES = [
  createServiceSpec({ name: "orderdesk", pathPrefix: "orders" }),
  createServiceSpec({
    name: "slotdesk",
    pathPrefix: "slots",
    checksOwner: false,
  }),
];
const CONNECTION_FAULTS = [
  { direction: Direction.Up, resetAfterBytes: 0 },
  { direction: Direction.Up, resetAfterBytes: 1_200 },
  { direction: Direction.Up, truncateAfterBytes: 1_200 },
  { direction: Direction.Down, resetAfterBytes: 0 },
  { direction: Direction.Down, resetAfterBytes: 300 },
  { direction: Direction.Down, truncateAfterBytes: 300 },
  { mode: LinkMode.Cut },
];

/** Test case with a fault; the load runs before, during and after it. */
interface FaultCase {
  readonly name: string;
  readonly inject: (fleet: Fleet, load: LoadGenerator) => Promise<void>;
}

/** Returns an entry VM that is not among the holders of `findHolders`. */
async function findNonHolder(fleet: Fleet): Promise<EntryHandle> {
  const holders = await findHolders(fleet);
  return fleet.entries.find((e) => !holders.includes(e))!;
}

const SERVER_LINKS = ["entry-*>orderdesk-*", "entry-*>slotdesk-*"];

const CASES: readonly FaultCase[] = [
  {
    name: "backend server killed and restarted",
    inject: async (fleet) => {
      await Promise.all(
        ["orderdesk-toledo-1", "slotdesk-erie-1"].map((id) =>
          restartServer(fleet, fleet.backends.find((b) => b.id === id)!)
        ),
      );
    },
  },
  {
    name: "backend servers frozen and resumed",
    inject: (fleet) =>
      pauseProcesses(
        fleet.backends.filter((b) => b.id.endsWith("-1"))
          .map((b) => b.child),
      ),
  },
  {
    name: "entry router killed",
    inject: async (fleet) => restartEntry(fleet, await findNonHolder(fleet)),
  },
  {
    name: "entry router frozen and resumed",
    inject: async (fleet) =>
      pauseProcesses([(await findNonHolder(fleet)).child]),
  },
  {
    name: "holders killed",
    inject: async (fleet) => {
      const holders = await findHolders(fleet);
      await Promise.all(holders.map((h) => restartEntry(fleet, h)));
    },
  },
  {
    name: "holders frozen and resumed",
    inject: async (fleet) =>
      pauseProcesses((await findHolders(fleet)).map((h) => h.child)),
  },
  {
    name: "connections to servers cut before, during and after",
    inject: (fleet) =>
      injectConnectionFaults(fleet, CONNECTION_FAULTS, SERVER_LINKS),
  },
  {
    name: "connections between routers cut before, during and after",
    inject: (fleet) =>
      injectConnectionFaults(fleet, CONNECTION_FAULTS, ["entry-*>entry-*"]),
  },
  {
    name: "connections of callers cut before, during and after",
    inject: (fleet) =>
      injectConnectionFaults(fleet, CONNECTION_FAULTS, ["callers>*"]),
  },
  {
    name: "identities sent again after the holder and its memory are lost",
    inject: async (fleet, load) => {
      const holders = await findHolders(fleet);
      await Promise.all(holders.map((h) => killProcess(h.child)));
      await load.resend();
      await waitUntilServed(fleet);
      await load.resend();
      for (const { id, zone } of holders) await fleet.startEntry({ id, zone });
    },
  },
  { name: "keys that move meanwhile", inject: (fleet) => moveUnits(fleet) },
  {
    name: "data held back and delivered late",
    inject: async (fleet) => {
      for (const direction of [Direction.Up, Direction.Down]) {
        for (const link of [...SERVER_LINKS, "entry-*>entry-*"]) {
          const newConnections = false;
          const mode = LinkMode.Hold;
          const fault = { link, direction, mode, newConnections };
          await fleet.network.setLinks(fault);
          await delay(400);
          await fleet.network.setLinks({ link, clear: true });
        }
      }
    },
  },
  {
    name: "servers that shed load while others are frozen",
    inject: async (fleet) => {
      const setShed = (shed: number) =>
        Promise.all(
          fleet.backends.map((b) => sendControl(b.controlUrl, { shed })),
        );
      await setShed(0.5);
      const frozen = fleet.backends.filter((b) => b.id.endsWith("-2"));
      await pauseProcesses(frozen.map((b) => b.child));
      await setShed(0);
    },
  },
];

/**
 * Runs load before, during and after the fault of a case, then checks the
 * records.
 */
async function runCase(fleet: Fleet, { name, inject }: FaultCase) {
  const load = new LoadGenerator(fleet, { seed: SEED });
  load.start();
  await delay(150);
  await inject(fleet, load);
  await waitUntilServed(fleet);
  await load.stop();
  await load.resend();
  await waitUntil(readUnixMs() + DEADLINE_MS + 50);
  const report = checkAtMostOnce(fleet.readAllExecutions(), load.attempts);
  console.log(`at most once: ${name}: ${formatCounts(report)}`);
  assert.deepEqual(report.violations, []);
  assert.ok(
    report.answered >= MIN_ANSWERED,
    "Too few requests were answered.",
  );
}

function formatCounts(report: AtMostOnceReport): string {
  const { answered, refused, unknown, unknownWithEffect, violations } = report;
  return `seed ${SEED}, ${answered} answered, ${refused} refused, ` +
    `${unknown} unknown (${unknownWithEffect} with an effect), ` +
    `${violations.length} violations`;
}

describe("at most once", { concurrency: 2 }, () => {
  for (const part of [0, 1]) {
    const cases = CASES.filter((_, i) => i % 2 === part);
    describe(`from ${cases[0]!.name}`, { concurrency: 1 }, () => {
      let fleet: Fleet;
      before(async () => {
        fleet = await startServedFleet({
          zones: ["toledo", "erie"],
          entriesPerZone: 2,
          services: SERVICES,
          proxies: true,
        });
      });
      after(() => fleet.stop());

      for (const faultCase of cases) {
        /**
         * Guards against requests that run twice or although they were refused.
         */
        test(
          `at most once: ${faultCase.name}`,
          () => runCase(fleet, faultCase),
        );
      }
    });
  }
});
