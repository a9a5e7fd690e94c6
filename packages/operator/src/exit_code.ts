/** Exit codes of the command line. @module */

/** Exit codes, documented in `--help` and in the README. */
export enum ExitCode {
  Done = 0,
  /** A conflicting change, or the router refused or found no such object. */
  Refused = 1,
  /** Bad usage or bad input. */
  BadInput = 2,
  /** The change may have taken effect or may still do so. */
  Unknown = 3,
  /** No router could be reached, or none was ready. */
  Unreachable = 4,
}

/** Explanation of the exit codes in `--help`. */
export const EXIT_CODE_LINES: readonly string[] = [
  "Exit codes: 0 done; 1 refused or conflict; 2 bad usage or bad input;",
  "3 outcome unknown; 4 no router reachable or ready.",
];
