/** Command `compare`: load runs with both admission policies. @module */
import { parseOptions } from "@jaytiller/standins";
import { ClientOutcome } from "./open_loop_client.js";
import { type LoadResult, runLoad } from "./load.js";
import { LOAD_DEFAULTS, makeLoadOptions } from "./load_command.js";
import type { PhaseRow } from "./measures.js";
import { writeJson } from "./output.js";
import { parseNumbers } from "./settings.js";
import { computeSpread } from "./statistics.js";
import { formatNumber, formatSpread, formatTable } from "./table.js";

/** Values of the routers' setting `admission.policy`. */
enum AdmissionPolicy {
  Classes = "classes",
  Fifo = "plain",
}

/** `seeds` replaces the flag `seed` of `load`. */
const DEFAULTS = { ...LOAD_DEFAULTS, seeds: "1,2,3" };

type Run = Omit<LoadResult, "samples">;
type Runs = Readonly<Record<AdmissionPolicy, readonly Run[]>>;

const MEASURES: readonly {
  readonly name: string;
  readonly get: (row: PhaseRow) => number;
}[] = [
  {
    name: "in time %",
    get: (r) => 100 * r.endings[ClientOutcome.InTime] / r.offered,
  },
  {
    name: "refused %",
    get: (r) => 100 * r.endings[ClientOutcome.Refused] / r.offered,
  },
  { name: "p50 ms", get: (r) => r.p50Ms },
  { name: "p99 ms", get: (r) => r.p99Ms },
];

async function runWithPolicy(
  policy: AdmissionPolicy,
  flags: typeof LOAD_DEFAULTS,
): Promise<Run> {
  const options = makeLoadOptions(flags);
  const settings = { admission: { policy } };
  const fleet = { ...options.fleet, settings };
  const { samples: _, ...run } = await runLoad({ ...options, fleet });
  return run;
}

function formatMeasureTable(
  runs: Runs,
  measure: (typeof MEASURES)[number],
): string {
  const rows = runs[AdmissionPolicy.Classes][0]!.rows.map((row, i) => {
    const [classes, plain] = [AdmissionPolicy.Classes, AdmissionPolicy.Fifo]
      .map((p) => runs[p].map((run) => measure.get(run.rows[i]!)));
    const ratios = classes!.map((v, seed) => v / plain![seed]!);
    return [
      row.service,
      row.phase,
      formatSpread(computeSpread(classes!)),
      formatSpread(computeSpread(plain!)),
      formatSpread(computeSpread(ratios), 2),
    ];
  });
  const header = [
    measure.name,
    "phase",
    AdmissionPolicy.Classes,
    AdmissionPolicy.Fifo,
  ];
  return formatTable([...header, "classes / plain"], rows);
}

/** Runs `compare` with the arguments of the command line. */
export async function runCompareCommand(
  args: readonly string[],
): Promise<void> {
  const flags = parseOptions(args, DEFAULTS);
  const seeds = parseNumbers(flags.seeds, "seeds");
  const runs = {
    [AdmissionPolicy.Classes]: [] as Run[],
    [AdmissionPolicy.Fifo]: [] as Run[],
  };
  for (const [i, seed] of seeds.entries()) {
    // Alternates the order, so that gradual changes of the machine's speed
    // favour neither policy.
    const order = i % 2 === 0
      ? [AdmissionPolicy.Classes, AdmissionPolicy.Fifo]
      : [AdmissionPolicy.Fifo, AdmissionPolicy.Classes];
    for (const policy of order) {
      const run = await runWithPolicy(policy, { ...flags, seed });
      runs[policy].push(run);
      const { cores, lagP99Ms } = run.generator;
      console.log(
        `${policy}, seed ${seed}: generator ${formatNumber(cores, 2)} cores, ` +
          `lag p99 ${formatNumber(lagP99Ms)} ms, ` +
          `machine load before ${formatNumber(run.machineLoad)}`,
      );
    }
  }
  console.log("\nMedian [lowest to highest] of seeds; ratios by seed\n");
  console.log(MEASURES.map((m) => formatMeasureTable(runs, m)).join("\n\n"));
  writeJson(runs, { folder: flags.out, name: `compare-${flags.workload}` });
}
