/** Sends changes and determines their outcomes. @module */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Calls,
  type Change,
  CHANGE_ID_PATTERN,
  type ChangeInfoInput,
  type ChangeMethod,
  type ChangeReport,
  type ChangeResult,
  ChangeState,
  type OperatorClient,
  OperatorError,
  OperatorErrorKind,
} from "@jaytiller/rpc";
import { useRouter } from "./connections.js";
import { type Context, writeFindings, writeNotes } from "./context.js";
import { ExitCode } from "./exit_code.js";
import { type ChangeOutcome, writeOutcome } from "./change_outcome.js";

/** Change to send, without its metadata. */
export interface ChangeDraft<M extends ChangeMethod> {
  readonly method: M;
  /** Object to change, such as `route/orderdesk`. */
  readonly object: string;
  readonly request: Omit<Calls[M]["requestInput"], "change">;
}

/** Time limit for resolving a lost answer, in multiples of the call timeout. */
const RESOLVE_TIMEOUT_FACTOR = 3;
/** On a busy machine the time limit may pass without any query answered. */
const MIN_RESOLVE_ROUNDS = 4;
const ROUND_PAUSE_MS = 500;

/** Reads the options of a change, sends it and writes its outcome. */
export async function runChange<M extends ChangeMethod>(
  context: Context,
  draft: ChangeDraft<M>,
): Promise<ExitCode> {
  const info = readChangeInfo(context);
  const { findings } = context.options;
  if (findings.length > 0) {
    writeFindings(context.io, findings);
    return ExitCode.BadInput;
  }
  writeNotes(context.io, [`Change ${info.changeId}: ${draft.object}`]);
  const sender = ChangeSender.create(context, { draft, info });
  const outcome = await sender.send();
  const { object } = draft;
  return writeOutcome(context, { object, info: sender.info }, outcome);
}

function readChangeInfo({ options, io }: Context): IdentifiedChangeInfo {
  const operator = options.getText("operator") ?? io.env.USER ?? "";
  if (operator.trim() === "") {
    options.reject(
      "--operator",
      operator,
      "Expected a name, because $USER is empty",
    );
  }
  const reason = options.getRequired("reason");
  const expectVersion = options.getInteger("expect-version", {
    min: 0,
    max: Number.MAX_SAFE_INTEGER,
  });
  const changeId = options.getText("change-id") ?? randomUUID();
  if (!CHANGE_ID_PATTERN.test(changeId)) {
    options.reject("--change-id", changeId, "Expected a UUID");
  }
  const dryRun = options.getFlag("dry-run");
  const info = { operator, reason, changeId, dryRun };
  return expectVersion === undefined ? info : { ...info, expectVersion };
}

type IdentifiedChangeInfo = ChangeInfoInput & { readonly changeId: string };

/**
 * Sends a change and retries until its outcome is known. After a lost answer it
 * queries the outcome with GetChange and resends the change with the same UUID.
 */
class ChangeSender<M extends ChangeMethod> {
  readonly #context: Context;
  readonly #draft: ChangeDraft<M>;
  readonly #messages: string[] = [];
  /** Whether the UUID was given, so that an earlier run may have sent it. */
  readonly #repeated: boolean;
  #info: IdentifiedChangeInfo;
  /** Whether an earlier attempt may have taken effect. */
  #isInDoubt = false;

  private constructor(
    context: Context,
    { draft, info }: { draft: ChangeDraft<M>; info: IdentifiedChangeInfo },
  ) {
    this.#context = context;
    this.#draft = draft;
    this.#info = info;
    this.#repeated = context.options.getText("change-id") !== undefined;
  }

  static create<M extends ChangeMethod>(
    context: Context,
    options: { draft: ChangeDraft<M>; info: IdentifiedChangeInfo },
  ): ChangeSender<M> {
    return new ChangeSender(context, options);
  }

  /** Metadata of the change, with the expected version once it is known. */
  get info(): IdentifiedChangeInfo {
    return this.#info;
  }

