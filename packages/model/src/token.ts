/** Fencing tokens of group holders. @module */

/** Fencing token of a holder. Higher tokens supersede lower ones. */
export class Token {
  private constructor(
    /** Offset of the holder's claim record. */
    readonly term: number,
    /** Number of takeovers without the log under this term. */
    readonly ballot: number,
  ) {}

  /** Lower than any token that a claim can produce. */
  static readonly none: Token = new Token(-1, 0);

  static of(term: number, ballot = 0): Token {
    return new Token(term, ballot);
  }

  /** Parses `term.ballot`. Returns `undefined` for any other text. */
  static parse(text: string): Token | undefined {
    const m = /^(-?\d{1,15})\.(\d{1,9})$/.exec(text);
    return m ? new Token(Number(m[1]), Number(m[2])) : undefined;
  }

  /** Returns a negative number if this token is lower, 0 if both are equal. */
  compare(other: Token): number {
    return this.term - other.term || this.ballot - other.ballot;
  }

  equals(other: Token): boolean {
    return this.compare(other) === 0;
  }

  /** Returns the token of a takeover without the log under the same term. */
  nextBallot(): Token {
    return new Token(this.term, this.ballot + 1);
  }

  /** Formats as `term.ballot`, the form used in headers and JSON. */
  toString(): string {
    return `${this.term}.${this.ballot}`;
  }

  toJSON(): string {
    return this.toString();
  }
}
