/**
 * Another writer puts one entry among those of the servers; one byte of its
 * address can't be read as text. The checks are the rules LOST (at any time:
 * passed on from a kept connection, then closed unanswered, more than three
 * times) and Fault (processes end by themselves three times in the day on a
 * tenth of the machines, two at least).
 */
import { Connection, makeAttemptId } from "../standins/client.mjs";
import {
  makeConfiguration,
  makeRoute,
  runCase,
  wait,
} from "../standins/case.mjs";

const GATEWAYS = 3;
const KEY_SERVERS = 3;
const ORDER_SERVERS = 8;
/** Clients with orders at each gateway. */
const CLIENTS = 6;
const ORDER_MS = 250;
const DEADLINE_MS = 3_000;
const STEADY_MS = 5_000;
const ODD_MS = 20_000;
const MAX_LOST = 3;
const MIN_ENDS = 3;
const MIN_MACHINES = 2;

/** Makes an entry whose address has a byte that is no UTF-8. */
function makeOddEntry() {
  const text = JSON.stringify({
    address: "127.0.0.1?:9",
    born: Date.now(),
    info: { service: "huvo11a", version: "v1", zone: "toledo", slots: 3 },
    status: { state: "ready", seq: 1, coldLeftMs: 0 },
  });
  const bytes = Buffer.from(text);
  bytes[bytes.indexOf("?")] = 0xff;
  return bytes;
}

/** Places orders on kept connections until `isDone` is true. */
async function runClient(gateway, { record, isDone, results }) {
  while (!isDone()) {
    const connection = new Connection(gateway.front);
    let isKept = false;
    while (!isDone() && !connection.hasEnded) {
      const attempt = makeAttemptId();
      const path = "/puka111/order";
      record("sent", { attempt, gateway: gateway.name, path });
      const result = await connection.send({
        attempt,
        path,
        method: "POST",
        body: Buffer.alloc(1_200, "x"),
        deadlineMs: DEADLINE_MS,
      });
      const { status, end, ms } = result;
      record("answered", { attempt, status, end, tookMs: ms });
      results.push({ attempt, gateway: gateway.name, status, end, isKept });
      isKept = true;
      if (status !== 200) await wait(50);
    }
    connection.close();
    await wait(100);
  }
}

async function play({ deployment, record, hasTrouble }) {
  const { gateways, store } = await startDeployment(deployment);
  const runs = deployment.runs;
  const ends = new Map();
  const results = [];
  let isDone = false;
  for (const gateway of gateways) {
    gateway.keepRunning();
    gateway.onExit = ({ code, signal }) => {
      record("exit", { gateway: gateway.name, code, signal });
      if (isDone) return;
      ends.set(gateway.name, (ends.get(gateway.name) ?? 0) + 1);
    };
  }
  const clients = gateways.flatMap((gateway) =>
    Array.from(
      { length: CLIENTS },
      () => runClient(gateway, { record, isDone: () => isDone, results }),
    )
  );
  await wait(STEADY_MS);
  record("oddEntry", { hasTrouble });
  if (hasTrouble) store.put("keyed.servers", "i-7f3a91c2", makeOddEntry());
  await wait(ODD_MS);
  isDone = true;
  await Promise.all(clients);
  for (const { name, log } of gateways) {
    const problems = log.match(/^(TypeError|Error).*/gm) ?? [];
    record("problems", { gateway: name, problems: problems.slice(0, 3) });
  }
  const lost = results.filter((r) =>
    r.isKept && r.status === 0 && r.end !== "no answer in time" &&
    runs.has(r.attempt)
  );
  const often = [...ends].filter(([, count]) => count >= MIN_ENDS);
  const violations = [];
  for (const { name } of gateways) {
    const count = lost.filter((r) => r.gateway === name).length;
    if (count <= MAX_LOST) continue;
    violations.push(
      `LOST: ${name} closed ${count} requests of kept connections that ran ` +
        "at a server, without an answer",
    );
  }
  if (often.length >= MIN_MACHINES) {
    const list = often.map(([name, count]) => `${name} ${count} times`);
    violations.push(`Fault: ended by themselves: ${list.join(", ")}`);
  }
  return violations;
}

async function startDeployment(deployment) {
  deployment.runs = new Set();
  await deployment.startStore(makeConfiguration(
    [{ name: "huvo11a", sharded: true, warmupS: 3 }, { name: "wuno96b" }],
    [
      makeRoute("leny950", { service: "huvo11a" }),
      makeRoute("puka111", {
        service: "wuno96b",
        kind: "non_idempotent",
        targetLatencyMs: 800,
      }),
    ],
  ));
  for (let i = 0; i < KEY_SERVERS; i++) {
    await deployment.startServer({
      service: "huvo11a",
      sharded: true,
      workMs: () => 190,
    });
  }
  for (let i = 0; i < ORDER_SERVERS; i++) {
    await deployment.startServer({
      service: "wuno96b",
      workMs: ({ headers }) => {
        deployment.runs.add(headers["attempt-id"]);
        return ORDER_MS;
      },
    });
  }
  await deployment.startGateways(GATEWAYS);
  return deployment;
}

await runCase(new URL(".", import.meta.url), play);
