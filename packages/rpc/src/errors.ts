/** Errors of operator RPCs and their gRPC status codes. @module */
import { status } from "@grpc/grpc-js";
import { FindingsError } from "@jaytiller/model";

/** Kinds of errors, by what is known about the effect of the call. */
export enum OperatorErrorKind {
  /** No connection was established; the call had no effect. */
  Unreachable = "unreachable",
  /** The router is not ready to answer; the call had no effect. */
  NotReady = "notReady",
  /** The router rejected the call; the call had no effect. */
  Refused = "refused",
  /** The router does not know the requested object. */
  NotFound = "notFound",
  /** No conclusive response arrived; the call may have taken effect. */
  Lost = "lost",
}

/** Error of an RPC. Handlers may throw it, and the client rejects with it. */
export class OperatorError extends Error {
  constructor(readonly kind: OperatorErrorKind, message: string) {
    super(message);
    this.name = "OperatorError";
  }
}

const STATUS_BY_KIND: Readonly<Record<OperatorErrorKind, status>> = {
  [OperatorErrorKind.Unreachable]: status.UNAVAILABLE,
  // Not UNAVAILABLE, which a client also gets when its connection is closed.
  [OperatorErrorKind.NotReady]: status.FAILED_PRECONDITION,
  [OperatorErrorKind.Refused]: status.INVALID_ARGUMENT,
  [OperatorErrorKind.NotFound]: status.NOT_FOUND,
  [OperatorErrorKind.Lost]: status.UNKNOWN,
};

/** Statuses that rule out an effect of the call; all others map to `Lost`. */
const KIND_BY_STATUS: ReadonlyMap<status, OperatorErrorKind> = new Map([
  [status.FAILED_PRECONDITION, OperatorErrorKind.NotReady],
  [status.INVALID_ARGUMENT, OperatorErrorKind.Refused],
  [status.UNIMPLEMENTED, OperatorErrorKind.Refused],
  [status.NOT_FOUND, OperatorErrorKind.NotFound],
]);

/** Returns the gRPC status for an error thrown by a handler. */
export function getGrpcStatus(error: unknown): status {
  if (error instanceof OperatorError) return STATUS_BY_KIND[error.kind];
  if (error instanceof FindingsError) return status.INVALID_ARGUMENT;
  return status.INTERNAL;
}

/** Returns the error kind for a gRPC status received by the client. */
export function getErrorKind(code: status): OperatorErrorKind {
  return KIND_BY_STATUS.get(code) ?? OperatorErrorKind.Lost;
}
