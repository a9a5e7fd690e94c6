/** gRPC client of the operator service. @module */
import * as grpc from "@grpc/grpc-js";
import type { Calls, Method } from "./calls.js";
import { getErrorKind, OperatorError, OperatorErrorKind } from "./errors.js";
import { MAX_MESSAGE_BYTES, OperatorService } from "./schema.js";

/** Options of `OperatorClient.connect`. */
export interface ClientOptions {
  /** Timeout for connecting and for each call, in ms; 5000 by default. */
  readonly deadlineMs?: number;
}

const DEFAULT_DEADLINE_MS = 5_000;

type Stub = InstanceType<typeof OperatorService>;
type Reply<M extends Method> = Promise<Calls[M]["reply"]>;

type UnaryMethod = (
  request: unknown,
  options: grpc.CallOptions,
  done: (error: grpc.ServiceError | null, reply?: unknown) => void,
) => void;

/** Client connected to the operator port of one router. */
export class OperatorClient {
  readonly #stub: Stub;
  readonly #deadlineMs: number;
  /** `host:port` of the router. */
  readonly address: string;

  private constructor(address: string, deadlineMs: number) {
    this.address = address;
    this.#deadlineMs = deadlineMs;
    this.#stub = new OperatorService(
      address,
      grpc.credentials.createInsecure(),
      {
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
        // Retries are left to the caller, which knows the UUID of the change.
        "grpc.enable_retries": 0,
        "grpc.enable_http_proxy": 0,
        "grpc.use_local_subchannel_pool": 1,
        "grpc.initial_reconnect_backoff_ms": 100,
      },
    );
  }

  /**
   * Connects to `host:port`. Rejects with `OperatorErrorKind.Unreachable` if
   * the connection is refused or not established within `deadlineMs`.
   */
  static async connect(
    address: string,
    options: ClientOptions = {},
  ): Promise<OperatorClient> {
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const client = new OperatorClient(address, deadlineMs);
    try {
      await client.#waitForConnection(deadlineMs);
      return client;
    } catch (e) {
      client.close();
      throw e;
    }
  }

  close(): void {
    this.#stub.close();
  }

  putRoute(request: Calls["putRoute"]["requestInput"]): Reply<"putRoute"> {
    return this.#call("putRoute", request);
  }

  removeRoute(
    request: Calls["removeRoute"]["requestInput"],
  ): Reply<"removeRoute"> {
    return this.#call("removeRoute", request);
  }

  assign(request: Calls["assign"]["requestInput"]): Reply<"assign"> {
    return this.#call("assign", request);
  }

  unassign(request: Calls["unassign"]["requestInput"]): Reply<"unassign"> {
    return this.#call("unassign", request);
  }

  drain(request: Calls["drain"]["requestInput"]): Reply<"drain"> {
    return this.#call("drain", request);
  }

  undrain(request: Calls["undrain"]["requestInput"]): Reply<"undrain"> {
    return this.#call("undrain", request);
  }

  confirmLost(
    request: Calls["confirmLost"]["requestInput"],
  ): Reply<"confirmLost"> {
    return this.#call("confirmLost", request);
  }

  liftPoison(
    request: Calls["liftPoison"]["requestInput"],
  ): Reply<"liftPoison"> {
    return this.#call("liftPoison", request);
  }

  getState(request: Calls["getState"]["requestInput"] = {}): Reply<"getState"> {
    return this.#call("getState", request);
  }

  getHistory(
    request: Calls["getHistory"]["requestInput"] = {},
  ): Reply<"getHistory"> {
    return this.#call("getHistory", request);
  }

  explain(request: Calls["explain"]["requestInput"]): Reply<"explain"> {
    return this.#call("explain", request);
  }

  getTimeline(
    request: Calls["getTimeline"]["requestInput"] = {},
  ): Reply<"getTimeline"> {
    return this.#call("getTimeline", request);
  }

  getChange(request: Calls["getChange"]["requestInput"]): Reply<"getChange"> {
    return this.#call("getChange", request);
  }

  getMetrics(
    request: Calls["getMetrics"]["requestInput"] = {},
  ): Reply<"getMetrics"> {
    return this.#call("getMetrics", request);
  }

  /**
   * Calls an RPC by its name. Rejects with an `OperatorError`. Only its kind
   * `Lost` leaves it unknown whether the call took effect.
   */
  call<M extends Method>(
    method: M,
    request: Calls[M]["requestInput"],
  ): Reply<M> {
    return this.#call(method, request);
  }

  #call<M extends Method>(method: M, request: unknown): Reply<M> {
    const invoke = this.#stub[method].bind(
      this.#stub,
    ) as unknown as UnaryMethod;
    const deadline = Date.now() + this.#deadlineMs;
    return new Promise((resolve, reject) => {
      invoke(request, { deadline }, (error, reply) => {
        if (!error) return resolve(reply as Calls[M]["reply"]);
        const text = `${method} at ${this.address}: ${error.details}`;
        reject(new OperatorError(getErrorKind(error.code), text));
      });
    });
  }

  /** Waits for the connection. Rejects at once if the first attempt fails. */
  #waitForConnection(deadlineMs: number): Promise<void> {
    const channel = this.#stub.getChannel();
    const deadline = Date.now() + deadlineMs;
    return new Promise((resolve, reject) => {
      const check = () => {
        const state = channel.getConnectivityState(true);
        if (state === grpc.connectivityState.READY) return resolve();
        const failed = state === grpc.connectivityState.TRANSIENT_FAILURE;
        if (failed) {
          return reject(
            this.#makeUnreachableError("connection refused or closed"),
          );
        }
        channel.watchConnectivityState(state, deadline, (error) => {
          if (!error) return check();
          reject(
            this.#makeUnreachableError(`timed out after ${deadlineMs} ms`),
          );
        });
      };
      check();
    });
  }

  #makeUnreachableError(cause: string): OperatorError {
    const text = `No connection to ${this.address}: ${cause}`;
    return new OperatorError(OperatorErrorKind.Unreachable, text);
  }
}
