/** Command line options and their values. @module */
import { type Finding, FindingList } from "@jaytiller/model";

/** Kinds of options. */
export enum OptionKind {
  Text = "text",
  Flag = "flag",
  /** Text option that may be repeated. */
  List = "list",
}

/** An option of a command. */
export interface OptionSpec {
  /** Name without hyphens. */
  readonly name: string;
  readonly kind: OptionKind;
  readonly description: string;
}

/** Options of all commands. */
export const COMMON_OPTIONS: readonly OptionSpec[] = [
  {
    name: "at",
    kind: OptionKind.List,
    description:
      "Routers as host:port, several separated by commas, tried in order (or JAYTILLER_AT)",
  },
  {
    name: "timeout-ms",
    kind: OptionKind.Text,
    description: "Timeout of each call in ms, 5000 by default",
  },
  {
    name: "json",
    kind: OptionKind.Flag,
    description: "Write JSON to standard output",
  },
];

/** Options of all change commands. */
export const CHANGE_OPTIONS: readonly OptionSpec[] = [
  {
    name: "operator",
    kind: OptionKind.Text,
    description: "Who makes the change, $USER by default",
  },
  {
    name: "reason",
    kind: OptionKind.Text,
    description: "Why the change is made, required",
  },
  {
    name: "expect-version",
    kind: OptionKind.Text,
    description: "Expected version of the object, the newest by default",
  },
  {
    name: "change-id",
    kind: OptionKind.Text,
    description: "UUID of the change, to retry one whose outcome is unknown",
  },
  {
    name: "dry-run",
    kind: OptionKind.Flag,
    description: "Only show what the change would do",
  },
];

/** Reads option values and collects findings about invalid ones. */
export class OptionReader {
  readonly #values: Readonly<Record<string, unknown>>;
  readonly #findingList = new FindingList("command line");

  private constructor(values: Readonly<Record<string, unknown>>) {
    this.#values = values;
  }

  static create(values: Readonly<Record<string, unknown>>): OptionReader {
    return new OptionReader(values);
  }

  get findings(): readonly Finding[] {
    return this.#findingList.items;
  }

  /** Adds a finding about an option or an argument. */
  reject(path: string, value: unknown, message: string): void {
    this.#findingList.add(path, value, message);
  }

  getFlag(name: string): boolean {
    return this.#values[name] === true;
  }

  /** Returns all values of a repeatable option. */
  getList(name: string): string[] {
    const value = this.#values[name];
    if (value === undefined) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.filter((v) => {
      if (typeof v === "string" && v !== "") return true;
      this.reject(`--${name}`, v, "Expected a value");
      return false;
    });
  }

  getText(name: string): string | undefined {
    const [value, ...more] = this.getList(name);
    if (more.length > 0) {
      this.reject(`--${name}`, [value, ...more], "Expected the option once");
    }
    return value;
  }

  /** Returns the value of a required option, or `""` with a finding. */
  getRequired(name: string): string {
    const before = this.findings.length;
    const value = this.getText(name);
    if (value === undefined && this.findings.length === before) {
      this.reject(`--${name}`, value, "The option is required");
    }
    return value ?? "";
  }

  getInteger(
    name: string,
    options: { min: number; max: number },
  ): number | undefined {
    const text = this.getText(name);
    if (text === undefined) return undefined;
    const value = /^\d{1,16}$/.test(text) ? Number(text) : NaN;
    if (value >= options.min && value <= options.max) return value;
    const range = `from ${options.min} to ${options.max}`;
    this.reject(`--${name}`, text, `Expected a whole number ${range}`);
    return undefined;
  }

  /** Returns a time in unix ms; `parseTime` defines the accepted forms. */
  getTime(name: string, nowMs: number): number | undefined {
    const text = this.getText(name);
    if (text === undefined) return undefined;
    const time = parseTime(text, nowMs);
    if (time === undefined) {
      const form = "unix ms, an ISO 8601 time, or an age such as 30s, 5m, 2h";
      this.reject(`--${name}`, text, `Expected ${form}`);
    }
    return time;
  }
}

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/**
 * Parses unix ms, an ISO 8601 time, or an age such as `5m` relative to `nowMs`.
 * Returns unix ms, or `undefined` if the text has none of these forms.
 */
export function parseTime(text: string, nowMs: number): number | undefined {
  if (/^\d{12,15}$/.test(text)) return Number(text);
  const age = /^(\d{1,9})(ms|s|m|h|d)$/.exec(text);
  if (age) return nowMs - Number(age[1]) * UNIT_MS[age[2]!]!;
  if (!/^\d{4}-\d\d-\d\d/.test(text)) return undefined;
  const ms = Date.parse(text);
  return Number.isNaN(ms) ? undefined : ms;
}
