/** Formats the outcome of a change for the user. @module */
import { type Finding, formatFinding } from "@jaytiller/model";
import {
  type ChangeInfoInput,
  type ChangeReport,
  type ChangeResult,
  ChangeState,
} from "@jaytiller/rpc";
import { type Context, writeLines, writeNotes } from "./context.js";
import { ExitCode } from "./exit_code.js";
import { formatTime } from "./tables.js";

/** Result of a change, report on an earlier attempt, or an error. */
export type ChangeOutcome =
  | { readonly result: ChangeResult }
  | { readonly report: ChangeReport }
  | { readonly code: ExitCode; readonly lines: readonly string[] };

/** The change that an outcome belongs to. */
export interface ChangeSubject {
  readonly object: string;
  readonly info: ChangeInfoInput;
}

/** Lines to write, and the exit code of the command. */
interface CommandOutput {
  readonly code: ExitCode;
  readonly lines: readonly string[];
}

type ResultKind = NonNullable<ChangeResult["result"]>;

function formatRollout(
  report: { inForceOn: readonly string[]; pendingOn: readonly string[] },
): string[] {
  return [
    `In force on: ${report.inForceOn.join(", ") || "none"}`,
    `Pending on: ${report.pendingOn.join(", ") || "none"}`,
  ];
}

const RESULT_FORMATTERS: {
  readonly [K in ResultKind]: (
    value: NonNullable<ChangeResult[K]>,
    subject: ChangeSubject,
  ) => CommandOutput;
} = {
  accepted: (value, { object }) => ({
    code: ExitCode.Done,
    lines: [
      `Accepted: ${object} is at version ${value.version}.`,
      ...formatRollout(value),
    ],
  }),
  conflict: (value, { object }) => ({
    code: ExitCode.Refused,
    lines: [
      value.operator === ""
        ? `Refused: ${object} does not have the version that was expected.`
        : `Refused: ${value.operator} changed ${object} to version ${value.version} at ${
          formatTime(value.atMs)
        }: ${value.reason}`,
      `The version is now ${value.currentVersion}; to change it nevertheless, ` +
      `retry with --expect-version ${value.currentVersion}.`,
    ],
  }),
  invalid: (value) => ({
    code: ExitCode.BadInput,
    lines: value.findings.map((f) => formatFinding(f as Finding)),
  }),
  unknown: (value, { info }) => ({
    code: ExitCode.Unknown,
    lines: [
      `Unknown: the change may have taken effect or may still do so: ${value.text}`,
      `Ask with: jaytiller change ${value.changeId}`,
      // Without the version, a retry could overwrite a change made in between.
      `Retry safely with: --change-id ${value.changeId} ` +
      `--expect-version ${info.expectVersion ?? 0}`,
    ],
  }),
  planned: (value, { object }) => ({
    code: ExitCode.Done,
    lines: value.lines.length > 0
      ? value.lines
      : [`A change of ${object} would move nothing.`],
  }),
};

/** Returns the lines and the exit code of a report on a change. */
export function describeReport(report: ChangeReport): CommandOutput {
  const { change, position } = report;
  const outcomes: Readonly<Record<ChangeState & string, CommandOutput>> = {
    [ChangeState.CHANGE_STATE_UNSPECIFIED]: {
      code: ExitCode.Unknown,
      lines: ["The router returned no state of the change."],
    },
    [ChangeState.CHANGE_STATE_ACCEPTED]: {
      code: ExitCode.Done,
      lines: [
        change
          ? `Accepted: ${change.object} is at version ${change.version}.`
          : "Accepted.",
        ...formatRollout(report),
      ],
    },
    [ChangeState.CHANGE_STATE_REJECTED]: {
      code: ExitCode.Refused,
      lines: [`Refused: the change had no effect. ${report.text}`.trim()],
    },
    [ChangeState.CHANGE_STATE_NOT_SEEN]: {
      code: ExitCode.Unknown,
      lines: [
        `The log does not contain the change below position ${position}; it ` +
        `may still be appended. ${report.text}`.trim(),
        ...(report.logFresh ? [] : ["The router cannot read the log now."]),
      ],
    },
  };
  return outcomes[report.state as ChangeState & string];
}

function describeResult(
  result: ChangeResult,
  subject: ChangeSubject,
): CommandOutput {
  const kind = result.result ?? "unknown";
  const describe = RESULT_FORMATTERS[kind] as (
    v: unknown,
    s: ChangeSubject,
  ) => CommandOutput;
  return describe(result[kind], subject);
}

/**
 * Writes the outcome of a change and returns the exit code. Without `--json`, a
 * success goes to standard output and anything else to standard error.
 */
export function writeOutcome(
  { io, json }: Context,
  subject: ChangeSubject,
  changeOutcome: ChangeOutcome,
): ExitCode {
  const outcome = "result" in changeOutcome
    ? describeResult(changeOutcome.result, subject)
    : "report" in changeOutcome
    ? describeReport(changeOutcome.report)
    : changeOutcome;
  const { changeId } = subject.info;
  if (json) io.writeLine(JSON.stringify({ changeId, ...changeOutcome }));
  else if (outcome.code === ExitCode.Done) writeLines(io, outcome.lines);
  else writeNotes(io, outcome.lines);
  return outcome.code;
}
