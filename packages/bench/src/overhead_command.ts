/** Command `overhead`. @module */
import { parseOptions } from "@jaytiller/standins";
import { type PathResult, RequestPath, runOverhead } from "./overhead.js";
import { parseNumbers } from "./settings.js";
import { computeSpread } from "./statistics.js";
import { formatNumber, formatSpread, formatTable } from "./table.js";
import { writeJson } from "./output.js";

const DEFAULTS = {
  seeds: "1,2,3",
  rounds: 3,
  blockSeconds: 1.5,
  warmUpSeconds: 0.3,
  servers: 2,
  slots: 3,
  serviceMs: 10,
  /** Offered load as a share of the servers' capacity. */
  share: 0.5,
  out: "bench-out",
};

const LABELS: Readonly<Record<RequestPath, string>> = {
  [RequestPath.Direct]: "(a) direct",
  [RequestPath.Holder]: "(b) entry VM that holds the group",
  [RequestPath.OtherEntry]: "(c) other entry VM",
};

function formatResults(results: readonly PathResult[]): string {
  const direct = new Map(
    results.filter((r) => r.path === RequestPath.Direct).map((
      r,
    ) => [r.seed, r]),
  );
  const rows = Object.values(RequestPath).map((path) => {
    const pathResults = results.filter((r) => r.path === path);
    const column = (get: (r: PathResult) => number, digits = 2) =>
      formatSpread(computeSpread(pathResults.map(get)), digits);
    const sum = (get: (r: PathResult) => number) =>
      formatNumber(pathResults.reduce((total, r) => total + get(r), 0), 0);
    return [
      LABELS[path],
      sum((r) => r.answered),
      sum((r) => r.failed),
      column((r) => r.p50Ms),
      column((r) => r.p99Ms),
      column((r) => r.p50Ms - direct.get(r.seed)!.p50Ms),
      column((r) => r.p99Ms - direct.get(r.seed)!.p99Ms),
      column((r) => r.cpuMsPerRequest, 3),
      column((r) => r.netCpuMsPerRequest, 3),
    ];
  });
  const header = ["path", "answered", "failed", "p50 ms", "p99 ms"];
  header.push("p50 - (a)", "p99 - (a)", "cpu ms/request", "without idle");
  return formatTable(header, rows);
}

/** Runs `overhead` with the arguments of the command line. */
export async function runOverheadCommand(
  args: readonly string[],
): Promise<void> {
  const flags = parseOptions(args, DEFAULTS);
  const seeds = parseNumbers(flags.seeds, "seeds");
  const results = await runOverhead({
    seeds,
    rounds: flags.rounds,
    blockMs: flags.blockSeconds * 1000,
    warmUpMs: flags.warmUpSeconds * 1000,
    servers: flags.servers,
    slots: flags.slots,
    serviceMs: flags.serviceMs,
    share: flags.share,
  });
  console.log(`seeds ${seeds.join(", ")}; median [lowest to highest] of seeds`);
  console.log(formatResults(results));
  writeJson(results, { folder: flags.out, name: "overhead" });
}
