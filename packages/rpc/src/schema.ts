/** gRPC service definition, loaded from `proto/operator.proto`. @module */
import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import type { ProtoGrpcType } from "./generated/operator.js";

/** Largest size of a message, in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Relative to `packages/rpc/dist/src`, not to the working directory. */
const PROTO_PATH = fileURLToPath(
  new URL("../../../../proto/operator.proto", import.meta.url),
);

/** The options must match those of the `generate` script in `package.json`. */
const packageDefinition = loadSync(PROTO_PATH, {
  longs: Number,
  enums: String,
  defaults: true,
  arrays: true,
  oneofs: true,
});

const root = grpc.loadPackageDefinition(
  packageDefinition,
) as unknown as ProtoGrpcType;

/** Client constructor; its `service` property is the service definition. */
export const OperatorService = root.jaytiller.operator.v1.Operator;
