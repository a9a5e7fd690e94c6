/** Registers the router's services with the kernel. @module */
import { getLogger, type Kernel } from "@jaytiller/kernel";
import { formatFinding } from "@jaytiller/model";
import { LogClient, VmListClient } from "@jaytiller/platform";
import { Clock } from "./clock.js";
import { CrashWatch } from "./crash_watch.js";
import { Dispatch } from "./dispatch.js";
import { Entry } from "./entry.js";
import { Events } from "./events.js";
import { Forward } from "./forward.js";
import { Groups } from "./groups.js";
import { HolderPath } from "./holder_path.js";
import { Identities } from "./identities.js";
import { LogTail } from "./log_tail.js";
import { Metrics } from "./metrics.js";
import { NAME } from "./names.js";
import { OperatorApi } from "./operator_api.js";
import { Peers } from "./peers.js";
import { Pressure } from "./pressure.js";
import { ServerCaller } from "./server_call.js";
import { getTiming, type RouterSettings } from "./settings.js";
import { VmWatch } from "./vm_watch.js";

const log = getLogger("router");
const LOG_TIMEOUT_MS = 5_000;
const VM_LIST_TIMEOUT_MS = 2_000;
const STOP_TIMEOUT_MS = 125_000;

/** Ports that the router listens on. */
export interface RouterPorts {
  list(): { callerPort: number; peerPort: number; operatorPort: number };
}

/** Registers all services under their names. */
export function buildRouter(kernel: Kernel, settings: RouterSettings): void {
  registerBase(kernel, settings);
  registerPlatform(kernel, settings);
  registerControl(kernel, settings);
  registerTraffic(kernel, settings);
  registerOperators(kernel, settings);
}

/**
 * Hands the groups over, lets requests in flight finish, then stops the
 * services in reverse order of their start.
 */
export async function stopRouter(kernel: Kernel): Promise<void> {
  kernel.get<Peers>(NAME.peers).markStopping();
  await kernel.get<Groups>(NAME.groups).handOverAll();
  const findings = await kernel.stop({ timeoutMs: STOP_TIMEOUT_MS });
  for (const f of findings) log.warn(`${formatFinding(f)}.`);
}

function registerBase(kernel: Kernel, settings: RouterSettings) {
  const { id } = settings.node;
  kernel.register(NAME.settings, () => settings);
  kernel.register(NAME.clock, () => new Clock(id));
  kernel.register(NAME.metrics, () => new Metrics());
  kernel.register(
    NAME.events,
    (k) => new Events(id, k.get<Clock>(NAME.clock)),
  );
  kernel.register(
    NAME.pressure,
    (k) => new Pressure(k.get<Clock>(NAME.clock)),
  );
  kernel.register(
    NAME.identities,
    (k) =>
      new Identities(k.get<Clock>(NAME.clock), {
        toleranceMs: settings.timing.identityToleranceMs,
        clockErrorMs: settings.timing.clockErrorMs,
      }),
  );
}

function registerPlatform(kernel: Kernel, settings: RouterSettings) {
  const { platform, timing, node } = settings;
  kernel.register(NAME.vmList, (k) =>
    new VmWatch({
      client: VmListClient.create({
        url: platform.vmListUrl,
        timeoutMs: VM_LIST_TIMEOUT_MS,
      }),
      clock: k.get(NAME.clock),
    }));
  kernel.register(NAME.logTail, (k) =>
    new LogTail({
      client: LogClient.create({
        url: platform.logUrl,
        timeoutMs: LOG_TIMEOUT_MS,
      }),
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      freshMs: timing.authorityMs,
      snapshotEvery: platform.snapshotEvery,
      node: node.id,
    }));
}

