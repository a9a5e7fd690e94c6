/** Calls between routers: JSON-RPC over kept TCP connections. @module */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  JSONRPCClient,
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { bindServer } from "./listen.js";
import type { ListenAddress } from "./settings.js";

/** Methods by name; each takes one object and returns one. */
export type PeerMethods = Readonly<
  Record<string, (params: unknown) => unknown>
>;

const CONNECT_TIMEOUT_MS = 400;
/** A connection that is silent for this long is replaced, ms. */
const CALL_TIMEOUT_MS = 700;

/** Answers calls of other routers. */
export class PeerServer {
  readonly #server: Server;
  readonly #rpc = new JSONRPCServer();
  readonly #sockets = new Set<Socket>();
  readonly #listen: ListenAddress;

  constructor(listen: ListenAddress, methods: PeerMethods) {
    this.#listen = listen;
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
    // The caller notices a broken connection by its own time limit.
    socket.on("error", () => socket.destroy());
    readLines(socket, (line) => {
      void this.#answer(socket, line);
    });
  }

  async #answer(socket: Socket, line: string): Promise<void> {
    const answer = await this.#rpc.receiveJSON(line);
    if (answer && !socket.destroyed) {
      socket.write(JSON.stringify(answer) + "\n");
    }
  }
}

/** How a call to a peer failed. */
export enum PeerFailureKind {
  /** Nobody listens at the address. */
  Refused = "refused",
  /** No answer. */
  Silent = "silent",
}

/** A call to a peer that was not answered. */
export class PeerFailure extends Error {
  readonly kind: PeerFailureKind;

  constructor(kind: PeerFailureKind, detail: string) {
    super(`Peer call failed: ${detail}`);
    this.kind = kind;
  }
}

/** Kept connection to one peer; it is made again after a failure. */
export class PeerLink {
  readonly #address: string;
  #socket: Socket | undefined;
  #client: JSONRPCClient | undefined;

  constructor(address: string) {
    this.#address = address;
  }

  /** Calls a method. Rejects with a `PeerFailure`. */
  async call<T>(method: string, params: unknown): Promise<T> {
    const client = await this.#connect();
    try {
      return await client.timeout(CALL_TIMEOUT_MS).request(method, params) as T;
    } catch (error) {
      this.close();
      throw new PeerFailure(PeerFailureKind.Silent, (error as Error).message);
    }
  }

  close(): void {
    // A reset takes back what a cut link still holds.
    this.#socket?.resetAndDestroy();
    this.#client?.rejectAllPendingRequests("connection closed");
    this.#socket = undefined;
    this.#client = undefined;
  }

  async #connect(): Promise<JSONRPCClient> {
    if (this.#client && this.#socket && !this.#socket.destroyed) {
      return this.#client;
    }
    const socket = await openSocket(this.#address);
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
      receiveAnswer(client, line);
    });
    this.#socket = socket;
    this.#client = client;
    return client;
  }
}

/** Calls back for each line that arrives. */
function readLines(socket: Socket, onLine: (line: string) => void): void {
  let rest = "";
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) onLine(line);
  });
}

function receiveAnswer(client: JSONRPCClient, line: string): void {
  try {
    client.receive(JSON.parse(line) as JSONRPCResponse);
  } catch (error) {
    client.rejectAllPendingRequests(`unreadable answer: ${String(error)}`);
  }
}

function openSocket(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect({ host: host!, port: Number(port), noDelay: true });
    const timer = setTimeout(() => {
      socket.resetAndDestroy();
      reject(new PeerFailure(PeerFailureKind.Silent, "no connection in time"));
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      const kind = error.code === "ECONNREFUSED"
        ? PeerFailureKind.Refused
        : PeerFailureKind.Silent;
      reject(new PeerFailure(kind, error.code ?? error.message));
    });
  });
}
