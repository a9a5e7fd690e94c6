/** Command `slopes`. @module */
import { parseOptions } from "@jaytiller/standins";
import { writeJson } from "./output.js";
import { parseNumbers } from "./settings.js";
import {
  BASE_SIZE,
  Dimension,
  type IdlePoint,
  type LoadPoint,
  measureIdle,
  measureRates,
  type RouterUsageRate,
} from "./slopes.js";
import { computeLine } from "./statistics.js";
import { formatNumber, formatTable } from "./table.js";

const RATES = "rates";
const KIB = 1024;
const MIB = KIB * KIB;

const DEFAULTS = {
  /** Parts to run: dimensions or `rates`, separated by commas. */
  only: [...Object.values(Dimension), RATES].join(","),
  routers: "2,4,6",
  servers: "4,8,16",
  shards: "64,512,4096",
  rates: "100,200,400",
  seed: 1,
  settleSeconds: 3,
  measureSeconds: 5,
  out: "bench-out",
};

type Flags = typeof DEFAULTS;

const COLUMNS: readonly {
  readonly name: string;
  readonly digits: number;
  readonly get: (r: RouterUsageRate) => number;
}[] = [
  { name: "cpu ms/s", digits: 2, get: (r) => r.cores * 1000 },
  { name: "sent KiB/s", digits: 2, get: (r) => r.sentBytes / KIB },
  { name: "received KiB/s", digits: 2, get: (r) => r.receivedBytes / KIB },
  { name: "rss MiB", digits: 1, get: (r) => r.rssBytes / MIB },
];

/** Computes the mean of the routers that hold the group, or of the others. */
function computeMean(
  point: IdlePoint,
  holder: boolean,
  get: (r: RouterUsageRate) => number,
): number {
  const values = point.routers.filter((r) => r.holder === holder).map(get);
  return values.reduce((a, b) => a + b, 0) / values.length;
}

function formatDimension(
  dimension: Dimension,
  points: readonly IdlePoint[],
): string {
  const rows = [true, false].flatMap((holder) => {
    const role = holder ? "holder" : "other";
    const row = (label: string, get: (i: number) => number, extra = 0) => [
      label,
      role,
      ...COLUMNS.map((c, i) => formatNumber(get(i), c.digits + extra)),
    ];
    const sizes = points.map((p) =>
      row(
        String(p.size[dimension]),
        (i) => computeMean(p, holder, COLUMNS[i]!.get),
      )
    );
    const slope = (i: number) =>
      computeLine(
        points.map((p) =>
          [p.size[dimension], computeMean(p, holder, COLUMNS[i]!.get)] as const
        ),
      ).slope;
    return [...sizes, row("per unit", slope, 2)];
  });
  const names = COLUMNS.map((c) => c.name);
  return formatTable([dimension, "router", ...names], rows);
}

async function measureDimension(dimension: Dimension, flags: Flags) {
  const sizes = parseNumbers(flags[dimension], dimension);
  const points: IdlePoint[] = [];
  for (const value of sizes) {
    points.push(
      await measureIdle({ ...BASE_SIZE, [dimension]: value }, {
        settleMs: flags.settleSeconds * 1000,
        measureMs: flags.measureSeconds * 1000,
      }),
    );
  }
  console.log(`${formatDimension(dimension, points)}\n`);
  return points;
}

async function measureRatesPart(flags: Flags): Promise<LoadPoint[]> {
  const points = await measureRates(parseNumbers(flags.rates, RATES), {
    seed: flags.seed,
    measureMs: flags.measureSeconds * 1000,
  });
  const header = ["rate/s", "requests", "answered", "cpu ms/request", "cores"];
  const rows = points.map((p) => [
    formatNumber(p.perSecond, 0),
    String(p.requests),
    String(p.answered),
    formatNumber(p.cpuMsPerRequest, 3),
    formatNumber(p.cores, 3),
  ]);
  const { slope, intercept } = computeLine(
    points.map((p) => [p.perSecond, p.cores * 1000] as const),
  );
  console.log(formatTable(header, rows));
  console.log(
    `Least squares: ${formatNumber(slope, 3)} ms per request and ` +
      `${formatNumber(intercept, 1)} ms/s without load\n`,
  );
  return points;
}

/** Runs `slopes` with the arguments of the command line. */
export async function runSlopesCommand(
  args: readonly string[],
): Promise<void> {
  const flags = parseOptions(args, DEFAULTS);
  const parts = flags.only.split(",");
  const allowed: string[] = [...Object.values(Dimension), RATES];
  const unknown = parts.find((p) => !allowed.includes(p));
  if (unknown !== undefined) {
    throw new Error(
      `only: Expected some of ${allowed.join(", ")} (found ${unknown}).`,
    );
  }
  const idle: Record<string, IdlePoint[]> = {};
  for (const dimension of Object.values(Dimension)) {
    if (!parts.includes(dimension)) continue;
    idle[dimension] = await measureDimension(dimension, flags);
  }
  const rates = parts.includes(RATES) ? await measureRatesPart(flags) : [];
  writeJson({ idle, rates }, { folder: flags.out, name: "slopes" });
}
