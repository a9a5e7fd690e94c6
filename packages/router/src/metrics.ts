/** Latency histograms and outcome counts of this process. @module */
import { Outcome } from "@jaytiller/model";
import { build, type Histogram } from "hdr-histogram-js";

const MAX_LATENCY_US = 120_000_000;

/** Number of samples, and their percentiles and maximum in ms. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Metrics that `GetMetrics` returns. */
export interface MetricsSummary {
  readonly outcomes: Readonly<Record<Outcome, number>>;
  readonly requests: LatencySummary;
  readonly server: LatencySummary;
  readonly rssBytes: number;
  readonly cpuMs: number;
  readonly uptimeMs: number;
}

/** Counts outcomes and records latencies. */
export class Metrics {
  readonly #requests = makeHistogram();
  readonly #server = makeHistogram();
  readonly #outcomes: Record<Outcome, number> = {
    [Outcome.Answered]: 0,
    [Outcome.Refused]: 0,
    [Outcome.Unknown]: 0,
  };

  /** Records a request of a caller, from arrival to the end of its answer. */
  recordRequest(ms: number, outcome: Outcome): void {
    this.#requests.recordValue(toMicroseconds(ms));
    this.#outcomes[outcome] += 1;
  }

  /** Records the duration of a call to a backend server. */
  recordServerCall(ms: number): void {
    this.#server.recordValue(toMicroseconds(ms));
  }

  summarize(): MetricsSummary {
    const cpu = process.cpuUsage();
    return {
      outcomes: { ...this.#outcomes },
      requests: summarize(this.#requests),
      server: summarize(this.#server),
      rssBytes: process.memoryUsage.rss(),
      cpuMs: (cpu.user + cpu.system) / 1_000,
      uptimeMs: process.uptime() * 1_000,
    };
  }
}

function makeHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

function toMicroseconds(ms: number): number {
  return Math.min(MAX_LATENCY_US, Math.max(1, Math.round(ms * 1_000)));
}

function summarize(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    maxMs: histogram.maxValue / 1_000,
  };
}
