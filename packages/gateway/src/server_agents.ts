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

/** Time after which an idle connection is closed, ms. */
const IDLE_TIMEOUT_MS = 4_000;
/** Largest number of idle connections to one server. */
const MAX_IDLE_CONNECTIONS = 6;

/**
 * Keeps connections to one server alive. Data that arrives on an idle
 * connection belongs to no request, so the connection is closed.
 */
class ServerAgent extends KeepAliveAgent {
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

/** Agents by server id, as an address may later belong to another server. */
export class ServerAgents {
  readonly #agents = new Map<string, Agent>();
  readonly #singleUse = new Agent({ keepAlive: false });

  /** Agent that makes a new connection for each request. */
  get singleUse(): Agent {
    return this.#singleUse;
  }

  get(id: string): Agent {
    const known = this.#agents.get(id);
    if (known) return known;
    const agent = new ServerAgent({
      keepAlive: true,
      scheduling: "lifo",
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      timeout: IDLE_TIMEOUT_MS,
    });
    this.#agents.set(id, agent);
    return agent;
  }

  /** Removes agents of unknown servers; their idle connections time out. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#agents.keys()) {
      if (!isKnown(id)) this.#agents.delete(id);
    }
  }
}
