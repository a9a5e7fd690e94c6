import { type Fleet, LinkMode, Outage, sendControl } from "@jaytiller/standins";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  checkOneOwner,
  createServiceSpec,
  findHolders,
  killProcess,
  listEffects,
  LoadGenerator,
  moveUnits,
  pauseProcesses,
  startServedFleet,
  waitForAgreement,
  waitUntilServed,
} from "../src/mod.js";

const SEED = Number(process.env["SEED"] ?? 1);
const DEADLINE_MS = 700;
/**
 * Longer than a deadline, for which forced moves wait if a service does not
 * check.
 */
const PAUSE_MS = 1_800;
const AGREEMENT_TIMEOUT_MS = 8_000;

const SERVICES = [
  createServiceSpec({ name: "orderdesk", pathPrefix: "orders" }, {
    deadlineMs: DEADLINE_MS,
  }),
  createServiceSpec({
    name: "slotdesk",
    pathPrefix: "slots",
    checksOwner: false,
  }, {
    deadlineMs: DEADLINE_MS,
  }),
];

/** Test case with a fault that occurs while requests run. */
interface FaultCase {
  readonly name: string;
  readonly inject: (fleet: Fleet) => Promise<void>;
}

function listFirstServerProcesses(fleet: Fleet) {
  return fleet.backends.filter((b) => b.id.endsWith("-1")).map((b) => b.child);
}

async function listHolderProcesses(fleet: Fleet) {
  return (await findHolders(fleet)).map((h) => h.child);
}

/** Runs `body` while `links` are cut. */
async function runWithLinksCut(
  fleet: Fleet,
  links: readonly string[],
  body: () => Promise<unknown>,
): Promise<void> {
  const set = (mode: LinkMode) =>
    fleet.network.setLinks(...links.map((link) => ({ link, mode })));
  await set(LinkMode.Cut);
  await body();
  await set(LinkMode.Pass);
}

const CASES: readonly FaultCase[] = [
  {
    name: "holders paused past their leases and resumed",
    inject: async (fleet) => pauseProcesses(await listHolderProcesses(fleet)),
  },
  {
    name: "servers frozen and resumed with requests in their sockets",
    inject: (fleet) =>
      pauseProcesses(listFirstServerProcesses(fleet), PAUSE_MS),
  },
  {
    name: "servers and holders paused together",
    inject: async (fleet) => {
      const holders = pauseProcesses(await listHolderProcesses(fleet), 1_200);
      await pauseProcesses(listFirstServerProcesses(fleet), PAUSE_MS);
      await holders;
    },
  },
  {
    name: "keys that move",
    inject: (fleet) => moveUnits(fleet, 6),
  },
  {
    name: "log down while servers freeze",
    inject: async (fleet) => {
      await sendControl(fleet.log.url, { outage: Outage.Down });
      await pauseProcesses(listFirstServerProcesses(fleet), 1_000);
      await sendControl(fleet.log.url, { clear: true });
    },
  },
  {
    name: "log silent while holders pause",
    inject: async (fleet) => {
      const holders = await listHolderProcesses(fleet);
      await sendControl(fleet.log.url, { outage: Outage.Silent });
      // The holders first detect the outage and issue permits.
      await delay(700);
      await pauseProcesses(holders, 1_000);
      await sendControl(fleet.log.url, { clear: true });
    },
  },
  {
    name: "log slow while keys move",
    inject: async (fleet) => {
      await sendControl(fleet.log.url, { beforeMs: 150, afterMs: 150 });
      await moveUnits(fleet, 2);
      await pauseProcesses(await listHolderProcesses(fleet), 700);
      await sendControl(fleet.log.url, { clear: true });
    },
  },
  {
    name: "log that loses answers while keys move and a server dies",
    inject: async (fleet) => {
      const server = fleet.backends.find((b) => b.id.endsWith("-2"))!;
      const moves = moveUnits(fleet, 3);
      await delay(200);
      await sendControl(fleet.log.url, { loseAnswers: 6 });
      await killProcess(server.child);
      await moves.catch(() => {});
      await sendControl(fleet.log.url, { clear: true });
      await fleet.startBackend(server);
    },
  },
  {
    name: "routers of a zone cut from each other",
    inject: async (fleet) => {
      await runWithLinksCut(fleet, [
        "entry-toledo-1>entry-toledo-2",
        "entry-toledo-2>entry-toledo-1",
      ], () => moveUnits(fleet, 4));
    },
  },
  {
    name: "holder cut from its zone and the log, but not from its servers",
    inject: async (fleet) => {
      const [holder] = await findHolders(fleet);
      await runWithLinksCut(fleet, [
        `${holder!.id}>entry-*`,
        `entry-*>${holder!.id}`,
        `${holder!.id}>log`,
      ], () => delay(1_500));
    },
  },
];

/**
 * Runs load through the fault of a case, waits for agreement, checks the
 * records.
 */
async function runCase(fleet: Fleet, { name, inject }: FaultCase) {
  const from = listEffects(fleet.readAllExecutions()).length;
  const load = new LoadGenerator(fleet, { seed: SEED, workMs: 50 });
  load.start();
  await delay(100);
  await inject(fleet);
  await waitUntilServed(fleet);
  await load.stop();
  const agreement = await waitForAgreement(fleet, AGREEMENT_TIMEOUT_MS)
    .catch((e: Error) => e);
  const executions = fleet.readAllExecutions();
  const violations = checkOneOwner(executions);
  const effects = listEffects(executions).length - from;
  console.log(
    `one owner: ${name}: seed ${SEED}, ${effects} effects, ` +
      `${violations.length} violations, ` +
      `${agreement ? "no agreement" : "agreement"}`,
  );
  assert.deepEqual(violations, []);
  if (agreement) throw agreement;
  assert.ok(effects > 20, "Too few requests took effect.");
}

describe("one owner", { concurrency: 2 }, () => {
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
         * Guards against two servers that run requests for one key
         * concurrently.
         */
        test(`one owner: ${faultCase.name}`, () => runCase(fleet, faultCase));
      }
    });
  }
});
