/** JSON-RPC client for other routers. @module */
import Wreck from "@hapi/wreck";
import { getLogger } from "@jaytiller/kernel";
import type { VmId } from "@jaytiller/model";
import { JSONRPCClient, type JSONRPCParams } from "json-rpc-2.0";
import { createAgent } from "./http_call.js";
import type { VmListPoller } from "./vm_list_poller.js";

const log = getLogger("peers");
const RPC_TIMEOUT_MS = 1_000;
/** Largest message, which may contain a whole snapshot. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** A router, by its VM ID or by the URL of its peer port. */
export type PeerAddress = VmId | { readonly peerUrl: string };

/** Calls RPC methods of other routers. */
export class PeerRpc {
  readonly #vms: VmListPoller;
  readonly #agent = createAgent({ maxSockets: 64 });

  constructor(vms: VmListPoller) {
    this.#vms = vms;
  }

  stop(): void {
    this.#agent.destroy();
  }

  /** Resolves to the result, or to `undefined` after an error or timeout. */
  async call<T>(
    to: PeerAddress,
    method: string,
    params: unknown,
  ): Promise<T | undefined> {
    const url = typeof to === "string"
      ? this.#vms.get(to)?.peerUrl
      : to.peerUrl;
    if (url === undefined) return undefined;
    const client: JSONRPCClient = new JSONRPCClient(async (request) => {
      const { payload } = await Wreck.post(`${url}/rpc`, {
        payload: request as object,
        json: "force",
        timeout: RPC_TIMEOUT_MS,
        maxBytes: MAX_MESSAGE_BYTES,
        agent: this.#agent,
      });
      client.receive(payload as never);
    });
    try {
      return await client.request(method, params as JSONRPCParams) as T;
    } catch (error) {
      log.debug(`${method} to ${url} failed: ${(error as Error).message}.`);
      return undefined;
    }
  }
}
