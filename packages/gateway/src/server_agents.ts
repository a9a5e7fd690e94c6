/** Kept connections to backend servers. @module */
import { Agent, type AgentOptions, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";

/** Documented methods of the agent that its type leaves out. */
interface SocketKeeper {
  keepSocketAlive(socket: Duplex): boolean;
  reuseSocket(socket: Duplex, request: ClientRequest): void;
}

const KeepingAgent = Agent as unknown as new (
  options: AgentOptions,
) => Agent & SocketKeeper;

/** An idle connection is closed after this time, ms. */
const IDLE_MS = 4_000;
/** Idle connections that are kept for one server. */
const MAX_IDLE = 6;

/**
 * Keeps connections to one server. Bytes that arrive while no request waits
 * belong to no request: they end the connection.
 */
class ServerAgent extends KeepingAgent {
  readonly #strays = new WeakMap<Duplex, () => void>();

  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.readableLength > 0) return false;
    const onStray = () => socket.destroy();
    this.#strays.set(socket, onStray);
    socket.on("data", onStray);
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const onStray = this.#strays.get(socket);
    if (onStray) socket.removeListener("data", onStray);
    super.reuseSocket(socket, request);
  }
}

/** Connections by server id; an address may be another server's later. */
export class ServerAgents {
  readonly #agents = new Map<string, Agent>();

  get(id: string): Agent {
    const known = this.#agents.get(id);
    if (known) return known;
    const agent = new ServerAgent({
      keepAlive: true,
      scheduling: "lifo",
      maxFreeSockets: MAX_IDLE,
      timeout: IDLE_MS,
    });
    this.#agents.set(id, agent);
    return agent;
  }

  /** Forgets servers that are gone; idle connections end by themselves. */
  keep(isKnown: (id: string) => boolean): void {
    for (const id of this.#agents.keys()) {
      if (!isKnown(id)) this.#agents.delete(id);
    }
  }
}
