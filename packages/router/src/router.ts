/** Registers the router's services with the kernel. @module */
import { getLogger, type Kernel } from "@jaytiller/kernel";
import { formatFinding } from "@jaytiller/model";
import { LogClient, VmListClient } from "@jaytiller/platform";
import { Clock } from "./clock.js";
import { PoisonDetector } from "./poison_detector.js";
import { Dispatcher } from "./dispatcher.js";
import { EntryServer } from "./entry_server.js";
import { Events } from "./events.js";
import { Forwarder } from "./forwarder.js";
import { Groups } from "./groups.js";
import { RequestRouter } from "./request_router.js";
import { IdempotencyStores } from "./idempotency_stores.js";
import { LogTail } from "./log_tail.js";
import { Metrics } from "./metrics.js";
import { SERVICE_NAME } from "./service_names.js";
import { OperatorApi } from "./operator_api.js";
import { Peers } from "./peers.js";
import { OverloadDetector } from "./overload_detector.js";
import { ServerClient } from "./server_client.js";
import { getTiming, type RouterSettings } from "./settings.js";
import { VmListPoller } from "./vm_list_poller.js";

const log = getLogger("router");
const LOG_TIMEOUT_MS = 5_000;
const VM_LIST_TIMEOUT_MS = 2_000;
const STOP_TIMEOUT_MS = 125_000;

/** Ports that the router listens on. */
export interface RouterPorts {
  list(): { callerPort: number; peerPort: number; operatorPort: number };
}

/** Registers all services of the router with the kernel. */
export function buildRouter(kernel: Kernel, settings: RouterSettings): void {
  registerCommon(kernel, settings);
  registerPlatform(kernel, settings);
  registerControl(kernel, settings);
  registerRequestPath(kernel, settings);
  registerOperatorApi(kernel, settings);
}

/**
 * Hands the groups over, then stops the services in reverse order of their
 * start, which lets requests in flight finish.
 */
export async function stopRouter(kernel: Kernel): Promise<void> {
  kernel.get<Peers>(SERVICE_NAME.peers).announceStop();
  await kernel.get<Groups>(SERVICE_NAME.groups).handOverAll();
  const findings = await kernel.stop({ timeoutMs: STOP_TIMEOUT_MS });
  for (const f of findings) log.warn(`${formatFinding(f)}.`);
}

function registerCommon(kernel: Kernel, settings: RouterSettings) {
  const { id } = settings.node;
  kernel.register(SERVICE_NAME.settings, () => settings);
  kernel.register(SERVICE_NAME.clock, () => new Clock(id));
  kernel.register(SERVICE_NAME.metrics, () => new Metrics());
  kernel.register(
    SERVICE_NAME.events,
    (k) => new Events(id, k.get<Clock>(SERVICE_NAME.clock)),
  );
  kernel.register(
    SERVICE_NAME.pressure,
    (k) => new OverloadDetector(k.get<Clock>(SERVICE_NAME.clock)),
  );
  kernel.register(
    SERVICE_NAME.identities,
    (k) =>
      new IdempotencyStores(k.get<Clock>(SERVICE_NAME.clock), {
        toleranceMs: settings.timing.identityToleranceMs,
        clockErrorMs: settings.timing.clockErrorMs,
      }),
  );
}

function registerPlatform(kernel: Kernel, settings: RouterSettings) {
  const { platform, timing, node } = settings;
  kernel.register(SERVICE_NAME.vmList, (k) =>
    new VmListPoller({
      client: VmListClient.create({
        url: platform.vmListUrl,
        timeoutMs: VM_LIST_TIMEOUT_MS,
      }),
      clock: k.get(SERVICE_NAME.clock),
    }));
  kernel.register(SERVICE_NAME.logTail, (k) =>
    new LogTail({
      client: LogClient.create({
        url: platform.logUrl,
        timeoutMs: LOG_TIMEOUT_MS,
      }),
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      freshMs: timing.authorityMs,
      snapshotEvery: platform.snapshotEvery,
      node: node.id,
    }));
}

function registerControl(kernel: Kernel, settings: RouterSettings) {
  const { node, listen } = settings;
  kernel.register(SERVICE_NAME.peers, (k) =>
    new Peers({
      self: node,
      listen: { host: listen.host, port: listen.peerPort },
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      tail: k.get(SERVICE_NAME.logTail),
      vms: k.get(SERVICE_NAME.vmList),
      timing: getTiming(settings),
      // `Groups` depends on `Peers`, so the reverse lookup is deferred.
      getGroups: () => k.get<Groups>(SERVICE_NAME.groups),
      seeds: settings.platform.seeds,
    }));
  kernel.register(SERVICE_NAME.groups, (k) =>
    new Groups({
      self: node,
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      tail: k.get(SERVICE_NAME.logTail),
      vms: k.get(SERVICE_NAME.vmList),
      peers: k.get(SERVICE_NAME.peers),
      identities: k.get(SERVICE_NAME.identities),
      timing: getTiming(settings),
      getInFlightRequests: () => k.get<Dispatcher>(SERVICE_NAME.dispatch),
    }));
}

