/** Calls the coordinator for permits. @module */
import type { EventLog } from "@jaytiller/kernel";
import type { RouterRef } from "@jaytiller/ranges";
import { decodePermitReply } from "./peer_decoding.js";
import { PeerError, PeerLink } from "./peer_link.js";
import type {
  PeerMethod,
  PermitReply,
  PermitRequest,
} from "./peer_messages.js";

/** Time in which the coordinator usually answers, ms. */
export const EXPECTED_ANSWER_MS = 30;
/** Time after a failed call for which the coordinator isn't asked, ms. */
const COORDINATOR_RETRY_DELAY_MS = 500;

/** Dependencies of a link. */
export interface PermitLinkOptions {
  readonly method: PeerMethod;
  readonly log: EventLog;
  /** Returns the coordinator that this router follows, if there is one. */
  readonly getCoordinator: () => RouterRef | undefined;
}

/** A connection to the coordinator for requests for one kind of permits. */
export class PermitLink {
  readonly #options: PermitLinkOptions;
  #link: { readonly address: string; readonly peer: PeerLink } | undefined;
  #retryMs = -Infinity;

  constructor(options: PermitLinkOptions) {
    this.#options = options;
  }

  /** Whether there is a coordinator whose last call did not just fail. */
  get isUsable(): boolean {
    return this.#options.getCoordinator() !== undefined &&
      performance.now() >= this.#retryMs;
  }

  close(): void {
    this.#link?.peer.close();
  }

  /** Asks for permits; resolves to `undefined` if the coordinator has none. */
  async ask(request: PermitRequest): Promise<PermitReply | undefined> {
    const reply = await this.#call(request);
    if (reply?.accepted) return reply;
    this.#retryMs = performance.now() + COORDINATOR_RETRY_DELAY_MS;
    return undefined;
  }

  async #call(request: PermitRequest): Promise<PermitReply | undefined> {
    const { method, log, getCoordinator } = this.#options;
    const address = getCoordinator()?.address;
    if (address === undefined) return undefined;
    if (this.#link?.address !== address) {
      this.#link?.peer.close();
      this.#link = { address, peer: new PeerLink(address) };
    }
    try {
      return await this.#link.peer.call(method, request, decodePermitReply);
    } catch (error) {
      if (!(error instanceof PeerError)) throw error;
      log.record("permitsUnavailable", {
        server: request.server,
        problem: error.message,
      });
      return undefined;
    }
  }
}
