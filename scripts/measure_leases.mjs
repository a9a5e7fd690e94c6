/**
 * Measures processor time, messages and changes of capacity leases at several
 * numbers of gateways, without a network.
 *
 * Usage: node --expose-gc scripts/measure_leases.mjs [gateways ...]
 */
import {
  CapacityLender,
  LeaseHolder,
} from "../packages/placement/dist/src/mod.js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

const ZONES = 3;
const SLOTS = 4;
/** Servers of the two undivided services for each gateway. */
const SERVERS_PER_GATEWAY = { a: 104 / 90, b: 53 / 90 };
/** Mean wanted concurrency of a gateway for each service. */
const MEAN_DEMAND = 1.5;
const HEARTBEAT_MS = 400;
const PLAN_MS = 1_000;
const SETTLED_MS = 20_000;
const END_MS = 80_000;

const SIZES = process.argv.slice(2).map(Number);
for (const gateways of SIZES.length > 0 ? SIZES : [30, 90, 195]) {
  console.log(JSON.stringify(measure(gateways)));
}

function measure(gateways) {
  const rng = xoroshiro128plus(7);
  const random = () => uniformFloat64(rng);
  const services = Object.entries(SERVERS_PER_GATEWAY).map((
    [service, ratio],
  ) => ({
    service,
    servers: Array.from({ length: Math.round(ratio * gateways) }, (_, i) => ({
      id: `${service}-${i}`,
      born: 1_765_000_000_000,
      service,
      zone: `z${i % ZONES}`,
      slots: SLOTS,
    })),
  }));
  const members = Array.from({ length: gateways }, (_, i) => ({
    borrower: { key: `r-${i}`, node: `r-${i}`, zone: `z${i % ZONES}` },
    holder: new LeaseHolder(),
    factor: 0.3 + 1.4 * random(),
  }));
  const lender = new CapacityLender({ getStartMs: () => 0 });
  const times = [];
  const leases = new Map();
  const totals = {
    messages: 0,
    bytes: 0,
    replies: 0,
    changed: 0,
    connections: 0,
  };
  let replyUs = 0;
  let firstPlanMs = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += HEARTBEAT_MS / 4) {
    const isSettled = nowMs >= SETTLED_MS;
    if (nowMs % PLAN_MS === 0) {
      const startedAt = process.cpuUsage();
      const summaries = lender.plan({
        nowMs,
        gateways,
        borrowers: members.map((m) => m.borrower),
        services,
      });
      const { user, system } = process.cpuUsage(startedAt);
      const ms = (user + system) / 1000;
      if (isSettled) {
        times.push(ms);
        totals.changed += summaries.reduce((sum, s) => sum + s.changed, 0);
      } else firstPlanMs = Math.max(firstPlanMs, ms);
    }
    if (nowMs % HEARTBEAT_MS !== 0) continue;
    const isBurst = nowMs % 20_000 < 3_000;
    for (const { borrower, holder, factor } of members) {
      const message = lender.makeMessage(borrower.key);
      if (message.leases) leases.set(borrower.key, message.leases.items.length);
      const before = holder.version;
      holder.apply(1, message, nowMs);
      const mean = factor * MEAN_DEMAND * (isBurst ? 2 : 1);
      const demand = Object.keys(SERVERS_PER_GATEWAY).map((
        s,
      ) => [s, 1 + drawPoisson(mean, random), Math.round(100 * mean) / 100]);
      const reply = { ...holder.makeReply(nowMs, () => 0), demand };
      const startedAt = performance.now();
      lender.recordReply(borrower, reply, nowMs);
      replyUs += 1000 * (performance.now() - startedAt);
      if (!isSettled) continue;
      totals.messages += 1;
      totals.bytes += JSON.stringify(message).length;
      totals.replies += JSON.stringify(reply).length;
      if (holder.version !== before) totals.connections += 1;
    }
  }
  const heapMb = readHeapMb();
  times.sort((a, b) => a - b);
  const seconds = (END_MS - SETTLED_MS) / 1000;
  const units = members.map((m) => m.holder.countUnits(END_MS - HEARTBEAT_MS));
  return {
    gateways,
    servers: services.reduce((sum, s) => sum + s.servers.length, 0),
    planMs: round(times.reduce((a, b) => a + b, 0) / times.length),
    planMsMost: round(times.at(-1)),
    firstPlanMs: round(firstPlanMs),
    heartbeatBytes: round(totals.bytes / totals.messages),
    replyBytes: round(totals.replies / totals.messages),
    changesPerGatewayMinute: round(
      60 * totals.connections / gateways / seconds,
    ),
    unitsLeast: Math.min(...units),
    unitsMost: Math.max(...units),
    replyUs: round(replyUs / (END_MS / HEARTBEAT_MS) / gateways),
    leasesMean: round(
      [...leases.values()].reduce((a, b) => a + b, 0) / gateways,
    ),
    heldMost: Math.max(
      ...services[0].servers.map(({ id }) => lender.countHeld(id)),
    ),
    heapMb: round(heapMb),
  };
}

/** Heap of the script with the coordinator and all gateways. */
function readHeapMb() {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}

function drawPoisson(mean, random) {
  const limit = Math.exp(-mean);
  let count = -1;
  for (let product = 1; product > limit; product *= random()) count += 1;
  return count;
}

function round(value) {
  return Math.round(100 * value) / 100;
}