function registerRequestPath(kernel: Kernel, settings: RouterSettings) {
  const { node, listen, limits, timing } = settings;
  const answers = {
    bufferedAnswerBytes: limits.bufferedAnswerBytes,
    bodyIdleTimeoutMs: limits.bodyIdleTimeoutMs,
  };
  kernel.register(SERVICE_NAME.crashes, (k) =>
    new PoisonDetector({
      tail: k.get(SERVICE_NAME.logTail),
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      node: node.id,
    }));
  kernel.register(SERVICE_NAME.caller, (k) =>
    new ServerClient({
      groups: k.get(SERVICE_NAME.groups),
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      metrics: k.get(SERVICE_NAME.metrics),
      crashes: k.get(SERVICE_NAME.crashes),
      identities: k.get(SERVICE_NAME.identities),
      limits: answers,
    }));
  kernel.register(SERVICE_NAME.dispatch, (k) =>
    new Dispatcher({
      groups: k.get(SERVICE_NAME.groups),
      tail: k.get(SERVICE_NAME.logTail),
      clock: k.get(SERVICE_NAME.clock),
      identities: k.get(SERVICE_NAME.identities),
      crashes: k.get(SERVICE_NAME.crashes),
      serverClient: k.get(SERVICE_NAME.caller),
      policy: settings.admission.policy,
    }));
  kernel.register(SERVICE_NAME.forward, (k) =>
    new Forwarder({
      peers: k.get(SERVICE_NAME.peers),
      dispatcher: k.get(SERVICE_NAME.dispatch),
      tail: k.get(SERVICE_NAME.logTail),
      vms: k.get(SERVICE_NAME.vmList),
      clock: k.get(SERVICE_NAME.clock),
      limits: answers,
    }));
  kernel.register(SERVICE_NAME.path, (k) =>
    new RequestRouter({
      node: node.id,
      tail: k.get(SERVICE_NAME.logTail),
      groups: k.get(SERVICE_NAME.groups),
      dispatcher: k.get(SERVICE_NAME.dispatch),
      forwarder: k.get(SERVICE_NAME.forward),
      peers: k.get(SERVICE_NAME.peers),
      vms: k.get(SERVICE_NAME.vmList),
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
    }));
  kernel.register(SERVICE_NAME.entry, (k) =>
    new EntryServer({
      listen: { host: listen.host, port: listen.callerPort },
      tail: k.get(SERVICE_NAME.logTail),
      path: k.get(SERVICE_NAME.path),
      peers: k.get(SERVICE_NAME.peers),
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      metrics: k.get(SERVICE_NAME.metrics),
      pressure: k.get(SERVICE_NAME.pressure),
      limits: {
        headerBytes: limits.headerBytes,
        bodyBytes: limits.bodyBytes,
        connections: limits.connections,
        bodyIdleTimeoutMs: limits.bodyIdleTimeoutMs,
        identityToleranceMs: timing.identityToleranceMs,
      },
    }));
}

function registerOperatorApi(kernel: Kernel, settings: RouterSettings) {
  kernel.register(SERVICE_NAME.operatorApi, (k) =>
    new OperatorApi({
      node: settings.node,
      listen: {
        host: settings.listen.host,
        port: settings.listen.operatorPort,
      },
      clock: k.get(SERVICE_NAME.clock),
      events: k.get(SERVICE_NAME.events),
      tail: k.get(SERVICE_NAME.logTail),
      vms: k.get(SERVICE_NAME.vmList),
      peers: k.get(SERVICE_NAME.peers),
      groups: k.get(SERVICE_NAME.groups),
      metrics: k.get(SERVICE_NAME.metrics),
    }));
  kernel.register<RouterPorts>(SERVICE_NAME.ports, (k) => ({
    list: () => ({
      callerPort: k.get<EntryServer>(SERVICE_NAME.entry).port,
      peerPort: k.get<Peers>(SERVICE_NAME.peers).port,
      operatorPort: k.get<OperatorApi>(SERVICE_NAME.operatorApi).port,
    }),
  }));
}
