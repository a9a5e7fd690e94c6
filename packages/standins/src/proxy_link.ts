/** A proxy link: a listener that forwards to a target. @module */
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import {
  applyLinkChange,
  Direction,
  hasLimitChange,
  type LinkChange,
  type LinkFaults,
  LinkMode,
  type LinkSpec,
  type LinkStatus,
  NO_FAULTS,
} from "./proxy_faults.js";
import { Pipe, type PipeLimit } from "./proxy_pipe.js";

const HOST = "127.0.0.1";
const DIRECTIONS = [Direction.Up, Direction.Down] as const;

/** Sockets and pipes of a proxied connection. */
interface Connection {
  readonly sockets: readonly Socket[];
  readonly pipes: Readonly<Record<Direction, Pipe>>;
}

type ModeHandler = (
  connection: Connection,
  direction: Direction,
) => void;

/** Applies a mode to one direction of a connection. */
const MODE_HANDLERS: Readonly<Record<LinkMode, ModeHandler>> = {
  [LinkMode.Pass]: (c, direction) => c.pipes[direction].setHeld(false),
  [LinkMode.Cut]: (c) => c.sockets.forEach((s) => s.resetAndDestroy()),
  [LinkMode.Stall]: (c, direction) => c.pipes[direction].stall(),
  [LinkMode.Hold]: (c, direction) => c.pipes[direction].setHeld(true),
};

interface TargetAddress {
  readonly host: string;
  readonly port: number;
}

function parseTarget(text: string): TargetAddress {
  const at = text.lastIndexOf(":");
  const port = Number(text.slice(at + 1));
  if (at <= 0 || !Number.isInteger(port)) {
    throw new Error(`target: Expected host:port (found ${text}).`);
  }
  return { host: text.slice(0, at), port };
}

/** Listener that forwards connections to a target and injects faults. */
export class ProxyLink {
  readonly name: string;
  #target: TargetAddress;
  readonly #server: Server;
  readonly #random: () => number;
  readonly #connections = new Set<Connection>();
  #faults: Record<Direction, LinkFaults> = {
    [Direction.Up]: NO_FAULTS,
    [Direction.Down]: NO_FAULTS,
  };

  constructor(spec: LinkSpec, random: () => number) {
    this.name = spec.name;
    this.#target = parseTarget(spec.target);
    this.#random = random;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (socket) => this.#addConnection(socket),
    );
  }

  /** Sets the target of new connections and resets existing ones. */
  setTarget(target: string): void {
    this.#target = parseTarget(target);
    for (const { sockets } of this.#connections) {
      for (const socket of sockets) socket.resetAndDestroy();
    }
  }

  async listen(port: number): Promise<void> {
    this.#server.listen(port, HOST);
    await once(this.#server, "listening");
  }

  get status(): LinkStatus {
    return {
      name: this.name,
      target: `${this.#target.host}:${this.#target.port}`,
      port: (this.#server.address() as AddressInfo).port,
      connections: this.#connections.size,
      faults: this.#faults,
    };
  }

  /** Applies a change to existing and future connections. */
  change(change: LinkChange): void {
    const directions = change.direction ? [change.direction] : DIRECTIONS;
    for (const direction of directions) {
      this.#faults[direction] = applyLinkChange(
        this.#faults[direction],
        change,
      );
      const { mode } = this.#faults[direction];
      for (const connection of this.#connections) {
        if (change.mode || change.clear) {
          MODE_HANDLERS[mode](connection, direction);
        }
        if (hasLimitChange(change)) this.#setLimit(connection, direction);
      }
    }
  }

  #setLimit(connection: Connection, direction: Direction): void {
    const faults = this.#faults[direction];
    const { truncateAfterBytes, resetAfterBytes, times } = faults;
    const reset = resetAfterBytes >= 0;
    const bytes = reset ? resetAfterBytes : truncateAfterBytes;
    const limit: PipeLimit | undefined = bytes >= 0 && times !== 0
      ? { bytes, reset }
      : undefined;
    connection.pipes[direction].setLimit(limit);
    if (limit && times > 0) {
      this.#faults[direction] = { ...faults, times: times - 1 };
    }
  }

  #addConnection(client: Socket): void {
    client.on("error", () => {});
    if (DIRECTIONS.some((d) => this.#faults[d].mode === LinkMode.Cut)) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({
      ...this.#target,
      allowHalfOpen: true,
      noDelay: true,
    });
    target.on("error", () => {});
    const share = this.#random();
    const createPipe = (direction: Direction) => {
      const [source, sink] = direction === Direction.Up
        ? [client, target]
        : [target, client];
      const getDelayMs = () => {
        const { delayMs, jitterMs } = this.#faults[direction];
        return delayMs + share * jitterMs;
      };
      return new Pipe(source, sink, { getDelayMs });
    };
    const connection: Connection = {
      sockets: [client, target],
      pipes: {
        [Direction.Up]: createPipe(Direction.Up),
        [Direction.Down]: createPipe(Direction.Down),
      },
    };
    this.#connections.add(connection);
    for (const socket of connection.sockets) {
      socket.on("close", () => {
        if (connection.sockets.every((s) => s.closed)) {
          this.#connections.delete(connection);
        }
      });
    }
    for (const direction of DIRECTIONS) {
      const { mode, newConnections } = this.#faults[direction];
      if (newConnections) MODE_HANDLERS[mode](connection, direction);
      this.#setLimit(connection, direction);
    }
  }

  /** Closes the listener and resets all connections. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const { sockets } of this.#connections) {
      for (const socket of sockets) socket.destroy();
    }
    await closed;
  }
}
