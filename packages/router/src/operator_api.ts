/** gRPC server for operators. @module */
import { getLogger, type Service } from "@jaytiller/kernel";
import {
  type ChangeInfo,
  type ChangeRecord,
  EventKind,
  type VmId,
} from "@jaytiller/model";
import {
  bindOperatorServer,
  type Calls,
  type ChangeMethod,
  type ChangeReportInput,
  type ChangeResultInput,
  ChangeState,
  type ExplanationInput,
  formatEvent,
  type GetTimelineRequest,
  type OperatorHandlers,
  type OperatorServer,
  type TimelineInput,
} from "@jaytiller/rpc";
import { type Change, getObjectName, Rejection } from "@jaytiller/state";
import { explainKey, explainRequest } from "@jaytiller/timeline";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import type { Groups } from "./groups.js";
import { type LogTail, SubmitKind } from "./log_tail.js";
import type { Metrics } from "./metrics.js";
import { planChange } from "./operator_plan.js";
import {
  DRAFT_FACTORIES,
  makeInvalidResult,
  makeRecord,
  STATE_CHECKS,
} from "./operator_records.js";
import { describeState, listMetrics } from "./operator_views.js";
import type { Peers } from "./peers.js";
import type { VmListPoller } from "./vm_list_poller.js";

const log = getLogger("operator");
/** Longest time that a response waits for other routers to apply a change. */
const IN_FORCE_TIMEOUT_MS = 500;
const IN_FORCE_POLL_MS = 50;

/** Serves the operator interface. */
export class OperatorApi implements Service {
  readonly #node: { id: VmId; zone: string };
  readonly #listen: { host: string; port: number };
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #tail: LogTail;
  readonly #vms: VmListPoller;
  readonly #peers: Peers;
  readonly #groups: Groups;
  readonly #metrics: Metrics;
  #server: OperatorServer | undefined;

  constructor(options: {
    node: { id: VmId; zone: string };
    listen: { host: string; port: number };
    clock: Clock;
    events: Events;
    tail: LogTail;
    vms: VmListPoller;
    peers: Peers;
    groups: Groups;
    metrics: Metrics;
  }) {
    this.#node = options.node;
    this.#listen = options.listen;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#tail = options.tail;
    this.#vms = options.vms;
    this.#peers = options.peers;
    this.#groups = options.groups;
    this.#metrics = options.metrics;
  }

  get port(): number {
    return this.#server?.port ?? 0;
  }

  async start(): Promise<void> {
    this.#server = await bindOperatorServer(this.#makeHandlers(), this.#listen);
    log.info(`Listening for operators on port ${this.port}.`);
  }

  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  #makeHandlers(): OperatorHandlers {
    const change =
      <M extends ChangeMethod>(method: M) => (request: Calls[M]["request"]) =>
        this.#change(method, request);
    return {
      putRoute: change("putRoute"),
      removeRoute: change("removeRoute"),
      assign: change("assign"),
      unassign: change("unassign"),
      drain: change("drain"),
      undrain: change("undrain"),
      confirmLost: change("confirmLost"),
      liftPoison: change("liftPoison"),
      getState: () =>
        Promise.resolve(describeState({
          node: this.#node,
          tail: this.#tail,
          vms: this.#vms,
          peers: this.#peers,
          groups: this.#groups,
          now: this.#clock.now(),
        })),
      getHistory: (r) => Promise.resolve(this.#getHistory(r)),
      explain: (r) => Promise.resolve(this.#explain(r)),
      getTimeline: (r) => Promise.resolve(this.#getTimeline(r)),
      getChange: (r) => Promise.resolve(this.#getChange(r.changeId)),
      getMetrics: () =>
        Promise.resolve({
          node: this.#node.id,
          metrics: listMetrics(this.#metrics.summarize()),
        }),
    };
  }

  async #change<M extends ChangeMethod>(
    method: M,
    request: Calls[M]["request"],
  ): Promise<ChangeResultInput> {
    const info = request.change!;
    const id = info.changeId || this.#clock.createUuid();
    // A change that is retried after a lost response must not be validated
    // again, because its own effect would make it invalid.
    const earlier = this.#tail.getAppliedRecord(id);
    if (earlier?.effect.applied) {
      return this.#makeAcceptedResult(earlier.entry.offset + 1);
    }
    const { state } = this.#tail;
    const draft = DRAFT_FACTORIES[method](request);
    const context = { state, vms: this.#vms.vms };
    const rejection = STATE_CHECKS[method](draft, context);
    if (rejection !== undefined) return makeInvalidResult(method, rejection);
    const base = { id, hlc: this.#clock.issueTimestamp(), node: this.#node.id };
    const change = { operator: info.operator, reason: info.reason };
    const probe = makeRecord(draft, {
      ...base,
      change: { ...change, expectVersion: 0 },
    });
    const expectVersion = info.expectVersion ??
      state.getVersion(getObjectName(probe));
    const record = makeRecord(draft, {
      ...base,
      change: { ...change, expectVersion } satisfies ChangeInfo,
    });
    return info.dryRun
      ? { planned: { lines: planChange(record, context) } }
      : await this.#submit(record);
  }

  async #submit(record: ChangeRecord): Promise<ChangeResultInput> {
    const end = await this.#tail.submit(record);
    if (end.kind === SubmitKind.Failed) {
      return makeInvalidResult("log", `Not accepted: ${end.text}`);
    }
    if (end.kind !== SubmitKind.Decided) {
      return { unknown: { changeId: record.id, text: end.text } };
    }
    const { effect, offset } = end;
    if (effect.applied) {
      const text = `${getObjectName(record)}: ${record.change.reason}`;
      this.#events.add({ kind: EventKind.ConfigurationAccepted, offset, text });
      return await this.#waitUntilInForce(offset + 1);
    }
    if (effect.rejection === Rejection.Conflict) {
      return { conflict: this.#describeConflict(record, effect.winner) };
    }
    return makeInvalidResult(record.kind, `Rejected: ${effect.rejection}`);
  }

  #describeConflict(record: ChangeRecord, winner: Change | undefined) {
    return {
      operator: winner?.operator ?? "",
      reason: winner?.reason ?? "",
      version: winner?.version ?? 0,
      atMs: winner?.atMs ?? 0,
      currentVersion: this.#tail.state.getVersion(getObjectName(record)),
    };
  }

  async #waitUntilInForce(version: number): Promise<ChangeResultInput> {
    const end = this.#clock.now() + IN_FORCE_TIMEOUT_MS;
    while (this.#listPending(version).length > 0 && this.#clock.now() < end) {
      await this.#groups.changed.wait(IN_FORCE_POLL_MS);
    }
    return this.#makeAcceptedResult(version);
  }

  #makeAcceptedResult(version: number): ChangeResultInput {
    const pendingOn = this.#listPending(version);
    const inForceOn = this.#listRouters()
      .filter((id) => !pendingOn.includes(id));
    return { accepted: { version, inForceOn, pendingOn } };
  }

  /** Returns the routers that have not reported `version` or a later one. */
  #listPending(version: number): VmId[] {
    const positions = this.#peers.listPositions();
    return this.#listRouters().filter((id) => {
      if (id === this.#node.id) return this.#tail.state.position < version;
      return (positions.get(id)?.position ?? 0) < version;
    });
  }

