import { type VmEntry, type VmList } from "@jaytiller/model";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VmHistory, type VmListChange } from "../src/mod.js";
import {
  formatUrl,
  postJson,
  sendHttp,
  startStandIn,
  withLauncher,
} from "./support.js";

const vm = {
  id: "b1",
  kind: "backend",
  zone: "toledo",
  state: "live",
  service: "orderdesk",
  url: "http://127.0.0.1:1",
} as VmEntry;

/** Guards against a lagging list that returns its current version. */
test("lag", () => {
  const history = new VmHistory(0);
  history.apply({ put: vm, lagMs: 100 }, 1000);
  history.apply({ leaving: "b1" }, 2000);
  history.apply({ remove: "b1" }, 3000);
  const states = [1050, 1100, 2099, 2100, 3099, 3100].map((nowMs) => {
    const list = history.read(nowMs);
    assert.equal(list.asOfMs, nowMs - 100);
    return list.vms[0]?.state ?? "none";
  });
  assert.deepEqual(states, [
    "none",
    "live",
    "live",
    "leaving",
    "leaving",
    "none",
  ]);
});

async function read(port: number): Promise<VmList> {
  return JSON.parse((await sendHttp(`http://127.0.0.1:${port}/vms`)).text);
}

/** Guards against views that share URLs or outages with other views. */
test("views and control", () =>
  withLauncher(async (launcher) => {
    const child = await startStandIn(launcher, "vm_list");
    const control = `${formatUrl(child)}/control`;
    const change: VmListChange = {
      addViews: ["e1", "e2"],
      rewrite: { e1: { b1: { url: "http://127.0.0.1:2" } } },
      put: vm,
    };
    const { views } = await postJson<{ views: Record<string, number> }>(
      control,
      change,
    );
    const ports = [child.ready.port!, views.e1!, views.e2!];
    const lists = await Promise.all(ports.map(read));
    const urls = lists.map((list) => list.vms[0]!.url.at(-1));
    assert.deepEqual(urls, ["1", "2", "1"]);
    await postJson(control, { view: "e1", outage: "down" });
    const statuses = await Promise.all(
      ports.map(async (p) =>
        (await sendHttp(`http://127.0.0.1:${p}/vms`)).status
      ),
    );
    assert.deepEqual(statuses, [200, 503, 200]);
    const wrong = await sendHttp(control, { body: '{"leaving":"b9"}' });
    assert.match(wrong.text, /leaving: Not on the list \(found b9\)/);
  }));
