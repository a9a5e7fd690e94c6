/** Client of the platform's list of VMs. @module */
import type { Agent } from "node:http";
import { type VmEntry, VmKind, type VmList, VmState } from "@jaytiller/model";
import { Either, Left } from "purify-ts";
import { makeAgent, parseJson, sendRequest } from "./http_client.js";
import { FailureKind, type PlatformFailure } from "./failure.js";
import type { ClientOptions } from "./log_client.js";
import {
  readArray,
  readEnum,
  readNumber,
  readObject,
  readString,
  SchemaError,
} from "./json_validation.js";

const URL_PATTERN = /^https?:\/\/[^/\s]+:\d+\/?$/;
const ADDRESS_PATTERN = /^[^/\s]+:\d+$/;

/** Reads the list of VMs over a pool of reused connections. */
export class VmListClient {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent: Agent = makeAgent();

  private constructor(options: ClientOptions) {
    this.#url = options.url.replace(/\/+$/, "");
    this.#timeoutMs = options.timeoutMs;
  }

  static create(options: ClientOptions): VmListClient {
    return new VmListClient(options);
  }

  /** Reads the list. One invalid entry makes the whole list `Malformed`. */
  async read(): Promise<Either<PlatformFailure, VmList>> {
    const reply = await sendRequest({
      method: "GET",
      url: `${this.#url}/vms`,
      timeoutMs: this.#timeoutMs,
    }, this.#agent);
    return reply
      .mapLeft(({ kind, text }): PlatformFailure => ({ kind, text }))
      .chain(({ status, body }): Either<PlatformFailure, VmList> => {
        if (status !== 200) {
          const text = `The VM list responded with ${status}`;
          return Left({ kind: FailureKind.Unavailable, text });
        }
        return parseJson(body)
          .chain((v) =>
            Either.encase(() => parseVmList(v)).mapLeft((e) => e.message)
          )
          .mapLeft((text) => ({ kind: FailureKind.Malformed, text }));
      });
  }

  /** Closes all connections. Requests in flight fail. */
  stop(): void {
    this.#agent.destroy();
  }
}

function parseVmList(value: unknown): VmList {
  const list = readObject(value, "$");
  const vms = readArray(list.vms, "vms").map((v, i) => parseVm(v, `vms[${i}]`));
  const seen = new Set<string>();
  vms.forEach(({ id }, i) => {
    if (seen.has(id)) throw new SchemaError(`vms[${i}].id`, id, "a unique id");
    seen.add(id);
  });
  return { vms, asOfMs: readNumber(list.asOfMs, "asOfMs") };
}

function parseVm(value: unknown, path: string): VmEntry {
  const vm = readObject(value, path);
  const kind = readEnum(vm.kind, `${path}.kind`, { choices: VmKind });
  const common = {
    id: readString(vm.id, `${path}.id`),
    kind,
    zone: readString(vm.zone, `${path}.zone`),
    state: readEnum(vm.state, `${path}.state`, { choices: VmState }),
    url: readString(vm.url, `${path}.url`, { pattern: URL_PATTERN }),
  };
  if (kind === VmKind.Backend) {
    return { ...common, service: readString(vm.service, `${path}.service`) };
  }
  return {
    ...common,
    ...readOptional(vm.peerUrl, (v) => ({
      peerUrl: readString(v, `${path}.peerUrl`, { pattern: URL_PATTERN }),
    })),
    ...readOptional(vm.operatorAddress, (v) => ({
      operatorAddress: readString(v, `${path}.operatorAddress`, {
        pattern: ADDRESS_PATTERN,
      }),
    })),
  };
}

function readOptional<T>(
  value: unknown,
  read: (value: unknown) => T,
): T | null {
  return value === undefined || value === null ? null : read(value);
}
