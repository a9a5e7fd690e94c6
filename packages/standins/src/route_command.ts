/** Creates routes with the operator command line. @module */
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import type { Fleet } from "./fleet.js";
import type { ServiceSpec } from "./fleet_options.js";
import { formatRouteFile } from "./workload.js";

const OPERATOR_SCRIPT = fileURLToPath(
  new URL("../../../operator/dist/src/main.js", import.meta.url),
);
const COMMAND_TIMEOUT_MS = 15_000;

/** Returns the command line arguments that create a route from a file. */
export function formatRouteCommand(
  file: string,
  addresses: readonly string[],
): string[] {
  const at = addresses.join(",");
  const reason = "Initial route";
  return ["route", "put", "--file", file, "--reason", reason, "--at", at];
}

/**
 * Creates the route of a service. Throws an `Error` with the command's output if
 * the command fails.
 */
export async function createRoute(
  fleet: Fleet,
  service: ServiceSpec,
): Promise<void> {
  const file = join(fleet.directory, `route-${service.name}.toml`);
  writeFileSync(file, formatRouteFile(service));
  const addresses = fleet.entries.map((e) => e.operatorAddress);
  const args = [...formatRouteCommand(file, addresses), "--operator", "fleet"];
  try {
    await promisify(execFile)(process.execPath, [OPERATOR_SCRIPT, ...args], {
      timeout: COMMAND_TIMEOUT_MS,
    });
  } catch (e) {
    const { stdout = "", stderr = "", message } = e as Error & {
      stdout?: string;
      stderr?: string;
    };
    throw new Error(`route ${service.name}: ${message}\n${stdout}${stderr}`);
  }
}
