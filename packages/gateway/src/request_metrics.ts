/** Counters and latency histograms of requests, in text format. @module */

/** Upper bounds of the latency buckets, ms. */
const BUCKET_BOUNDS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200];

/** Metric labels of a request; each has a small set of values. */
export interface RequestLabels {
  readonly route: string;
  readonly service: string;
  readonly outcome: string;
}

interface Series {
  readonly labels: RequestLabels;
  count: number;
  sumMs: number;
  /** Cumulative number of requests up to each bound. */
  readonly buckets: number[];
}

/** Counts request outcomes and latencies by route, service and outcome. */
export class RequestMetrics {
  readonly #series = new Map<string, Series>();

  /** Counts an outcome that was reached `ms` after the request's arrival. */
  count(labels: RequestLabels, ms: number): void {
    const series = this.#getSeries(labels);
    series.count += 1;
    series.sumMs += ms;
    BUCKET_BOUNDS_MS.forEach((bound, i) => {
      if (ms <= bound) series.buckets[i]! += 1;
    });
  }

  /** Removes the series of routes that are no longer configured. */
  retainRoutes(isKnown: (route: string) => boolean): void {
    for (const [name, { labels }] of this.#series) {
      if (!isKnown(labels.route)) this.#series.delete(name);
    }
  }

  /** Formats all series in the text format for metrics. */
  format(): string {
    return [...this.#series.values()].flatMap(formatSeries).join("\n") + "\n";
  }

  #getSeries(labels: RequestLabels): Series {
    const name = `${labels.route}/${labels.service}/${labels.outcome}`;
    const known = this.#series.get(name);
    if (known) return known;
    const buckets = BUCKET_BOUNDS_MS.map(() => 0);
    const series: Series = { labels, count: 0, sumMs: 0, buckets };
    this.#series.set(name, series);
    return series;
  }
}

function formatSeries(series: Series): readonly string[] {
  const labels = Object.entries(series.labels)
    .map(([name, value]) => `${name}="${sanitizeLabelValue(String(value))}"`)
    .join(
      ",",
    );
  const name = "jaytiller_request_duration_ms";
  return [
    ...BUCKET_BOUNDS_MS.map((bound, i) =>
      `${name}_bucket{${labels},le="${bound}"} ${series.buckets[i]}`
    ),
    `${name}_bucket{${labels},le="+Inf"} ${series.count}`,
    `${name}_sum{${labels}} ${Math.round(series.sumMs)}`,
    `${name}_count{${labels}} ${series.count}`,
  ];
}

/** Replaces quotes, backslashes and line breaks, which would break a line. */
function sanitizeLabelValue(text: string): string {
  return text.replace(/["\\\n]/g, "_");
}
