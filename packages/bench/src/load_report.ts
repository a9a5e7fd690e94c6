/** Report of a load run: table, JSON and plot. @module */
import { Phase } from "./arrivals.js";
import { ClientOutcome } from "./open_loop_client.js";
import { computePercentile } from "./incidents.js";
import type { LoadResult } from "./load.js";
import { computeLatency, isAnswered, type Sample } from "./measures.js";
import { writeJson, writeOutput } from "./output.js";
import { formatSvg, type Mark, type Panel } from "./svg.js";
import { formatNumber, formatTable } from "./table.js";

const BIN_MS = 500;
const MIB = 1024 * 1024;

function formatPhases({ rows }: LoadResult): string {
  const header = ["service", "phase", "offered", "in time", "late", "refused"];
  header.push("unknown", "broken", "unsent", "p50 ms", "p99 ms", "max ms");
  return formatTable(
    header,
    rows.map((r) => [
      r.service,
      r.phase,
      String(r.offered),
      ...Object.values(ClientOutcome).map((e) => String(r.endings[e])),
      ...[r.p50Ms, r.p99Ms, r.maxMs].map((v) => formatNumber(v)),
    ]),
  );
}

function formatCauses({ causes }: LoadResult): string {
  const counts = Object.entries(causes).sort(([, a], [, b]) => b - a);
  if (counts.length === 0) return "All requests were answered.";
  return `Not answered: ${counts.map(([c, n]) => `${c} ${n}`).join(", ")}`;
}

function formatServices(result: LoadResult): string {
  const rows = result.moves.map(({ service, units, keys }) => {
    const ratios = result.imbalance
      .filter((w) => w.group.startsWith(`${service}/`)).map((w) => w.ratio);
    return [
      service,
      formatNumber(result.capacity[service] ?? NaN, 0),
      formatNumber(computePercentile(ratios, 50), 2),
      formatNumber(computePercentile(ratios, 100), 2),
      String(units),
      String(keys),
    ];
  });
  const header = ["service", "capacity/s", "imbalance median", "max"];
  header.push("units moved", "keys moved");
  return formatTable(header, rows);
}

function formatRouters({ routers }: LoadResult): string {
  return formatTable(
    ["router", "cores", "peak MiB", "groups held"],
    routers.map((r) => [
      r.id,
      formatNumber(r.cores, 3),
      formatNumber(r.peakBytes / MIB),
      String(r.holds.length),
    ]),
  );
}

function formatIncidents({ incidents }: LoadResult): string {
  if (incidents.length === 0) return "No kills or drains.";
  return formatTable(
    [
      "incident",
      "server",
      "at s",
      "units",
      "served",
      "p50 ms",
      "p99 ms",
      "max",
    ],
    incidents.map(({ kind, server, atMs, unavailable: u }) => [
      kind,
      server,
      formatNumber(atMs / 1000),
      ...u ? [String(u.units), String(u.served)] : ["", ""],
      ...u ? [u.p50Ms, u.p99Ms, u.maxMs].map((v) => formatNumber(v, 0)) : [],
    ]),
  );
}

/** Formats all measures of a run as text. */
export function formatLoad(result: LoadResult): string {
  const { generator, seed, stretch } = result;
  return [
    `seed ${seed}, service times up to x ${
      formatNumber(stretch, 2)
    }, generator ` +
    `${formatNumber(generator.cores, 2)} cores, ` +
    `lag p99 ${formatNumber(generator.lagP99Ms)} ms, ` +
    `machine load before ${formatNumber(result.machineLoad)}`,
    formatPhases(result),
    formatCauses(result),
    formatServices(result),
    formatIncidents(result),
    formatRouters(result),
  ].join("\n\n");
}

function makePanels(samples: readonly Sample[], totalMs: number): Panel[] {
  const count = Math.ceil(totalMs / BIN_MS);
  const bins: Sample[][] = Array.from({ length: count }, () => []);
  for (const s of samples) bins[Math.floor(s.sentMs / BIN_MS)]?.push(s);
  const makeSeries = (name: string, compute: (bin: Sample[]) => number) => ({
    name,
    points: bins.map((bin, i) =>
      [(i + 0.5) * BIN_MS / 1000, compute(bin)] as const
    ),
  });
  const perSecond = (matches: (s: Sample) => boolean) => (bin: Sample[]) =>
    bin.filter(matches).length * 1000 / BIN_MS;
  const ended = (e: ClientOutcome) => perSecond((s) => s.outcome === e);
  const services = [...new Set(samples.map((s) => s.service))];
  return [{
    title: "Requests per second, by intended time",
    series: [
      makeSeries("offered", perSecond(() => true)),
      makeSeries("in time", ended(ClientOutcome.InTime)),
      makeSeries("refused", ended(ClientOutcome.Refused)),
      makeSeries(
        "unknown, broken",
        perSecond(({ outcome }) =>
          outcome === ClientOutcome.Unknown || outcome === ClientOutcome.Broken
        ),
      ),
      makeSeries("late", ended(ClientOutcome.Late)),
    ],
  }, {
    title: "p99 of answered requests, ms",
    series: services.map((service) =>
      makeSeries(
        service,
        (bin) =>
          computeLatency(
            bin.filter((s) => s.service === service && isAnswered(s))
              .map((s) => s.latencyMs),
          ).p99Ms,
      )
    ),
  }];
}

/** Writes `<name>.json` and `<name>.svg` to a folder. */
export function writeLoad(
  result: LoadResult,
  to: { folder: string; name: string; crestMs: readonly [number, number] },
): void {
  const { samples, ...summary } = result;
  writeJson(summary, to);
  const marks: Mark[] = [
    { x: to.crestMs[0] / 1000, name: Phase.Crest },
    { x: to.crestMs[1] / 1000, name: Phase.After },
    ...result.incidents.map((i) => ({ x: i.atMs / 1000, name: i.kind })),
  ];
  const maxX = result.totalMs / 1000;
  const panels = makePanels(samples, result.totalMs);
  const plot = formatSvg(panels, { maxX, marks });
  writeOutput(plot, { ...to, name: `${to.name}.svg` });
}
