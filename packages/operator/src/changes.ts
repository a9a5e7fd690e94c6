/** Sends a change and finds out what became of it. @module */
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
import { type Verdict, writeVerdict } from "./verdict.js";

/** A change that is not sent yet. */
export interface ChangeDraft<M extends ChangeMethod> {
  readonly method: M;
  /** Object that is changed, such as `route/orderdesk`. */
  readonly object: string;
  readonly request: Omit<Calls[M]["requestInput"], "change">;
}

/** A lost answer is asked for during so many times the bound of one call. */
const RESOLVE_CALLS = 3;
/** On a busy machine the time may pass without an answer to any question. */
const MIN_ROUNDS = 4;
const ROUND_PAUSE_MS = 500;

/** Reads the options of a change, sends it and writes the verdict. */
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
  const verdict = await sender.send();
  const { object } = draft;
  return writeVerdict(context, { object, info: sender.info }, verdict);
}

function readChangeInfo({ options, io }: Context): Info {
  const operator = options.getText("operator") ?? io.env.USER ?? "";
  if (operator.trim() === "") {
    options.reject(
      "--operator",
      operator,
      "Expected a name, as $USER is empty",
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

type Info = ChangeInfoInput & { readonly changeId: string };

/**
 * Sends one change until its outcome is known. A lost answer is resolved by
 * GetChange, and by sending the change again under the same UUID.
 */
class ChangeSender<M extends ChangeMethod> {
  readonly #context: Context;
  readonly #draft: ChangeDraft<M>;
  readonly #notes: string[] = [];
  /** Is the UUID one of an earlier run of the command? */
  readonly #repeated: boolean;
  #info: Info;
  /** May an earlier attempt have had its effect? */
  #inDoubt = false;

  private constructor(
    context: Context,
    { draft, info }: { draft: ChangeDraft<M>; info: Info },
  ) {
    this.#context = context;
    this.#draft = draft;
    this.#info = info;
    this.#repeated = context.options.getText("change-id") !== undefined;
  }

  static create<M extends ChangeMethod>(
    context: Context,
    options: { draft: ChangeDraft<M>; info: Info },
  ): ChangeSender<M> {
    return new ChangeSender(context, options);
  }

  /** Who, why and the version, as far as it is known. */
  get info(): Info {
    return this.#info;
  }

  async send(): Promise<Verdict> {
    const { signal } = this.#context.io;
    let endMs = Infinity;
    for (
      let round = 0;
      round < MIN_ROUNDS || performance.now() < endMs;
      round++
    ) {
      if (round > 0) {
        await sleep(ROUND_PAUSE_MS, undefined, { signal }).catch(() => {});
      }
      if (signal.aborted) break;
      for (const address of this.#context.addresses) {
        const verdict = await this.#sendTo(address);
        if (verdict) return verdict;
      }
      if (!this.#inDoubt) {
        return { code: ExitCode.Unreachable, lines: this.#notes };
      }
      const bound = RESOLVE_CALLS * this.#context.timeoutMs;
      endMs = Math.min(endMs, performance.now() + bound);
    }
    const text = this.#notes.at(-1) ?? "No router gave an answer";
    const { changeId } = this.#info;
    return { result: { unknown: { changeId, text }, result: "unknown" } };
  }

  /** Returns `undefined` if another router, or this one later, must be asked. */
  async #sendTo(address: string): Promise<Verdict | undefined> {
    try {
      return await useRouter(this.#context, address, {
        work: (client) => this.#sendOnce(client),
      });
    } catch (e) {
      if (!(e instanceof OperatorError)) throw e;
      this.#notes.push(e.message);
      const final = e.kind === OperatorErrorKind.Refused ||
        e.kind === OperatorErrorKind.NotFound;
      // A refusal of this attempt says nothing about a lost earlier one.
      if (!final || this.#inDoubt) return undefined;
      return { code: ExitCode.Refused, lines: [e.message] };
    }
  }

  async #sendOnce(client: OperatorClient): Promise<Verdict | undefined> {
    if (this.#inDoubt || (this.#repeated && !this.#info.dryRun)) {
      const known = await this.#findOutcome(client);
      if (known) return known;
    }
    const winner = await this.#setVersion(client);
    if (winner) return { result: makeConflict(winner) };
    const { method, request } = this.#draft;
    const message = { ...request, change: this.#info };
    const result = await this.#callOnce(client, { method, message });
    if (result.result !== "unknown" && result.result !== undefined) {
      // After a doubt, the conflict may be with this very change.
      const own = this.#inDoubt && result.result === "conflict"
        ? await this.#findOutcome(client)
        : undefined;
      return own?.report.state === ChangeState.CHANGE_STATE_ACCEPTED
        ? own
        : { result };
    }
    this.#notes.push(result.unknown?.text ?? "The router gave no result");
    this.#inDoubt = true;
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
      if (lost && !this.#info.dryRun) this.#inDoubt = true;
      throw e;
    }
  }

  /** Returns the verdict if the log has the change. */
  async #findOutcome(client: OperatorClient): Promise<Reported | undefined> {
    const { changeId } = this.#info;
    const report = await client.getChange({ changeId });
    return report.state === ChangeState.CHANGE_STATE_NOT_SEEN ||
        report.state === ChangeState.CHANGE_STATE_UNSPECIFIED
      ? undefined
      : { report };
  }

  /**
   * Fixes the version that the first attempt saw, because a repetition against
   * a newer version could overrule a change that came in between. Returns that
   * change if there was no version to fix.
   */
  async #setVersion(client: OperatorClient): Promise<Change | undefined> {
    if (this.#info.expectVersion !== undefined || this.#info.dryRun) return;
    const { object } = this.#draft;
    const { changes } = await client.getHistory({ object, limit: 1 });
    const last = changes.at(-1);
    if (!last || this.#inDoubt) return last;
    this.#info = { ...this.#info, expectVersion: last.version };
    return undefined;
  }
}

interface Reported {
  readonly report: ChangeReport;
}

function makeConflict(winner: Change): ChangeResult {
  const { operator, reason, version, atMs } = winner;
  const conflict = { operator, reason, version, atMs, currentVersion: version };
  return { conflict, result: "conflict" };
}
