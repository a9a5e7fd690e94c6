/** Persistent connections to backend servers. @module */
import { Agent, type AgentOptions, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";

/** Documented methods of `Agent` that its type declaration lacks. */
interface KeepAliveMethods {
  keepSocketAlive(socket: Duplex): boolean;
  reuseSocket(socket: Duplex, request: ClientRequest): void;
}

const KeepAliveAgent = Agent as unknown as new (
  options: AgentOptions,
) => Agent & KeepAliveMethods;

/**
 * Time after which an idle connection is closed, ms. A server may drop one
 * unnoticed; the request that is then written to it may not be sent again unless
 * it is repeatable.
 */
const IDLE_TIMEOUT_MS = 4_000;
const REPEATABLE_IDLE_TIMEOUT_MS = 9_000;
/** Largest number of idle connections to one server, for each kind of request. */
const MAX_IDLE_CONNECTIONS = 3;

/**
 * Keeps connections to one server alive. Data that arrives on an idle
 * connection belongs to no request, so the connection is closed.
 */
export class ServerAgent extends KeepAliveAgent {
  readonly #idleDataListeners = new WeakMap<Duplex, () => void>();

  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.readableLength > 0) return false;
    const onIdleData = () => socket.destroy();
    this.#idleDataListeners.set(socket, onIdleData);
    socket.on("data", onIdleData);
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const onIdleData = this.#idleDataListeners.get(socket);
    if (onIdleData) socket.removeListener("data", onIdleData);
    super.reuseSocket(socket, request);
  }
}

/** The agents of one server. */
interface AgentPair {
  /** For requests that may be sent again. */
  readonly repeatable: Agent;
  /** For requests that may run only once; its connections are younger. */
  readonly single: Agent;
}

/** Agents by server id, as an address may later belong to another server. */
export class ServerAgents {
  readonly #agents = new Map<string, AgentPair>();
  readonly #singleUse = new Agent({ keepAlive: false });

  /** Agent that makes a new connection for each request. */
  get singleUse(): Agent {
    return this.#singleUse;
  }

  /** Returns the agent that keeps connections to a server alive. */
  get(id: string, { isRepeatable }: { isRepeatable: boolean }): Agent {
    let pair = this.#agents.get(id);
    if (!pair) {
      pair = {
        repeatable: createAgent(REPEATABLE_IDLE_TIMEOUT_MS),
        single: createAgent(IDLE_TIMEOUT_MS),
      };
      this.#agents.set(id, pair);
    }
    return isRepeatable ? pair.repeatable : pair.single;
  }

  /** Removes agents of unknown servers; their idle connections time out. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#agents.keys()) {
      if (!isKnown(id)) this.#agents.delete(id);
    }
  }
}

function createAgent(idleTimeoutMs: number): Agent {
  return new ServerAgent({
    keepAlive: true,
    scheduling: "lifo",
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    timeout: idleTimeoutMs,
  });
}