  /** Sends the change. The outcome is `unknown` if it cannot be resolved. */
  async send(): Promise<ChangeOutcome> {
    const { signal } = this.#context.io;
    let endMs = Infinity;
    for (
      let round = 0;
      round < MIN_RESOLVE_ROUNDS || performance.now() < endMs;
      round++
    ) {
      if (round > 0) {
        await sleep(ROUND_PAUSE_MS, undefined, { signal }).catch(() => {});
      }
      if (signal.aborted) break;
      for (const address of this.#context.addresses) {
        const outcome = await this.#sendTo(address);
        if (outcome) return outcome;
      }
      if (!this.#isInDoubt) {
        return { code: ExitCode.Unreachable, lines: this.#messages };
      }
      const maxResolveMs = RESOLVE_TIMEOUT_FACTOR * this.#context.timeoutMs;
      endMs = Math.min(endMs, performance.now() + maxResolveMs);
    }
    const text = this.#messages.at(-1) ?? "No router answered";
    const { changeId } = this.#info;
    return { result: { unknown: { changeId, text }, result: "unknown" } };
  }

  /** Returns `undefined` if another attempt is needed, at any router. */
  async #sendTo(address: string): Promise<ChangeOutcome | undefined> {
    try {
      return await useRouter(this.#context, address, {
        work: (client) => this.#sendOnce(client),
      });
    } catch (e) {
      if (!(e instanceof OperatorError)) throw e;
      this.#messages.push(e.message);
      const isFinal = e.kind === OperatorErrorKind.Refused ||
        e.kind === OperatorErrorKind.NotFound;
      // Even if this attempt is rejected, an earlier one may have taken effect.
      if (!isFinal || this.#isInDoubt) return undefined;
      return { code: ExitCode.Refused, lines: [e.message] };
    }
  }

  async #sendOnce(client: OperatorClient): Promise<ChangeOutcome | undefined> {
    if (this.#isInDoubt || (this.#repeated && !this.#info.dryRun)) {
      const known = await this.#findOutcome(client);
      if (known) return known;
    }
    const newerChange = await this.#setExpectedVersion(client);
    if (newerChange) return { result: makeConflict(newerChange) };
    const { method, request } = this.#draft;
    const message = { ...request, change: this.#info };
    const result = await this.#callOnce(client, { method, message });
    if (result.result !== "unknown" && result.result !== undefined) {
      // After a lost answer, the conflict may be with this change itself.
      const ownOutcome = this.#isInDoubt && result.result === "conflict"
        ? await this.#findOutcome(client)
        : undefined;
      return ownOutcome?.report.state === ChangeState.CHANGE_STATE_ACCEPTED
        ? ownOutcome
        : { result };
    }
    this.#messages.push(
      result.unknown?.text ?? "The router returned no result",
    );
    this.#isInDoubt = true;
    return this.#findOutcome(client);
  }

  async #callOnce(
    client: OperatorClient,
    call: { method: M; message: Calls[M]["requestInput"] },
  ): Promise<ChangeResult> {
    try {
      return await client.call(call.method, call.message) as ChangeResult;
    } catch (e) {
      const lost = e instanceof OperatorError &&
        e.kind === OperatorErrorKind.Lost;
      if (lost && !this.#info.dryRun) this.#isInDoubt = true;
      throw e;
    }
  }

  /** Returns the report on the change, or `undefined` if the log lacks it. */
  async #findOutcome(
    client: OperatorClient,
  ): Promise<ReportOutcome | undefined> {
    const { changeId } = this.#info;
    const report = await client.getChange({ changeId });
    return report.state === ChangeState.CHANGE_STATE_NOT_SEEN ||
        report.state === ChangeState.CHANGE_STATE_UNSPECIFIED
      ? undefined
      : { report };
  }

  /**
   * Sets the expected version before the first attempt, because a retry against
   * a newer version could overwrite a change made in between. If the object had
   * no version then, a retry conflicts with any change since and that change is
   * returned.
   */
  async #setExpectedVersion(
    client: OperatorClient,
  ): Promise<Change | undefined> {
    if (this.#info.expectVersion !== undefined || this.#info.dryRun) return;
    const { object } = this.#draft;
    const { changes } = await client.getHistory({ object, limit: 1 });
    const last = changes.at(-1);
    if (!last || this.#isInDoubt) return last;
    this.#info = { ...this.#info, expectVersion: last.version };
    return undefined;
  }
}

interface ReportOutcome {
  readonly report: ChangeReport;
}

function makeConflict(winner: Change): ChangeResult {
  const { operator, reason, version, atMs } = winner;
  const conflict = { operator, reason, version, atMs, currentVersion: version };
  return { conflict, result: "conflict" };
}
