/**
 * Claims a coordinator's term again after the store was restored from an older
 * copy, so that the records that were lost are written again.
 * @module
 */
import type { EventLog } from "@jaytiller/kernel";
import {
  decideEraStep,
  EraStep,
  getEra,
  makePosition,
  type NewestWriter,
  readWriter,
  type RouterRef,
} from "@jaytiller/ranges";
import { type OwnershipEntry, type PlatformStore, StoreEnd } from "./ports.js";
import { sleep } from "./sleep.js";

/** Dependencies of an era claimer. */
export interface EraClaimerOptions {
  readonly self: RouterRef;
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Returns the whole record as a claim of the era, and its routers. */
  readonly makeClaim: (
    era: number,
  ) => { text: string; routers: readonly RouterRef[] };
  /** Returns when a majority last accepted the term, ms. */
  readonly getMajorityMs: () => number;
  readonly hasEnded: () => boolean;
}

/** A claim of a new era that is stored. */
export interface EraClaim {
  readonly term: number;
  /** Monotonic time at which it was sent, ms. */
  readonly sentMs: number;
  readonly routers: readonly RouterRef[];
}

/** Why the term cannot be claimed again. */
export interface EraClaimFailure {
  readonly reason: string;
}

const RETRY_DELAY_MS = 50;
/**
 * Time within which a majority has to accept the term once more, ms. Replies to
 * heartbeats take up to 0.7 s, and a router that did not reply gets its next
 * heartbeat after 0.5 s.
 */
const MAJORITY_TIMEOUT_MS = 3_000;

/**
 * Claims the newest era. Resolves with the claim, with the reason why the term
 * has to end, or with `undefined` if it has ended meanwhile.
 */
export async function claimEra(
  options: EraClaimerOptions,
): Promise<EraClaim | EraClaimFailure | undefined> {
  const { self, store, log } = options;
  let noticedMs = performance.now();
  let { era } = store;
  /** Last claim of this era, which may be stored without an answer. */
  let last: { text: string; routers: readonly RouterRef[] } | undefined;
  while (!options.hasEnded()) {
    if (store.era !== era) {
      ({ era } = store);
      noticedMs = performance.now();
      last = undefined;
    }
    const majorityMs = options.getMajorityMs();
    const isOverdue = majorityMs < noticedMs &&
      performance.now() - noticedMs > MAJORITY_TIMEOUT_MS;
    if (isOverdue) return { reason: "no majority after a new era" };
    const newest = majorityMs < noticedMs
      ? undefined
      : await readNewest(store, { self, era });
    if (!newest) {
      await sleep(RETRY_DELAY_MS);
      continue;
    }
    const { entry, sentMs: readMs } = newest;
    if (last && entry?.text === last.text) {
      return { term: entry.offset, sentMs: readMs, routers: last.routers };
    }
    const { writer } = newest;
    const step = decideEraStep({
      self,
      newest: writer,
      era,
      majorityMs,
      noticedMs,
    });
    if (step === EraStep.End) {
      return { reason: "another router has claimed in the new era" };
    }
    last = options.makeClaim(era);
    const { routers } = last;
    const sentMs = performance.now();
    const result = await store.appendOwnership(last.text, newest.position);
    log.record("eraClaim", {
      era,
      position: newest.position,
      end: result.end,
      problem: result.problem,
      ms: Math.round(performance.now() - noticedMs),
    });
    if (result.end === StoreEnd.Done) {
      return { term: newest.position, sentMs, routers };
    }
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

interface NewestRecord {
  /** Position after the newest record. */
  readonly position: number;
  /** Monotonic time at which the read was sent, ms. */
  readonly sentMs: number;
  readonly entry?: OwnershipEntry;
  readonly writer?: NewestWriter;
}

/**
 * Reads the newest record of the era's topic. If it is one of an earlier era by
 * another router, it may have been appended late and hide a claim of this era,
 * so the records before it are read as well. Returns `undefined` if the reads
 * fail.
 */
async function readNewest(
  store: PlatformStore,
  { self, era }: { self: RouterRef; era: number },
): Promise<NewestRecord | undefined> {
  const sentMs = performance.now();
  const read = await store.readOwnership({ waitMs: 0 });
  if (read.end !== StoreEnd.Done || !read.value) return undefined;
  const { position, items } = read.value;
  if (getEra(position) !== era) return undefined;
  const entry = items.at(-1);
  if (!entry) return { position, sentMs };
  const writer = getWriter(entry, era);
  const isForeignCopy = writer.era < era &&
    writer.incarnation !== self.incarnation;
  if (!isForeignCopy) return { position, sentMs, entry, writer };
  const hidden = await findClaim(store, { self, era });
  if (!hidden) return undefined;
  return { position, sentMs, entry, writer: hidden.writer ?? writer };
}

/** Finds a record of the era by another router. */
async function findClaim(
  store: PlatformStore,
  { self, era }: { self: RouterRef; era: number },
): Promise<{ writer?: NewestWriter } | undefined> {
  let position = makePosition(era, 0);
  while (true) {
    const read = await store.readOwnership({ position, waitMs: 0 });
    if (read.end !== StoreEnd.Done || !read.value) return undefined;
    const { items, isEnd, isSnapshot } = read.value;
    const writer = items.map((e) => getWriter(e, era)).find((w) =>
      w.era >= era && w.incarnation !== self.incarnation
    );
    if (writer) return { writer };
    if (isEnd || isSnapshot || read.value.position === position) return {};
    ({ position } = read.value);
  }
}

/** Returns the writer; a record that cannot be parsed counts as a claim. */
function getWriter({ text }: OwnershipEntry, era: number): NewestWriter {
  return readWriter(text) ?? { incarnation: undefined, era };
}