  /** Returns the listed entry VMs and this one, which a stale list may lack. */
  #listRouters(): VmId[] {
    return [
      ...new Set([
        this.#node.id,
        ...this.#vms.listEntryVms().map((v) => v.id),
      ]),
    ];
  }

  #getHistory(request: Calls["getHistory"]["request"]) {
    const all = this.#tail.state.history.filter((c) =>
      request.object === undefined || c.object === request.object
    );
    const changes = request.limit > 0 ? all.slice(-request.limit) : [...all];
    return { changes };
  }

  #explain(request: Calls["explain"]["request"]): ExplanationInput {
    if (request.key) {
      const { service, key } = request.key;
      const events = this.#events.list({ service });
      const lines = explainKey({
        state: this.#tail.state,
        service,
        key,
        events,
        vms: this.#vms.vms,
        nowMs: this.#clock.unixMs(),
      });
      return {
        lines,
        events: events.slice(-MAX_EXPLAINED_EVENTS).map(formatEvent),
      };
    }
    const requestId = request.requestId ?? "";
    const events = this.#listRequestEvents(requestId);
    const lines = explainRequest({ requestId, events });
    return { lines, events: events.map(formatEvent) };
  }

  #listRequestEvents(id: string) {
    return this.#events.list({}).filter((e) =>
      e.requestId === id || e.identity === id
    );
  }

  #getTimeline(request: GetTimelineRequest): TimelineInput {
    const { requestId, fromMs, toMs, afterHlc, limit, ...rest } = request;
    const found = this.#events.list({
      ...omitUndefined({ ...rest, sinceMs: fromMs, untilMs: toMs }),
    }).filter((e) =>
      (requestId === undefined || e.requestId === requestId ||
        e.identity === requestId) &&
      (afterHlc === undefined || e.hlc > afterHlc)
    );
    const events = limit <= 0
      ? found
      : afterHlc === undefined
      ? found.slice(-limit)
      : found.slice(0, limit);
    return { node: this.#node.id, events: events.map(formatEvent), dropped: 0 };
  }

  #getChange(id: string): ChangeReportInput {
    const { state } = this.#tail;
    const base = { position: state.position, logFresh: this.#tail.isFresh };
    const change = state.history.find((c) => c.changeId === id);
    if (change) {
      const { accepted } = this.#makeAcceptedResult(change.version);
      return {
        ...base,
        state: ChangeState.CHANGE_STATE_ACCEPTED,
        change,
        text: "The change took effect",
        inForceOn: accepted?.inForceOn ?? [],
        pendingOn: accepted?.pendingOn ?? [],
      };
    }
    const applied = this.#tail.getAppliedRecord(id);
    if (applied) {
      return {
        ...base,
        state: ChangeState.CHANGE_STATE_REJECTED,
        text: `The change had no effect: ${applied.effect.rejection}`,
      };
    }
    return {
      ...base,
      state: ChangeState.CHANGE_STATE_NOT_SEEN,
      text:
        `The log contains no change with this ID below offset ${state.position}`,
    };
  }
}

const MAX_EXPLAINED_EVENTS = 50;

/** Returns a copy without the members that are undefined. */
function omitUndefined<T extends object>(value: T): Record<string, never> {
  return Object.fromEntries(
    Object.entries(value).filter(([, v]) => v !== undefined),
  ) as Record<string, never>;
}
