/** The port for operators. @module */
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
  DRAFTS,
  makeInvalid,
  makeRecord,
  STATE_CHECKS,
} from "./operator_records.js";
import { describeState, listMetrics } from "./operator_views.js";
import type { Peers } from "./peers.js";
import type { VmWatch } from "./vm_watch.js";

const log = getLogger("operator");
/** A change waits this long for the other routers before it is answered. */
const IN_FORCE_WAIT_MS = 500;
const IN_FORCE_PAUSE_MS = 50;

/** Serves the operator interface. */
export class OperatorApi implements Service {
  readonly #node: { id: VmId; zone: string };
  readonly #listen: { host: string; port: number };
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #tail: LogTail;
  readonly #vms: VmWatch;
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
    vms: VmWatch;
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
    log.info(`Listens for operators on port ${this.port}.`);
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
    const id = info.changeId || this.#clock.newUuid();
    // A change that is repeated after a lost answer must not be checked again:
    // its own effect would make it look wrong.
    const earlier = this.#tail.getApplied(id);
    if (earlier?.effect.applied) {
      return this.#accept(earlier.entry.offset + 1);
    }
    const { state } = this.#tail;
    const draft = DRAFTS[method](request);
    const world = { state, vms: this.#vms.vms };
    const wrong = STATE_CHECKS[method](draft, world);
    if (wrong !== undefined) return makeInvalid(method, wrong);
    const base = { id, hlc: this.#clock.stamp(), node: this.#node.id };
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
      ? { planned: { lines: planChange(record, world) } }
      : await this.#submit(record);
  }

  async #submit(record: ChangeRecord): Promise<ChangeResultInput> {
    const end = await this.#tail.submit(record);
    if (end.kind === SubmitKind.Failed) {
      return makeInvalid("log", `Not accepted: ${end.text}`);
    }
    if (end.kind !== SubmitKind.Decided) {
      return { unknown: { changeId: record.id, text: end.text } };
    }
    const { effect, offset } = end;
    if (effect.applied) {
      const text = `${getObjectName(record)}: ${record.change.reason}`;
      this.#events.add({ kind: EventKind.ConfigurationAccepted, offset, text });
      return await this.#awaitInForce(offset + 1);
    }
    if (effect.rejection === Rejection.Conflict) {
      return { conflict: this.#describeConflict(record, effect.winner) };
    }
    return makeInvalid(record.kind, `Rejected: ${effect.rejection}`);
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

  async #awaitInForce(version: number): Promise<ChangeResultInput> {
    const end = this.#clock.now() + IN_FORCE_WAIT_MS;
    while (this.#listPending(version).length > 0 && this.#clock.now() < end) {
      await this.#groups.changed.wait(IN_FORCE_PAUSE_MS);
    }
    return this.#accept(version);
  }

  #accept(version: number): ChangeResultInput {
    const pendingOn = this.#listPending(version);
    const inForceOn = this.#listRouters()
      .filter((id) => !pendingOn.includes(id));
    return { accepted: { version, inForceOn, pendingOn } };
  }

  /** Routers that have not reported a position of the version or above. */
  #listPending(version: number): VmId[] {
    const positions = this.#peers.listPositions();
    return this.#listRouters().filter((id) => {
      if (id === this.#node.id) return this.#tail.state.position < version;
      return (positions.get(id)?.position ?? 0) < version;
    });
  }

  /** Listed entry VMs and this one, which the lagging list may lack. */
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
      return { lines, events: events.slice(-MAX_EVENTS).map(formatEvent) };
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
      ...dropAbsent({ ...rest, sinceMs: fromMs, untilMs: toMs }),
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
    const base = { position: state.position, logFresh: this.#tail.fresh };
    const change = state.history.find((c) => c.changeId === id);
    if (change) {
      const { accepted } = this.#accept(change.version);
      return {
        ...base,
        state: ChangeState.CHANGE_STATE_ACCEPTED,
        change,
        text: "The change took effect",
        inForceOn: accepted?.inForceOn ?? [],
        pendingOn: accepted?.pendingOn ?? [],
      };
    }
    const applied = this.#tail.getApplied(id);
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
      text: `The log has no such change below offset ${state.position}`,
    };
  }
}

const MAX_EVENTS = 50;

/** Leaves out the members that are undefined. */
function dropAbsent<T extends object>(value: T): Record<string, never> {
  return Object.fromEntries(
    Object.entries(value).filter(([, v]) => v !== undefined),
  ) as Record<string, never>;
}
