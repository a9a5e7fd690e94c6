/**
 * Measures the memory of hedged requests for each route, and the processor time
 * that they add to each request, without a network.
 *
 * Usage: node --expose-gc scripts/measure_hedging.mjs [routes ...]
 */
import { HedgedExchange } from "../packages/gateway/dist/src/hedged_exchange.js";

const REQUESTS = 200_000;
/** Requests at the same time. */
const CONCURRENCY = 8;
/** Requests of each route that give it both histograms in use. */
const REQUESTS_OF_ROUTE = 100;
/** Time after which the histogram of a route is filled anew, ms. */
const ROTATION_MS = 10_000;
const FIRST = { id: "s-1" };
const SECOND = { id: "s-2" };
const KINDS = { on: { maxShare: 0.05, quantile: 0.95 }, off: undefined };

/** Simulated time, ms; advances with the requests. */
let nowMs = 0;
performance.now = () => nowMs;

/** Makes the exchange of a gateway whose servers answer at once. */
function makeExchange(hedging) {
  return new HedgedExchange({
    settings: () => ({ hedging }),
    cluster: {
      routes: { findService: () => ({ sharded: false }) },
      admission: { isShort: () => false },
    },
    placer: { isShort: () => false, reserveSecond: () => SECOND },
    tryConsumeRetry: () => true,
    isStopping: () => false,
  });
}

function makeCall(name) {
  return {
    route: { name, kind: "idempotent", maxAttempts: 2 },
    service: "a",
    triedServers: [],
    signal: new AbortController().signal,
    arrivedMs: nowMs,
    deadlineMs: nowMs + 1_000,
    isAnswered: false,
    hasClientLeft: false,
  };
}

function runAttempt() {
  const latencyMs = 20 + 80 * Math.random();
  return Promise.resolve({
    end: "answered",
    answer: { status: 200 },
    latencyMs,
  });
}

async function send(exchange, name) {
  await exchange.run(makeCall(name), {
    server: FIRST,
    bodySize: 0,
    runAttempt,
    readPendingInput: () => undefined,
  });
}

/** Returns the processor time of a request, us. */
async function measureTime(hedging, requestsPerSecond) {
  const exchange = makeExchange(hedging);
  const stepMs = 1_000 * CONCURRENCY / requestsPerSecond;
  const sendAll = async (count) => {
    for (let i = 0; i < count; i += CONCURRENCY) {
      nowMs += stepMs;
      const sends = Array.from(
        { length: CONCURRENCY },
        () => send(exchange, "r"),
      );
      await Promise.all(sends);
    }
  };
  await sendAll(REQUESTS / 10);
  const before = process.cpuUsage();
  await sendAll(REQUESTS);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / REQUESTS;
}

async function readMemory() {
  // Signals of requests that have ended are freed in a later turn.
  for (let i = 0; i < 3; i++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
    globalThis.gc();
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Returns the memory of each of several routes, KiB. */
async function measureMemory(routes) {
  const exchange = makeExchange(KINDS.on);
  await send(exchange, "first");
  const before = await readMemory();
  for (let period = 0; period < 2; period++) {
    for (let i = 0; i < REQUESTS_OF_ROUTE; i++) {
      for (let r = 0; r < routes; r++) await send(exchange, `r-${r}`);
    }
    nowMs += ROTATION_MS;
  }
  for (let r = 0; r < routes; r++) await send(exchange, `r-${r}`);
  const used = await readMemory() - before;
  // Keeps the state until it was measured.
  exchange.listMetrics();
  return used / routes / 1_024;
}

const sizes = process.argv.slice(2).map(Number);
for (const routes of sizes.length > 0 ? sizes : [10, 100]) {
  const kib = (await measureMemory(routes)).toFixed(1);
  console.log(`${routes} routes: ${kib} KiB for each`);
}
for (const requestsPerSecond of [30, 1_000]) {
  const off = await measureTime(KINDS.off, requestsPerSecond);
  const on = await measureTime(KINDS.on, requestsPerSecond);
  console.log(
    `${requestsPerSecond} requests/s: ${off.toFixed(1)} us a request off, ` +
      `${on.toFixed(1)} us on`,
  );
}