function registerControl(kernel: Kernel, settings: RouterSettings) {
  const { node, listen } = settings;
  kernel.register(NAME.peers, (k) =>
    new Peers({
      self: node,
      listen: { host: listen.host, port: listen.peerPort },
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      tail: k.get(NAME.logTail),
      vms: k.get(NAME.vmList),
      timing: getTiming(settings),
      // Groups need peers, so peers find them when they are used.
      getGroups: () => k.get<Groups>(NAME.groups),
      seeds: settings.platform.seeds,
    }));
  kernel.register(NAME.groups, (k) =>
    new Groups({
      self: node,
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      tail: k.get(NAME.logTail),
      vms: k.get(NAME.vmList),
      peers: k.get(NAME.peers),
      identities: k.get(NAME.identities),
      timing: getTiming(settings),
      getTraffic: () => k.get<Dispatch>(NAME.dispatch),
    }));
}

function registerTraffic(kernel: Kernel, settings: RouterSettings) {
  const { node, listen, limits, timing } = settings;
  const answers = {
    bufferedAnswerBytes: limits.bufferedAnswerBytes,
    bodyIdleMs: limits.bodyIdleTimeoutMs,
  };
  kernel.register(NAME.crashes, (k) =>
    new CrashWatch({
      tail: k.get(NAME.logTail),
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      node: node.id,
    }));
  kernel.register(NAME.caller, (k) =>
    new ServerCaller({
      groups: k.get(NAME.groups),
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      metrics: k.get(NAME.metrics),
      crashes: k.get(NAME.crashes),
      identities: k.get(NAME.identities),
      limits: answers,
    }));
  kernel.register(NAME.dispatch, (k) =>
    new Dispatch({
      groups: k.get(NAME.groups),
      tail: k.get(NAME.logTail),
      clock: k.get(NAME.clock),
      identities: k.get(NAME.identities),
      crashes: k.get(NAME.crashes),
      caller: k.get(NAME.caller),
      policy: settings.admission.policy,
    }));
  kernel.register(NAME.forward, (k) =>
    new Forward({
      peers: k.get(NAME.peers),
      dispatch: k.get(NAME.dispatch),
      tail: k.get(NAME.logTail),
      vms: k.get(NAME.vmList),
      clock: k.get(NAME.clock),
      limits: answers,
    }));
  kernel.register(NAME.path, (k) =>
    new HolderPath({
      node: node.id,
      tail: k.get(NAME.logTail),
      groups: k.get(NAME.groups),
      dispatch: k.get(NAME.dispatch),
      forward: k.get(NAME.forward),
      peers: k.get(NAME.peers),
      vms: k.get(NAME.vmList),
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
    }));
  kernel.register(NAME.entry, (k) =>
    new Entry({
      listen: { host: listen.host, port: listen.callerPort },
      tail: k.get(NAME.logTail),
      path: k.get(NAME.path),
      peers: k.get(NAME.peers),
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      metrics: k.get(NAME.metrics),
      pressure: k.get(NAME.pressure),
      limits: {
        headerBytes: limits.headerBytes,
        bodyBytes: limits.bodyBytes,
        connections: limits.connections,
        bodyIdleMs: limits.bodyIdleTimeoutMs,
        toleranceMs: timing.identityToleranceMs,
      },
    }));
}

function registerOperators(kernel: Kernel, settings: RouterSettings) {
  kernel.register(NAME.operatorApi, (k) =>
    new OperatorApi({
      node: settings.node,
      listen: {
        host: settings.listen.host,
        port: settings.listen.operatorPort,
      },
      clock: k.get(NAME.clock),
      events: k.get(NAME.events),
      tail: k.get(NAME.logTail),
      vms: k.get(NAME.vmList),
      peers: k.get(NAME.peers),
      groups: k.get(NAME.groups),
      metrics: k.get(NAME.metrics),
    }));
  kernel.register<RouterPorts>(NAME.ports, (k) => ({
    list: () => ({
      callerPort: k.get<Entry>(NAME.entry).port,
      peerPort: k.get<Peers>(NAME.peers).port,
      operatorPort: k.get<OperatorApi>(NAME.operatorApi).port,
    }),
  }));
}
