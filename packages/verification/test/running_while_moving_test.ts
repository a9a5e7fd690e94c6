import { computeShard, type ExecutionRecord } from "@jaytiller/model";
import {
  Direction,
  type Fleet,
  LinkMode,
  type ServiceSpec,
} from "@jaytiller/standins";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import {
  assignUnit,
  checkOneOwner,
  createServiceSpec,
  findHolder,
  readState,
  sendRequest,
  startServedFleet,
  waitFor,
} from "../src/mod.js";

const DEADLINE_MS = 4_000;
const WORK_MS = 1_500;
const WAIT_TIMEOUT_MS = 10_000;
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

/**
 * Test case of how a holder loses track of a request that its server still
 * runs.
 */
interface FaultCase {
  readonly name: string;
  /** Whether the caller must receive the answer. */
  readonly answered: boolean;
  /**
   * Injects the fault; may return a function that reverts it before the request
   * ends.
   */
  readonly inject: (
    fleet: Fleet,
    spec: ServiceSpec,
    caller: AbortController,
  ) => Promise<(() => void) | void>;
}

const CASES: readonly FaultCase[] = [
  {
    name: "its caller went away and the server did not learn of it",
    answered: false,
    inject: async (fleet, _, caller) => {
      await fleet.network.setLinks({
        link: "entry-*>*desk-*",
        direction: Direction.Up,
        mode: LinkMode.Hold,
        newConnections: false,
      });
      caller.abort();
    },
  },
  {
    name: "its holder stops and hands the group over",
    answered: true,
    inject: async (fleet, spec) => {
      const holder = await findHolder(fleet, `${spec.name}/toledo`);
      holder.child.kill("SIGTERM");
    },
  },
  {
    name: "its server is frozen past its lease and resumed",
    answered: false,
    inject: async (fleet, spec) => {
      const { server } = findExecution(fleet, `${spec.name}-long`)!;
      const { child } = fleet.backends.find((b) => b.id === server)!;
      child.kill("SIGSTOP");
      return () => child.kill("SIGCONT");
    },
  },
];

/** Returns the execution record of the long request for a key. */
function findExecution(
  fleet: Fleet,
  key: string,
): ExecutionRecord | undefined {
  return fleet.readAllExecutions()
    .find((e) => e.key === key && e.path.endsWith(`ms=${WORK_MS}`));
}

/** Moves a key to another server and waits until the log contains the move. */
async function moveKey(fleet: Fleet, spec: ServiceSpec, key: string) {
  const unit = computeShard(key, spec.shards);
  const from = findExecution(fleet, key)!.server;
  const server =
    fleet.backends.find((b) => b.service === spec && b.id !== from)!.id;
  await assignUnit(fleet, { service: spec.name, unit, server });
  await waitFor(`move of ${unit}`, WAIT_TIMEOUT_MS, async () => {
    const owner = (await readState(fleet)).getOwner(spec.name, unit);
    return owner?.server === server;
  });
}

async function runCase(
  fleet: Fleet,
  spec: ServiceSpec,
  { inject }: FaultCase,
) {
  const key = `${spec.name}-long`;
  const path = `/${spec.pathPrefix}/${key}?ms=`;
  const base = { service: spec.name, key };
  const caller = new AbortController();
  const first = await waitFor("start", WAIT_TIMEOUT_MS, async () => {
    const sent = sendRequest({
      ...base,
      entryUrl: fleet.entries[0]!.callerUrl,
      path: `${path}${WORK_MS}`,
      signal: caller.signal,
    });
    // A holder that has just taken over refuses the request; it is then resent.
    let ended = false;
    sent.then(() => ended = true);
    const started = await waitFor(
      "start or refusal",
      WAIT_TIMEOUT_MS,
      () => ended || findExecution(fleet, key),
    );
    return started !== true && { sent };
  });
  const undo = await inject(fleet, spec, caller);
  await moveKey(fleet, spec, key);
  await waitFor("request after the move", WAIT_TIMEOUT_MS, async () => {
    const entry = fleet.entries.filter((e) => !e.child.exit).at(-1)!;
    const entryUrl = entry.callerUrl;
    const { status } = await sendRequest({
      ...base,
      entryUrl,
      path: `${path}1`,
    });
    return status === 200;
  });
  undo?.();
  await waitFor(
    "end",
    WAIT_TIMEOUT_MS,
    () => findExecution(fleet, key)?.endMs ?? undefined,
  );
  await fleet.network.setLinks({ link: "entry-*", clear: true });
  const { outcome, reason, error } = await first.sent;
  return `${outcome ?? error} ${reason ?? ""}`;
}

for (const spec of SERVICES) {
  const checks = spec.checksOwner ? "checks" : "does not check";
  describe(`a service that ${checks}`, { concurrency: 1 }, () => {
    for (const faultCase of CASES) {
      describe(faultCase.name, () => {
        let fleet: Fleet;
        before(async () => {
          fleet = await startServedFleet({
            zones: ["toledo"],
            entriesPerZone: 3,
            services: [spec],
            proxies: true,
          });
        });
        after(() => fleet.stop());

        /**
         * Guards against a move that overtakes or interrupts a running request.
         */
        test(`one owner: ${spec.name}: ${faultCase.name}`, async () => {
          const outcome = await runCase(fleet, spec, faultCase);
          const executions = fleet.readAllExecutions();
          const violations = checkOneOwner(executions);
          const own = executions
            .filter((e) => e.key === `${spec.name}-long`);
          const times = own.map((e) =>
            `${e.server} from ${(e.startMs % 1e5).toFixed()} to ` +
            (e.effectMs === null
              ? `none, end ${((e.endMs ?? 0) % 1e5).toFixed()}`
              : (e.effectMs % 1e5).toFixed()) +
            ` token ${e.token}`
          );
          console.log(
            `one owner: ${spec.name}: ${faultCase.name}: ${
              times.join(", ")
            }; ` +
              `${violations.length} violations; told ${outcome}`,
          );
          assert.deepEqual(violations, []);
          if (faultCase.answered) assert.match(outcome, /^answered/);
        });
      });
    }
  });
}
