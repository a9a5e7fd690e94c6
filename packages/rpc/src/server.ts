/** gRPC server of the operator service. @module */
import * as grpc from "@grpc/grpc-js";
import type { Method, OperatorHandlers } from "./calls.js";
import { checkChange, isChangeMethod } from "./change_checks.js";
import { getGrpcStatus } from "./errors.js";
import type { ChangeResultInput } from "./messages.js";
import { MAX_MESSAGE_BYTES, OperatorService } from "./schema.js";

/** Address to listen on. Port 0 selects a free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A listening server. */
export interface OperatorServer {
  readonly port: number;
  /** Stops accepting calls and cancels those still open after 1 s. */
  stop(): Promise<void>;
}

const SHUTDOWN_TIMEOUT_MS = 1_000;
/** Status messages are sent as a header; a larger one closes the connection. */
const MAX_STATUS_MESSAGE_LENGTH = 2_000;

type Handler = (request: never) => Promise<unknown>;

/**
 * Starts a server for the handlers. Invalid change requests are answered with
 * `invalid` and are not passed to a handler. Rejects if binding the address
 * fails.
 */
export async function bindOperatorServer(
  handlers: OperatorHandlers,
  address: ListenAddress,
): Promise<OperatorServer> {
  const server = new grpc.Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  });
  const methods = Object.keys(handlers) as Method[];
  const implementation = Object.fromEntries(
    methods.map((name) => [name, makeHandler(name, handlers[name] as Handler)]),
  ) as grpc.UntypedServiceImplementation;
  server.addService(OperatorService.service, implementation);
  const { host } = address;
  const name = host.includes(":") ? `[${host}]` : host;
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      `${name}:${address.port}`,
      grpc.ServerCredentials.createInsecure(),
      (error, bound) => error ? reject(error) : resolve(bound),
    );
  });
  return { port, stop: () => stopServer(server) };
}

function makeHandler(
  name: Method,
  answer: Handler,
): grpc.handleUnaryCall<never, unknown> {
  return async (call, callback) => {
    try {
      const findings = isChangeMethod(name)
        ? checkChange(name, call.request)
        : [];
      const invalid: ChangeResultInput = {
        invalid: { findings: [...findings] },
      };
      const reply = findings.length > 0 ? invalid : await answer(call.request);
      callback(null, reply);
    } catch (e) {
      const text = e instanceof Error ? e.message : String(e);
      const details = text.slice(0, MAX_STATUS_MESSAGE_LENGTH);
      callback({ code: getGrpcStatus(e), details });
    }
  };
}

async function stopServer(server: grpc.Server): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  await new Promise<void>((resolve) => {
    timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, SHUTDOWN_TIMEOUT_MS);
    server.tryShutdown(() => resolve());
  });
  clearTimeout(timer);
}
