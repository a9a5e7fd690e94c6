/** Detects requests that crash the servers that execute them. @module */
import { createHash } from "node:crypto";
import { PoisonTracker } from "@jaytiller/admission";
import { getLogger } from "@jaytiller/kernel";
import { EventKind, RecordKind, type VmId } from "@jaytiller/model";
import { BodyKind, type Call } from "./call.js";
import type { Clock } from "./clock.js";
import type { Events } from "./events.js";
import type { LogTail } from "./log_tail.js";
import type { LostRequest, ServerSlots } from "./server_slots.js";

const log = getLogger("dispatch");
/** A lost request is a suspect if a crash is detected within this time. */
const CRASH_WINDOW_MS = 2_000;
/** Crashes after which a request is put on the poison list and refused. */
const CRASHES_TO_POISON = 2;
const MAX_SUSPECTS = 10_000;
const MAX_SUMMARY_LENGTH = 200;

/** Tracks lost requests, and lists those that crash servers as poison. */
export class PoisonDetector {
  readonly #tail: LogTail;
  readonly #clock: Clock;
  readonly #events: Events;
  readonly #node: VmId;
  readonly #tracker = PoisonTracker.create({
    limit: CRASHES_TO_POISON,
    capacity: MAX_SUSPECTS,
  });

  constructor(options: {
    tail: LogTail;
    clock: Clock;
    events: Events;
    node: VmId;
  }) {
    this.#tail = options.tail;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#node = options.node;
  }

  /** Records that a request will run. Returns whether it must run alone. */
  recordStart(fingerprint: string): boolean {
    return this.#tracker.recordStart(fingerprint);
  }

  /** Removes a suspect after a complete response. */
  clear(fingerprint: string): void {
    this.#tracker.clear(fingerprint);
  }

  /** Records a request whose connection broke, perhaps by a server crash. */
  addLost(
    call: Call,
    { slots, fingerprint }: { slots: ServerSlots; fingerprint: string },
  ): void {
    const summary = `${call.method} ${call.path}`.slice(0, MAX_SUMMARY_LENGTH);
    slots.addLost({ fingerprint, summary }, this.#clock.now());
  }

  /** Records a server failure, with recently lost requests as suspects. */
  recordFailure(slots: ServerSlots): void {
    const lost = slots.takeLost(this.#clock.now() - CRASH_WINDOW_MS);
    if (lost.length === 0) return;
    const summaries = new Map(lost.map((l) => [l.fingerprint, l]));
    const { suspected, poisoned } = this.#tracker.recordCrash([
      ...summaries.keys(),
    ]);
    for (const id of suspected) this.#recordSuspect(slots, summaries.get(id)!);
    for (const id of poisoned) this.#submitPoison(slots, summaries.get(id)!);
  }

  #recordSuspect(
    { service, server }: ServerSlots,
    { fingerprint, summary }: LostRequest,
  ) {
    this.#events.add({
      kind: EventKind.PoisonSuspected,
      service,
      server,
      text: `${summary} (${fingerprint}) was in flight when the server failed`,
    });
  }

  #submitPoison(
    { service }: ServerSlots,
    { fingerprint, summary }: LostRequest,
  ) {
    log.warn(`Request ${fingerprint} crashed servers; it will be refused.`);
    void this.#tail.submit({
      kind: RecordKind.Poison,
      id: this.#clock.createUuid(),
      hlc: this.#clock.issueTimestamp(),
      node: this.#node,
      service,
      fingerprint,
      summary,
      crashes: CRASHES_TO_POISON,
    });
  }
}

/** Hashes service, key, method, path and, if it is buffered, the body. */
export function computeFingerprint(call: Call): string {
  const hash = createHash("sha256");
  hash.update(`${call.service}\n${call.key}\n${call.method}\n${call.path}\n`);
  if (call.body.kind === BodyKind.Buffered) hash.update(call.body.bytes);
  return hash.digest("hex").slice(0, 32);
}
