/** Answers `GET /explain` on the metrics address. @module */
import type { EventLog } from "@jaytiller/kernel";
import { type ExplainQuery, parseExplainQuery } from "./explain_query.js";
import type { Explanation } from "./explanation.js";
import type { StatusAnswer } from "./status_server.js";

/** Most explanations in a second: each may describe up to 100 servers. */
export const MAX_EXPLANATIONS_PER_SECOND = 10;
/** Window in which explanations are limited, ms. */
const WINDOW_MS = 1_000;
const JSON_TYPE = "application/json; charset=utf-8";

enum PageStatus {
  Ok = 200,
  BadRequest = 400,
  TooMany = 429,
  Failed = 500,
}

/** Dependencies of the page. */
export interface ExplainPageOptions {
  readonly explain: (query: ExplainQuery, nowMs: number) => Explanation;
  readonly log: EventLog;
}

/** Serves explanations, a limited number in each second. */
export class ExplainPage {
  readonly #options: ExplainPageOptions;
  /** Times of the explanations in the last second, ms. */
  #timesMs: number[] = [];
  #answered = 0;
  #limited = 0;
  #failed = 0;

  constructor(options: ExplainPageOptions) {
    this.#options = options;
  }

  /** Answers a request with this query string at `nowMs`. */
  answer(query: string, nowMs: number): StatusAnswer {
    const parsed = parseExplainQuery(new URLSearchParams(query));
    if ("problem" in parsed) {
      return makeText(PageStatus.BadRequest, parsed.problem);
    }
    this.#timesMs = this.#timesMs.filter((ms) => ms > nowMs - WINDOW_MS);
    if (this.#timesMs.length >= MAX_EXPLANATIONS_PER_SECOND) {
      this.#limited += 1;
      return makeText(
        PageStatus.TooMany,
        `More than ${MAX_EXPLANATIONS_PER_SECOND} explanations in a second`,
      );
    }
    this.#timesMs.push(nowMs);
    return this.#explain(parsed.query, nowMs);
  }

  /** Lists names and values for the metrics page. */
  listMetrics(): readonly (readonly [string, number])[] {
    return [
      ["jaytiller_explanations", this.#answered],
      ["jaytiller_explanations_limited", this.#limited],
      ["jaytiller_explanations_failed", this.#failed],
    ];
  }

  #explain(query: ExplainQuery, nowMs: number): StatusAnswer {
    try {
      const explanation = this.#options.explain(query, nowMs);
      const text = `${JSON.stringify(explanation, roundNumber)}\n`;
      this.#answered += 1;
      return { status: PageStatus.Ok, text, type: JSON_TYPE };
    } catch (error) {
      this.#failed += 1;
      const problem = (error as Error).message.split("\n", 1)[0]!;
      this.#options.log.record("explainFailed", {
        problem,
        path: query.path,
        key: query.key,
      });
      return makeText(PageStatus.Failed, `The explanation failed: ${problem}`);
    }
  }
}

/** Rounds numbers to three decimals. */
function roundNumber(_name: string, value: unknown): unknown {
  return typeof value === "number" ? Math.round(1_000 * value) / 1_000 : value;
}

function makeText(status: PageStatus, line: string): StatusAnswer {
  return { status, text: `${line}\n` };
}
