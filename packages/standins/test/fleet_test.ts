import type { VmList } from "@jaytiller/model";
import assert from "node:assert/strict";
import { existsSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import {
  Direction,
  type Fleet,
  type FleetOptions,
  getJson,
  Launcher,
  LinkMode,
  startFleet,
} from "../src/mod.js";
import { classifyOutcome, sendHttp, waitFor, withLauncher } from "./support.js";

const routerScript = fileURLToPath(
  new URL("./idle_router.js", import.meta.url),
);

const OPTIONS: FleetOptions = {
  zones: ["toledo", "erie"],
  entriesPerZone: 2,
  services: [{
    name: "orderdesk",
    pathPrefix: "orders",
    shards: 16,
    checksOwner: true,
    serversPerZone: 1,
    slots: 3,
    connections: 130,
    serviceMs: 2,
    rules: [],
  }],
  routerScript,
  settings: { timing: { lease_ms: 450 } },
};

interface Settings {
  readonly node: { readonly id: string };
  readonly platform: {
    readonly log_url: string;
    readonly vm_list_url: string;
    readonly seeds: string[];
  };
}

async function readSettings(url: string): Promise<Settings> {
  return await getJson<Settings>(url);
}

/** Runs `body` with a fleet; checks that no process or directory remains. */
async function withFleet(
  options: FleetOptions,
  body: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = await startFleet(options);
  try {
    await body(fleet);
  } finally {
    await fleet.stop();
  }
  assert.ok(fleet.launcher.children.every((child) => child.exit));
  assert.equal(existsSync(fleet.directory), false);
}

/** Guards against running VMs that are missing from the VM list. */
test("fleet without proxies", () =>
  withFleet(OPTIONS, async (fleet) => {
    const { vms } = await getJson<VmList>(`${fleet.vmList.url}/vms`);
    const ids = vms.map((vm) => vm.id).sort();
    assert.deepEqual(ids, [
      "entry-erie-1",
      "entry-erie-2",
      "entry-toledo-1",
      "entry-toledo-2",
      "orderdesk-erie-1",
      "orderdesk-toledo-1",
    ]);
    assert.deepEqual(
      [fleet.entries[0]!.id, fleet.backends[1]!.id],
      ["entry-toledo-1", "orderdesk-erie-1"],
    );
    const settings = await readSettings(fleet.entries[0]!.callerUrl);
    assert.equal(settings.platform.log_url, fleet.log.url);
    const again = await fleet.startEntry({ id: "entry-erie-1", zone: "erie" });
    const { platform } = await readSettings(again.callerUrl);
    assert.equal(platform.seeds.length, 3);
  }));

/** Guards against link faults that affect more or fewer links than named. */
test("fleet with proxies", () =>
  withFleet({ ...OPTIONS, proxies: true }, async (fleet) => {
    const entry = (id: string) => fleet.entries.find((e) => e.id === id)!;
    const readView = async (id: string) => {
      const settings = await readSettings(entry(id).callerUrl);
      const url = settings.platform.vm_list_url;
      const { vms } = await getJson<VmList>(`${url}/vms`);
      return new Map(vms.map((vm) => [vm.id, vm]));
    };
    const toledo = await readView("entry-toledo-1");
    const erie = await readView("entry-erie-1");
    const target = "entry-erie-2";
    const fromToledo = toledo.get(target)!.peerUrl!;
    const fromErie = erie.get(target)!.peerUrl!;
    assert.notEqual(fromToledo, fromErie);
    for (const url of [fromToledo, fromErie]) {
      assert.equal((await readSettings(url)).node.id, target);
    }
    await fleet.network.setLinks({
      link: "entry-toledo-*>entry-erie-*",
      mode: LinkMode.Cut,
    });
    assert.equal(await classifyOutcome(sendHttp(fromToledo)), "broken");
    assert.equal(await classifyOutcome(sendHttp(fromErie)), "200");
    const server = toledo.get("orderdesk-toledo-1")!.url;
    assert.equal(await classifyOutcome(sendHttp(`${server}/health`)), "200");
    await fleet.network.setOneWay("entry-erie-2", "entry-erie-1", {
      mode: LinkMode.Stall,
    });
    const silent = sendHttp(fromErie, { timeoutMs: 200 });
    assert.equal(await classifyOutcome(silent), "timeout");
    await assert.rejects(
      fleet.network.setLinks({ link: "x>y", direction: Direction.Up }),
      /Expected the name of a link/,
    );
  }));

/** Guards against a failed start that hangs or omits the child's output. */
test("a child that fails to start", async () => {
  const launcher = new Launcher();
  const options = { name: "broken", script: routerScript, args: ["--x", "y"] };
  await assert.rejects(launcher.start(options), /broken: exited[^]*--x/);
  await launcher.stop();
});

function isRunning(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

const TERMINATIONS = [
  { signal: "SIGKILL", args: [], exit: { code: null, signal: "SIGKILL" } },
  { signal: "SIGINT", args: [], exit: { code: null, signal: "SIGINT" } },
  {
    signal: "SIGINT",
    args: ["--own-listener"],
    exit: { code: 7, signal: null },
  },
] as const;

/** Guards against children that outlive their launcher. */
test("children exit with their launcher", async (t) => {
  const url = new URL("./orphan_parent.js", import.meta.url);
  const script = fileURLToPath(url);
  for (const { signal, args, exit } of TERMINATIONS) {
    await t.test(
      [signal, ...args].join(" "),
      () =>
        withLauncher(async (launcher) => {
          const parent = await launcher.start({ name: "parent", script, args });
          const pid = parent.ready.port!;
          assert.ok(isRunning(pid));
          parent.kill(signal);
          assert.deepEqual(await parent.waitForExit(5000), exit);
          await waitFor(() => !isRunning(pid) || undefined);
        }),
    );
  }
});
