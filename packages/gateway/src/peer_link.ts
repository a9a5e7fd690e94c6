/** JSON-RPC calls between routers over persistent TCP connections. @module */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  JSONRPCClient,
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { type EventLog, EventPriority } from "@jaytiller/kernel";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";
import { resetSocket } from "./socket_reset.js";

/** RPC methods by name. Each takes and returns one object. */
export type PeerMethods = Readonly<
  Record<string, (params: unknown) => unknown>
>;

const CONNECT_TIMEOUT_MS = 400;
/** Time without a reply after which a connection is replaced, ms. */
const CALL_TIMEOUT_MS = 700;

/** Serves RPC calls of other routers. */
export class PeerServer {
  readonly #server: Server;
  readonly #rpc: JSONRPCServer;
  readonly #sockets = new Set<Socket>();
  readonly #listen: ListenAddress;
  readonly #log: EventLog;

  constructor(
    listen: ListenAddress,
    { methods, log }: { methods: PeerMethods; log: EventLog },
  ) {
    this.#listen = listen;
    this.#log = log;
    // Bounded, because a faulty peer may send any number of messages.
    this.#rpc = new JSONRPCServer({
      errorListener: (_message, error) =>
        log.write(
          "peerCallFailed",
          { problem: String(error) },
          EventPriority.Routine,
        ),
    });
    for (const [name, handle] of Object.entries(methods)) {
      this.#rpc.addMethod(name, handle);
    }
    this.#server = createServer((socket) => this.#accept(socket));
  }

  start(): Promise<void> {
    return bindServer(this.#server, this.#listen);
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    // The caller detects a broken connection by its own timeout.
    socket.on("error", () => socket.destroy());
    readLines(socket, (line) => {
      this.#answer(socket, line).catch((error: unknown) => {
        this.#log.write(
          "peerCallMalformed",
          { problem: String(error) },
          EventPriority.Routine,
        );
        socket.destroy();
      });
    });
  }

  /** Answers a call. Rejects if the line is JSON but no call. */
  async #answer(socket: Socket, line: string): Promise<void> {
    const answer = await this.#rpc.receiveJSON(line);
    if (answer && !socket.destroyed) {
      socket.write(JSON.stringify(answer) + "\n");
    }
  }
}

/** Why a call to a peer failed. */
export enum PeerErrorKind {
  /** The connection was refused. */
  Refused = "refused",
  /** No reply was received. */
  Silent = "silent",
}

/** Error of a call to a peer that got no reply. */
export class PeerError extends Error {
  readonly kind: PeerErrorKind;

  constructor(kind: PeerErrorKind, detail: string) {
    super(`Peer call failed: ${detail}`);
    this.kind = kind;
  }
}

/** An open connection and its calls. */
interface PeerConnection {
  readonly socket: Socket;
  readonly client: JSONRPCClient;
}

/** Persistent connection to one peer, reopened after a failure. */
export class PeerLink {
  readonly #address: string;
  #connection: PeerConnection | undefined;
  /** The connection that is being opened, for all calls that need one. */
  #opening: Promise<PeerConnection> | undefined;

  constructor(address: string) {
    this.#address = address;
  }

  /**
   * Calls a method and checks the reply with `decode`. Rejects with a
   * `PeerError`, also if the reply is malformed.
   */
  async call<T>(
    method: string,
    params: unknown,
    decode: (reply: unknown) => T,
  ): Promise<T> {
    const connection = await this.#connect();
    try {
      const reply: unknown = await connection.client.timeout(CALL_TIMEOUT_MS)
        .request(method, params);
      return decode(reply);
    } catch (error) {
      this.#drop(connection);
      throw new PeerError(PeerErrorKind.Silent, (error as Error).message);
    }
  }

  close(): void {
    this.#opening = undefined;
    if (this.#connection) this.#drop(this.#connection);
  }

  #drop(connection: PeerConnection): void {
    if (this.#connection === connection) this.#connection = undefined;
    resetSocket(connection.socket);
    connection.client.rejectAllPendingRequests("connection closed");
  }

  async #connect(): Promise<PeerConnection> {
    if (this.#connection && !this.#connection.socket.destroyed) {
      return this.#connection;
    }
    const opening = this.#opening ?? openConnection(this.#address);
    this.#opening = opening;
    try {
      const connection = await opening;
      if (this.#opening === opening) this.#connection = connection;
      if (this.#connection === connection) return connection;
      this.#drop(connection);
      throw new PeerError(PeerErrorKind.Silent, "link closed");
    } finally {
      if (this.#opening === opening) this.#opening = undefined;
    }
  }
}

async function openConnection(address: string): Promise<PeerConnection> {
  const socket = await openSocket(address);
  const client: JSONRPCClient = new JSONRPCClient(
    (request: JSONRPCRequest) => {
      if (socket.destroyed) throw new Error("connection closed");
      socket.write(JSON.stringify(request) + "\n");
    },
  );
  socket.on("close", () => {
    client.rejectAllPendingRequests("connection closed");
  });
  readLines(socket, (line) => {
    receiveReply(client, line);
  });
  return { socket, client };
}

/** Calls a method once, over a connection of its own; see `PeerLink.call`. */
export async function callPeer<T>(
  address: string,
  { method, params, decode }: {
    method: string;
    params: unknown;
    decode: (reply: unknown) => T;
  },
): Promise<T> {
  const link = new PeerLink(address);
  try {
    return await link.call(method, params, decode);
  } finally {
    link.close();
  }
}

/** Longest message, in characters; the state of a whole deployment fits. */
const MAX_LINE_LENGTH = 16 << 20;

/** Calls `onLine` for each received line. */
function readLines(socket: Socket, onLine: (line: string) => void): void {
  let rest = "";
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > MAX_LINE_LENGTH) socket.destroy();
    for (const line of lines) onLine(line);
  });
}

function receiveReply(client: JSONRPCClient, line: string): void {
  try {
    client.receive(JSON.parse(line) as JSONRPCResponse);
  } catch (error) {
    client.rejectAllPendingRequests(
      `malformed JSON-RPC response: ${String(error)}`,
    );
  }
}

function openSocket(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect({ host: host!, port: Number(port), noDelay: true });
    const timer = setTimeout(() => {
      resetSocket(socket);
      reject(new PeerError(PeerErrorKind.Silent, "no connection in time"));
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      const kind = error.code === "ECONNREFUSED"
        ? PeerErrorKind.Refused
        : PeerErrorKind.Silent;
      reject(new PeerError(kind, error.code ?? error.message));
    });
  });
}
