/** Runs a case: record, deployment, clean-up and exit code. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Gateway } from "./gateway.mjs";
import { Server } from "./server.mjs";
import { Store } from "./store.mjs";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const MAX_CASE_MS = 110_000;

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A route like those of the small deployment. */
export function makeRoute(name, options) {
  return {
    name,
    pathPrefix: `/${name}/`,
    kind: "idempotent",
    timeoutMs: 3000,
    targetLatencyMs: 600,
    maxAttempts: 2,
    priority: 1,
    ...options,
  };
}

/** The configuration that the operator writes. */
export function makeConfiguration(services, routes) {
  return {
    version: "r7",
    services: services.map((s) => ({
      healthPath: "/health",
      maxConns: 130,
      protocol: "h1",
      tls: false,
      ...s,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 67108864,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    virtualHosts: [{ host: "hulo84.example", paths: routes }],
  };
}

/** What a case starts; everything is ended after it. */
export class Deployment {
  store;
  gateways = [];
  servers = [];
  #folder = mkdtempSync(join(tmpdir(), "jaytiller-review-"));
  #record;

  constructor(record) {
    this.#record = record;
  }

  async startStore(configuration) {
    this.store = await Store.start();
    this.store.put("keyed.op", "config", configuration);
  }

  async startServer(options) {
    const { store } = this;
    const record = this.#record;
    const server = await Server.start({ store, record, ...options });
    this.servers.push(server);
    return server;
  }

  async startGateways(count) {
    for (let i = 1; i <= count; i++) {
      const options = { folder: this.#folder, store: this.store.address };
      this.gateways.push(await Gateway.start(`front-toledo-${i}`, options));
    }
    await Promise.all(this.gateways.map((g) => g.waitUntilReady()));
  }

  async stop() {
    await Promise.all(this.gateways.map((g) => g.stop()));
    for (const server of this.servers) server.stop();
    this.store?.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Runs `play`, which returns the violations of the rule, and exits. The record
 * holds one line of JSON for each event.
 */
export async function runCase(folder, play) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const lines = [];
  const startedMs = Date.now();
  const record = (event, fields = {}) =>
    lines.push(
      JSON.stringify({ ms: Date.now() - startedMs, event, ...fields }),
    );
  const deployment = new Deployment(record);
  let code = EXIT_NOT_RUN;
  // Nothing that was started outlives the case, however it ends.
  process.on("exit", () => {
    for (const gateway of deployment.gateways) gateway.signal("SIGKILL");
  });
  const finish = async () => {
    await deployment.stop();
    writeFileSync(new URL("record.txt", folder), lines.join("\n") + "\n");
    process.exit(code);
  };
  const abandon = (problem) => {
    record("notRun", { problem });
    console.log(`could not run: ${problem}`);
    code = EXIT_NOT_RUN;
    void finish();
  };
  setTimeout(() => abandon("it took too long"), MAX_CASE_MS).unref();
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => abandon(`ended by ${signal}`));
  }
  process.once("uncaughtException", (error) => abandon(String(error.stack)));
  try {
    record("start", { hasTrouble });
    const violations = await play({ deployment, record, hasTrouble });
    for (const violation of violations) record("violation", { violation });
    code = violations.length > 0 ? EXIT_BROKEN : EXIT_HELD;
    console.log(
      code === EXIT_HELD
        ? "held"
        : `broken: ${violations.slice(0, 4).join("; ")}`,
    );
  } catch (error) {
    record("notRun", { problem: String(error.stack) });
    for (const { name, log } of deployment.gateways) {
      record("log", { name, log: log.slice(-4_000) });
    }
    console.log(`could not run: ${error.message}`);
  }
  await finish();
}
