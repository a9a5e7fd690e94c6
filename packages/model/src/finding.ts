/** Findings: problems in an input, collected with their location. @module */

/** A problem in an input, with its location. */
export interface Finding {
  /** Name of the file, object or message, such as `router.toml`. */
  readonly source: string;
  /** Key path separated by dots, or `line N`. */
  readonly path: string;
  /** The invalid value as text. */
  readonly value: string;
  /** What is wrong and what was expected, in sentence case. */
  readonly message: string;
}

/** Formats a finding as one line. */
export function formatFinding(f: Finding): string {
  return `${f.source}: ${f.path}: ${f.message} (found ${f.value})`;
}

/** An error that reports one or more findings. */
export class FindingsError extends Error {
  constructor(readonly findings: readonly Finding[]) {
    super(findings.map(formatFinding).join("\n"));
    this.name = "FindingsError";
  }
}

/** Collects the findings of one source. */
export class FindingList {
  readonly #source: string;
  readonly #items: Finding[] = [];

  constructor(source: string) {
    this.#source = source;
  }

  /** Adds a finding; an `undefined` value is reported as `nothing`. */
  add(path: string, value: unknown, message: string): void {
    const text = value === undefined ? "nothing" : JSON.stringify(value);
    this.#items.push({ source: this.#source, path, value: text, message });
  }

  get items(): readonly Finding[] {
    return this.#items;
  }

  get isEmpty(): boolean {
    return this.#items.length === 0;
  }
}
