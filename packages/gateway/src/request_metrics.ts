/** Counters and latency histograms of requests, as text. @module */

/** Upper bounds of the latency buckets, ms. */
const BOUNDS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200];

/** What a request is counted by; each value is one of a few. */
export interface RequestLabels {
  readonly route: string;
  readonly service: string;
  readonly outcome: string;
}

interface Series {
  readonly labels: RequestLabels;
  count: number;
  sumMs: number;
  /** Requests up to each bound. */
  readonly buckets: number[];
}

/** Counts the ends of requests by route, service and outcome. */
export class RequestMetrics {
  readonly #series = new Map<string, Series>();

  /** Counts a request that took `ms` since its arrival. */
  count(labels: RequestLabels, ms: number): void {
    const series = this.#get(labels);
    series.count += 1;
    series.sumMs += ms;
    BOUNDS_MS.forEach((bound, i) => {
      if (ms <= bound) series.buckets[i]! += 1;
    });
  }

  /** Forgets routes that are gone. */
  keepRoutes(isKnown: (route: string) => boolean): void {
    for (const [name, { labels }] of this.#series) {
      if (!isKnown(labels.route)) this.#series.delete(name);
    }
  }

  /** Formats all series in the text format of metrics. */
  format(): string {
    return [...this.#series.values()].flatMap(formatSeries).join("\n") + "\n";
  }

  #get(labels: RequestLabels): Series {
    const name = `${labels.route}/${labels.service}/${labels.outcome}`;
    const known = this.#series.get(name);
    if (known) return known;
    const buckets = BOUNDS_MS.map(() => 0);
    const series: Series = { labels, count: 0, sumMs: 0, buckets };
    this.#series.set(name, series);
    return series;
  }
}

function formatSeries(series: Series): readonly string[] {
  const labels = Object.entries(series.labels)
    .map(([name, value]) => `${name}="${formatLabel(String(value))}"`).join(
      ",",
    );
  const name = "jaytiller_request_duration_ms";
  return [
    ...BOUNDS_MS.map((bound, i) =>
      `${name}_bucket{${labels},le="${bound}"} ${series.buckets[i]}`
    ),
    `${name}_bucket{${labels},le="+Inf"} ${series.count}`,
    `${name}_sum{${labels}} ${Math.round(series.sumMs)}`,
    `${name}_count{${labels}} ${series.count}`,
  ];
}

/** Quotes, backslashes and line ends would break a line of the text. */
function formatLabel(text: string): string {
  return text.replace(/["\\\n]/g, "_");
}
